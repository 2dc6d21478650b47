package gateway

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// hedgeAfter returns how long a request waits for its first target before it is
// also sent to a second one; forever if it may not be.
func (a *activeRequest) hedgeAfter(first choice) time.Duration {
	if a.sharded || a.verdict != admission.Sound || !a.route.Kind.Idempotent() || a.attempts >= a.route.MaxAttempts {
		return forever
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	now := a.g.now()
	if first.due {
		// The target is tried although a late response is expected.
		return placement.HedgeAfter(a.arrived+a.route.LatencyObjective-now, 0)
	}
	return placement.HedgeAfter(a.arrived+a.route.LatencyObjective-now, first.state.ExpectedLatency(now, first.endpoint.Slots, a.g.workOf(a.name, a.route)))
}

// hedge chooses a second target if one has a free slot and the retry budget
// allows it.
func (a *activeRequest) hedge() (choice, bool) {
	g := a.g
	g.mu.Lock()
	defer g.mu.Unlock()
	c, failure := a.pick(false)
	if failure != nil {
		return choice{}, false
	}
	if !c.state.HasFreeSlot(g.now(), c.endpoint.Slots) || !g.retryBudgets[a.service].spend() {
		c.state.Ended()
		return choice{}, false
	}
	return c, true
}
