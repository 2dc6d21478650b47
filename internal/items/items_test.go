package items

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

func service(name string, version uint64) Item {
	return Item{Key: Key{Services, name}, Version: version, Service: &Service{MaxConns: 10}}
}

func route(name, prefix, to string, version uint64) Item {
	return Item{Key: Key{Routes, name}, Version: version, Route: &Route{
		Host: "a.example", Prefix: prefix, Kind: Safe, Timeout: time.Second, LatencyObjective: time.Second,
		Split: []Share{{Service: to, Weight: 1}}, MaxAttempts: 1,
	}}
}

func removed(name string, version uint64) Item {
	return Item{Key: Key{Routes, name}, Version: version, Removed: true}
}

func mustApply(t *testing.T, s *Set, items ...Item) {
	t.Helper()
	if err := s.Apply(Patch{Items: items}, 1); err != nil {
		t.Fatal(err)
	}
}

// Guards against refusing a defined kind, and against treating unsafe requests, or
// those of an unknown kind, as idempotent.
func TestKinds(t *testing.T) {
	for kind, idempotent := range map[Kind]bool{Safe: true, Download: true, Unsafe: false} {
		r := route("r", "/a/", "s", 1)
		r.Route.Kind = kind
		mustApply(t, NewSet(), service("s", 1), r)
		if kind.Idempotent() != idempotent {
			t.Errorf("%s: idempotent is %v", kind, kind.Idempotent())
		}
	}
	r := route("r", "/a/", "s", 1)
	r.Route.Kind = "stream"
	if err := NewSet().Apply(Patch{Items: []Item{service("s", 1), r}}, 1); err == nil || err.Kind != errkind.InvalidText {
		t.Errorf("got %v for an unknown kind, want %s", err, errkind.InvalidText)
	}
	if r.Route.Kind.Idempotent() {
		t.Error("a request of an unknown kind counts as idempotent")
	}
}

// Guards against partly applying a change that contains an invalid item.
func TestInvalidPatchChangesNothing(t *testing.T) {
	highLatency := route("r", "/a/", "s", 9)
	highLatency.Route.LatencyObjective = highLatency.Route.Timeout + time.Minute
	noAttempts := route("r", "/a/", "s", 9)
	noAttempts.Route.MaxAttempts = 0
	noTimeout := route("r", "/a/", "s", 9)
	noTimeout.Route.Timeout = 0
	noWeight := route("r", "/a/", "s", 9)
	noWeight.Route.Split[0].Weight = 0
	noTrailingSlash := route("r", "/a", "s", 9)
	for name, bad := range map[string]Item{
		"unknown service": route("r", "/a/", "other", 9), "same host and prefix": route("q", "/", "s", 9),
		"target latency far above timeout": highLatency, "no attempts": noAttempts, "no timeout": noTimeout, "no weight": noWeight,
		"prefix without slash": noTrailingSlash,
	} {
		s := NewSet()
		mustApply(t, s, service("s", 1), route("root", "/", "s", 1))
		err := s.Apply(Patch{Items: []Item{service("new", 1), bad}}, 2)
		if err == nil || err.Kind != errkind.InvalidText {
			t.Errorf("%s: got %v, want %s", name, err, errkind.InvalidText)
		}
		if _, ok := s.Get(Key{Services, "new"}); ok {
			t.Errorf("%s: a part of the refused change is in force", name)
		}
	}
}

// Guards against refusing an accepted change that is sent again after later changes
// with which it would be invalid.
func TestRepeatedPatchIsAccepted(t *testing.T) {
	s := NewSet()
	mustApply(t, s, service("s", 1), route("r", "/a/", "s", 1))
	mustApply(t, s, removed("r", 2), Item{Key: Key{Services, "s"}, Version: 2, Removed: true})
	mustApply(t, s, route("r", "/a/", "s", 1))
	if _, ok := s.Get(Key{Routes, "r"}); ok {
		t.Error("an older change restored a removed route")
	}
}

// Guards against replacing an item by other content with the same version.
func TestSameVersionChangesNothing(t *testing.T) {
	s := NewSet()
	mustApply(t, s, service("s", 1), service("q", 1), route("r", "/a/", "s", 5))
	mustApply(t, s, route("r", "/b/", "q", 5))
	if item, _ := s.Get(Key{Routes, "r"}); item.Route.Prefix != "/a/" {
		t.Errorf("prefix is %s, want the one that was accepted first", item.Route.Prefix)
	}
}

// Guards against a result that depends on the order or number of deliveries.
func TestOrderOfPatchesDoesNotMatter(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("the highest version of each name is in force", prop.ForAll(func(versions []uint64, seed uint64) bool {
		forward, shuffled := NewSet(), NewSet()
		var patches []Patch
		for i, v := range versions {
			item := service([]string{"a", "b", "c"}[i%3], v)
			item.Removed = v%4 == 0
			item.Service.MaxConns = int(v)
			patches = append(patches, Patch{Items: []Item{item}})
		}
		for _, p := range patches {
			_ = forward.Apply(p, 1)
		}
		rng := rand.New(rand.NewPCG(seed, 0))
		twice := append(append([]Patch(nil), patches...), patches...)
		rng.Shuffle(len(twice), func(i, j int) { twice[i], twice[j] = twice[j], twice[i] })
		for _, p := range twice {
			_ = shuffled.Apply(p, 1)
		}
		a, b := forward.All(), shuffled.All()
		for i := range a {
			if a[i].Version != b[i].Version || a[i].Removed != b[i].Removed {
				return false
			}
		}
		return len(a) == len(b)
	}, gen.SliceOf(gen.UInt64Range(1, 40)), gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against matching a shorter prefix, or a prefix that ends within a path
// segment.
func TestMatchLongestPrefix(t *testing.T) {
	m := NewMatcher([]Item{route("root", "/", "s", 1), route("a", "/a/", "s", 1), route("ab", "/a/b/", "s", 1)})
	for path, want := range map[string]string{
		"/": "root", "/x": "root", "/a/": "a", "/a/c": "a", "/a/b": "a", "/a/b/": "ab", "/a/b/c/d": "ab", "/ab/": "root",
	} {
		if got, ok := m.Match("a.example", path); !ok || got.Name != want {
			t.Errorf("%s: got %q, want %q", path, got.Name, want)
		}
	}
	if _, ok := m.Match("b.example", "/a/"); ok {
		t.Error("a route of another host matched")
	}
}
