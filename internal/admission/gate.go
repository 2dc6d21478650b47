package admission

import (
	"context"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

var processStart = time.Now()

// Monotonic returns the time since the process started. It is the clock of gates
// made by NewGate.
func Monotonic() time.Duration { return time.Since(processStart) }

// Gate admits the requests of one target. It is safe for concurrent use.
type Gate struct {
	clock func() time.Duration

	mu   sync.Mutex
	core *core
}

// NewGate returns a gate that starts cold and uses Monotonic as its clock.
func NewGate(limits Limits) *Gate { return NewGateWithClock(limits, Monotonic) }

// NewGateWithClock returns a gate that starts cold and uses the given monotonic
// clock, on which the deadlines of its requests are given.
func NewGateWithClock(limits Limits, clock func() time.Duration) *Gate {
	return &Gate{clock: clock, core: newCore(limits)}
}

// Slot permits its holder to send one request. It must be released.
type Slot struct {
	gate   *Gate
	waiter *waiter
}

// Acquire waits for a slot. It returns at the latest when ctx ends or the deadline
// of req passes. The kind of the error is Overloaded or QueueTimeout.
func (g *Gate) Acquire(ctx context.Context, req Request) (*Slot, *errkind.Error) {
	w := &waiter{req: req, done: make(chan struct{})}
	g.mu.Lock()
	now := g.clock()
	w.req.Deadline = deadlineOf(ctx, req, now)
	if ctx.Err() != nil {
		w.req.Deadline = now
	}
	g.core.submit(now, w)
	g.mu.Unlock()
	g.wait(ctx, w, w.req.Deadline-now)
	if w.refusal != nil {
		return nil, w.refusal
	}
	return &Slot{gate: g, waiter: w}, nil
}

// deadlineOf returns the earlier of the deadlines of the request and the context.
func deadlineOf(ctx context.Context, req Request, now time.Duration) time.Duration {
	deadline := req.Deadline
	if deadline == 0 {
		deadline = noDeadline
	}
	if end, ok := ctx.Deadline(); ok {
		deadline = min(deadline, now+time.Until(end))
	}
	return deadline
}

func (g *Gate) wait(ctx context.Context, w *waiter, left time.Duration) {
	select {
	case <-w.done:
		return
	default:
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-w.done:
		return
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.cancel(g.clock(), w)
}

// Release returns the slot to the gate. Later calls do nothing.
func (s *Slot) Release(r Result) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.core.release(s.gate.clock(), s.waiter, r)
}

// SetLimits changes the limits; requests in flight are not affected.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.setLimits(g.clock(), l)
}

// Restart begins the cold-start ramp again. It is called for a new incarnation of
// the target or when the target announced itself as cold.
func (g *Gate) Restart(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.restart(now)
}

// InFlight returns the fingerprints of the requests in flight, to be passed to
// Crashes.RecordCrash when the connection to the target is lost.
func (g *Gate) InFlight() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	fingerprints := make([]uint64, 0, len(g.core.running))
	for w := range g.core.running {
		fingerprints = append(fingerprints, w.req.Fingerprint)
	}
	return fingerprints
}

// Snapshot returns the current state of the gate.
func (g *Gate) Snapshot() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.stats(g.clock())
}
