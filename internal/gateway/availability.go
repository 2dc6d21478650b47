package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// unavailability says what targets said that keeps a request from being sent.
type unavailability string

// The unavailabilities are also the reasons in the metric.
const (
	available unavailability = ""
	leaving   unavailability = "leaving"
	paused    unavailability = "paused"
	limited   unavailability = "limited"
)

// handoverTime is the least time from the first response of a holder that is
// leaving until another target holds its keys: the holder releases them, and the
// next holder learns of them with its next heartbeat.
const handoverTime = 600 * time.Millisecond

// accept reports whether a response belongs to the request. What such a response
// says about further requests counts from its head on, even if its body breaks off
// or its caller has another response by then.
func (a *activeRequest) accept(c choice, r *upstream.Response) bool {
	info := a.g.cfg.Dialect.Read(r)
	if !a.authentic(info, r) {
		return false
	}
	// A misdirected request may have reached another target at the same address.
	if !info.Misdirected || info.Target == c.endpoint.ID {
		a.g.updateAvailability(c, info)
	}
	return true
}

// updateAvailability records what a response of the target says about further
// requests.
func (g *Gateway) updateAvailability(c choice, info ResponseInfo) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !info.Leaving && info.Pause <= 0 && !info.Limit.Named && !c.state.throttle.Limited() {
		return
	}
	entry := g.cfg.Logger.WithFields(log.Fields{"target": c.endpoint.ID, "born": c.endpoint.StartMs, "service": c.endpoint.Service})
	g.updateLimit(c, info.Limit, entry)
	if info.Leaving && c.state.Leave(now) {
		entry.Info("target is leaving")
	}
	if c.state.Pause(now, info.Pause) {
		entry.WithField("pause", (c.state.PausedUntil() - now).Round(time.Millisecond)).Info("target paused")
		g.start(func(ctx context.Context) { g.awaitPauseEnd(ctx, c, entry) })
	}
}

// awaitPauseEnd logs the end of a pause, which later responses may have extended.
func (g *Gateway) awaitPauseEnd(ctx context.Context, c choice, entry *log.Entry) {
	for {
		g.mu.Lock()
		left := c.state.PausedUntil() - g.now()
		g.mu.Unlock()
		if left <= 0 {
			entry.Info("target pause ended")
			return
		}
		if !clock.Sleep(ctx, left) {
			return
		}
	}
}

// open reports whether a chosen target still accepts the request. It is asked after
// a connection was established, because another response may have come meanwhile.
func (g *Gateway) open(c choice) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.state.Open(g.now())
}

// leaving reports whether a target is leaving.
func (g *Gateway) leaving(c choice) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.state.Leaving()
}

// checkDelay returns the delay before the next health check of a target. The target
// cannot be used before its pause ends.
func (g *Gateway) checkDelay(c choice, interval time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(interval, c.state.PausedUntil()-g.now())
}

// deferTo lets the request wait for a target whose pause has ended and which does
// not accept more requests at the moment; the mutex is held.
func (a *activeRequest) deferTo(t *targetState, now time.Duration) {
	at := t.OpensAt(now, t.InFlight)
	if t.Leaving() || t.Paused(now) || at >= a.deadline {
		return
	}
	if a.usableAt == 0 || at < a.usableAt {
		a.usableAt = at
	}
}

// pausedFailure returns the reason of the refusal if the next attempt of the caller
// would find only targets that are paused or take no more requests yet, and nil
// otherwise. That attempt may go to any target of the service, or to the holder of its
// key. The mutex is held.
func (a *activeRequest) pausedFailure(view *fleet.View) *errkind.Error {
	now := a.g.now()
	first, reason := forever, available
	for _, e := range a.nextTargets(view) {
		t := a.g.stateOf(e)
		first = min(first, max(t.OpensAt(now, t.InFlight), t.BlockedUntil(), a.g.limitOpensAt(view, e, t, now)))
		switch {
		case t.Paused(now):
			reason = paused
		case t.throttle.Limited() && reason == available:
			reason = limited
		}
	}
	if reason == available || first <= now {
		return nil
	}
	a.unavailable, a.returnsAt = reason, first
	return errkind.New(errkind.TargetPaused, "the targets of %s accept requests again in %v", a.service, (first - now).Round(time.Millisecond))
}

// nextTargets returns the targets to which the next attempt of the caller may be
// sent; the mutex is held.
func (a *activeRequest) nextTargets(view *fleet.View) []*fleet.Endpoint {
	next := activeRequest{g: a.g, route: a.route}
	var list []*fleet.Endpoint
	for _, e := range view.Endpoints(a.service) {
		if next.allowed(view, e) {
			list = append(list, e)
		}
	}
	if !a.sharded {
		return list
	}
	owner, ok := view.Owner(a.service, a.req.Key)
	return slices.DeleteFunc(list, func(e *fleet.Endpoint) bool { return !ok || e != owner })
}

