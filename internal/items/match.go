package items

import (
	"maps"
	"slices"
	"strings"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Matcher finds the route of a request. It is immutable.
type Matcher struct {
	// routes maps the host in lower case, then prefix, to the route in force.
	routes map[string]map[string]Item
}

// NewMatcher returns a matcher for those of the items that are routes in force.
func NewMatcher(all []Item) *Matcher {
	m := &Matcher{routes: make(map[string]map[string]Item)}
	for _, item := range all {
		if item.Collection != Routes || item.Removed {
			continue
		}
		name := strings.ToLower(item.Route.Host)
		host := m.routes[name]
		if host == nil {
			host = make(map[string]Item)
			m.routes[name] = host
		}
		if other, ok := host[item.Route.Prefix]; !ok || item.precedes(other) {
			host[item.Route.Prefix] = item
		}
	}
	return m
}

// precedes reports which of two routes with hosts that differ only in case is used. A
// change by an earlier build may have put both in force; there the one in lower case
// served the requests.
func (i Item) precedes(other Item) bool {
	lower, otherLower := i.Route.Host == strings.ToLower(i.Route.Host), other.Route.Host == strings.ToLower(other.Route.Host)
	if lower != otherLower {
		return lower
	}
	return i.Name < other.Name
}

// CheckPlaces returns an error of kind InvalidText if a patch puts a route in force whose
// host differs only in case from that of another route with the same prefix. The leader
// asks it before it proposes the patch. Apply does not ask it: replicas of an earlier build
// would apply the same patch.
func (s *Set) CheckPlaces(p Patch) *errkind.Error {
	inForce, changed := s.routesAfter(p)
	routes := make(map[routeKey]string)
	for _, name := range slices.Sorted(maps.Keys(inForce)) {
		item := inForce[name]
		if item.Removed || item.Route == nil {
			continue
		}
		key := routeKey{strings.ToLower(item.Route.Host), item.Route.Prefix}
		if other, ok := routes[key]; ok && (changed[name] || changed[other]) {
			return errkind.New(errkind.InvalidText, "routes %q and %q have the same host, without regard to case, and prefix %s%s", other, name, key.host, key.prefix)
		}
		routes[key] = name
	}
	return nil
}

// Match returns the route of the host, which is in lower case, with the longest prefix of
// the path. Prefixes end with a slash, so only the parts of the path that do are looked up.
func (m *Matcher) Match(host, path string) (Item, bool) {
	prefixes := m.routes[host]
	if prefixes == nil {
		return Item{}, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if item, ok := prefixes[path[:end+1]]; ok {
			return item, true
		}
	}
	return Item{}, false
}
