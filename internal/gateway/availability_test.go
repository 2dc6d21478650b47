package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// testLeaving reports whether a response or an interim response before it says that
// its target is leaving.
func testLeaving(r *upstream.Response) bool {
	return slices.ContainsFunc(append(r.Interim, r.Header), func(h http.Header) bool { return h.Get("X-Leaving") != "" })
}

// says returns a handler that sets a header and then answers as next does.
func says(header, value string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(header, value)
		next(w, r)
	}
}

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signed", "1")
	w.Header().Set("Content-Length", "100")
	_, _ = fmt.Fprint(w, "part")
}

func failed(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

func misdirected(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func interim(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Leaving", "1")
	w.WriteHeader(http.StatusEarlyHints)
	w.Header().Del("X-Leaving")
	signed(w, r)
}

// atOnce is longer than a refusal without a wait takes and shorter than any wait of
// the gateway.
const atOnce = 50 * time.Millisecond

// timings records how long refusals take.
type timings struct{ fastest, slowest time.Duration }

func (s *timings) add(took time.Duration) {
	if s.fastest == 0 || took < s.fastest {
		s.fastest = took
	}
	s.slowest = max(s.slowest, took)
}

// checkAtOnce fails the test if the refusals waited. A wait delays all of them, a
// busy machine only some, so the fastest must be at once, and each must come before
// half of the time that its request had.
func (s *timings) checkAtOnce(t *testing.T, timeout time.Duration) {
	t.Helper()
	if s.fastest > atOnce || s.slowest > timeout/2 {
		t.Errorf("the refusals took %v to %v, want at once", s.fastest, s.slowest)
	}
}

// stateOf returns the state of the target with the index.
func (b *testbed) stateOf(index int) *targetState {
	b.t.Helper()
	e, ok := b.g.view.Load().Endpoint(fmt.Sprint("t", index))
	if !ok {
		b.t.Fatalf("no target %d", index)
	}
	return b.g.stateOf(e)
}

// replace puts another version of a target into the view.
func (b *testbed) replace(index int, change func(*fleet.Target)) {
	b.t.Helper()
	e, ok := b.g.view.Load().Endpoint(fmt.Sprint("t", index))
	if !ok {
		b.t.Fatalf("no target %d", index)
	}
	target := e.Target
	change(&target)
	b.put(fleet.Delta{Targets: []fleet.Target{target}})
}

// Guards against requests to a target that has said that it is leaving, in
// whichever response, until control says so too.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"success": says("X-Leaving", "1", signed), "refusal": says("X-Leaving", "1", refused), "failure": says("X-Leaving", "1", failed),
		"truncated": says("X-Leaving", "1", truncated), "interim": interim,
		"misdirected": says("X-Leaving", "1", says("X-Target", "t0", misdirected)),
	} {
		t.Run(name, func(t *testing.T) {
			target := newTarget(t, answer)
			b := newTestbed(t, target)
			b.serve("/post/x", "first")
			before := target.count()
			if before == 0 {
				t.Fatal("the target got no request, so the test proves nothing")
			}
			time.Sleep(misdirectedBackoff + 10*time.Millisecond)
			b.replace(0, func(*fleet.Target) {}) // An older view has the target ready.
			wantKind(t, b.serve("/post/x", "second"), errkind.TargetUnreachable)
			if target.count() != before {
				t.Errorf("the target got %d requests after it said that it leaves", target.count()-before)
			}
			b.replace(0, func(next *fleet.Target) { next.StartMs++ })
			b.serve("/post/x", "third")
			if target.count() == before {
				t.Error("the next start of the target gets no requests")
			}
		})
	}
}

// Guards against blaming a target for what another process at its address, or a
// late response to another request, says.
func TestAnnouncementsOfOthersDoNotCount(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"another target": says("X-Leaving", "1", misdirected), "another request": says("X-Leaving", "1", says("X-Id", "other", signed)),
		"unsigned": says("X-Leaving", "1", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "page") }),
	} {
		target := newTarget(t, func(w http.ResponseWriter, r *http.Request) { answer(w, r) })
		b := newTestbed(t, target)
		b.serve("/post/x", "1")
		b.g.mu.Lock()
		if b.stateOf(0).Leaving() {
			t.Errorf("%s: the target counts as leaving", name)
		}
		b.g.mu.Unlock()
	}
}

