package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// NoKey is the key of a request that names none.
const NoKey = -1

// Request is one attempt of a caller.
type Request struct {
	ID                      string
	Method, URI, Path, Host string
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

// Result is the final answer to a request: a target's response or an error.
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
	// end is when the caller or the route's timeout gives up.
	end time.Duration
	// sends counts the targets to which the request went.
	sends int
	// refusals counts the sends that a target refused without running them, and
	// refusedBy are these targets. They may get the request again.
	refusals  int
	refusedBy []fleet.Incarnation
	// unreachable counts the targets to which there was no connection.
	unreachable int
	// mayHaveRun says that a send ended without it being known whether the
	// target ran the request.
	mayHaveRun bool
	tried      []fleet.Incarnation
	last       *upstream.Response
	target     string
}

// defaultWait applies to callers that name no deadline and routes without one.
const defaultWait = 30 * time.Second

// Serve answers a request. ctx ends when the caller is gone.
func (g *Gateway) Serve(ctx context.Context, req *Request) Result {
	view := g.view.Load()
	now := g.now()
	if !view.Configured() {
		return g.refuse(now, errkind.New(errkind.NoLease, "no configuration is known yet"))
	}
	item, ok := view.Match(req.Name, req.Path)
	if !ok {
		if g.stale(now) {
			return g.refuse(now, errkind.New(errkind.NoLease, "the route is not known and the configuration may be out of date"))
		}
		return Result{Err: errkind.New(errkind.UnknownRoute, "no route for %s%s", req.Name, req.Path)}
	}
	a := &attempt{g: g, req: req, route: item.Route, name: item.Name, arrived: now}
	wait := req.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	a.end = now + min(wait, item.Route.Timeout)
	a.service = g.pickService(item)
	if service, ok := view.Service(a.service); ok && service.Sharded && req.Key != NoKey {
		a.sharded = true
		g.mu.Lock()
		g.sampleKey(a.service, req.Key)
		g.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(ctx, a.end-now)
	defer cancel()
	result := a.run(ctx)
	a.record(result, item.Version)
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
	b := g.budgets[service]
	if b == nil {
		b = &budget{tokens: budgetBound}
		g.budgets[service] = b
	}
	b.earn(g.cfg.RetryRatio)
	return service
}

// outcome is the end of one send.
type outcome struct {
	choice  choice
	resp    *upstream.Response
	signals Signals
	failure *errkind.Error
}

// final reports whether the caller gets the response. A safe request that its
// target failed may go to another one.
func (a *attempt) final(o outcome) bool {
	return o.failure == nil && !o.signals.NotRun && (o.resp.Status < 500 || a.route.Kind == items.Unsafe)
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
		if o.signals.NotRun {
			a.afterRefusal(ctx, o)
		}
	}
}

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

// note remembers a send without a final answer and returns why it failed.
func (a *attempt) note(o outcome) *errkind.Error {
	switch {
	case o.failure == nil && o.signals.NotRun:
		return errkind.New(errkind.TargetRefused, "target %s refused with status %d", o.choice.endpoint.ID, o.resp.Status)
	case o.failure == nil:
		a.mayHaveRun, a.last = true, o.resp
		return errkind.New(errkind.TargetLost, "target %s failed with status %d", o.choice.endpoint.ID, o.resp.Status)
	case o.failure.Outcome() != errkind.NotRun:
		a.mayHaveRun = true
	}
	return o.failure
}

// race sends the request to a target and, if that is slow and the request may
// run twice, to a second one. It returns the first final answer, or the last
// outcome when there is none. The slower send is cancelled.
func (a *attempt) race(ctx context.Context, first choice) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, 2)
	launch := func(c choice) {
		a.begin(c)
		go func() { outcomes <- a.send(ctx, c) }()
	}
	launch(first)
	pending := 1
	timer := time.NewTimer(a.hedgeAfter(first))
	defer timer.Stop()
	for {
		select {
		case o := <-outcomes:
			pending--
			if a.final(o) || pending == 0 {
				return o
			}
			a.note(o)
		case <-timer.C:
			if second, ok := a.hedge(); ok {
				launch(second)
				pending++
			}
		}
	}
}

// begin notes that the request goes to a target.
func (a *attempt) begin(c choice) {
	a.sends++
	a.target = c.endpoint.ID
	a.tried = append(a.tried, c.endpoint.Incarnation)
}

