package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// NoKey is the key of a request that names none.
const NoKey = -1

// Request is one attempt of a caller.
type Request struct {
	ID                      string
	Method, URI, Path, Host string
	// Caller is where the request came from, without what differs between the
	// connections of a caller.
	Caller string
	// Name is the host in the form in which routes name it.
	Name string
	// Header holds what is passed on to the target.
	Header  http.Header
	Body    []byte
	HasBody bool
	// Wait is how long the caller waits; 0 when it did not say.
	Wait time.Duration
	// Key is the key of a sharded service, or NoKey.
	Key int
}

// Result is the final answer to a request: a target's response, which the caller
// of Serve closes, or an error.
type Result struct {
	Response *upstream.Response
	Err      *errkind.Error
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// attempt is the state of a request while it is served.
type attempt struct {
	g       *Gateway
	req     *Request
	route   *items.Route
	name    string
	service string
	// sharded says that only the holder of the key may run the request.
	sharded bool
	arrived time.Duration
	// fingerprint identifies the request among those that crash targets.
	fingerprint uint64
	// end is when the caller or the route's timeout gives up.
	end time.Duration
	// sends counts the targets to which the request went.
	sends int
	// refusals counts the sends after which the request may go back to the same
	// target, and refusedBy are these targets.
	refusals  int
	refusedBy []fleet.Incarnation
	// unreachable counts the targets to which there was no connection.
	unreachable int
	// mayHaveRun says that a send ended without it being known whether the
	// target ran the request.
	mayHaveRun bool
	tried      []fleet.Incarnation
	// usableAt is when the only target that may run the request can be chosen
	// again, or 0.
	usableAt time.Duration
	last     *upstream.Response
	target   string
}

// streamGrace is how far past the timeout of its route a response may still be
// passed on whose beginning came in time.
const streamGrace = 200 * time.Millisecond

// defaultWait applies to callers that name no deadline and routes without one.
const defaultWait = 30 * time.Second

// Patience returns how long the caller waits, by default 30 s.
func (r *Request) Patience() time.Duration {
	if r.Wait <= 0 {
		return defaultWait
	}
	return r.Wait
}

// Refuse answers, logs and counts a request that is refused before it is served.
func (g *Gateway) Refuse(req *Request, failure *errkind.Error) Result {
	return g.refuseAtOnce(req, failure)
}

// Limits returns what callers may send under the configuration in force.
func (g *Gateway) Limits() callers.Limits { return callers.LimitsOf(g.view.Load().Limits()) }

// Serve answers a request. ctx ends when the caller is gone.
func (g *Gateway) Serve(ctx context.Context, req *Request) Result {
	view := g.view.Load()
	now := g.now()
	if g.stopping.refusing.Load() {
		return g.refuseAtOnce(req, errStopping())
	}
	if !view.Configured() {
		return g.refuseAtOnce(req, errkind.New(errkind.NoLease, "no configuration is known yet"))
	}
	item, ok := view.Match(req.Name, req.Path)
	if !ok {
		if g.stale(now) {
			return g.refuseAtOnce(req, errkind.New(errkind.NoLease, "the route is not known and the configuration may be out of date"))
		}
		return g.refuseAtOnce(req, errkind.New(errkind.UnknownRoute, "no route for %s%s", req.Name, req.Path))
	}
	a := &attempt{g: g, req: req, route: item.Route, name: item.Name, arrived: now, fingerprint: req.fingerprint()}
	if g.crashers.Refused(now, a.fingerprint) {
		result := g.refuseAtOnce(req, errkind.New(errkind.KnownCrasher, "this request crashed several targets"))
		result.RetryAfter = req.Patience() // Coming back is in vain.
		return result
	}
	wait := req.Patience()
	a.end = now + min(wait, item.Route.Timeout)
	a.service = g.pickService(item)
	if service, ok := view.Service(a.service); ok && service.Sharded && req.Key != NoKey {
		a.sharded = true
		g.mu.Lock()
		g.sampleKey(a.service, req.Key)
		g.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(a.end-now, cancel)
	unlink := context.AfterFunc(g.stopping.service, cancel)
	release := func() {
		timer.Stop()
		unlink()
		cancel()
	}
	result := a.run(ctx)
	a.record(result, item.Version)
	if result.Response == nil || result.Response.Rest == nil {
		release()
		return result
	}
	result.Response.Rest.AfterClose(release)
	timer.Reset(min(now+wait, a.end+streamGrace) - g.now())
	return result
}

// pickService chooses the service of a request by the route's weights and lets
// the service earn a part of a repeat.
func (g *Gateway) pickService(item items.Item) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.splits[item.Name]
	if s == nil {
		s = new(split)
		g.splits[item.Name] = s
	}
	service := s.next(item.Route.Split)
	rule, entries := repeatRule{g.cfg.RetryRatio, g.cfg.RetrySlack}, len(g.view.Load().Entries())
	b := g.budgets[service]
	if b == nil {
		b = newBudget(rule, entries)
		g.budgets[service] = b
	}
	b.earn(rule, entries)
	return service
}

// outcome is the end of one send.
type outcome struct {
	choice choice
	// send is the index of the send among those of its race.
	send    int
	resp    *upstream.Response
	signals Signals
	failure *errkind.Error
}

// final reports whether the caller gets the response. An idempotent request
// that its target failed may go to another one; of one that may have run, no
// status may say that it did not.
func (a *attempt) final(o outcome) bool {
	if o.failure != nil || o.signals.NotRun {
		return false
	}
	if a.route.Kind.Idempotent() {
		return o.resp.Status < 500
	}
	return !errkind.PromisesNotRun(o.resp.Status)
}

// run sends the request until it has a final answer.
func (a *attempt) run(ctx context.Context) Result {
	for {
		c, failure := a.choose(ctx)
		if failure != nil {
			return a.giveUp(failure)
		}
		o := a.race(ctx, c)
		if a.final(o) {
			return Result{Response: o.resp}
		}
		failure = a.note(o)
		if a.unreached(ctx, o) {
			continue
		}
		if !a.mayRepeat(ctx, failure) {
			return a.giveUp(failure)
		}
		if a.mayReturn(o) {
			a.beforeReturn(ctx, o)
		}
	}
}

// note remembers a send without a final answer and returns why it failed.
func (a *attempt) note(o outcome) *errkind.Error {
	switch {
	case o.failure == nil && o.signals.NotRun:
		o.resp.Close()
		return errkind.New(errkind.TargetRefused, "target %s refused with status %d", o.choice.endpoint.ID, o.resp.Status)
	case o.failure == nil:
		a.mayHaveRun = true
		if o.resp.Rest == nil && a.route.Kind.Idempotent() {
			a.last = o.resp
		}
		o.resp.Close()
		return errkind.New(errkind.TargetLost, "target %s failed with status %d", o.choice.endpoint.ID, o.resp.Status)
	case o.failure.Outcome() != errkind.NotRun:
		a.mayHaveRun = true
	}
	return o.failure
}

// mayRepeat reports whether the request may go to another target: it did not
// run or may run more than once, and attempts, time and budget are left.
func (a *attempt) mayRepeat(ctx context.Context, failure *errkind.Error) bool {
	if ctx.Err() != nil || a.g.stopping.over() || a.refusals >= maxRefusals {
		return false
	}
	refused := failure.Kind == errkind.TargetRefused
	if a.sends >= a.route.MaxAttempts && !refused {
		return false
	}
	if failure.Outcome() != errkind.NotRun && !a.route.Kind.Idempotent() {
		return false
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	return a.g.budgets[a.service].spend()
}

// giveUp returns the final answer after a failure. A target's own failure is
// passed on; a refusal is answered only if the request never ran.
func (a *attempt) giveUp(failure *errkind.Error) Result {
	if a.last != nil {
		return Result{Response: a.last}
	}
	if a.mayHaveRun && failure.Outcome() == errkind.NotRun {
		failure = errkind.Wrap(errkind.TargetLost, failure, "an earlier send may have run")
	}
	if failure.Outcome() != errkind.NotRun {
		return Result{Err: failure}
	}
	return a.g.refuse(failure)
}

// Times after which refused callers come back.
const (
	// retryMin is about the time in which a target finishes a request.
	retryMin = 250 * time.Millisecond
	// retrySpread spreads callers that are refused at once.
	retrySpread = 350 * time.Millisecond
)

// refuse answers that the request did not run and when to come back.
func (g *Gateway) refuse(failure *errkind.Error) Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Result{Err: failure, RetryAfter: retryMin + time.Duration(g.rng.Int64N(int64(retrySpread)))}
}

// refuseAtOnce answers, logs and counts a request that is refused before its
// route is known. Callers come back where that helps.
func (g *Gateway) refuseAtOnce(req *Request, failure *errkind.Error) Result {
	g.metrics.requests.WithLabelValues("", string(failure.Kind)).Inc()
	result := Result{Err: failure}
	if errkind.AnswerFor(failure.Kind).RetrySafe {
		result = g.refuse(failure)
	}
	g.cfg.Logger.WithFields(log.Fields{
		"request": req.ID, "host": req.Name, "path": req.Path, "revision": g.view.Load().Revision(),
		"state_age": (g.now() - time.Duration(g.contact.Load())).Round(time.Millisecond), "outcome": failure.Kind,
		"reason": failure.Error(), "retry_after": result.RetryAfter.Round(time.Millisecond),
	}).Info("request refused at once")
	return result
}

// record logs and counts a finished request. Answered requests are counted only.
func (a *attempt) record(r Result, version uint64) {
	took := a.g.now() - a.arrived
	outcome := "answered"
	if r.Err != nil {
		outcome = string(r.Err.Kind)
	} else if r.Response.Status >= 500 {
		outcome = "target_failed"
	}
	a.g.metrics.requests.WithLabelValues(string(a.route.Kind), outcome).Inc()
	a.g.metrics.latency.WithLabelValues(string(a.route.Kind)).Observe(took.Seconds())
	if outcome == "answered" {
		return
	}
	entry := a.g.cfg.Logger.WithFields(log.Fields{
		"request": a.req.ID, "route": a.name, "version": version, "service": a.service, "kind": a.route.Kind,
		"sends": a.sends, "target": a.target, "took": took.Round(time.Millisecond), "left": (a.end - a.g.now()).Round(time.Millisecond),
		"state_age": (a.g.now() - time.Duration(a.g.contact.Load())).Round(time.Millisecond), "outcome": outcome, "key": a.req.Key,
	})
	if r.Err != nil {
		entry = entry.WithFields(log.Fields{"reason": r.Err.Error(), "retry_after": r.RetryAfter.Round(time.Millisecond)})
	}
	entry.Info("request failed")
}
