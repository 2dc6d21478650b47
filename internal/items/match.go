package items

import "strings"

// Matcher finds the route of a request. It is immutable.
type Matcher struct {
	// routes maps host, then prefix, to the route in force.
	routes map[string]map[string]Item
}

// NewMatcher returns a matcher for those of the items that are routes in force.
func NewMatcher(all []Item) *Matcher {
	m := &Matcher{routes: make(map[string]map[string]Item)}
	for _, item := range all {
		if item.Collection != Routes || item.Removed {
			continue
		}
		host := m.routes[item.Route.Host]
		if host == nil {
			host = make(map[string]Item)
			m.routes[item.Route.Host] = host
		}
		host[item.Route.Prefix] = item
	}
	return m
}

// Match returns the host's route with the longest prefix of the path. Prefixes end
// with a slash, so only the parts of the path that do are looked up.
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
