package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/reach"
	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// relayBed is an isolated entry VM and its peers. The isolated one knows the targets
// under addresses that refuse connections.
type relayBed struct {
	*testbed
	peers []*testbed
}

// newRelayBed starts an entry VM in region r that reaches none of the targets, and
// one peer in each of the given regions.
func newRelayBed(t testing.TB, regions []string, targets ...*testTarget) *relayBed {
	t.Helper()
	entries := []fleet.Entry{{Addr: freeAddr(t), Region: "r", DataCentre: "d"}}
	for i, region := range regions {
		entries = append(entries, fleet.Entry{Addr: freeAddr(t), Region: region, DataCentre: fmt.Sprint("d", i)})
	}
	bed := &relayBed{testbed: newRelayEntry(t, entries, 0, targets)}
	for i := range regions {
		bed.peers = append(bed.peers, newRelayEntry(t, entries, i+1, targets))
	}
	bed.put(fleet.Delta{Targets: unreachable(bed.g.view.Load())})
	return bed
}

// newRelayEntry starts the entry VM with the given index in entries.
func newRelayEntry(t testing.TB, entries []fleet.Entry, index int, targets []*testTarget) *testbed {
	t.Helper()
	self := entries[index]
	g, err := New(Config{
		Addr: self.Addr, Region: self.Region, DataCentre: self.DataCentre, Regions: map[string]string{"d": "r", "far": "q"},
		Dialect: testDialect{}, ColdFactor: 1, RetryRatio: 0.2, RetrySlack: 14, Seed: 1, Logger: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	b := &testbed{t: t, g: g}
	route := func(name string, kind items.Kind, regions ...string) items.Item {
		return items.Item{Key: items.Key{Collection: items.Routes, Name: name}, Version: 1, Route: &items.Route{
			Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, LatencyObjective: time.Second,
			Split: []items.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2, AllowedRegions: regions,
		}}
	}
	var list []fleet.Target
	for i, f := range targets {
		dataCentre := "d"
		if i%2 == 1 {
			dataCentre = "far"
		}
		list = append(list, fleet.Target{
			Incarnation: fleet.Incarnation{ID: fmt.Sprint("t", i), StartMs: 1}, Service: "s",
			Address: strings.TrimPrefix(f.server.URL, "http://"), DataCentre: dataCentre, Slots: 4,
		})
	}
	b.put(fleet.Delta{Targets: list, Entries: entries, Items: []items.Item{
		{Key: items.Key{Collection: items.Services, Name: "s"}, Version: 1, Service: &items.Service{HealthPath: "/health"}},
		route("read", items.Safe), route("post", items.Unsafe), route("home", items.Unsafe, "q"),
	}})
	return b
}

// unreachable returns the targets of a view with addresses that refuse connections.
func unreachable(view *fleet.View) []fleet.Target {
	var list []fleet.Target
	for _, e := range view.AllEndpoints() {
		moved := e.Target
		moved.Address = "127.0.0.1:1"
		list = append(list, moved)
	}
	return list
}

// isolate sends reads until the entry VM has noticed that it reaches no target.
func (b *relayBed) isolate() {
	b.t.Helper()
	for i := 0; !b.g.isolated(); i++ {
		if i == 100 {
			b.t.Fatal("the entry VM does not notice that it reaches no target")
		}
		if r := b.serve("/read/x", fmt.Sprint("probe-", i)); r.Response != nil {
			r.Response.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against an entry VM that fails its callers while other entry VMs reach the
// targets, and against a relayed request that runs more than once or is changed.
func TestIsolatedEntryServesThroughPeers(t *testing.T) {
	var bodies []string
	targets := make([]*testTarget, 4)
	for i := range targets {
		targets[i] = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
			body := make([]byte, r.ContentLength)
			_, _ = r.Body.Read(body)
			targets[0].mu.Lock()
			bodies = append(bodies, r.Method+" "+r.RequestURI+" "+r.Host+" "+r.Header.Get("X-Other")+" "+string(body))
			targets[0].mu.Unlock()
			w.Header().Set("X-Signed", "1")
			w.WriteHeader(http.StatusCreated)
			_, _ = fmt.Fprint(w, strings.Repeat("answer ", 100_000))
		})
	}
	bed := newRelayBed(t, []string{"r", "q"}, targets...)
	bed.isolate()
	bodies = nil
	for i := range 10 {
		id := fmt.Sprint("post-", i)
		r := bed.g.Serve(context.Background(), &Request{
			ID: id, Method: "POST", URI: "/post/x?y=1", Path: "/post/x", Host: "H:80", RouteHost: "h", Key: NoKey,
			Header: http.Header{"X-Id": {id}, "X-Other": {"kept"}}, Body: []byte("dues"), HasBody: true,
		})
		if r.Err != nil || r.Response.Status != http.StatusCreated || len(r.Response.Body) != 700_000 || r.Response.Length != 700_000 {
			t.Fatalf("got %+v, want the target's response", r)
		}
		runs := 0
		for _, f := range targets {
			f.mu.Lock()
			runs += len(slices.DeleteFunc(slices.Clone(f.ids), func(ran string) bool { return ran != id }))
			f.mu.Unlock()
		}
		if runs != 1 {
			t.Errorf("request %s ran %d times", id, runs)
		}
	}
	for _, body := range bodies {
		if body != "POST /post/x?y=1 H:80 kept dues" {
			t.Errorf("a target got %q", body)
		}
	}
	if !bed.g.Accepting() {
		t.Error("the entry VM is not ready although peers relay its requests")
	}
}

// Guards against requests that circle between isolated entry VMs, and against a
// refusal that comes late or promises nothing.
func TestIsolatedPeersAreNotAskedInCircles(t *testing.T) {
	bed := newRelayBed(t, []string{"r", "q"}, newTarget(t, signed), newTarget(t, signed))
	for _, peer := range bed.peers {
		peer.g.mu.Lock()
		peer.g.path.Lost(peer.g.now(), "x")
		peer.g.path.BeginCheck(peer.g.now())
		peer.g.path.Checked(peer.g.now(), reach.Result{Tried: 1, Refused: 1})
		peer.g.mu.Unlock()
	}
	bed.isolate()
	began := time.Now()
	r := bed.serve("/post/x", "1")
	wantKind(t, r, errkind.TargetUnreachable)
	if r.RetryAfter <= 0 || time.Since(began) > 500*time.Millisecond {
		t.Errorf("refused after %v with Retry-After %v", time.Since(began), r.RetryAfter)
	}
	for i := range 4 {
		bed.serve("/post/x", fmt.Sprint("again-", i))
	}
	if bed.g.Accepting() {
		t.Error("the entry VM is ready although it cannot serve")
	}
}

// Guards against a request that may have run at a peer's target and is reported as
// not run, or sent to another peer.
func TestLostLinkLeavesThePostUnknown(t *testing.T) {
	started := make(chan struct{}, 4)
	slow := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	})
	bed := newRelayBed(t, []string{"r"}, slow)
	bed.isolateNow()
	results := make(chan Result, 1)
	go func() { results <- bed.serve("/post/x", "1") }()
	<-started
	bed.peers[0].g.Close()
	r := <-results
	if r.Err == nil || r.Err.Outcome() != errkind.Unknown {
		t.Errorf("got %+v, want an unknown outcome", r)
	}
	if slow.count() != 1 {
		t.Errorf("the post ran %d times", slow.count())
	}
}

// isolateNow makes the entry VM isolated without sending requests.
func (b *relayBed) isolateNow() {
	b.t.Helper()
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	now := b.g.now()
	b.g.path.Lost(now, "127.0.0.1:1")
	if !b.g.path.BeginCheck(now) || !b.g.path.Checked(now, reach.Result{Tried: 1, Refused: 1}) {
		b.t.Fatal("not isolated")
	}
	b.g.start(b.g.followPath)
}

// Guards against a relayed request that leaves the regions of its route.
func TestRelayKeepsToAllowedRegions(t *testing.T) {
	targets := []*testTarget{newTarget(t, signed), newTarget(t, signed)}
	bed := newRelayBed(t, []string{"r"}, targets...)
	bed.isolateNow()
	wantKind(t, bed.serve("/home/x", "1"), errkind.TargetUnreachable)
	if targets[0].count()+targets[1].count() != 0 {
		t.Error("the request reached a target through a peer outside the allowed regions")
	}
	bed = newRelayBed(t, []string{"r", "q"}, targets...)
	bed.isolateNow()
	if r := bed.serve("/home/x", "2"); r.Err != nil || targets[0].count() != 0 || targets[1].count() != 1 {
		t.Errorf("got %+v, want the response of the target in the allowed region", r)
	}
}

// Guards against a target that goes on working for a caller that has left.
func TestDepartedCallerEndsRelayedWork(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	slow := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	bed := newRelayBed(t, []string{"r"}, slow)
	bed.isolateNow()
	ctx, cancel := context.WithCancel(context.Background())
	go bed.g.Serve(ctx, &Request{ID: "1", Method: "GET", URI: "/post/x", Path: "/post/x", Host: "h", RouteHost: "h", Header: http.Header{"X-Id": {"1"}}, Key: NoKey})
	<-started
	cancel()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the target still works 500 ms after the caller left")
	}
}

