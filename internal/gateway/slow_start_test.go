package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// newSlowStartTestbed returns a testbed with a clock of its own whose service names a
// cold start, or none if rate is 0. Each request to one of its targets takes 10 ms.
func newSlowStartTestbed(t *testing.T, rate float64, count int) (*testbed, []*testTarget, *memory.Handler) {
	t.Helper()
	var now atomic.Int64
	now.Store(int64(time.Minute))
	var targets []*testTarget
	for range count {
		targets = append(targets, newTarget(t, func(w http.ResponseWriter, r *http.Request) {
			now.Add(int64(10 * time.Millisecond))
			signed(w, r)
		}))
	}
	b := newTestbedAt(t, func() time.Duration { return time.Duration(now.Load()) }, targets...)
	b.g.cfg.SlowStart, b.g.slowStartEntries = true, 1
	logs := memory.New()
	b.g.cfg.Logger = &log.Logger{Handler: logs, Level: log.InfoLevel}
	b.put(fleet.Delta{
		Entries: []fleet.Entry{{Addr: b.g.cfg.Addr, Region: "r", DataCentre: "d"}},
		Items:   []items.Item{{Key: items.Key{Collection: items.Services, Name: "s"}, Version: 2, Service: &items.Service{HealthPath: "/health", ColdRate: rate}}},
	})
	return b, targets, logs
}

// perSecond sends 100 requests per second of virtual time and returns how many the
// target got in each second.
func (b *testbed) perSecond(target *testTarget, path string, seconds int) (counts []int) {
	for second := range seconds {
		before := target.count()
		for i := range 100 {
			if r := b.serve(path, fmt.Sprint(path, second, "-", i)); r.Err != nil {
				b.t.Fatal(r.Err)
			}
		}
		counts = append(counts, target.count()-before)
	}
	return counts
}

func countLogs(logs *memory.Handler, message string) (n int) {
	for _, e := range logs.Entries {
		if strings.Contains(e.Message, message) {
			n++
		}
	}
	return n
}

// Guards against full load on a target right after a health check, a target that stays
// below its share, and a limit where the service names no cold start.
func TestReleasedTargetStartsSlowly(t *testing.T) {
	for _, rate := range []float64{8, 0} {
		b, targets, logs := newSlowStartTestbed(t, rate, 2)
		a := targets[0]
		// The estimates of each target settle while the other one is blocked.
		for i := range 2 {
			b.g.mu.Lock()
			b.stateOf(i).Block(b.g.now() + 2*time.Second)
			b.g.mu.Unlock()
			b.perSecond(a, "/read/x", 2)
		}
		b.g.mu.Lock()
		e, _ := b.g.view.Load().Endpoint("t0")
		b.g.released(choice{endpoint: e, state: b.g.stateOf(e)}, b.g.now())
		counted := b.g.stateOf(e).slowStart.Origin(b.g.now())
		b.g.mu.Unlock()
		counts := b.perSecond(a, "/read/x", 4)
		t.Logf("cold rate %v: %v requests per second", rate, counts)
		if rate == 0 {
			if counted != "" {
				t.Errorf("origin %q without a named cold start", counted)
			}
			continue
		}
		if counted != placement.OriginReleased || b.g.countSlowStarts()["s"][placement.OriginReleased] > 1 {
			t.Errorf("origin %q", counted)
		}
		if counts[0] > 25 || counts[3] < 25 {
			t.Errorf("%v requests per second", counts)
		}
		if in, out := countLogs(logs, "target in slow start"), countLogs(logs, "target left slow start"); in != 1 || out != 1 {
			t.Errorf("%d lines for the begin and %d for the end of slow start", in, out)
		}
	}
}

// Guards against a target that joined cold and stays idle where all requests must run at
// most once, and against more requests than a cold target takes.
func TestColdTargetGetsUnsafeRequests(t *testing.T) {
	b, targets, _ := newSlowStartTestbed(t, 8, 2)
	a := targets[0]
	b.perSecond(a, "/post/x", 1)
	b.replace(0, func(e *fleet.Target) { e.StartMs, e.ColdFor = e.StartMs+1, 6*time.Second })
	counts := b.perSecond(a, "/post/x", 6)
	t.Logf("%v requests per second", counts)
	total := 0
	for second, count := range counts {
		total += count
		if count > 8 {
			t.Errorf("%d requests in second %d of the cold time", count, second)
		}
		if second == 3 && total == 0 {
			t.Error("no request within 4 s")
		}
	}
}

// Guards against refusals where all targets are in slow start.
func TestSlowStartYieldsWithoutAlternative(t *testing.T) {
	b, targets, _ := newSlowStartTestbed(t, 8, 1)
	a := targets[0]
	b.g.mu.Lock()
	e, _ := b.g.view.Load().Endpoint("t0")
	b.g.released(choice{endpoint: e, state: b.g.stateOf(e)}, b.g.now())
	b.g.mu.Unlock()
	if counts := b.perSecond(a, "/post/x", 1); counts[0] != 100 {
		t.Errorf("%d of 100 requests reached the only target", counts[0])
	}
}
