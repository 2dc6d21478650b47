package standin

import (
	"context"
	"time"
)

// Freeze stops all progress for d, like a suspended process whose clock runs
// on: requests that arrive wait, and running work goes on afterwards.
func (t *Target) Freeze(d time.Duration) {
	t.mu.Lock()
	t.frozenUntil = time.Now().Add(d)
	t.mu.Unlock()
}

// awake waits until the target is not frozen. It returns an error if ctx ends
// or the incarnation crashes first.
func (t *Target) awake(ctx context.Context, run *incarnation) error {
	for {
		t.mu.Lock()
		left := time.Until(t.frozenUntil)
		t.mu.Unlock()
		if left <= 0 {
			return nil
		}
		if err := sleep(ctx, run, left); err != nil {
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

// SetSlow multiplies all service times by factor.
func (t *Target) SetSlow(factor float64) {
	t.mu.Lock()
	t.slow = factor
	t.mu.Unlock()
}

// TurnCold makes the target cold without a new incarnation. If silent, it
// still calls itself warm.
func (t *Target) TurnCold(silent bool) {
	t.mu.Lock()
	t.run.warmKeys = map[accountID]bool{}
	if !silent {
		t.run.cold = max(t.cfg.ColdRequests, 0)
	}
	t.sample(t.run)
	t.mu.Unlock()
	t.announceSoon()
}

// Drain announces that the target leaves. New work is accepted for another
// refuseAfter and refused from then on; work that began ends normally.
func (t *Target) Drain(refuseAfter time.Duration) {
	t.mu.Lock()
	t.run.draining = true
	t.run.refuseAfter = time.Now().Add(refuseAfter)
	t.mu.Unlock()
	t.announceSoon()
}

// Shed makes the target refuse all new work for d as if its queue were full.
func (t *Target) Shed(d time.Duration) {
	t.mu.Lock()
	t.shedUntil = time.Now().Add(d)
	t.mu.Unlock()
}

// StopLoad freezes the load report at its present value, or lets it go on.
func (t *Target) StopLoad(stopped bool) {
	t.mu.Lock()
	if stopped && !t.loadStopped {
		t.stoppedLoad = t.reported(t.run)
	}
	t.loadStopped = stopped
	t.mu.Unlock()
}

// WaitIdle waits until no work runs or ctx ends.
func (t *Target) WaitIdle(ctx context.Context) error {
	const poll = 10 * time.Millisecond
	for {
		t.mu.Lock()
		busy := t.run.inFlight + t.run.queued
		t.mu.Unlock()
		if busy == 0 {
			return nil
		}
		if err := sleep(ctx, t.current(), poll); err != nil {
			return err
		}
	}
}