// Guards against a stopping peer that takes requests which it cannot finish, or
// abandons one that it took.
func TestStoppingPeerFinishesWhatItTook(t *testing.T) {
	started, finish := make(chan struct{}, 4), make(chan struct{})
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-finish
		signed(w, r)
	})
	bed := newRelayBed(t, []string{"r"}, target)
	bed.isolateNow()
	results := make(chan Result, 1)
	go func() { results <- bed.serve("/post/x", "1") }()
	<-started
	peer := bed.peers[0].g
	peer.DeclineRelayed()
	if peer.RelayIdleFor() != 0 {
		t.Error("the peer counts as idle while it serves a relayed request")
	}
	wantKind(t, bed.serve("/post/x", "2"), errkind.TargetUnreachable)
	close(finish)
	if r := <-results; r.Err != nil {
		t.Errorf("got %v for the request that the peer took", r.Err)
	}
	if target.count() != 1 {
		t.Errorf("the target got %d requests, want 1", target.count())
	}
}

// Guards against a failure because a peer of an earlier version cannot relay.
func TestPeerOfAnEarlierVersionIsPassedOver(t *testing.T) {
	target := newTarget(t, signed)
	bed := newRelayBed(t, []string{"r"}, target)
	addr := freeAddr(t)
	earlier, err := link.Listen(watch.LinkConfig(addr, 1, &log.Logger{Handler: discard.New()}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = earlier.Close() })
	earlier.Serve()
	bed.put(fleet.Delta{Entries: []fleet.Entry{{Addr: addr, Region: "r", DataCentre: "d"}}})
	bed.isolateNow()
	for i := range 5 {
		if r := bed.serve("/post/x", fmt.Sprint(i)); r.Err != nil {
			t.Fatalf("got %v although a peer can relay", r.Err)
		}
	}
}

