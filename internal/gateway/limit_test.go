package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// Bound on the requests to a target that named a limit.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// toldDelay is the time after the first such response from which requests count.
	toldDelay = 500 * time.Millisecond
)

// limitedTarget names a limit in all its responses while it has one.
type limitedTarget struct {
	*testTarget
	limit atomic.Value // string, "" for none

	mu       sync.Mutex
	toldAt   time.Time
	arrivals []time.Time
}

func newLimitedTarget(t *testing.T, limit string, answer http.HandlerFunc) *limitedTarget {
	l := &limitedTarget{}
	l.limit.Store(limit)
	l.testTarget = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		if l.toldAt.IsZero() {
			l.toldAt = time.Now()
		}
		l.mu.Unlock()
		if limit := l.limit.Load().(string); limit != "" {
			w.Header().Set("X-Limit", limit)
		}
		answer(w, r)
	})
	return l
}

// mostInWindow returns the most requests that arrived in any limitWindow, without
// those before the limit counts.
func (l *limitedTarget) mostInWindow() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, from := range l.arrivals {
		if from.Before(l.toldAt.Add(toldDelay)) {
			continue
		}
		n := 0
		for _, at := range l.arrivals[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// load sends requests of all kinds for a time and returns how many failed.
func (b *testbed) load(length, interval time.Duration, paths ...string) (sent, failed int64) {
	var all sync.WaitGroup
	var failures atomic.Int64
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		id := sent
		sent++
		all.Go(func() {
			if r := b.serve(paths[int(id)%len(paths)], fmt.Sprint("load-", id)); r.Err != nil {
				failures.Add(1)
			}
		})
	}
	all.Wait()
	return sent, failures.Load()
}

// Guards against a target that gets more requests than it says it takes while others
// could serve them, whatever its responses are.
func TestLimitedTargetGetsNoMoreThanItTakes(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{"success": signed, "refusal": refused, "failure": failed, "truncated": truncated} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const rate = 3.1
			l := newLimitedTarget(t, fmt.Sprint(rate), answer)
			b := newTestbed(t, l.testTarget, newTarget(t, signed), newTarget(t, signed))
			sent, failures := b.load(7*time.Second, 15*time.Millisecond, "/read/x", "/post/x", "/download/x")
			slots := limitWindow.Seconds() * rate
			if got, allowed := l.mostInWindow(), int(limitFactor*slots+limitSlack); got > allowed {
				t.Errorf("%d requests in %v, want %d at most", got, limitWindow, allowed)
			}
			if name == "success" && failures > 0 {
				t.Errorf("%d of %d requests failed although other targets are free", failures, sent)
			}
		})
	}
}

// Guards against a limit that outlasts the target's need.
func TestLimitEndsWithTheFirstResponseWithoutIt(t *testing.T) {
	l := newLimitedTarget(t, "2", signed)
	b := newTestbed(t, l.testTarget)
	b.load(2*time.Second, 20*time.Millisecond, "/post/x")
	l.limit.Store("")
	time.Sleep(time.Second)
	b.load(time.Second, 20*time.Millisecond, "/post/x")
	before := l.count()
	if _, failures := b.load(time.Second, 20*time.Millisecond, "/post/x"); failures > 0 || l.count() < before+30 {
		t.Errorf("%d requests arrived and %d failed after the limit ended", l.count()-before, failures)
	}
}

// Guards against callers that wait in vain for a holder that takes fewer requests than
// come for its keys, or that are told nothing.
func TestHolderWithALimitRefusesTheExcessAtOnce(t *testing.T) {
	l := newLimitedTarget(t, "4", signed)
	b := newTestbed(t)
	b.addHolder(strings.TrimPrefix(l.server.URL, "http://"))
	var all sync.WaitGroup
	var mu sync.Mutex
	var refusals timings
	served, refused := 0, 0
	for i := range 100 {
		all.Go(func() {
			began := time.Now()
			r := b.serveKey("/keyed-read/x", fmt.Sprint(i), 7)
			mu.Lock()
			defer mu.Unlock()
			if r.Err == nil {
				served++
				return
			}
			refused++
			refusals.add(time.Since(began))
			if r.Err.Kind != errkind.TargetPaused || r.RetryAfter <= 0 {
				t.Errorf("got %v with Retry-After %v", r.Err, r.RetryAfter)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	if got, allowed := l.mostInWindow(), int(limitFactor*4*limitWindow.Seconds()+limitSlack); got > allowed || served < 14 {
		t.Errorf("%d requests in %v, want %d at most; %d served, %d refused", got, limitWindow, allowed, served, refused)
	}
	refusals.checkAtOnce(t, time.Second)
}

// Guards against an entry VM without a share that never learns that the limit ended,
// because it sends nothing.
func TestHealthChecksShowTheEndOfALimit(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	// The health checks of the test targets return the address as the ID.
	b.replace(0, func(next *fleet.Target) { next.ID = next.Address })
	e := b.g.view.Load().Endpoints("s")[0]
	c := choice{endpoint: e, state: b.g.stateOf(e)}
	limit := ResponseInfo{}
	limit.Limit.Named, limit.Limit.Rate = true, 0
	b.g.updateAvailability(c, limit)
	b.g.checkHealth(t.Context(), c)
	if !c.state.throttle.Limited() {
		t.Error("a health check that never named the limit ended it")
	}
	c.state.healthNamesLimit = true
	b.g.checkHealth(t.Context(), c)
	if c.state.throttle.Limited() {
		t.Error("the limit stays although the target no longer names it")
	}
}

// Guards against a request that asks for its target without a pause until its deadline
// because the target is lost while the request waits for its turn.
func TestRequestWithATurnAtALostHolderIsRefused(t *testing.T) {
	b := newTestbed(t)
	b.addHolder("127.0.0.1:1")
	a := b.active("/keyed-read/x", "1")
	a.sharded, a.req.Key = true, 7
	holder, _ := b.g.view.Load().Endpoint("holder")
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	state := b.g.stateOf(holder)
	state.throttle.Update(placement.Limit{Named: true, Rate: 4})
	a.reserved = reservation{holder.Incarnation, b.g.now()}
	state.Block(forever)
	if _, failure := a.pick(true); failure == nil || a.usableAt != 0 {
		t.Errorf("got %v, to be tried again at %v", failure, a.usableAt)
	}
}
