package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/linkshare"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// holdBytes is how many bytes of a response are buffered before the first of
// them goes to the caller. If the response breaks off earlier, the request can
// still be retried at another target.
const holdBytes = 64 << 10

// send sends the request to a target and records what its response reports.
func (a *activeRequest) send(ctx context.Context, c choice) attemptResult {
	g := a.g
	sent := g.now()
	header := a.req.Header.Clone()
	g.cfg.Dialect.Prepare(header, a.deadline-sent, c.endpoint.ID)
	var headAt time.Duration
	g.link.count(linkshare.Out, len(a.req.Body))
	resp, failure := g.pool.Do(ctx, &upstream.Request{
		Addr: c.endpoint.Address, Method: a.req.Method, URI: a.req.URI, Host: a.req.Host,
		Header: header, Body: a.req.Body, HasBody: a.req.HasBody, ID: a.req.ID, Used: &a.usedConns, MaxBufferedBytes: holdBytes,
		Pace: a.transfer.paceIn(ctx),
		Accept: func(r *upstream.Response) bool {
			headAt = g.now()
			if !a.accept(c, r) {
				return false
			}
			a.transfer.announce(a.req.Method, r)
			return true
		}, Proceed: func() bool { return g.open(c) && a.wanted(ctx) },
	})
	res := attemptResult{choice: c, resp: resp, failure: failure, took: g.now() - sent}
	if a.transfer.receiving() && headAt > 0 {
		res.took = headAt - sent
	}
	if failure == nil {
		res.info = g.cfg.Dialect.Read(resp)
	}
	res.undialed = failure != nil && failure.Kind == errkind.TargetUnreachable && ctx.Err() != nil && g.now()-sent < acceptTime
	g.updateTarget(a, res)
	a.updateCrashes(res, sent)
	return res
}

// authentic reports whether a response answers this request and was made by the
// target: a faulty target may send late bytes or those of another response.
func (a *activeRequest) authentic(s ResponseInfo, r *upstream.Response) bool {
	if s.RequestID != a.req.ID {
		return false
	}
	return r.Status >= 300 || s.FromTarget && r.Header.Get("Content-Encoding") == ""
}

// Limits for targets that failed.
const (
	// acceptTime is the time in which a sound target accepts a connection. A round trip
	// between regions takes 16 ms.
	acceptTime = 100 * time.Millisecond
	// misdirectedBackoff is longer than a state change takes to arrive.
	misdirectedBackoff = 300 * time.Millisecond
	// fullBackoff is about the time in which a target with a few slots finishes
	// some requests and accepts connections again.
	fullBackoff = 150 * time.Millisecond
	// aliveWindow is how long after a response a target that resets a
	// connection counts as full rather than failed: targets of some services
	// refuse requests in this way.
	aliveWindow = time.Second
	// failuresBeforeCheck is the number of consecutive failures after which a
	// target must pass a health check before it is used again.
	failuresBeforeCheck = 3
)

// updateTarget updates the state of a target after an attempt.
func (g *Gateway) updateTarget(a *activeRequest, res attemptResult) {
	now := g.now()
	c, s, failure := res.choice, res.info, res.failure
	g.mu.Lock()
	defer g.mu.Unlock()
	c.state.Ended()
	g.updatePace(a, res, now)
	defer g.updateRecovery(c, now)
	if !res.undialed {
		g.updatePath(now, c.endpoint.Address, failure)
	}
	if s.Load != nil {
		defer c.state.AddReport(now, *s.Load)
		g.pressure(c.endpoint.Service).AddReport(now, *s.Load)
	}
	label := "answered"
	switch {
	case res.undialed:
		label = "undialed"
	case failure != nil && errors.Is(failure, upstream.ErrWithdrawn):
		label = "withdrawn"
	case failure != nil && (errors.Is(failure, upstream.ErrResetBeforeRequest) || errors.Is(failure, syscall.ECONNRESET) && c.state.ReportedWithin(now, aliveWindow)):
		label = "full"
		c.state.Refused()
		c.state.Block(now + fullBackoff)
	case failure != nil:
		label = string(failure.Kind)
		if failure.Kind == errkind.AnswerTimeout && now >= a.deadline {
			c.state.TimedOut(now)
		}
		atOnce := failure.Kind == errkind.TargetUnreachable || errors.Is(failure, upstream.ErrUnbounded)
		if failure.Kind != errkind.AnswerTimeout && (c.state.Failed() >= failuresBeforeCheck || atOnce) {
			g.blockUntilHealthy(c)
		}
	case s.Misdirected:
		label = "misdirected"
		if !a.sharded {
			c.state.Block(now + misdirectedBackoff)
		}
	case s.NotRun:
		label = "refused"
		c.state.Refused()
	case res.resp.Status < 500:
		work := g.workOf(a.name, a.route)
		if c.probe {
			c.state.ProbeSucceeded()
		}
		g.updateWork(a.name, a.route, c.state.Succeeded(now, res.took, work, c.endpoint.Slots))
		if a.sharded && (s.Load == nil || s.Load.Waiting == 0) {
			g.sampleWork(c.endpoint.Service, c.endpoint.Incarnation, res.took)
		}
	}
	g.metrics.sends.WithLabelValues(label).Inc()
}

// sendHedged sends the request to a target and, if that is slow and the request
// may run twice, to a second one. It returns the first final result, or the
// last result if none is final. Other attempts are cancelled; the context of an
// attempt whose response is still read ends when the response is closed.
func (a *activeRequest) sendHedged(ctx context.Context, first choice) attemptResult {
	var cancels []context.CancelFunc
	results := make(chan attemptResult, 2)
	launch := func(c choice) {
		a.recordAttempt(c)
		sendCtx, cancel := context.WithCancel(ctx)
		index := len(cancels)
		cancels = append(cancels, cancel)
		go func() {
			res := attemptResult{choice: c, failure: errkind.New(errkind.Internal, "the attempt panicked")}
			a.g.recoverPanic(func() { res = a.send(sendCtx, c) })
			res.index = index
			results <- res
		}()
	}
	launch(first)
	pending := 1
	timer := time.NewTimer(a.hedgeAfter(first))
	defer timer.Stop()
	for {
		select {
		case res := <-results:
			pending--
			if a.isFinal(res) || pending == 0 {
				cancelOthers(cancels, res)
				return res
			}
			a.recordFailure(res)
		case <-timer.C:
			// A second long response would take the link from the first one.
			if a.transfer.receiving() {
				continue
			}
			if second, ok := a.hedge(); ok {
				launch(second)
				pending++
			}
		}
	}
}

// cancelOthers cancels all attempts but the one whose response is still read.
func cancelOthers(cancels []context.CancelFunc, res attemptResult) {
	for i, cancel := range cancels {
		if i == res.index && res.resp != nil && res.resp.Rest != nil {
			res.resp.Rest.OnClose(cancel)
			continue
		}
		cancel()
	}
}

// recordAttempt records that the request goes to a target.
func (a *activeRequest) recordAttempt(c choice) {
	a.attempts++
	a.lastTarget = c.endpoint.ID
	a.tried = append(a.tried, c.endpoint.Incarnation)
}