// Guards against a request that is taken for one that crashes targets because its
// entry VM was cut off from them.
func TestIsolationIsNotTakenForCrashes(t *testing.T) {
	bed := newRelayBed(t, nil, newTarget(t, signed), newTarget(t, signed), newTarget(t, signed))
	lostAt := bed.g.now()
	for _, e := range bed.g.view.Load().AllEndpoints() {
		bed.g.mu.Lock()
		c := choice{endpoint: e, state: bed.g.stateOf(e)}
		bed.g.mu.Unlock()
		bed.g.crashes.Lost(lostAt, processOf(e.Incarnation), []uint64{7})
		for range 3 {
			if outcome := bed.g.probeCrash(context.Background(), c, lostAt); outcome != crashPathInDoubt {
				t.Errorf("a check of %s says %s", e.ID, outcome)
			}
		}
	}
	if bed.g.crashes.Refused(bed.g.now(), 7) || len(bed.g.crashes.Drain()) != 0 {
		t.Error("a cut-off entry VM reports a request as one that crashes targets")
	}
	for _, e := range bed.g.view.Load().AllEndpoints() {
		bed.g.crashes.Alive(processOf(e.Incarnation), bed.g.now())
	}
	if verdict := bed.g.crashes.Judge(bed.g.now(), []uint64{7}); verdict != admission.Sound {
		t.Errorf("the request is %v although the targets live on", verdict)
	}
}