// mayRepeat reports whether the request may go to another target: it did not
// run or may run more than once, and attempts, time and budget are left.
func (a *attempt) mayRepeat(ctx context.Context, failure *errkind.Error) bool {
	if ctx.Err() != nil || a.refusals >= maxRefusals {
		return false
	}
	refused := failure.Kind == errkind.TargetRefused
	if a.sends >= a.route.MaxAttempts && !refused {
		return false
	}
	if failure.Outcome() != errkind.NotRun && a.route.Kind != items.Safe {
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
	return a.g.refuse(a.g.now(), failure)
}

// Times after which refused callers come back.
const (
	// retryMin is about the time in which a target finishes a request.
	retryMin = 250 * time.Millisecond
	// retrySpread spreads callers that are refused at once.
	retrySpread = 350 * time.Millisecond
)

// refuse answers that the request did not run and when to come back.
func (g *Gateway) refuse(_ time.Duration, failure *errkind.Error) Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Result{Err: failure, RetryAfter: retryMin + time.Duration(g.rng.Int64N(int64(retrySpread)))}
}

// choice is the target for one send.
type choice struct {
	endpoint *fleet.Endpoint
	track    *tracked
}

// choose returns the target for the next send and counts it as started.
func (a *attempt) choose(ctx context.Context) (choice, *errkind.Error) {
	for {
		a.g.mu.Lock()
		changed := a.g.changed
		c, failure := a.pick()
		a.g.mu.Unlock()
		if failure == nil || failure.Kind != errkind.NoOwner {
			return c, failure
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return choice{}, failure
		}
	}
}

// pick chooses among the targets; the gateway's mutex is held.
func (a *attempt) pick() (choice, *errkind.Error) {
	g := a.g
	view := g.view.Load()
	now := g.now()
	service, ok := view.Service(a.service)
	if !ok {
		return choice{}, errkind.New(errkind.UnknownService, "service %s is not known", a.service)
	}
	endpoints, failure := a.eligible(view, service)
	if failure != nil {
		return choice{}, failure
	}
	preferred := g.subset(view, a.service)
	var candidates []placement.Candidate
	var chosen []choice
	for _, e := range endpoints {
		t := g.track(e)
		cold := max(e.ColdUntil, t.coldUntil) > now
		if t.Blocked(now) || cold && (!t.ColdReady(now) || g.coldInterval(view, service, e) == 0) {
			continue
		}
		candidates = append(candidates, placement.Candidate{
			Track: &t.Track, Slots: e.Slots, Distance: g.distance(e.DataCentre), Cold: cold,
			Outside: !a.sharded && !preferred[e.ID], Explore: a.route.Kind == items.Safe,
		})
		chosen = append(chosen, choice{e, t})
	}
	i, expected := placement.Choose(now, g.workOf(a.name, a.route), g.rng, candidates)
	if i < 0 {
		return choice{}, errkind.New(errkind.TargetUnreachable, "none of %d targets of %s can be used now", len(endpoints), a.service)
	}
	if now+expected > a.end {
		return choice{}, errkind.New(errkind.Overloaded, "a response is expected in %v, %v are left", expected.Round(time.Millisecond), (a.end - now).Round(time.Millisecond))
	}
	if candidates[i].Cold {
		chosen[i].track.TakeCold(now, g.coldInterval(view, service, chosen[i].endpoint))
	}
	chosen[i].track.Started()
	chosen[i].track.asked = true
	return chosen[i], nil
}

// eligible returns the targets that may run the request.
func (a *attempt) eligible(view *fleet.View, service items.Service) ([]*fleet.Endpoint, *errkind.Error) {
	all := view.Endpoints(a.service)
	if service.Sharded && a.req.Key != NoKey {
		owner, ok := view.Owner(a.service, a.req.Key)
		if !ok {
			return nil, errkind.New(errkind.NoOwner, "no target holds key %d", a.req.Key)
		}
		all = []*fleet.Endpoint{owner}
	}
	var fit []*fleet.Endpoint
	for _, e := range all {
		if a.allowed(view, e) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return nil, errkind.New(errkind.TargetUnreachable, "no target of %s may run the request", a.service)
	}
	return fit, nil
}