// Guards against losing what a target says in a response that arrives after the
// request has been answered by another target.
func TestLateResponseOfAHedgeCounts(t *testing.T) {
	release := make(chan struct{})
	slow := newTarget(t, says("X-Leaving", "1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", "1")
		w.(http.Flusher).Flush() // The head arrives before the hedge, the body never.
		<-release
	}))
	t.Cleanup(func() { close(release) })
	b := newTestbed(t, slow, newTarget(t, signed))
	for i := 0; slow.count() == 0; i++ {
		if r := b.serve("/read/x", fmt.Sprint(i)); r.Err != nil {
			t.Fatalf("got %v, want the response of the fast target", r.Err)
		}
	}
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	if !b.stateOf(0).Leaving() {
		t.Error("the target does not count as leaving")
	}
}

// Guards against requests to a target in its pause, and against callers that wait
// or come back too early when all targets that may serve them are paused.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	const pause = 700 * time.Millisecond
	for name, answer := range map[string]http.HandlerFunc{"not run": refused, "may have run": failed} {
		t.Run(name, func(t *testing.T) {
			var calm atomic.Bool
			var pausedAt atomic.Int64
			target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
				if calm.Load() {
					signed(w, r)
					return
				}
				pausedAt.Store(time.Now().UnixNano())
				w.Header().Set("X-Pause", pause.String())
				answer(w, r)
			})
			var refusals timings
			b := newTestbed(t, target)
			first := b.serve("/post/x", "first")
			answered := time.Unix(0, pausedAt.Load())
			if name == "not run" && (first.Err == nil || first.Err.Kind != errkind.TargetPaused || time.Since(answered)+first.RetryAfter < pause) {
				t.Errorf("the caller that met the pause got %+v", first)
			}
			calm.Store(true)
			for i := 0; time.Since(answered) < pause-200*time.Millisecond; i++ {
				began := time.Now()
				r := b.serve("/post/x", fmt.Sprint("paused-", i))
				wantKind(t, r, errkind.TargetPaused)
				refusals.add(time.Since(began))
				if end := time.Now().Add(r.RetryAfter).Sub(answered); end < pause || end > pause+retryAfterSpread+retryAfterMin+50*time.Millisecond {
					t.Errorf("a caller was told to come back %v after the pause began, want soon after %v", end, pause)
				}
				time.Sleep(40 * time.Millisecond)
			}
			refusals.checkAtOnce(t, 400*time.Millisecond)
			if got := target.count(); got != 1 {
				t.Errorf("the target got %d requests, want the one before its pause", got)
			}
			time.Sleep(pause - time.Since(answered) + 20*time.Millisecond)
			if r := b.serve("/post/x", "after"); r.Err != nil {
				t.Errorf("got %v after the pause", r.Err)
			}
		})
	}
}

// Guards against a paused target that keeps callers from another one, also by a
// hedge or a retry that goes to the paused one.
func TestOtherTargetsServeDuringAPause(t *testing.T) {
	pausing := newTarget(t, says("X-Pause", "1h", refused))
	b := newTestbed(t, pausing, newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		signed(w, r)
	}))
	for i := 0; pausing.count() == 0; i++ {
		b.serve("/read/x", fmt.Sprint(i))
	}
	var callers sync.WaitGroup
	for i := range 12 {
		path := []string{"/post/x", "/read/x", "/download/x"}[i%3]
		callers.Go(func() {
			if r := b.serve(path, fmt.Sprint(path, i)); r.Err != nil && r.Err.Kind != errkind.Overloaded {
				t.Errorf("got %v, want the response of the other target", r.Err)
			}
		})
	}
	callers.Wait()
	if got := pausing.count(); got != 1 {
		t.Errorf("the paused target got %d requests, want one", got)
	}
}

