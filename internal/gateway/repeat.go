package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Limits of sends that targets refuse. A target that refused did not run the
// request, so it may get it again without being one more target.
const (
	// maxRefusals bounds the refused sends of one request.
	maxRefusals = 5
	// ownerPause is how long a request waits for news after its target did not
	// hold the key: the new holder learns of it with its next heartbeat.
	ownerPause = 120 * time.Millisecond
	// refusalPause is how long a request waits before it goes back to a target
	// that refused it: about the time in which one of a few slots becomes free.
	refusalPause = 60 * time.Millisecond
)

// afterRefusal waits until a request that a target refused can be sent again.
// There is no wait while other targets are left to try.
func (a *attempt) afterRefusal(ctx context.Context, o outcome) {
	a.refusals++
	a.refusedBy = append(a.refusedBy, o.choice.endpoint.Incarnation)
	wait := refusalPause
	switch {
	case o.signals.Misdirected && a.sharded:
		wait = ownerPause
	case o.signals.Misdirected:
		return // another target has the address
	case !a.sharded && len(a.tried) < a.route.MaxAttempts:
		return
	}
	a.tried = slices.DeleteFunc(a.tried, func(in fleet.Incarnation) bool { return slices.Contains(a.refusedBy, in) })
	a.sends = len(a.tried)
	a.g.mu.Lock()
	changed := a.g.changed
	a.g.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-a.g.stopping.service.Done():
	case <-ctx.Done():
	}
}

// maxUnreached bounds the targets that one request finds unreachable.
const maxUnreached = 6

// unreached takes back a send for which there was no connection: no byte left,
// so it is no attempt and no repeat. The target is not chosen again until it
// passes a health check. It reports whether to go on.
func (a *attempt) unreached(ctx context.Context, o outcome) bool {
	if o.failure == nil || o.failure.Kind != errkind.TargetUnreachable || a.unreachable >= maxUnreached || ctx.Err() != nil {
		return false
	}
	a.unreachable++
	a.sends--
	a.tried = slices.DeleteFunc(a.tried, func(in fleet.Incarnation) bool { return in == o.choice.endpoint.Incarnation })
	return true
}
