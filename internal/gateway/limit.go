package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
)

const (
	// lessUrgentWait is the part of the wait for a limited target that requests take
	// whose route is among the least urgent ones of the service.
	lessUrgentWait = 0.5
	// minLimitProbe is the least time between two health checks of a limited target by
	// an entry VM without a share of its limit. Health checks are billed.
	minLimitProbe = 5 * time.Second
	// maxLimitProbe bounds that time for targets that take almost nothing.
	maxLimitProbe = time.Minute
	// maxLimitRetryAfter bounds the time after which callers return to a target of
	// which this VM has no share; another entry VM may serve them.
	maxLimitRetryAfter = 2 * time.Second
)

// updateLimit records what a response says about the limit of its target; the mutex
// is held.
func (g *Gateway) updateLimit(c choice, limit placement.Limit, entry *log.Entry) {
	if !c.state.throttle.Update(limit) {
		return
	}
	if !limit.Named {
		entry.Info("target limit ended")
		return
	}
	share := g.shareLimit(g.view.Load(), c.endpoint, c.state)
	entry.WithFields(log.Fields{"rate": limit.Rate, "interval": share.Interval.Round(time.Millisecond)}).Info("target limit named")
	if !c.state.followsLimit {
		c.state.followsLimit = true
		g.start(func(ctx context.Context) { g.followLimit(ctx, c) })
	}
}

// knownShare is a share of a limit and what it was computed from.
type knownShare struct {
	rate    float64
	entries *fleet.Entry
	share   placement.LimitShare
}

// shareLimit brings this VM's share of a target's limit up to date and returns it; the
// mutex is held.
func (g *Gateway) shareLimit(view *fleet.View, e *fleet.Endpoint, t *targetState) placement.LimitShare {
	entries := firstEntry(view)
	if known := t.limitShare; known == nil || known.rate != t.throttle.Rate() || known.entries != entries {
		share := placement.ShareLimit(t.throttle.Rate(), e.ID, g.cfg.Addr, g.limitSharers(view, e))
		t.limitShare = &knownShare{t.throttle.Rate(), entries, share}
	}
	t.throttle.Share(g.now(), t.limitShare.share)
	return t.limitShare.share
}

// limitSharers returns the entry VMs that share the limit of a target. This VM is one
// of them even before it is recorded.
func (g *Gateway) limitSharers(view *fleet.View, e *fleet.Endpoint) []placement.Entry {
	sharers := g.sharers(view, e)
	if slices.ContainsFunc(sharers, func(s placement.Entry) bool { return s.Addr == g.cfg.Addr }) {
		return sharers
	}
	return append(sharers, placement.Entry{Addr: g.cfg.Addr, Near: g.cfg.Region == g.cfg.Regions[e.DataCentre]})
}

// followLimit checks the health of a limited target from time to time while this VM
// has no share of its limit and therefore no other way to learn of its end.
func (g *Gateway) followLimit(ctx context.Context, c choice) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		c.state.followsLimit = false
	}()
	for clock.Sleep(ctx, g.limitProbeInterval(c)) {
		e, ok := g.view.Load().Endpoint(c.endpoint.ID)
		if !ok || e.StartMs != c.endpoint.StartMs || g.leaving(c) {
			return
		}
		g.mu.Lock()
		limited := c.state.throttle.Limited()
		share := g.shareLimit(g.view.Load(), c.endpoint, c.state)
		usable := c.state.Open(g.now()) && !c.state.recovering
		g.mu.Unlock()
		if !limited {
			return
		}
		if share.Interval == 0 && usable {
			g.checkHealth(ctx, c)
		}
	}
}

// limitProbeInterval returns the time between two health checks of a limited target:
// all entry VMs together make at most about as many as the target takes requests.
func (g *Gateway) limitProbeInterval(c choice) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	seconds := float64(len(g.view.Load().Entries())) / math.Max(c.state.throttle.Rate(), 1/maxLimitProbe.Seconds())
	return min(max(time.Duration(seconds*float64(time.Second)), minLimitProbe), maxLimitProbe)
}

// reservation is the time at which a request that waits for a limited target may be
// sent to it.
type reservation struct {
	target fleet.Incarnation
	at     time.Duration
}

// withinLimit reports whether the request may be sent to a target now, which the
// caller confirms with takeLimit. If only this target may run the request, and it
// would be served in time, the request reserves the next time that is free. The
// mutex is held.
func (a *activeRequest) withinLimit(view *fleet.View, e *fleet.Endpoint, t *targetState, now time.Duration) bool {
	if !t.throttle.Limited() {
		return true
	}
	if a.reserved.target == e.Incarnation {
		if a.reserved.at <= now {
			return true
		}
		a.usableAt = a.reserved.at
		return false
	}
	a.g.shareLimit(view, e, t)
	opens, ok := t.throttle.OpensAt(now)
	if !ok || opens <= now {
		return ok
	}
	if a.sharded && opens <= a.longestWait(view, now) {
		t.throttle.Take(now)
		a.reserved = reservation{e.Incarnation, opens}
		a.usableAt = opens
	}
	return false
}

// takeLimit counts a request to a target that withinLimit has allowed; the mutex is
// held.
func (a *activeRequest) takeLimit(c choice, now time.Duration) {
	if a.reserved.target == c.endpoint.Incarnation {
		a.reserved = reservation{}
		return
	}
	c.state.throttle.Take(now)
}

// longestWait returns the time until which the request may wait for a limited target:
// the response is still in time, and less urgent ones leave room for the others. The
// mutex is held.
func (a *activeRequest) longestWait(view *fleet.View, now time.Duration) time.Duration {
	wait := a.arrived + a.route.LatencyObjective - a.g.workOf(a.name, a.route) - now
	if !urgent(a.route, view, a.service) {
		wait = time.Duration(lessUrgentWait * float64(wait))
	}
	return now + wait
}

// urgent reports whether a route is more urgent than the least urgent one of its
// service.
func urgent(route *items.Route, view *fleet.View, service string) bool {
	return route.Priority < view.LeastUrgent(service)
}

// limitOpensAt returns when the next attempt of a caller may find a limited target
// open, here or at another entry VM; the mutex is held.
func (g *Gateway) limitOpensAt(view *fleet.View, e *fleet.Endpoint, t *targetState, now time.Duration) time.Duration {
	if !t.throttle.Limited() {
		return now
	}
	g.shareLimit(view, e, t)
	if opens, ok := t.throttle.OpensAt(now); ok {
		return opens
	}
	seconds := 1 / math.Max(t.throttle.Rate(), 1/maxLimitRetryAfter.Seconds())
	return now + max(retryAfterMin, time.Duration(seconds*float64(time.Second)))
}

// healthNamesLimit reports whether the responses of a target to health checks show its
// limit, as one of them did.
func (g *Gateway) healthNamesLimit(c choice, limit placement.Limit) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.state.healthNamesLimit = c.state.healthNamesLimit || limit.Named
	return c.state.healthNamesLimit
}
