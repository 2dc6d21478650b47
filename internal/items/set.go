package items

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// maxLatencyExcess is by how much a route's latency objective may exceed its timeout,
// exclusive. The configuration interface for operators defines it.
const maxLatencyExcess = time.Minute

// Set holds the newest version of each item, removed items included: without them
// an older change that is delivered again would restore a removed item.
type Set struct {
	items map[Key]Item
}

// NewSet returns a set without items.
func NewSet() *Set { return &Set{items: make(map[Key]Item)} }

// Restore returns the set with the given items.
func Restore(all []Item) *Set {
	s := NewSet()
	for _, item := range all {
		s.items[item.Key] = item
	}
	return s
}

// Get returns an item, or false if it does not exist or was removed.
func (s *Set) Get(key Key) (Item, bool) {
	item, ok := s.items[key]
	return item, ok && !item.Removed
}

// All returns every item, removed ones included, sorted by collection and name.
func (s *Set) All() []Item {
	all := make([]Item, 0, len(s.items))
	for _, item := range s.items {
		all = append(all, item)
	}
	sortItems(all)
	return all
}

// Since returns the items that changed after a revision, removed ones included,
// in the order of All.
func (s *Set) Since(revision uint64) []Item {
	var changed []Item
	for _, item := range s.items {
		if item.Revision > revision {
			changed = append(changed, item)
		}
	}
	sortItems(changed)
	return changed
}

func sortItems(list []Item) {
	slices.SortFunc(list, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Collection, b.Collection), cmp.Compare(a.Name, b.Name))
	})
}

// Apply puts the items of a patch in force whose versions are newer than the
// current ones. It fails with kind InvalidText and changes nothing if an item is
// invalid by itself or the resulting set would be. A patch without any newer
// version is accepted: it may be a repetition whose first acknowledgement was lost.
func (s *Set) Apply(p Patch, revision uint64) *errkind.Error {
	for _, item := range p.Items {
		if err := item.check(); err != nil {
			return err
		}
	}
	next := &Set{items: make(map[Key]Item, len(s.items)+len(p.Items))}
	for key, item := range s.items {
		next.items[key] = item
	}
	changed := false
	for _, item := range p.Items {
		if current, ok := next.items[item.Key]; ok && current.Version >= item.Version {
			continue
		}
		item.Revision = revision
		next.items[item.Key] = item
		changed = true
	}
	if !changed {
		return nil
	}
	if err := next.checkReferences(); err != nil {
		return err
	}
	s.items = next.items
	return nil
}

// check returns an error for an item that is invalid regardless of the other items.
func (i Item) check() *errkind.Error {
	if i.Removed {
		return nil
	}
	switch {
	case i.Collection == Routes && i.Route != nil:
		return i.Route.check(i.Name)
	case i.Collection == Services && i.Service != nil:
		return i.Service.check(i.Name)
	case i.Collection == LimitSet && i.Limits != nil:
		return i.Limits.check()
	}
	return errkind.New(errkind.InvalidText, "%s %q has no content", i.Collection, i.Name)
}

func (r *Route) check(name string) *errkind.Error {
	if faults := r.faults(name); len(faults) > 0 {
		return errkind.New(errkind.InvalidText, "route %q: %s", name, faults[0])
	}
	return nil
}

// faults returns all reasons for which the route is invalid by itself.
func (r *Route) faults(name string) []string {
	var faults []string
	refuse := func(invalid bool, reason string) {
		if invalid {
			faults = append(faults, reason)
		}
	}
	weight := 0
	incomplete := false
	for _, share := range r.Split {
		incomplete = incomplete || share.Weight < 0 || share.Service == ""
		weight += share.Weight
	}
	refuse(incomplete, "each share needs a service and a weight of 0 or more")
	refuse(name == "" || r.Host == "", "the name and the host must not be empty")
	refuse(len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/', "the prefix must begin and end with a slash")
	refuse(!r.Kind.Known(), "the kind is unknown")
	refuse(weight == 0, "no service has a positive weight")
	refuse(r.MaxAttempts < 1, "the number of attempts must be at least 1")
	refuse(r.Timeout <= 0 || r.LatencyObjective <= 0, "the timeout and the target latency must be positive")
	refuse(r.LatencyObjective-r.Timeout >= maxLatencyExcess, "the target latency exceeds the timeout by a minute or more")
	refuse(r.Priority < 0, "the priority must not be negative")
	return faults
}

func (s *Service) check(name string) *errkind.Error {
	if name == "" || s.MaxConns < 0 || s.ColdPeriod < 0 || s.ColdRate < 0 || s.Warmup < 0 {
		return errkind.New(errkind.InvalidText, "service %q: the name must not be empty and no number may be negative", name)
	}
	return nil
}

func (l *Limits) check() *errkind.Error {
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return errkind.New(errkind.InvalidText, "the limits must not be negative")
	}
	return nil
}

// routeKey identifies the requests of a route; no two routes may have the same.
type routeKey struct{ host, prefix string }

// checkReferences returns an error for a route to an unknown service and for two
// routes with the same host and prefix.
func (s *Set) checkReferences() *errkind.Error {
	names := make(map[routeKey]string)
	for _, item := range s.All() {
		if item.Collection != Routes || item.Removed {
			continue
		}
		key := routeKey{item.Route.Host, item.Route.Prefix}
		if other, ok := names[key]; ok {
			return errkind.New(errkind.InvalidText, "routes %q and %q have the same host and prefix %s%s", other, item.Name, key.host, key.prefix)
		}
		names[key] = item.Name
		for _, share := range item.Route.Split {
			if _, ok := s.Get(Key{Services, share.Service}); !ok {
				return errkind.New(errkind.InvalidText, "route %q refers to the unknown service %q", item.Name, share.Service)
			}
		}
	}
	return nil
}
