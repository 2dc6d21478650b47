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

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startControl starts a control VM that always gives one answer.
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

// serveWatches answers watches at an address until the test ends.
func serveWatches(t *testing.T, addr string, watched link.Handler) {
	t.Helper()
	node, err := link.Listen(watch.LinkConfig(addr, 1, &log.Logger{Handler: discard.New()}))
	if err != nil {
		t.Fatal(err)
	}
	node.Handle(watch.Method, watched)
	node.Serve()
	t.Cleanup(func() { _ = node.Close() })
}

// stateWith is an answer with a service, its targets and an age.
func stateWith(age time.Duration, revision uint64, targets ...string) watch.Answer {
	a := watch.Answer{Age: age, Delta: fleet.Delta{To: revision, Items: []items.Item{
		{Key: items.Key{Collection: items.Services, Name: "s"}, Version: 1, Service: &items.Service{}},
	}}}
	for _, id := range targets {
		a.Delta.Targets = append(a.Delta.Targets, fleet.Target{
			Incarnation: fleet.Incarnation{ID: id, Born: 1}, Service: "s", Address: "127.0.0.1:9", DataCentre: "d", Slots: 1,
		})
	}
	return a
}

// firstState returns the first state that a new entry serves by.
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
	t.Fatal("the entry never serves")
	return nil
}

// Guards against a target that has left and is in use again after a restart of an
// entry, because the first control VM that it asks is cut off from the others or
// has just started.
func TestRestartedEntryLooksForACurrentState(t *testing.T) {
	for name, age := range map[string]time.Duration{"cut off": 20 * time.Second, "just started": watch.Unknown} {
		old := startControl(t, stateWith(age, 5, "stays", "left"))
		current := startControl(t, stateWith(0, 9, "stays"))
		view := firstState(t, old, current)
		if _, ok := view.Endpoint("left"); ok || view.Revision() != 9 {
			t.Errorf("%s: the entry serves by revision %d, in which a target that has left is in use", name, view.Revision())
		}
	}
}

// Guards against an entry that serves nobody after a loss of all VMs until a
// leader is elected.
func TestRestartedEntryServesByAnOldStateWhenThereIsNoOther(t *testing.T) {
	a, b := startControl(t, stateWith(watch.Unknown, 5, "stays")), startControl(t, stateWith(watch.Unknown, 5, "stays"))
	if view := firstState(t, a, b); view.Revision() != 5 {
		t.Errorf("the entry serves by revision %d", view.Revision())
	}
}

// Guards against an entry that goes back to an earlier state: it asks several
// control VMs at the same revision, and the one that lags may answer last.
func TestEarlierStateOfAnotherControlVMIsNotTakenIn(t *testing.T) {
	b := newBench(t)
	from := b.g.view.Load().Revision()
	service := func(to, version uint64) watch.Answer {
		return watch.Answer{Delta: fleet.Delta{From: from, To: to, Items: []items.Item{
			{Key: items.Key{Collection: items.Services, Name: "s"}, Version: version, Service: &items.Service{HealthPath: fmt.Sprint("/", version)}},
		}}}
	}
	b.g.take(service(from+20, 3), b.g.now())
	b.g.take(service(from+10, 2), b.g.now())
	if got, _ := b.g.view.Load().Service("s"); got.HealthPath != "/3" || b.g.view.Load().Revision() != from+20 {
		t.Errorf("the entry went back to %q at revision %d", got.HealthPath, b.g.view.Load().Revision())
	}
}

// Guards against entries that serve nobody for a second after a loss of power
// because control VMs that start with them were asked a moment too early.
func TestEntryAsksStartingControlVMsAgainSoon(t *testing.T) {
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
		startControlAt(t, addr, stateWith(watch.Unknown, 5, "stays"))
	}
	begun := time.Now()
	for !g.Ready() && time.Since(begun) < 5*time.Second {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(begun); took > 2*staleGrace {
		t.Errorf("the entry serves %v after two control VMs have started, want %v", took, 2*staleGrace)
	}
}

// How a control VM that is cut off from the leader looks to an entry; 0 is one
// that is not.
const (
	// silent takes watches and never answers.
	silent = iota + 1
	// stale answers after the wait with a state that gets older.
	stale
)

// cuttable is a control VM that can be cut off.
type cuttable struct {
	addr string
	mode atomic.Int32
	cut  atomic.Int64
	// answer is what it answers while it is connected.
	answer atomic.Pointer[watch.Answer]
}

func startCuttable(t *testing.T, answer watch.Answer) *cuttable {
	t.Helper()
	c := &cuttable{addr: freeAddr(t)}
	c.answer.Store(&answer)
	serveWatches(t, c.addr, c.watched)
	return c
}

func (c *cuttable) watched(ctx context.Context, _ string, payload []byte) ([]byte, error) {
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
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case stale:
		answer.Age = time.Duration(time.Now().UnixNano() - c.cut.Load())
	}
	return watch.Encode(&answer)
}

func (c *cuttable) cutOff(mode int32) {
	c.cut.Store(time.Now().UnixNano())
	c.mode.Store(mode)
}

// Guards against a change that is in force too late where several control VMs
// are cut off: an entry that asks one after the other and gives each the time of
// a whole watch needs the sum of them.
func TestChangeIsInForceWhileControlVMsAreCutOff(t *testing.T) {
	const inForce = 2 * time.Second
	for name, modes := range map[string][]int32{"silent": {silent, silent}, "stale": {stale, stale}, "both": {stale, silent}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var all []*cuttable
			for range 5 {
				all = append(all, startCuttable(t, stateWith(0, 5, "stays")))
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
			time.Sleep(100 * time.Millisecond) // The next watch is under way.
			changed := stateWith(0, 9, "stays")
			for i, c := range all {
				if i < len(modes) {
					c.cutOff(modes[i])
				} else {
					c.answer.Store(&changed)
				}
			}
			begun := time.Now()
			for g.view.Load().Revision() != 9 && time.Since(begun) < 2*inForce {
				time.Sleep(time.Millisecond)
			}
			took := time.Since(begun)
			if took > inForce {
				t.Errorf("the change is in force after %v, want %v", took, inForce)
			}
			t.Logf("in force after %v", took)
		})
	}
}
