package standin

import (
	"context"
	"time"
)

// Freeze stops all progress for d, like a suspended process whose clock keeps
// running: requests that arrive wait, and running requests continue afterwards.
func (t *Target) Freeze(d time.Duration) {
	t.mu.Lock()
	t.frozenUntil = time.Now().Add(d)
	t.mu.Unlock()
}

// waitUnfrozen waits until the target is not frozen. It returns an error if ctx
// ends or the incarnation crashes first.
func (t *Target) waitUnfrozen(ctx context.Context, run *incarnation) error {
	for {
		t.mu.Lock()
		remaining := time.Until(t.frozenUntil)
		t.mu.Unlock()
		if remaining <= 0 {
			return nil
		}
		if err := sleep(ctx, run, remaining); err != nil {
			return err
		}
	}
}

// sleep waits for d, or until ctx ends or the incarnation crashes.
func sleep(ctx context.Context, run *incarnation, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-run.crashed:
		return errCrashed
	}
}

// SetServiceTimeFactor multiplies all service times by factor.
func (t *Target) SetServiceTimeFactor(factor float64) {
	t.mu.Lock()
	t.slowFactor = factor
	t.mu.Unlock()
}

// BecomeCold makes the target cold without a new incarnation. If silent is set,
// the announced state does not change: a warm target still reports warm.
func (t *Target) BecomeCold(silent bool) {
	t.mu.Lock()
	t.run.warmKeys = map[accountID]bool{}
	if !silent {
		t.run.cold = max(t.cfg.ColdRequests, 0)
	}
	t.recordLoad(t.run)
	t.mu.Unlock()
	t.triggerAnnouncement()
}

// Drain announces that the target is draining. New requests are accepted for
// another refuseAfter and refused from then on; running requests end normally.
func (t *Target) Drain(refuseAfter time.Duration) {
	t.mu.Lock()
	t.run.draining = true
	t.run.refuseAfter = time.Now().Add(refuseAfter)
	t.mu.Unlock()
	t.triggerAnnouncement()
}

// Shed makes the target refuse all new requests for d as if its queue were
// full.
func (t *Target) Shed(d time.Duration) {
	t.mu.Lock()
	t.shedUntil = time.Now().Add(d)
	t.mu.Unlock()
}

// FreezeLoadReport freezes the load report at its current value, or resumes it.
func (t *Target) FreezeLoadReport(stopped bool) {
	t.mu.Lock()
	if stopped && !t.loadStopped {
		t.stoppedLoad = t.reportedLoad(t.run)
	}
	t.loadStopped = stopped
	t.mu.Unlock()
}

// WaitIdle waits until no request runs or is queued, ctx ends or the
// incarnation crashes.
func (t *Target) WaitIdle(ctx context.Context) error {
	const pollInterval = 10 * time.Millisecond
	for {
		t.mu.Lock()
		busy := t.run.inFlight + t.run.queued
		t.mu.Unlock()
		if busy == 0 {
			return nil
		}
		if err := sleep(ctx, t.current(), pollInterval); err != nil {
			return err
		}
	}
}
