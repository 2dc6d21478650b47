package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// NoKey is the Key of a request that names no key.
const NoKey = -1

// Request is one request of a caller.
type Request struct {
	ID                      string
	Method, URI, Path, Host string
	// Caller identifies where the request came from, without the parts that
	// differ between the connections of a caller.
	Caller string
	// RouteHost is the host in the form that routes use.
	RouteHost string
	// Header holds the headers that are forwarded to the target.
	Header  http.Header
	Body    []byte
	HasBody bool
	// CallerTimeout is how long the caller waits; 0 if it did not say.
	CallerTimeout time.Duration
	// Key is the key within a sharded service, or NoKey.
	Key int
	// Gone reports whether the caller has left, although its context has not ended yet;
	// nil if that can't be known.
	Gone func() bool
}

// Result is the final answer to a request: either a target's response, which
// the caller of Serve closes, or an error.
type Result struct {
	Response *upstream.Response
	Err      *errkind.Error
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// activeRequest is the state of a request while it is served.
type activeRequest struct {
	g       *Gateway
	req     *Request
	route   *items.Route
	name    string
	service string
	// sharded reports that only the holder of the key may run the request.
	sharded bool
	arrived time.Duration
	// fingerprints identify the request among those that crash targets, and verdict
	// is what was known of them when the request arrived.
	fingerprints []uint64
	verdict      admission.Verdict
	// deadline is when the caller's wait or the route's timeout ends.
	deadline time.Duration
	// attempts counts the attempts towards the route's MaxAttempts.
	attempts int
	// sameTargetRetries counts the attempts after which the request may go to
	// the same target again, and retryableAt lists these targets.
	sameTargetRetries int
	retryableAt       []fleet.Incarnation
	// unreachable counts the targets to which no connection could be made.
	unreachable int
	// mayHaveRun reports that an attempt ended and it is not known whether the
	// target ran the request.
	mayHaveRun bool
	tried      []fleet.Incarnation
	usedConns  upstream.UsedConns
	// usableAt is when the only target that may run the request leaves its
	// backoff, or 0.
	usableAt time.Duration
	// reserved is the time at which the request may be sent to a limited target.
	reserved reservation
	// unavailable says whether the last choice failed because of what targets said
	// about further requests, and returnsAt is when the first of them accepts
	// requests again, or 0.
	unavailable    unavailability
	returnsAt      time.Duration
	failedResponse *upstream.Response
	lastTarget     string
	// answered is the target whose response goes to the caller.
	answered fleet.Incarnation
	// abandon ends the context of the request; nil for a relayed request.
	abandon func()
	// transfer is that of the response over the link of this VM; nil if the link isn't
	// scheduled.
	transfer *transfer
	// relayed reports that the request comes from another entry VM, and peer is the
	// entry VM that relayed it for this one.
	relayed bool
	peer    string
	// lostRelays counts the attempts granted to peers of which it is not known
	// whether a target ran the request.
	lostRelays int
}

// streamGrace is how long after the timeout of its route a response may still
// be forwarded if its first bytes arrived in time.
const streamGrace = 200 * time.Millisecond

// defaultCallerTimeout applies to callers that name no deadline.
const defaultCallerTimeout = 30 * time.Second

// maxBodyTime bounds the time in which a body arrives, unless the route's timeout is longer.
const maxBodyTime = 30 * time.Second

// EffectiveTimeout returns how long the caller waits, by default 30 s.
func (r *Request) EffectiveTimeout() time.Duration {
	if r.CallerTimeout <= 0 {
		return defaultCallerTimeout
	}
	return r.CallerTimeout
}

// Refuse answers, logs and counts a request that is refused before it is
// served.
func (g *Gateway) Refuse(req *Request, failure *errkind.Error) Result {
	return g.refuseBeforeServing(req, failure)
}

// Limits returns what callers may send under the current configuration.
func (g *Gateway) Limits() callers.Limits { return callers.LimitsOf(g.view.Load().Limits()) }

// Serve answers a request. ctx ends when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, req *Request) Result {
	view := g.view.Load()
	now := g.now()
	if g.stopping.refusing.Load() {
		return g.refuseBeforeServing(req, errStopping())
	}
	if !view.Configured() {
		return g.refuseBeforeServing(req, errNotConfigured())
	}
	item, ok := view.Match(req.RouteHost, req.Path)
	if !ok {
		return g.refuseBeforeServing(req, g.unknownRoute(now, req))
	}
	a := &activeRequest{g: g, req: req, route: item.Route, name: item.Name, arrived: now, fingerprints: req.fingerprints()}
	if failure := a.judgeCrasher(now); failure != nil {
		result := g.refuseBeforeServing(req, failure)
		if failure.Kind == errkind.KnownCrasher {
			result.RetryAfter = req.EffectiveTimeout() // An earlier retry would be refused too.
		}
		return result
	}
	defer g.crashes.End(a.fingerprints)
	wait := req.EffectiveTimeout()
	a.deadline = now + min(wait, item.Route.Timeout)
	a.service = g.pickService(item)
	if service, ok := view.Service(a.service); ok && service.Sharded && req.Key != NoKey {
		a.sharded = true
		g.mu.Lock()
		g.sampleKey(a.service, req.Key)
		g.mu.Unlock()
	}
	if !g.admitOwn(now, a.service) {
		return g.refuseBeforeServing(req, errkind.New(errkind.Overloaded, "the link of this VM has no capacity left"))
	}
	if refused, ok := a.admitDownload(now); !ok {
		return refused
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(a.deadline-now, cancel)
	unlink := context.AfterFunc(g.stopping.serviceCtx, cancel)
	release := func() {
		timer.Stop()
		unlink()
		cancel()
	}
	a.abandon = cancel
	result := a.runOnLink(ctx)
	a.record(result, item.Version)
	if result.Response == nil || result.Response.Rest == nil {
		release()
		return result
	}
	result.Response.Rest.OnClose(release)
	timer.Reset(min(now+wait, a.deadline+streamGrace) - g.now())
	return result
}

func errNotConfigured() *errkind.Error {
	return errkind.New(errkind.NoLease, "no configuration is known yet")
}

// unknownRoute returns the error for a request without a route.
func (g *Gateway) unknownRoute(now time.Duration, req *Request) *errkind.Error {
	if g.stale(now) {
		return errkind.New(errkind.NoLease, "the route is not known and the configuration may be out of date")
	}
	return errkind.New(errkind.UnknownRoute, "no route for %s%s", req.RouteHost, req.Path)
}

// BodyTimeout returns how long the body of a request may take to arrive, or the error of a
// request that is refused whatever its body.
func (g *Gateway) BodyTimeout(req *Request) (time.Duration, *errkind.Error) {
	view := g.view.Load()
	if !view.Configured() {
		return 0, errNotConfigured()
	}
	item, ok := view.Match(req.RouteHost, req.Path)
	if !ok {
		return 0, g.unknownRoute(g.now(), req)
	}
	return min(req.EffectiveTimeout(), max(item.Route.Timeout, maxBodyTime)), nil
}

// pickService chooses the service of a request by the route's weights. It adds the
// request's share of a retry to the service's retry budget.
func (g *Gateway) pickService(item items.Item) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.splits[item.Name]
	if s == nil {
		s = new(split)
		g.splits[item.Name] = s
	}
	service := s.next(item.Route.Split)
	limit, entries := retryLimit{g.cfg.RetryRatio, g.cfg.RetrySlack}, len(g.view.Load().Entries())
	b := g.retryBudgets[service]
	if b == nil {
		b = newRetryBudget(limit, entries)
		g.retryBudgets[service] = b
	}
	b.earn(limit, entries)
	return service
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	choice choice
	// index is the position of the attempt among the hedged ones.
	index   int
	resp    *upstream.Response
	info    ResponseInfo
	failure *errkind.Error
	// took is the time from the send to the response. It ends with the head of a long
	// response that is paced: the rest depends on the link, not on the target.
	took time.Duration
	// undialed reports that the attempt was cancelled, or its time was over, before a
	// sound target would have accepted the connection.
	undialed bool
}