func (a *attempt) allowed(view *fleet.View, e *fleet.Endpoint) bool {
	if e.Condition != fleet.Ready || view.DataCentreOut(e.DataCentre) || slices.Contains(a.tried, e.Incarnation) {
		return false
	}
	if a.targets() >= a.route.MaxAttempts && !slices.Contains(a.refusedBy, e.Incarnation) {
		return false
	}
	return len(a.route.Homes) == 0 || slices.Contains(a.route.Homes, a.g.cfg.Regions[e.DataCentre])
}

// targets counts the different targets to which the request was sent.
func (a *attempt) targets() int {
	count := len(a.refusedBy)
	for i, in := range a.refusedBy {
		if slices.Contains(a.refusedBy[:i], in) {
			count--
		}
	}
	for _, in := range a.tried {
		if !slices.Contains(a.refusedBy, in) {
			count++
		}
	}
	return count
}

// track returns the record of a target; the mutex is held.
func (g *Gateway) track(e *fleet.Endpoint) *tracked {
	t := g.tracks[e.Incarnation]
	if t == nil {
		t = new(tracked)
		g.tracks[e.Incarnation] = t
	}
	return t
}

func (g *Gateway) distance(dataCentre string) placement.Distance {
	switch {
	case dataCentre == g.cfg.DataCentre:
		return placement.SameDataCentre
	case g.cfg.Regions[dataCentre] == g.cfg.Region:
		return placement.SameRegion
	}
	return placement.OtherRegion
}

// send sends the request to a target and takes in what its response says.
func (a *attempt) send(ctx context.Context, c choice) outcome {
	g := a.g
	sent := g.now()
	header := a.req.Header.Clone()
	g.cfg.Dialect.Prepare(header, a.end-sent, c.endpoint.ID)
	resp, failure := g.pool.Do(ctx, &upstream.Request{
		Addr: c.endpoint.Address, Method: a.req.Method, URI: a.req.URI, Host: a.req.Host,
		Header: header, Body: a.req.Body, HasBody: a.req.HasBody,
		Accept: func(r *upstream.Response) bool { return a.genuine(g.cfg.Dialect.Read(r), r) },
	})
	o := outcome{choice: c, resp: resp, failure: failure}
	if failure == nil {
		o.signals = g.cfg.Dialect.Read(resp)
	}
	g.learn(a, o, sent)
	return o
}

// genuine reports whether a response answers this request and was made by the
// target: a faulty target may send late or foreign bytes.
func (a *attempt) genuine(s Signals, r *upstream.Response) bool {
	if s.RequestID != a.req.ID {
		return false
	}
	return r.Status >= 300 || s.Signed && r.Header.Get("Content-Encoding") == ""
}

// Times for which a target that failed is left alone.
const (
	// misdirectedPause is longer than the state takes to arrive.
	misdirectedPause = 300 * time.Millisecond
	// failuresBeforeCheck is how many requests in a row fail before the target is
	// used again only after a health check.
	failuresBeforeCheck = 3
)

// learn updates what is known of a target after a send.
func (g *Gateway) learn(a *attempt, o outcome, sent time.Duration) {
	now := g.now()
	c, s, failure := o.choice, o.signals, o.failure
	g.mu.Lock()
	defer g.mu.Unlock()
	c.track.Ended()
	if s.Load != nil {
		defer c.track.Report(now, *s.Load)
	}
	label := "answered"
	switch {
	case failure != nil:
		label = string(failure.Kind)
		unreachable := failure.Kind == errkind.TargetUnreachable
		if failure.Kind != errkind.AnswerTimeout && (c.track.Failed() >= failuresBeforeCheck || unreachable) {
			g.revive(c)
		}
	case s.Misdirected:
		label = "misdirected"
		if !a.sharded {
			c.track.Block(now + misdirectedPause)
		}
	case s.NotRun:
		label = "refused"
		c.track.Refused()
	case o.resp.Status < 500:
		work := g.workOf(a.name, a.route)
		g.learnWork(a.name, work, c.track.Served(now, now-sent, work, c.endpoint.Slots))
		if a.sharded {
			g.sampleWork(c.endpoint.Service, c.endpoint.Incarnation, c.track.Usual(work))
		}
	}
	g.metrics.sends.WithLabelValues(label).Inc()
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
