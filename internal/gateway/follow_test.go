package gateway

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// freeAddr returns a loopback address that was free when it was called.
func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startControl starts a control VM that gives the same answer to every watch.
func startControl(t *testing.T, answer watch.Answer) string {
	t.Helper()
	addr := freeAddr(t)
	startControlAt(t, addr, answer)
	return addr
}

func startControlAt(t *testing.T, addr string, answer watch.Answer) {
	t.Helper()
	serveWatches(t, addr, func(context.Context, string, []byte) ([]byte, error) {
		time.Sleep(10 * time.Millisecond)
		return watch.Encode(&answer)
	})
}

// serveWatches serves watches at an address until the test ends.
func serveWatches(t *testing.T, addr string, watched link.Handler) {
	t.Helper()
	node, err := link.Listen(watch.LinkConfig(addr, 1, &log.Logger{Handler: discard.New()}))
	if err != nil {
		t.Fatal(err)
	}
	node.Handle(watch.MethodWatch, watched)
	node.Serve()
	t.Cleanup(func() { _ = node.Close() })
}

// stateWith returns an answer of the given age with a service and its targets.
func stateWith(age time.Duration, revision uint64, targets ...string) watch.Answer {
	a := watch.Answer{Age: age, Delta: fleet.Delta{To: revision, Items: []items.Item{
		{Key: items.Key{Collection: items.Services, Name: "s"}, Version: 1, Service: &items.Service{}},
	}}}
	for _, id := range targets {
		a.Delta.Targets = append(a.Delta.Targets, fleet.Target{
			Incarnation: fleet.Incarnation{ID: id, StartMs: 1}, Service: "s", Address: "127.0.0.1:9", DataCentre: "d", Slots: 1,
		})
	}
	return a
}

