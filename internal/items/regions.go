package items

import (
	"maps"
	"slices"
)

// ServiceRegions says in which regions the routes to a service may be served.
type ServiceRegions struct {
	// counts is the number of routes that name a region as allowed.
	counts map[string]int
	// restricted is the number of routes that allow only some regions, and unrestricted
	// that of the others.
	restricted, unrestricted int
}

// RegionsOf returns the regions of a service.
func (s *Set) RegionsOf(service string) ServiceRegions {
	return regionsOf(service, func(yield func(Item) bool) {
		for key, item := range s.items {
			if key.Collection == Routes && !yield(item) {
				return
			}
		}
	})
}

func regionsOf(service string, routes func(yield func(Item) bool)) ServiceRegions {
	r := ServiceRegions{counts: make(map[string]int)}
	for item := range routes {
		if item.Removed || item.Route == nil || !slices.ContainsFunc(item.Route.Split, func(share Share) bool { return share.Service == service && share.Weight > 0 }) {
			continue
		}
		if len(item.Route.AllowedRegions) == 0 {
			r.unrestricted++
			continue
		}
		r.restricted++
		for _, region := range slices.Compact(slices.Sorted(slices.Values(item.Route.AllowedRegions))) {
			r.counts[region]++
		}
	}
	return r
}

// most returns the highest number of restricted routes that allow the same region.
func (r ServiceRegions) most() int {
	most := 0
	for _, count := range r.counts {
		most = max(most, count)
	}
	return most
}

// Best reports whether no other region is allowed by more routes. It is true of every
// region if no route is restricted.
func (r ServiceRegions) Best(region string) bool {
	return r.restricted == 0 || r.counts[region] == r.most()
}

// Any reports whether a route allows a region.
func (r ServiceRegions) Any(region string) bool { return r.unrestricted > 0 || r.counts[region] > 0 }

// Contradictory reports whether there is no region that all routes allow.
func (r ServiceRegions) Contradictory() bool { return r.most() < r.restricted }

// RegionConflicts returns the sharded services whose routes allow no common region once
// a patch is in force, if the patch changes one of these routes. Each key has one holder,
// so some routes can't be served for the keys that are held elsewhere.
func (s *Set) RegionConflicts(p Patch) []string {
	after, changed := s.routesAfter(p)
	conflicts := make(map[string]bool)
	for name := range changed {
		if after[name].Route == nil {
			continue
		}
		for _, share := range after[name].Route.Split {
			if regionsOf(share.Service, maps.Values(after)).Contradictory() && s.shardedAfter(p, share.Service) {
				conflicts[share.Service] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(conflicts))
}

// shardedAfter reports whether a service is sharded once a patch is in force.
func (s *Set) shardedAfter(p Patch, service string) bool {
	item := s.items[Key{Services, service}]
	for _, changed := range p.Items {
		if changed.Key == (Key{Services, service}) && changed.Version > item.Version {
			item = changed
		}
	}
	return item.Service != nil && item.Service.Sharded
}

// routesAfter returns the routes by name once a patch is in force, removed ones included,
// and the names of those that it changes.
func (s *Set) routesAfter(p Patch) (after map[string]Item, changed map[string]bool) {
	after, changed = make(map[string]Item), make(map[string]bool)
	for key, item := range s.items {
		if key.Collection == Routes {
			after[key.Name] = item
		}
	}
	for _, item := range p.Items {
		if item.Collection != Routes {
			continue
		}
		if current, ok := after[item.Name]; !ok || current.Version < item.Version {
			after[item.Name], changed[item.Name] = item, true
		}
	}
	return after, changed
}