// Guards against a request that is sent although its target asked for a pause while
// the connection was established.
func TestRequestIsWithdrawnAtTheLastMoment(t *testing.T) {
	target := newTarget(t, signed)
	b := newTestbed(t, target)
	e, _ := b.g.view.Load().Endpoint("t0")
	a := b.active("/post/x", "1")
	c, failure := a.choose(context.Background())
	if failure != nil {
		t.Fatal(failure)
	}
	b.g.updateAvailability(choice{endpoint: e, state: c.state}, ResponseInfo{Pause: time.Hour})
	if r := a.send(context.Background(), c); r.failure == nil || r.failure.Outcome() != errkind.NotRun {
		t.Errorf("got %+v, want a request that was not sent", r)
	}
	if target.count() != 0 || c.state.InFlight != 0 || c.state.Blocked(b.g.now()) {
		t.Errorf("%d requests arrived, %d in flight, target blocked %v", target.count(), c.state.InFlight, c.state.Blocked(b.g.now()))
	}
}

// active returns a request of the testbed that is being served.
func (b *testbed) active(path, id string) *activeRequest {
	item, ok := b.g.view.Load().Match("h", path)
	if !ok {
		b.t.Fatalf("no route for %s", path)
	}
	req := &Request{ID: id, Method: "GET", URI: path, Path: path, Host: "h", RouteHost: "h", Header: http.Header{"X-Id": {id}}, Key: NoKey}
	return &activeRequest{
		g: b.g, req: req, route: item.Route, name: item.Name, service: b.g.pickService(item), arrived: b.g.now(), deadline: b.g.now() + item.Route.Timeout,
	}
}

// Guards against a keyed request that fails although the next holder of its key
// could serve it in time, and against one that waits for a hand-over that cannot
// come in time.
func TestKeyOfALeavingHolderWaitsForTheNextHolder(t *testing.T) {
	old := newTarget(t, says("X-Leaving", "1", signed))
	next := newTarget(t, signed)
	b := newTestbed(t)
	b.addHolder(strings.TrimPrefix(old.server.URL, "http://"))
	if r := b.serveKey("/keyed-read/x", "1", 7); r.Err != nil {
		t.Fatal(r.Err)
	}
	holder := fleet.Incarnation{ID: "next", StartMs: 1}
	b.put(fleet.Delta{Targets: []fleet.Target{{
		Incarnation: holder, Service: "k", Address: strings.TrimPrefix(next.server.URL, "http://"), DataCentre: "d", Slots: 4,
	}}})
	results := make(chan Result, 1)
	go func() { results <- b.serveKey("/keyed-read/x", "2", 7) }()
	time.Sleep(200 * time.Millisecond)
	b.put(fleet.Delta{ShardMaps: []fleet.ShardMap{{Service: "k", Rows: []fleet.Row{{From: 0, To: 65535, Holder: holder, Fence: 2, Granted: true}}}}})
	if r := <-results; r.Err != nil {
		t.Errorf("got %v, want the response of the next holder", r.Err)
	}
	if old.count() != 1 || next.count() != 1 {
		t.Errorf("the old holder got %d requests and the next one %d, want 1 each", old.count(), next.count())
	}
}

// Guards against callers that wait until their deadline for a hand-over that is not
// expected in time.
func TestKeyOfALeavingHolderIsRefusedAtOnce(t *testing.T) {
	old := newTarget(t, says("X-Leaving", "1", signed))
	b := newTestbed(t)
	b.addHolder(strings.TrimPrefix(old.server.URL, "http://"))
	if r := b.serveKey("/keyed-read/x", "1", 7); r.Err != nil {
		t.Fatal(r.Err)
	}
	if r := b.serveKey("/keyed-read/x", "alone", 7); r.Err == nil || r.Err.Kind != errkind.TargetUnreachable {
		t.Errorf("got %+v, want a refusal while no other target could get the key", r)
	}
	b.put(fleet.Delta{Targets: []fleet.Target{{
		Incarnation: fleet.Incarnation{ID: "other", StartMs: 1}, Service: "k", Address: "127.0.0.1:9", DataCentre: "d", Slots: 4,
	}}})
	const callerTimeout = 500 * time.Millisecond
	var refusals timings
	for range 5 {
		began := time.Now()
		r := b.g.Serve(context.Background(), &Request{
			ID: "2", Method: "GET", URI: "/keyed-read/x", Path: "/keyed-read/x", Host: "h", RouteHost: "h", Header: http.Header{"X-Id": {"2"}}, Key: 7,
			CallerTimeout: callerTimeout,
		})
		refusals.add(time.Since(began))
		wantKind(t, r, errkind.TargetUnreachable)
		if r.RetryAfter == 0 {
			t.Error("the caller was not told when to come back")
		}
	}
	refusals.checkAtOnce(t, callerTimeout)
	// A longer wait ends when the response can no longer come in time.
	began := time.Now()
	if r := b.serveKey("/keyed-read/x", "3", 7); r.Err == nil || r.Err.Outcome() != errkind.NotRun || time.Since(began) > 1900*time.Millisecond {
		t.Errorf("got %+v after %v, want a refusal before the timeout", r, time.Since(began))
	}
	if old.count() != 1 {
		t.Errorf("the holder got %d requests after it said that it leaves", old.count()-1)
	}
}