// pausedBy returns the reason of the refusal if a target answered the request with
// a pause and no other target may run it.
func (a *activeRequest) pausedBy(res attemptResult) *errkind.Error {
	if res.info.Pause <= 0 {
		return nil
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	return a.pausedFailure(a.g.view.Load())
}

// handoverFailure returns why a request is not sent to the holder of its key, if
// the holder is leaving. The request waits for the next holder while it can still
// be served in time. The mutex is held.
func (a *activeRequest) handoverFailure(view *fleet.View, holder *fleet.Endpoint) *errkind.Error {
	t := a.g.stateOf(holder)
	if !t.Leaving() {
		return nil
	}
	a.unavailable = leaving
	now := a.g.now()
	latest := a.deadline - a.g.workOf(a.name, a.route)
	if max(now, t.LeavingSince()+handoverTime) >= latest || !a.hasSuccessor(view) {
		return errkind.New(errkind.TargetUnreachable, "the holder of key %d is leaving and no other target will hold the key in time", a.req.Key)
	}
	a.usableAt = latest
	return errkind.New(errkind.NoOwner, "the holder of key %d is leaving", a.req.Key)
}

// hasSuccessor reports whether another target may get the keys of a holder that is
// leaving; the mutex is held.
func (a *activeRequest) hasSuccessor(view *fleet.View) bool {
	next := activeRequest{g: a.g, route: a.route}
	return slices.ContainsFunc(view.Endpoints(a.service), func(e *fleet.Endpoint) bool { return next.allowed(view, e) })
}

// noteLeaving records that a request without a target has lost some because they
// are leaving; the mutex is held.
func (a *activeRequest) noteLeaving(endpoints []*fleet.Endpoint) {
	for _, e := range endpoints {
		if e.Condition == fleet.Ready && a.g.stateOf(e).Leaving() {
			a.unavailable = leaving
		}
	}
}

// refuse returns an answer that says that the request did not run. It names a time
// at which a target accepts requests again, if none does now.
func (a *activeRequest) refuse(failure *errkind.Error) Result {
	result := a.g.refuse(failure)
	if failure.Kind == errkind.TargetRefused && !a.sharded {
		result.RetryAfter = a.returnAfterRefusals(result.RetryAfter)
	}
	if wait := a.returnsAt - a.g.now(); wait > retryAfterMin {
		result.RetryAfter += wait - retryAfterMin
	}
	return result
}

// returnSoonFactor is the part of the usual time after which the caller of a request
// returns that targets refused although few requests wait there: another target may take
// the request at any time, and the response can then still be in time.
const returnSoonFactor = 0.2

// returnAfterRefusals returns when the caller of a request that targets refused returns,
// given the time for an overloaded service.
func (a *activeRequest) returnAfterRefusals(usual time.Duration) time.Duration {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	if a.g.pressure(a.service).Overloaded() {
		return usual
	}
	return time.Duration(returnSoonFactor * float64(usual))
}

// countUnavailable counts a request that was refused because of what targets said.
func (a *activeRequest) countUnavailable(r Result) {
	if r.Err != nil && a.unavailable != available && r.Err.Outcome() == errkind.NotRun {
		a.g.metrics.unavailable.WithLabelValues(a.service, string(a.unavailable)).Inc()
	}
}

// availabilityCollector counts the targets that are leaving or paused by service.
type availabilityCollector struct{ g *Gateway }

// unavailableTargets describes the metric of an availabilityCollector.
var unavailableTargets = prometheus.NewDesc(
	"flamingoreel_gateway_unavailable_targets", "Targets that said that they are leaving, asked for a pause or named a limit.", []string{"service", "reason"}, nil,
)

// Describe implements prometheus.Collector.
func (availabilityCollector) Describe(descs chan<- *prometheus.Desc) { descs <- unavailableTargets }

// Collect implements prometheus.Collector.
func (c availabilityCollector) Collect(metrics chan<- prometheus.Metric) {
	for service, counts := range c.g.countUnavailableTargets() {
		for reason, count := range counts {
			metrics <- prometheus.MustNewConstMetric(unavailableTargets, prometheus.GaugeValue, count, service, string(reason))
		}
	}
}

// countUnavailableTargets returns, for each service with targets, how many of them
// are leaving, paused and limited.
func (g *Gateway) countUnavailableTargets() map[string]map[unavailability]float64 {
	now := g.now()
	counts := make(map[string]map[unavailability]float64)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.view.Load().AllEndpoints() {
		if counts[e.Service] == nil {
			counts[e.Service] = map[unavailability]float64{leaving: 0, paused: 0, limited: 0}
		}
		switch t := g.targetStates[e.Incarnation]; {
		case t == nil:
		case t.Leaving():
			counts[e.Service][leaving]++
		case t.Paused(now):
			counts[e.Service][paused]++
		case t.throttle.Limited():
			counts[e.Service][limited]++
		}
	}
	return counts
}
