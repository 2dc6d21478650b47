package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

var threeRegions = Deployment{HeartbeatInterval: testHeartbeatInterval, Regions: map[string]string{"dc-1": "r-1", "dc-2": "r-2", "dc-3": "r-3"}}

// dataCentresOf are the data centres of six targets, one of them in the third region.
var dataCentresOf = []string{"dc-1", "dc-1", "dc-2", "dc-2", "dc-1", "dc-3"}

// routeCommand returns the command that adds a route to service s.
func routeCommand(name string, version uint64, regions ...string) fleet.Command {
	return fleet.Command{Patch: &items.Patch{Items: []items.Item{{Key: items.Key{Collection: items.Routes, Name: name}, Version: version, Route: &items.Route{
		Host: "h", Prefix: "/" + name + "/", Kind: items.Safe, Timeout: time.Second, LatencyObjective: time.Second,
		Split: []items.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2, AllowedRegions: regions,
	}}}}}
}

// regional is a service with targets in three regions that follow their grants.
type regional struct {
	*leader
	now      time.Duration
	seq      int64
	held     [][]fleet.Row
	gone     int
	mostLate int
}

func newRegional(t *testing.T, routes ...fleet.Command) *regional {
	l := newLeader(t)
	l.reg = New(0, threeRegions)
	l.commit(routes...)
	return &regional{leader: l, held: make([][]fleet.Row, len(dataCentresOf)), gone: -1}
}

// run lets the targets send heartbeats for some time.
func (g *regional) run(length time.Duration) {
	for end := g.now + length; g.now < end; g.now += testHeartbeatInterval / 2 {
		g.seq++
		for i, dataCentre := range dataCentresOf {
			if i == g.gone {
				continue
			}
			b := heartbeatOf(fmt.Sprint(i), g.seq)
			b.Target.DataCentre = dataCentre
			grant := g.heartbeat(g.now, b)
			var released []Released
			for _, old := range g.held[i] {
				for _, part := range without(old, grant.Rows) {
					released = append(released, Released{From: part.From, To: part.To})
				}
			}
			g.held[i] = grant.Rows
			if len(released) > 0 {
				g.seq++
				b.Seq, b.Released = g.seq, released
				g.held[i] = g.heartbeat(g.now, b).Rows
			}
		}
		before := 0
		for _, row := range g.rows() {
			if row.Moving() || !row.Granted {
				before++
			}
		}
		g.mostLate = max(g.mostLate, before)
		g.plan(g.now)
	}
}

// keysIn returns how many keys the targets of a region hold.
func (g *regional) keysIn(region string) int {
	keys := 0
	for i, rows := range g.held {
		if threeRegions.Regions[dataCentresOf[i]] != region {
			continue
		}
		for _, row := range rows {
			keys += row.To - row.From + 1
		}
	}
	return keys
}

// Guards against keys at targets that may not run the requests of a route: these are
// refused for good (review/10).
func TestKeysFollowTheAllowedRegions(t *testing.T) {
	const all = fleet.MaxKey + 1
	for name, routes := range map[string][]fleet.Command{
		"the only route":                  {routeCommand("a", 1, "r-3")},
		"beside a route without regions":  {routeCommand("a", 1), routeCommand("b", 1, "r-3")},
		"two routes with one common one":  {routeCommand("a", 1, "r-1", "r-3"), routeCommand("b", 1, "r-3", "r-2")},
		"most of the contradicting ones":  {routeCommand("a", 1, "r-3"), routeCommand("b", 1, "r-1"), routeCommand("c", 1, "r-3")},
		"a route of an unknown region":    {routeCommand("a", 1, "r-3", "r-9")},
		"the first of two versions":       {routeCommand("a", 1, "r-1"), routeCommand("a", 2, "r-3")},
		"a route that names a region two": {routeCommand("a", 1, "r-3", "r-3", "r-1"), routeCommand("b", 1, "r-3")},
	} {
		early := newRegional(t, routes...)
		early.run(10 * time.Second)
		if got := early.keysIn("r-3"); got != all {
			t.Errorf("%s: %d of %d keys are assigned to the allowed region", name, got, all)
		}
		late := newRegional(t)
		late.run(10 * time.Second)
		if got := late.keysIn("r-3"); got > all/2 {
			t.Errorf("%s: %d keys are in one region before the routes are known", name, got)
		}
		late.commit(routes...)
		late.mostLate = 0
		late.run(30 * time.Second)
		if got := late.keysIn("r-3"); got != all {
			t.Errorf("%s: %d of %d keys moved to the allowed region", name, got, all)
		}
		if late.mostLate > 2*maxRegionMoves {
			t.Errorf("%s: %d rows move at the same time", name, late.mostLate)
		}
	}
}