// Guards against retries of a keyed request at its paused holder, and against
// callers that wait for it.
func TestPausedHolderRefusesAtOnce(t *testing.T) {
	var first, later timings
	for range 4 {
		holder := newTarget(t, says("X-Pause", "3s", refused))
		b := newTestbed(t)
		b.addHolder(strings.TrimPrefix(holder.server.URL, "http://"))
		for i, refusals := range []*timings{&first, &later, &later} {
			began := time.Now()
			r := b.serveKey("/keyed-read/x", fmt.Sprint(i), 7)
			refusals.add(time.Since(began))
			wantKind(t, r, errkind.TargetPaused)
			if r.RetryAfter < 2*time.Second {
				t.Errorf("a caller was told to come back after %v, want the end of the pause", r.RetryAfter)
			}
		}
		if got := holder.count(); got != 1 {
			t.Errorf("the holder got %d requests, want one", got)
		}
	}
	first.checkAtOnce(t, 2*time.Second)
	later.checkAtOnce(t, 2*time.Second)
}

// Guards against frequent health checks of a lost target during its pause, and
// against any of a target that is leaving.
func TestHealthChecksAreRareInAPause(t *testing.T) {
	for _, header := range []string{"Retry", "Leave"} {
		var checks atomic.Int64
		addr := startRawTarget(t, func(c net.Conn, id string) {
			if id != "" {
				_ = c.Close()
				return
			}
			checks.Add(1)
			extra := "X-Pause: 1h"
			if header == "Leave" {
				extra = "X-Leaving: 1"
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Target: raw\r\n%s\r\nContent-Length: 0\r\n\r\n", extra)
		})
		b := newTestbed(t)
		b.put(fleet.Delta{Targets: []fleet.Target{{
			Incarnation: fleet.Incarnation{ID: "raw", StartMs: 1}, Service: "s", Address: addr, DataCentre: "d", Slots: 4,
		}}})
		for i := range failuresBeforeCheck {
			b.serve("/post/x", fmt.Sprint(i))
		}
		time.Sleep(firstCheckDelay + 2*firstCheckDelay + 300*time.Millisecond)
		if got := checks.Load(); got != 1 {
			t.Errorf("%s: %d health checks, want the one whose response says it", header, got)
		}
	}
}

// Guards against targets that are kept from requests without a trace in the
// metrics.
func TestUnavailableTargetsAreCounted(t *testing.T) {
	b := newTestbed(t, newTarget(t, says("X-Leaving", "1", signed)), newTarget(t, says("X-Pause", "1h", refused)))
	for i := range 5 {
		b.serve("/post/x", fmt.Sprint(i))
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(availabilityCollector{b.g}, b.g.metrics.unavailable)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, family := range families {
		for _, m := range family.GetMetric() {
			name := family.GetName()
			for _, label := range m.GetLabel() {
				name += " " + label.GetValue()
			}
			got[name] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	want := map[string]float64{
		"flamingoreel_gateway_unavailable_targets leaving s": 1, "flamingoreel_gateway_unavailable_targets paused s": 1,
		"flamingoreel_gateway_unavailable_total paused s": 4,
	}
	for name, value := range want {
		if got[name] != value {
			t.Errorf("%s is %v, want %v", name, got[name], value)
		}
	}
}