// Guards against an entry VM that stays on relayed requests after its path works
// again, and against links to peers that stay open for good.
func TestEntryReturnsToItsOwnPath(t *testing.T) {
	targets := []*testTarget{newTarget(t, signed), newTarget(t, signed), newTarget(t, signed)}
	bed := newRelayBed(t, []string{"r"}, targets...)
	reachable := bed.peers[0].g.view.Load()
	bed.isolate()
	var list []fleet.Target
	for _, e := range reachable.AllEndpoints() {
		list = append(list, e.Target)
	}
	bed.put(fleet.Delta{Targets: list})
	for end := time.Now().Add(6 * time.Second); bed.g.pathState() != reach.Direct; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state %v although targets are reachable", bed.g.pathState())
		}
		if r := bed.serve("/read/x", fmt.Sprint(time.Now().UnixNano())); r.Err != nil {
			t.Errorf("got %v while the path returns", r.Err)
		}
	}
	bed.g.closeIdleLinks(bed.g.now() + time.Hour)
	bed.g.mu.Lock()
	defer bed.g.mu.Unlock()
	if bed.g.relayPeers.Known() != 0 {
		t.Error("links to unused peers stay open")
	}
}

// Guards against a request that a stopping, isolated entry VM relays although it would
// outlast the stop.
func TestStoppingEntryRelaysNothingThatOutlastsIt(t *testing.T) {
	target := newTarget(t, signed)
	bed := newRelayBed(t, []string{"r"}, target)
	bed.isolateNow()
	bed.g.FinishWithin(100 * time.Millisecond)
	r := bed.serve("/post/x", "1")
	wantKind(t, r, errkind.Stopping)
	if r.RetryAfter <= 0 || target.count() != 0 {
		t.Errorf("the target got %d requests; Retry-After %v", target.count(), r.RetryAfter)
	}
}

// Guards against an entry VM that does not find out that it reaches no target because a
// check succeeded just before its path broke and every target is blocked since, so that
// no attempt shows anything.
func TestIsolationIsFoundWhileAllTargetsAreBlocked(t *testing.T) {
	bed := newRelayBed(t, []string{"r"}, newTarget(t, signed), newTarget(t, signed))
	g := bed.g
	g.mu.Lock()
	now := g.now()
	g.path.Lost(now, "x")
	g.path.Lost(now, "y")
	if !g.path.BeginCheck(now) {
		t.Fatal("no check begins")
	}
	g.path.Checked(now, reach.Result{Tried: 6, Reached: 6})
	g.mu.Unlock()
	// The users allow 3 s.
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r := bed.serve("/read/x", fmt.Sprint("read-", time.Now().UnixNano())); r.Response != nil {
			r.Response.Close()
		}
	}
	if !g.isolated() {
		t.Error("the entry VM does not notice that it reaches no target")
	}
}

// Guards against requests to a leaving target from an entry VM that passed on the
// target's announcement with a relayed response.
func TestRelayedAnnouncementOfALeaveCounts(t *testing.T) {
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Leaving", "1")
		signed(w, r)
	})
	bed := newRelayBed(t, []string{"r"}, target)
	bed.isolateNow()
	if r := bed.serve("/post/x", "1"); r.Err != nil || r.Response.Header.Get("X-Leaving") == "" {
		t.Fatalf("got %+v, want the response of the leaving target", r)
	}
	e, _ := bed.g.view.Load().Endpoint("t0")
	bed.g.mu.Lock()
	defer bed.g.mu.Unlock()
	if !bed.g.stateOf(e).Leaving() {
		t.Error("the entry VM does not know that the target is leaving")
	}
}
