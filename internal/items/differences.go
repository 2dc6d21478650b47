package items

import (
	"fmt"
	"strconv"
	"strings"
)

// ChangeKind says how an item differs from the one in force.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Changed ChangeKind = "changed"
	Removed ChangeKind = "removed"
)

// Difference is an item that a change adds, changes or removes.
type Difference struct {
	Collection Collection `json:"collection"`
	Name       string     `json:"name"`
	Change     ChangeKind `json:"change"`
	// Fields are the changed fields, the version included; nil unless Change is Changed.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field of an item with the values before and after a change.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// compareSets returns the differences between two sets, sorted by collection and name,
// and the number of items that are in force with the same version in both.
func compareSets(before, after *Set, version func(uint64) string) (differences []Difference, unchanged int) {
	differences = []Difference{}
	for _, item := range after.All() {
		old, had := before.Get(item.Key)
		d := Difference{Collection: item.Collection, Name: item.Name}
		switch {
		case !had && item.Removed:
			continue
		case had && old.Version == item.Version:
			unchanged++
			continue
		case item.Removed:
			d.Change = Removed
		case !had:
			d.Change = Added
		default:
			d.Change = Changed
			d.Fields = append([]FieldChange{{"version", version(old.Version), version(item.Version)}}, changedFields(old, item)...)
		}
		differences = append(differences, d)
	}
	return differences, unchanged
}

// changedFields returns the fields that differ between two versions of an item, without
// the version. One that is absent in one of them has the value "" there.
func changedFields(before, after Item) []FieldChange {
	old, next := before.fields(), after.fields()
	var changes []FieldChange
	for i := range max(len(old), len(next)) {
		var change FieldChange
		if i < len(old) {
			change.Field, change.Old = old[i].name, old[i].value
		}
		if i < len(next) {
			change.Field, change.New = next[i].name, next[i].value
		}
		if change.Old != change.New {
			changes = append(changes, change)
		}
	}
	return changes
}

// field is a field of an item as it is shown to operators.
type field struct{ name, value string }

// fields returns the fields of an item's content, in the same order for each item of a
// collection; nil for a removed item.
func (i Item) fields() []field {
	switch {
	case i.Removed:
	case i.Route != nil:
		r := i.Route
		shares := make([]string, 0, len(r.Split))
		for _, share := range r.Split {
			shares = append(shares, fmt.Sprintf("%s %d", share.Service, share.Weight))
		}
		regions := "all"
		if len(r.AllowedRegions) > 0 {
			regions = strings.Join(r.AllowedRegions, ", ")
		}
		return []field{
			{"host", r.Host}, {"prefix", r.Prefix}, {"kind", string(r.Kind)}, {"timeout", r.Timeout.String()},
			{"latency objective", r.LatencyObjective.String()}, {"priority", strconv.Itoa(r.Priority)}, {"split", strings.Join(shares, ", ")},
			{"maximum attempts", strconv.Itoa(r.MaxAttempts)}, {"allowed regions", regions},
		}
	case i.Service != nil:
		s := i.Service
		return []field{
			{"health path", s.HealthPath}, {"maximum connections", strconv.Itoa(s.MaxConns)}, {"cold period", s.ColdPeriod.String()},
			{"cold rate", strconv.FormatFloat(s.ColdRate, 'g', -1, 64)}, {"sharded", strconv.FormatBool(s.Sharded)}, {"warmup", s.Warmup.String()},
		}
	case i.Limits != nil:
		l := i.Limits
		return []field{
			{"maximum header bytes", strconv.Itoa(l.MaxHeaderBytes)}, {"maximum body bytes", strconv.Itoa(l.MaxBodyBytes)},
			{"header timeout", l.HeaderTimeout.String()}, {"idle timeout", l.IdleTimeout.String()},
		}
	}
	return nil
}
