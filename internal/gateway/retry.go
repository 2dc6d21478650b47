package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Limits of retries at the same target. A target that refused a request did not
// run it, so the target may get the request again, and this does not count as
// another target.
const (
	// maxSameTargetRetries bounds the retries of one request at targets that it
	// was sent to before.
	maxSameTargetRetries = 5
	// ownerChangeWait is how long a request waits for a state change after its
	// target did not hold the key: the new holder learns of the key with its
	// next heartbeat.
	ownerChangeWait = 120 * time.Millisecond
	// sameTargetBackoff is how long a request waits before it is sent again to
	// a target that refused it: about the time in which one of a few slots
	// becomes free. It doubles each time if no other target may run the
	// request.
	sameTargetBackoff = 60 * time.Millisecond
)

// mayRetrySameTarget reports whether the request may be sent again to the
// target of an attempt without a final answer: the target refused it, or it is
// the only one that may run the request and the request may run again.
func (a *activeRequest) mayRetrySameTarget(res attemptResult) bool {
	return res.info.NotRun || a.sharded && a.route.Kind.Idempotent()
}

// waitForSameTarget waits until a request can be sent again to a target that
// refused or lost it. It does not wait while there are other targets to try.
func (a *activeRequest) waitForSameTarget(ctx context.Context, res attemptResult) {
	a.sameTargetRetries++
	a.retryableAt = append(a.retryableAt, res.choice.endpoint.Incarnation)
	wait := sameTargetBackoff
	switch {
	case res.info.Misdirected && a.sharded:
		wait = ownerChangeWait
	case res.info.Misdirected:
		return // Another target has the address.
	case a.sharded:
		wait = sameTargetBackoff << (a.sameTargetRetries - 1)
	case len(a.tried) < a.route.MaxAttempts:
		return
	}
	a.tried = slices.DeleteFunc(a.tried, func(in fleet.Incarnation) bool { return slices.Contains(a.retryableAt, in) })
	a.attempts = len(a.tried) + a.lostRelays
	a.g.mu.Lock()
	changed := a.g.changed
	a.g.mu.Unlock()
	a.waitForChange(ctx, changed, wait)
}

// waitForChange waits until the wait is over, the state changes or the request
// must get its final answer. It reports whether there is time left.
func (a *activeRequest) waitForChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-a.g.stopping.serviceCtx.Done():
	case <-ctx.Done():
		return false
	}
	return true
}

// maxUnreachable bounds the attempts that undoUnreachable reverts for one
// request.
const maxUnreachable = 6

// undoUnreachable reverts the count of an attempt for which there was no
// connection: no byte was sent, so it counts neither as an attempt nor as a
// retry. The target is not chosen again until it passes a health check. It
// reports whether to continue with another target.
func (a *activeRequest) undoUnreachable(ctx context.Context, res attemptResult) bool {
	if res.failure == nil || res.failure.Kind != errkind.TargetUnreachable || a.unreachable >= maxUnreachable || ctx.Err() != nil {
		return false
	}
	a.unreachable++
	a.attempts--
	a.tried = slices.DeleteFunc(a.tried, func(in fleet.Incarnation) bool { return in == res.choice.endpoint.Incarnation })
	return true
}
