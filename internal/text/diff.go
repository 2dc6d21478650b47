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

// Changes returns what differs between two texts, one line per change. A nil
// old text counts as empty. The order is that of the sections of the text and
// of names within a section.
func Changes(old, new *Text) []string {
	if old == nil {
		old = &Text{}
	}
	if new == nil {
		new = &Text{}
	}
	var c changes
	c.value("name", old.Name, new.Name)
	c.value("record_retention", old.RecordRetention, new.RecordRetention)
	c.dataCentres(old, new)
	c.items("service", serviceMap(old), serviceMap(new))
	c.items("tenant", tenantMap(old), tenantMap(new))
	c.limits(old.Limits, new.Limits)
	c.items("retired target", nameMap(old.RetiredTargets), nameMap(new.RetiredTargets))
	c.items("retired VM", nameMap(old.RetiredVMs), nameMap(new.RetiredVMs))
	return c
}

// changes collects lines.
type changes []string

func (c *changes) add(format string, args ...any) {
	*c = append(*c, fmt.Sprintf(format, args...))
}

func (c *changes) value(what string, old, new any) {
	if !reflect.DeepEqual(old, new) {
		c.add("%s: %s -> %s", what, show(old), show(new))
	}
}

// show formats a value on one line.
func show(v any) string {
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

// attributes are the named values of one item.
type attributes map[string]any

// items reports added, removed and changed items of a kind.
func (c *changes) items(kind string, old, new map[string]attributes) {
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
				c.value(kind+" "+name+" "+field, before[field], after[field])
			}
		}
	}
}

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

func (c *changes) dataCentres(old, new *Text) {
	regions := func(t *Text) map[string]attributes {
		m := map[string]attributes{}
		for _, r := range t.Regions {
			m[r.Name] = attributes{}
		}
		return m
	}
	centres := func(t *Text) map[string]attributes {
		m := map[string]attributes{}
		for _, r := range t.Regions {
			for _, dc := range r.DataCentres {
				m[dc.Name] = attributes{"region": r.Name, "state": string(dc.State)}
			}
		}
		return m
	}
	c.items("region", regions(old), regions(new))
	c.items("data centre", centres(old), centres(new))
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
		homes := append([]string(nil), tenant.HomeRegions...)
		sort.Strings(homes)
		m[tenant.Name] = attributes{"home_regions": homes, "share": tenant.Share}
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

func (c *changes) limits(old, new Limits) {
	c.value("limits max_body_bytes", old.MaxBodyBytes, new.MaxBodyBytes)
	c.value("limits max_answer_bytes", old.MaxAnswerBytes, new.MaxAnswerBytes)
	c.value("limits default_deadline", old.DefaultDeadline, new.DefaultDeadline)
	c.value("limits retry_budget", old.RetryBudget, new.RetryBudget)
	c.value("limits hedge_budget", old.HedgeBudget, new.HedgeBudget)
}
