package items

import (
	"slices"
	"testing"
)

func routeIn(name string, version uint64, regions ...string) Item {
	r := route(name, "/"+name+"/", "s", version)
	r.Route.AllowedRegions = regions
	return r
}

// Guards against operators who don't learn that some requests of their routes are refused:
// a key has one holder, which can't be in two regions.
func TestContradictingRegionsAreReported(t *testing.T) {
	sharded := service("s", 1)
	sharded.Service.Sharded = true
	s := NewSet()
	mustApply(t, s, sharded, routeIn("a", 1, "r-1"))
	for name, c := range map[string]struct {
		patch []Item
		want  []string
	}{
		"another region":             {[]Item{routeIn("b", 1, "r-2")}, []string{"s"}},
		"a common region":            {[]Item{routeIn("b", 1, "r-2", "r-1")}, nil},
		"all regions":                {[]Item{routeIn("b", 1)}, nil},
		"the other route follows":    {[]Item{routeIn("b", 1, "r-2"), routeIn("a", 2, "r-2")}, nil},
		"the other route goes":       {[]Item{routeIn("b", 1, "r-2"), removed("a", 2)}, nil},
		"an outdated version":        {[]Item{routeIn("a", 1, "r-2")}, nil},
		"a service without shards":   {[]Item{routeIn("b", 1, "r-2"), service("s", 2)}, nil},
		"a change of something else": {[]Item{service("t", 1)}, nil},
	} {
		if got := s.RegionConflicts(Patch{Items: c.patch}); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
