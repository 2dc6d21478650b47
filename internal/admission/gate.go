package admission

import (
	"context"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

var processStart = time.Now()

// Monotonic is the time since the process started, the clock of NewGate.
func Monotonic() time.Duration { return time.Since(processStart) }

// Gate admits the requests of one target. It is safe for concurrent use.
type Gate struct {
	clock func() time.Duration

	mu   sync.Mutex
	core *core
}

// NewGate returns a gate that starts cold and reads Monotonic.
func NewGate(limits Limits) *Gate { return NewGateWithClock(limits, Monotonic) }

// NewGateWithClock returns a gate on another monotonic clock, on which the
// deadlines of its tickets are given.
func NewGateWithClock(limits Limits, clock func() time.Duration) *Gate {
	return &Gate{clock: clock, core: newCore(limits)}
}

// Slot is the right to send one request. It must be released.
type Slot struct {
	gate   *Gate
	waiter *waiter
}

// Acquire waits for a slot. It ends at the latest when ctx or the deadline of
// the ticket ends. The errors are Overloaded and QueueTimeout.
func (g *Gate) Acquire(ctx context.Context, t Ticket) (*Slot, *errkind.Error) {
	w := &waiter{ticket: t, done: make(chan struct{})}
	g.mu.Lock()
	now := g.clock()
	w.ticket.Deadline = deadlineOf(ctx, t, now)
	if ctx.Err() != nil {
		w.ticket.Deadline = now
	}
	g.core.submit(now, w)
	g.mu.Unlock()
	g.wait(ctx, w, w.ticket.Deadline-now)
	if w.refusal != nil {
		return nil, w.refusal
	}
	return &Slot{gate: g, waiter: w}, nil
}

// deadlineOf is the earlier of the deadlines of the ticket and the context.
func deadlineOf(ctx context.Context, t Ticket, now time.Duration) time.Duration {
	deadline := t.Deadline
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

// Release ends the use of the slot. Later calls do nothing.
func (s *Slot) Release(r Result) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.core.release(s.gate.clock(), s.waiter, r)
}

// SetLimits changes the limits; requests in flight are not touched.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.setLimits(g.clock(), l)
}

// Restart begins the cold-start ramp again, for a new incarnation of the
// target or one that announced itself as cold.
func (g *Gate) Restart(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.restart(now)
}

// InFlight returns the fingerprints in flight, for Crashes.Crash when the
// connection to the target dies.
func (g *Gate) InFlight() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	fingerprints := make([]uint64, 0, len(g.core.running))
	for w := range g.core.running {
		fingerprints = append(fingerprints, w.ticket.Fingerprint)
	}
	return fingerprints
}

// Snapshot returns the current reading.
func (g *Gate) Snapshot() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.stats(g.clock())
}