// Guards against moves without need: routes that allow all regions with targets, and
// regions without targets.
func TestKeysStayWithoutNeed(t *testing.T) {
	for name, route := range map[string]fleet.Command{
		"all regions":              routeCommand("a", 1),
		"all named":                routeCommand("a", 1, "r-1", "r-2", "r-3"),
		"a region without targets": routeCommand("a", 1, "r-9"),
	} {
		g := newRegional(t)
		g.run(10 * time.Second)
		fences := make(map[uint64]bool)
		for _, row := range g.rows() {
			fences[row.Fence] = true
		}
		g.commit(route)
		g.run(10 * time.Second)
		for _, row := range g.rows() {
			if !fences[row.Fence] || row.Moving() {
				t.Errorf("%s: row %+v moved", name, row)
			}
		}
	}
}

// Guards against keys that no target holds because the only target in the allowed region
// is lost, although other routes may use them elsewhere.
func TestKeysLeaveARegionWithoutTargets(t *testing.T) {
	g := newRegional(t, routeCommand("a", 1), routeCommand("b", 1, "r-3"))
	g.run(10 * time.Second)
	g.gone, g.held[5] = 5, nil
	g.run(12 * time.Second)
	if got := g.keysIn("r-1") + g.keysIn("r-2"); got != fleet.MaxKey+1 {
		t.Errorf("%d of %d keys have a holder after the loss", got, fleet.MaxKey+1)
	}
	g.gone = -1
	g.run(40 * time.Second)
	if got := g.keysIn("r-3"); got != fleet.MaxKey+1 {
		t.Errorf("%d of %d keys are back in the allowed region", got, fleet.MaxKey+1)
	}
}

// Guards against a merged row that moves before its holder has learned that it was merged,
// and whose requests then wait until the grant expires: the holder releases the parts.
func TestMergedRowIsReleasedInParts(t *testing.T) {
	for name, c := range map[string]struct {
		released []Released
		counts   bool
	}{
		"all parts":        {[]Released{{From: 0, To: 9999, Handover: "a"}, {From: 10000, To: 32767, Handover: "b"}}, true},
		"in another order": {[]Released{{From: 10000, To: 40000}, {From: 0, To: 12000}}, true},
		"a gap":            {[]Released{{From: 0, To: 9998}, {From: 10000, To: 32767}}, false},
		"the first part":   {[]Released{{From: 0, To: 9999}}, false},
	} {
		l := leaderWithTwoHolders(t)
		now := 2 * time.Second
		known, _ := l.state.Target("1")
		known.Condition = fleet.Leaving
		l.heartbeat(now, Heartbeat{Target: known})
		l.plan(now)
		if row := l.rows()[0]; !row.Moving() || row.To != 32767 {
			t.Fatalf("%s: row is %+v, want the first half on the move", name, row)
		}
		b := heartbeatOf("1", 3)
		b.Target.Condition, b.Released = fleet.Leaving, c.released
		l.heartbeat(now, b)
		l.plan(now + time.Second)
		if moved := l.rows()[0].Holder.ID == "2"; moved != c.counts {
			t.Errorf("%s: the row has moved: %t, want %t", name, moved, c.counts)
		}
	}
}
