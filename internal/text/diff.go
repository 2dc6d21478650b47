package text

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/diff"
)

// Diff returns a unified line diff from old to new, or "" if they are equal.
func Diff(old, new []byte) string {
	return string(diff.Diff("current", old, "new", new))
}

// Changes returns the differences between two texts, one line per change. A
// nil text counts as empty. Changes are ordered by section of the text, then
// by name.
func Changes(old, new *Text) []string {
	if old == nil {
		old = &Text{}
	}
	if new == nil {
		new = &Text{}
	}
	var c changes
	c.compareValue("name", old.Name, new.Name)
	c.compareValue("record_retention", old.RecordRetention, new.RecordRetention)
	c.compareDataCentres(old, new)
	c.compareItems("service", serviceMap(old), serviceMap(new))
	c.compareItems("tenant", tenantMap(old), tenantMap(new))
	c.compareLimits(old.Limits, new.Limits)
	c.compareItems("retired target", nameMap(old.RetiredTargets), nameMap(new.RetiredTargets))
	c.compareItems("retired VM", nameMap(old.RetiredVMs), nameMap(new.RetiredVMs))
	return c
}

// changes collects the lines that Changes returns.
type changes []string

func (c *changes) add(format string, args ...any) {
	*c = append(*c, fmt.Sprintf(format, args...))
}

// compareValue reports a value that differs.
func (c *changes) compareValue(what string, old, new any) {
	if !reflect.DeepEqual(old, new) {
		c.add("%s: %s -> %s", what, formatValue(old), formatValue(new))
	}
}

// formatValue formats a value on one line.
func formatValue(v any) string {
	switch x := v.(type) {
	case time.Duration:
		return x.String()
	case []string:
		if len(x) == 0 {
			return "all"
		}
		return strings.Join(x, ", ")
	case string:
		if x == "" {
			return "none"
		}
		return x
	}
	return fmt.Sprint(v)
}

// attributes maps the names of the attributes of an item to their values.
type attributes map[string]any

// compareItems reports added, removed and changed items of a kind.
func (c *changes) compareItems(kind string, old, new map[string]attributes) {
	for _, name := range union(old, new) {
		before, had := old[name]
		after, has := new[name]
		switch {
		case !had:
			c.add("%s %s: added", kind, name)
		case !has:
			c.add("%s %s: removed", kind, name)
		default:
			for _, field := range union(before, after) {
				c.compareValue(kind+" "+name+" "+field, before[field], after[field])
			}
		}
	}
}

// union returns the sorted names that occur in a or b.
func union[V any](a, b map[string]V) []string {
	names := make([]string, 0, len(a)+len(b))
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, both := a[name]; !both {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// compareDataCentres reports changes of regions and of their data centres.
func (c *changes) compareDataCentres(old, new *Text) {
	regions := func(t *Text) map[string]attributes {
		m := map[string]attributes{}
		for _, r := range t.Regions {
			m[r.Name] = attributes{}
		}
		return m
	}
	dataCentres := func(t *Text) map[string]attributes {
		m := map[string]attributes{}
		for _, r := range t.Regions {
			for _, dc := range r.DataCentres {
				m[dc.Name] = attributes{"region": r.Name, "state": string(dc.State)}
			}
		}
		return m
	}
	c.compareItems("region", regions(old), regions(new))
	c.compareItems("data centre", dataCentres(old), dataCentres(new))
}

func serviceMap(t *Text) map[string]attributes {
	m := map[string]attributes{}
	for _, s := range t.Services {
		m[s.Name] = attributes{
			"depends_on":           dependencyNames(s.DependsOn),
			"ownership":            string(s.Ownership),
			"slices":               s.Slices,
			"endpoints":            s.Endpoints,
			"slots":                s.Slots,
			"connections":          s.Connections,
			"queue_limit":          s.QueueLimit,
			"cold_slots":           s.ColdSlots,
			"weights.churn":        s.Weights.Churn,
			"weights.balance":      s.Weights.Balance,
			"weights.tail":         s.Weights.Tail,
			"max_moves_per_second": s.MaxMovesPerSecond,
		}
	}
	return m
}

func dependencyNames(deps []Dependency) string {
	names := make([]string, 0, len(deps))
	for _, d := range deps {
		name := d.Service
		if !d.Required {
			name += " (optional)"
		}
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func tenantMap(t *Text) map[string]attributes {
	m := map[string]attributes{}
	for _, tenant := range t.Tenants {
		homeRegions := append([]string(nil), tenant.HomeRegions...)
		sort.Strings(homeRegions)
		m[tenant.Name] = attributes{"home_regions": homeRegions, "share": tenant.Share}
	}
	return m
}

func nameMap(names []string) map[string]attributes {
	m := map[string]attributes{}
	for _, name := range names {
		m[name] = attributes{}
	}
	return m
}

func (c *changes) compareLimits(old, new Limits) {
	c.compareValue("limits max_body_bytes", old.MaxBodyBytes, new.MaxBodyBytes)
	c.compareValue("limits max_answer_bytes", old.MaxResponseBytes, new.MaxResponseBytes)
	c.compareValue("limits default_deadline", old.DefaultDeadline, new.DefaultDeadline)
	c.compareValue("limits retry_budget", old.RetryBudget, new.RetryBudget)
	c.compareValue("limits hedge_budget", old.HedgeBudget, new.HedgeBudget)
}