// firstState returns the first view with which a new gateway is ready.
func firstState(t *testing.T, seeds ...string) *fleet.View {
	t.Helper()
	g, err := New(Config{
		Addr: freeAddr(t), Region: "r", DataCentre: "d", Seeds: seeds, Dialect: testDialect{}, Logger: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if g.Ready() {
			return g.view.Load()
		}
	}
	t.Fatal("the gateway is never ready")
	return nil
}

// Guards against a restarted gateway that uses a target which has left, because
// the first control VM that it queries is partitioned from the others or has
// just started.
func TestRestartedEntryLooksForACurrentState(t *testing.T) {
	for name, age := range map[string]time.Duration{"cut off": 20 * time.Second, "just started": watch.UnknownAge} {
		old := startControl(t, stateWith(age, 5, "stays", "left"))
		current := startControl(t, stateWith(0, 9, "stays"))
		view := firstState(t, old, current)
		if _, ok := view.Endpoint("left"); ok || view.Revision() != 9 {
			t.Errorf("%s: the view has revision %d, in which the target that has left is still present", name, view.Revision())
		}
	}
}

// Guards against a gateway that, after a loss of all VMs, serves no requests
// until a leader is elected.
func TestRestartedEntryUsesAnOutdatedStateIfThereIsNoOther(t *testing.T) {
	a, b := startControl(t, stateWith(watch.UnknownAge, 5, "stays")), startControl(t, stateWith(watch.UnknownAge, 5, "stays"))
	if view := firstState(t, a, b); view.Revision() != 5 {
		t.Errorf("the view has revision %d, want 5", view.Revision())
	}
}

// Guards against a gateway that returns to an earlier state: it queries several
// control VMs at the same revision, and one that lags may answer last.
func TestEarlierStateOfAnotherControlVMIsNotApplied(t *testing.T) {
	b := newTestbed(t)
	from := b.g.view.Load().Revision()
	service := func(to, version uint64) watch.Answer {
		return watch.Answer{Delta: fleet.Delta{From: from, To: to, Items: []items.Item{
			{Key: items.Key{Collection: items.Services, Name: "s"}, Version: version, Service: &items.Service{HealthPath: fmt.Sprint("/", version)}},
		}}}
	}
	b.g.applyAnswer(service(from+20, 3), b.g.now())
	b.g.applyAnswer(service(from+10, 2), b.g.now())
	if got, _ := b.g.view.Load().Service("s"); got.HealthPath != "/3" || b.g.view.Load().Revision() != from+20 {
		t.Errorf("the view returned to %q at revision %d", got.HealthPath, b.g.view.Load().Revision())
	}
}

// Guards against gateways that serve no requests for a second after a power
// failure because they queried control VMs that were still starting.
func TestEntryQueriesStartingControlVMsAgainSoon(t *testing.T) {
	seeds := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	g, err := New(Config{
		Addr: freeAddr(t), Region: "r", DataCentre: "d", Seeds: seeds, Dialect: testDialect{}, Logger: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	time.Sleep(30 * time.Millisecond)
	for _, addr := range seeds[:2] {
		startControlAt(t, addr, stateWith(watch.UnknownAge, 5, "stays"))
	}
	start := time.Now()
	for !g.Ready() && time.Since(start) < 5*time.Second {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(start); took > 2*staleGrace {
		t.Errorf("the gateway was ready %v after the start of two control VMs, want at most %v", took, 2*staleGrace)
	}
}

// Behaviours of a control VM that is partitioned from the leader; 0 is a
// control VM that is not.
const (
	// unresponsive receives watches and never answers.
	unresponsive = iota + 1
	// stale answers after the wait with a state of increasing age.
	stale
)

// fakeControl is a control VM that can be partitioned from the leader.
type fakeControl struct {
	addr           string
	mode           atomic.Int32
	disconnectedAt atomic.Int64
	// answer is the answer to watches while the control VM is connected.
	answer atomic.Pointer[watch.Answer]
}

func startFakeControl(t *testing.T, answer watch.Answer) *fakeControl {
	t.Helper()
	c := &fakeControl{addr: freeAddr(t)}
	c.answer.Store(&answer)
	serveWatches(t, c.addr, c.handleWatch)
	return c
}

func (c *fakeControl) handleWatch(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var req watch.Request
	if err := wire.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	answer := *c.answer.Load()
	if answer.Delta.To <= req.Revision {
		answer.Delta = fleet.Delta{From: req.Revision, To: req.Revision}
		time.Sleep(req.Wait)
	}
	switch c.mode.Load() {
	case unresponsive:
		<-ctx.Done()
		return nil, ctx.Err()
	case stale:
		answer.Age = time.Duration(time.Now().UnixNano() - c.disconnectedAt.Load())
	}
	return watch.Encode(&answer)
}

func (c *fakeControl) disconnect(mode int32) {
	c.disconnectedAt.Store(time.Now().UnixNano())
	c.mode.Store(mode)
}

// Guards against a change that takes effect too late while several control VMs
// are partitioned: if the gateway queried one after the other and waited for
// the timeout of each, the timeouts would add up.
func TestChangeTakesEffectWhileControlVMsArePartitioned(t *testing.T) {
	const maxDelay = 2 * time.Second
	for name, modes := range map[string][]int32{"silent": {unresponsive, unresponsive}, "stale": {stale, stale}, "both": {stale, unresponsive}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var all []*fakeControl
			for range 5 {
				all = append(all, startFakeControl(t, stateWith(0, 5, "stays")))
			}
			g, err := New(Config{
				Addr: freeAddr(t), Region: "r", DataCentre: "d", Dialect: testDialect{}, Logger: &log.Logger{Handler: discard.New()},
				Seeds: []string{all[0].addr, all[1].addr, all[2].addr, all[3].addr, all[4].addr},
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(g.Close)
			for !g.Ready() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond) // The next watch is in progress.
			changed := stateWith(0, 9, "stays")
			for i, c := range all {
				if i < len(modes) {
					c.disconnect(modes[i])
				} else {
					c.answer.Store(&changed)
				}
			}
			start := time.Now()
			for g.view.Load().Revision() != 9 && time.Since(start) < 2*maxDelay {
				time.Sleep(time.Millisecond)
			}
			took := time.Since(start)
			if took > maxDelay {
				t.Errorf("the change took effect after %v, want at most %v", took, maxDelay)
			}
			t.Logf("took effect after %v", took)
		})
	}
}