// wanted reports whether the caller still waits for the answer. It must be asked right
// before the request leaves this VM: a target works on what it has received although
// nobody waits any more.
func (a *activeRequest) wanted(ctx context.Context) bool {
	if ctx.Err() == nil && a.req.Gone != nil && a.req.Gone() {
		a.g.metrics.abandoned.Inc()
		a.abandon()
	}
	return ctx.Err() == nil
}

// isFinal reports whether the response goes to the caller. An idempotent
// request that failed at its target may go to another one. The status of a
// request that may have run must not promise that it did not run.
func (a *activeRequest) isFinal(res attemptResult) bool {
	if res.failure != nil || res.info.NotRun {
		return false
	}
	if a.route.Kind.Idempotent() {
		return res.resp.Status < 500
	}
	return !errkind.PromisesNotRun(res.resp.Status)
}

// run sends the request until there is a final answer.
func (a *activeRequest) run(ctx context.Context) Result {
	for {
		if a.viaPeer() {
			if result, ok := a.relay(ctx); ok {
				return result
			}
			if a.mustRelay() {
				return a.failureResult(errIsolated())
			}
		}
		c, failure := a.choose(ctx)
		if failure != nil && a.mustRelay() {
			continue
		}
		if failure != nil {
			return a.failureResult(failure)
		}
		res := a.sendHedged(ctx, c)
		if a.isFinal(res) {
			a.answered = res.choice.endpoint.Incarnation
			return Result{Response: res.resp}
		}
		failure = a.recordFailure(res)
		if paused := a.pausedBy(res); paused != nil {
			return a.failureResult(paused)
		}
		if a.undoUnreachable(ctx, res) {
			continue
		}
		if !a.mayRetry(ctx, failure) {
			return a.failureResult(failure)
		}
		if a.mayRetrySameTarget(res) {
			a.waitForSameTarget(ctx, res)
		}
	}
}

