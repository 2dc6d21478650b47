package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// served returns how many of the requests get a response within the given virtual time.
func (b *testbed) served(now *atomic.Int64, path string, span time.Duration) (served, sent int) {
	for end := now.Load() + int64(span); now.Load() < end; now.Add(int64(100 * time.Millisecond)) {
		sent++
		if r := b.serve(path, fmt.Sprint(path, now.Load())); r.Err == nil && r.Response.Status == http.StatusOK {
			served++
		}
	}
	return served, sent
}

// Guards against refusals that never end: what a slow target reported makes the expected
// response time exceed the timeout, so that no request is sent whose response would show
// that the target has recovered (review/8).
func TestRecoveredTargetIsUsedAgain(t *testing.T) {
	for _, path := range []string{"/read/x", "/post/x"} {
		var now atomic.Int64
		now.Store(int64(time.Second))
		b := newTestbedAt(t, func() time.Duration { return time.Duration(now.Load()) }, newTarget(t, signed))
		b.served(&now, path, 2*time.Second)
		b.g.mu.Lock()
		e, _ := b.g.view.Load().Endpoint("t0")
		for range 50 {
			b.g.stateOf(e).AddReport(b.g.now(), placement.Load{Running: 4, Waiting: 16, Slots: 4, Slowdown: 24})
		}
		if got := b.g.stateOf(e).ExpectedLatency(b.g.now(), 4, 20*time.Millisecond); got < 400*time.Millisecond {
			t.Errorf("%s: the expected response time is %v, so the test proves nothing", path, got)
		}
		b.g.mu.Unlock()
		b.served(&now, path, 8*time.Second)
		if served, sent := b.served(&now, path, 5*time.Second); served < sent*9/10 {
			t.Errorf("%s: %d of %d requests served 8 s after the recovery", path, served, sent)
		}
	}
}

// Guards against refusals of a route whose latency objective is above its timeout and of
// which no response is known, as after each start of an entry (review/9).
func TestRouteWithALongLatencyObjectiveIsServed(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	b.put(fleet.Delta{Items: []items.Item{{Key: items.Key{Collection: items.Routes, Name: "read"}, Version: 2, Route: &items.Route{
		Host: "h", Prefix: "/read/", Kind: items.Safe, Timeout: 400 * time.Millisecond, LatencyObjective: 1600 * time.Millisecond,
		Split: []items.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2,
	}}}})
	for i := range 3 {
		if r := b.serve("/read/x", fmt.Sprint(i)); r.Err != nil {
			if r.Err.Kind != errkind.Overloaded {
				t.Fatalf("got %+v", r)
			}
			t.Errorf("request %d was refused: %v", i, r.Err)
		}
	}
}
