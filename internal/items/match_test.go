package items

import (
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

func routeAt(name, host string, version uint64) Item {
	r := route(name, "/a/", "s", version)
	r.Route.Host = host
	return r
}

// Guards against a route that no request matches because its host has capital letters:
// the hosts of requests are compared in lower case.
func TestHostsMatchWithoutRegardToCase(t *testing.T) {
	m := NewMatcher([]Item{routeAt("r", "Ledger.Example", 1)})
	item, ok := m.Match("ledger.example", "/a/b")
	if !ok || item.Name != "r" || item.Route.Host != "Ledger.Example" {
		t.Errorf("got %+v, %v", item, ok)
	}
}

// Guards against two routes of which an entry uses one by chance.
func TestRoutesThatDifferInCaseConflict(t *testing.T) {
	s := NewSet()
	mustApply(t, s, service("s", 1), routeAt("r", "a.example", 1))
	if err := s.CheckPlaces(Patch{Items: []Item{routeAt("q", "A.example", 1)}}); err == nil || err.Kind != errkind.InvalidText {
		t.Errorf("got %v, want %s", err, errkind.InvalidText)
	}
	for name, patch := range map[string][]Item{
		"the route itself":              {routeAt("r", "A.Example", 2)},
		"instead of a removed route":    {removed("r", 2), routeAt("q", "A.example", 1)},
		"an outdated version":           {routeAt("r", "a.example", 1)},
		"another host":                  {routeAt("q", "B.example", 1)},
		"a change that touches neither": {service("t", 1)},
	} {
		if err := s.CheckPlaces(Patch{Items: patch}); err != nil {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against entries that use different routes, or another one than before, if an
// earlier build accepted both, and against a refusal of all later changes.
func TestAcceptedConflictIsResolvedAlike(t *testing.T) {
	both := []Item{routeAt("a", "A.example", 1), routeAt("r", "a.example", 1)}
	for range 2 {
		if item, ok := NewMatcher(both).Match("a.example", "/a/"); !ok || item.Name != "r" {
			t.Errorf("got %q, %v, want the route in lower case", item.Name, ok)
		}
		both[0], both[1] = both[1], both[0]
	}
	s := NewSet()
	mustApply(t, s, service("s", 1), both[0], both[1])
	if err := s.CheckPlaces(Patch{Items: []Item{routeAt("q", "c.example", 1)}}); err != nil {
		t.Errorf("a change of another route got %v", err)
	}
}