// recordFailure records an attempt without a final answer and returns why it
// failed.
func (a *activeRequest) recordFailure(res attemptResult) *errkind.Error {
	switch {
	case res.failure == nil && res.info.NotRun:
		res.resp.Close()
		return errkind.New(errkind.TargetRefused, "target %s refused with status %d", res.choice.endpoint.ID, res.resp.Status)
	case res.failure == nil:
		a.mayHaveRun = true
		if res.resp.Rest == nil && a.route.Kind.Idempotent() {
			a.failedResponse, a.answered = res.resp, res.choice.endpoint.Incarnation
		}
		res.resp.Close()
		return errkind.New(errkind.TargetLost, "target %s failed with status %d", res.choice.endpoint.ID, res.resp.Status)
	case res.failure.Outcome() != errkind.NotRun:
		a.mayHaveRun = true
	}
	return res.failure
}

// mayRetry reports whether the request may be sent again: it did not run or may
// run more than once, and attempts, time and retry budget are left.
func (a *activeRequest) mayRetry(ctx context.Context, failure *errkind.Error) bool {
	if ctx.Err() != nil || a.g.stopping.ended() || a.sameTargetRetries >= maxSameTargetRetries {
		return false
	}
	refused := failure.Kind == errkind.TargetRefused
	if a.attempts >= a.route.MaxAttempts && !refused {
		return false
	}
	if failure.Outcome() != errkind.NotRun && !a.route.Kind.Idempotent() || a.mayCrashAnother(failure) {
		return false
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	return a.g.retryBudgets[a.service].spend()
}

// failureResult returns the final answer after a failure. A failure response of
// the target is forwarded. A refusal is reported only if the request never ran.
func (a *activeRequest) failureResult(failure *errkind.Error) Result {
	if a.failedResponse != nil {
		return Result{Response: a.failedResponse}
	}
	if a.mayHaveRun && failure.Outcome() == errkind.NotRun {
		failure = errkind.Wrap(errkind.TargetLost, failure, "an earlier attempt may have run")
	}
	if failure.Outcome() != errkind.NotRun {
		return Result{Err: failure}
	}
	return a.refuse(failure)
}

// Retry-After times of refused requests.
const (
	// retryAfterMin is about the time in which a target finishes a request.
	retryAfterMin = 250 * time.Millisecond
	// retryAfterSpread spreads the retries of callers that are refused at the
	// same time.
	retryAfterSpread = 350 * time.Millisecond
)

// refuse returns an answer that says that the request did not run and when to
// retry.
func (g *Gateway) refuse(failure *errkind.Error) Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Result{Err: failure, RetryAfter: retryAfterMin + time.Duration(g.rng.Int64N(int64(retryAfterSpread)))}
}

// refuseBeforeServing answers, logs and counts a request that is refused before
// any attempt. Callers are told to retry if a retry can succeed.
func (g *Gateway) refuseBeforeServing(req *Request, failure *errkind.Error) Result {
	g.metrics.requests.WithLabelValues("", string(failure.Kind)).Inc()
	result := Result{Err: failure}
	if errkind.ResponseFor(failure.Kind).RetrySafe {
		result = g.refuse(failure)
	}
	g.cfg.Logger.WithFields(log.Fields{
		"request": req.ID, "host": req.RouteHost, "path": req.Path, "revision": g.view.Load().Revision(),
		"state_age": (g.now() - time.Duration(g.stateTime.Load())).Round(time.Millisecond), "outcome": failure.Kind,
		"reason": failure.Error(), "retry_after": result.RetryAfter.Round(time.Millisecond),
	}).Info("request refused before serving")
	return result
}

// record logs and counts a finished request. Successful requests are counted
// only.
func (a *activeRequest) record(r Result, version uint64) {
	took := a.g.now() - a.arrived
	outcome := "answered"
	if r.Err != nil {
		outcome = string(r.Err.Kind)
	} else if r.Response.Status >= 500 {
		outcome = "target_failed"
	}
	a.g.metrics.requests.WithLabelValues(string(a.route.Kind), outcome).Inc()
	a.countUnavailable(r)
	a.g.metrics.latency.WithLabelValues(string(a.route.Kind)).Observe(took.Seconds())
	if r.Response != nil {
		a.g.observeSize(a.service, int64(len(a.req.Body))+max(r.Response.Length, int64(len(r.Response.Body))))
	}
	if outcome == "answered" {
		return
	}
	entry := a.g.cfg.Logger.WithFields(log.Fields{
		"request": a.req.ID, "route": a.name, "version": version, "service": a.service, "kind": a.route.Kind,
		"sends": a.attempts, "target": a.lastTarget, "took": took.Round(time.Millisecond), "left": (a.deadline - a.g.now()).Round(time.Millisecond),
		"state_age": (a.g.now() - time.Duration(a.g.stateTime.Load())).Round(time.Millisecond), "outcome": outcome, "key": a.req.Key, "relayed_by": a.peer,
	})
	if r.Err != nil {
		entry = entry.WithFields(log.Fields{"reason": r.Err.Error(), "retry_after": r.RetryAfter.Round(time.Millisecond)})
	}
	entry.Info("request failed")
}
