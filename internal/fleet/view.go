package fleet

import (
	"slices"
	"sort"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/items"
)

// Endpoint is a target in the view of an entry VM.
type Endpoint struct {
	Target
	// ColdUntil is the monotonic time of the entry VM at which the target stops
	// being cold.
	ColdUntil time.Duration
}

// View is an immutable copy of the state from which an entry VM routes requests.
type View struct {
	revision    uint64
	configured  bool
	items       map[items.Key]items.Item
	matcher     *items.Matcher
	endpoints   map[string]*Endpoint
	byService   map[string][]*Endpoint
	shards      map[string]ShardMap
	dataCentres map[string]DataCentre
	entries     map[string]Entry
	// present lists the entry VMs that are not gone.
	present []Entry
	// leastUrgent maps a service to the highest priority number of its routes,
	// that is, the least urgent one.
	leastUrgent map[string]int
}

// NewView returns the empty view of an entry VM that has received no state yet.
func NewView() *View {
	return &View{
		items: map[items.Key]items.Item{}, matcher: items.NewMatcher(nil),
		endpoints: map[string]*Endpoint{}, byService: map[string][]*Endpoint{},
		shards: map[string]ShardMap{}, dataCentres: map[string]DataCentre{}, entries: map[string]Entry{},
	}
}

// With returns a copy of the view with a delta applied that was received at now.
// The delta must start at or before the view's revision.
func (v *View) With(d Delta, now time.Duration) *View {
	next := &View{
		revision: max(v.revision, d.To), configured: v.configured,
		items: v.items, matcher: v.matcher, endpoints: v.endpoints, byService: v.byService,
		shards: v.shards, dataCentres: v.dataCentres, entries: v.entries, present: v.present,
		leastUrgent: v.leastUrgent,
	}
	if len(d.Items) > 0 {
		next.applyItems(d.Items)
	}
	if len(d.ShardMaps) > 0 {
		next.applyShards(d.ShardMaps)
	}
	if len(d.DataCentres) > 0 {
		next.dataCentres = cloneWith(v.dataCentres, d.DataCentres, func(dc DataCentre) string { return dc.Name })
	}
	if len(d.Entries) > 0 {
		next.entries = cloneWith(v.entries, d.Entries, func(e Entry) string { return e.Addr })
		next.present = presentEntries(next.entries)
	}
	if len(d.Targets)+len(d.DataCentres) > 0 {
		next.applyTargets(d, now)
	}
	return next
}

func cloneWith[T any](old map[string]T, changed []T, key func(T) string) map[string]T {
	clone := make(map[string]T, len(old)+len(changed))
	for k, value := range old {
		clone[k] = value
	}
	for _, value := range changed {
		clone[key(value)] = value
	}
	return clone
}

// applyShards replaces the rows of the view that overlap changed ones.
func (v *View) applyShards(changed []ShardMap) {
	for i, sh := range changed {
		changed[i].Rows = overlay(v.shards[sh.Service].Rows, sh.Rows)
	}
	v.shards = cloneWith(v.shards, changed, func(s ShardMap) string { return s.Service })
}

func (v *View) applyItems(changed []items.Item) {
	all := make(map[items.Key]items.Item, len(v.items)+len(changed))
	for k, item := range v.items {
		all[k] = item
	}
	for _, item := range changed {
		all[item.Key] = item
	}
	list := make([]items.Item, 0, len(all))
	for _, item := range all {
		list = append(list, item)
	}
	v.items, v.matcher, v.configured = all, items.NewMatcher(list), true
	v.leastUrgent = make(map[string]int)
	for _, item := range list {
		if item.Route == nil {
			continue
		}
		for _, share := range item.Route.Split {
			v.leastUrgent[share.Service] = max(v.leastUrgent[share.Service], item.Route.Priority)
		}
	}
}

// applyTargets applies changes of targets and data centres. Targets of a data
// centre that is back in service may have become cold while it was out, so they
// count as cold for their service's cold period.
func (v *View) applyTargets(d Delta, now time.Duration) {
	all := make(map[string]*Endpoint, len(v.endpoints)+len(d.Targets))
	for id, e := range v.endpoints {
		all[id] = e
	}
	for _, t := range d.Targets {
		if t.Condition >= Leaving {
			delete(all, t.ID)
			continue
		}
		// A state of an earlier build may hold values that overflow.
		t.Slots = min(max(t.Slots, 1), MaxSlots)
		all[t.ID] = &Endpoint{Target: t, ColdUntil: now + min(max(t.ColdFor, 0), MaxColdFor)}
	}
	for _, dc := range d.DataCentres {
		if dc.Out {
			continue
		}
		for id, e := range all {
			if e.DataCentre == dc.Name {
				service, _ := v.Service(e.Service)
				all[id] = &Endpoint{Target: e.Target, ColdUntil: max(e.ColdUntil, now+service.ColdPeriod)}
			}
		}
	}
	v.endpoints = all
	v.byService = make(map[string][]*Endpoint)
	for _, e := range all {
		v.byService[e.Service] = append(v.byService[e.Service], e)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Endpoint) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// Revision returns the revision of the state that the view shows.
func (v *View) Revision() uint64 { return v.revision }

// Configured reports whether the view has any configuration.
func (v *View) Configured() bool { return v.configured }

// Match returns the route of a request.
func (v *View) Match(host, path string) (items.Item, bool) { return v.matcher.Match(host, path) }

// Service returns a service, or false if none of the name is in force.
func (v *View) Service(name string) (items.Service, bool) {
	item, ok := v.items[items.Key{Collection: items.Services, Name: name}]
	if !ok || item.Removed {
		return items.Service{}, false
	}
	return *item.Service, true
}

// LeastUrgent returns the priority of the least urgent route to a service.
func (v *View) LeastUrgent(service string) int { return v.leastUrgent[service] }

// Limits returns the limits, or nil before they are known.
func (v *View) Limits() *items.Limits {
	return v.items[items.Key{Collection: items.LimitSet}].Limits
}

// Endpoints returns the targets of a service that have not left or ended, sorted
// by ID.
func (v *View) Endpoints(service string) []*Endpoint { return v.byService[service] }

// AllEndpoints returns the targets that have not left or ended, by ID.
func (v *View) AllEndpoints() map[string]*Endpoint { return v.endpoints }

// Endpoint returns a target by its ID unless it has left or ended.
func (v *View) Endpoint(id string) (*Endpoint, bool) {
	e, ok := v.endpoints[id]
	return e, ok
}

// DataCentreOut reports whether the operators took a data centre out of service.
func (v *View) DataCentreOut(name string) bool { return v.dataCentres[name].Out }

// Owner returns the target that holds a key, or false while no target does.
func (v *View) Owner(service string, key int) (*Endpoint, bool) {
	rows := v.shards[service].Rows
	i := sort.Search(len(rows), func(i int) bool { return rows[i].To >= key })
	if i == len(rows) || key < 0 {
		return nil, false
	}
	row := rows[i]
	if !row.Granted {
		return nil, false
	}
	e, ok := v.endpoints[row.Holder.ID]
	if !ok || e.StartMs != row.Holder.StartMs {
		return nil, false
	}
	return e, true
}

// Entries returns the entry VMs that are not gone. Callers must not modify the
// list: it is shared, because it is read for each request.
func (v *View) Entries() []Entry { return v.present }

func presentEntries(entries map[string]Entry) []Entry {
	list := make([]Entry, 0, len(entries))
	for _, e := range entries {
		if !e.Gone {
			list = append(list, e)
		}
	}
	return list
}
