package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// holdBytes is how much of a response is held, in bytes, before the caller gets
// the first of it. A response that breaks off before may come from another
// target.
const holdBytes = 64 << 10

// send sends the request to a target and takes in what its response says.
func (a *attempt) send(ctx context.Context, c choice) outcome {
	g := a.g
	sent := g.now()
	header := a.req.Header.Clone()
	g.cfg.Dialect.Prepare(header, a.end-sent, c.endpoint.ID)
	resp, failure := g.pool.Do(ctx, &upstream.Request{
		Addr: c.endpoint.Address, Method: a.req.Method, URI: a.req.URI, Host: a.req.Host,
		Header: header, Body: a.req.Body, HasBody: a.req.HasBody, ID: a.req.ID, Hold: holdBytes,
		Accept: func(r *upstream.Response) bool { return a.genuine(g.cfg.Dialect.Read(r), r) },
	})
	o := outcome{choice: c, resp: resp, failure: failure}
	if failure == nil {
		o.signals = g.cfg.Dialect.Read(resp)
	}
	g.learn(a, o, sent)
	a.noteEnd(o)
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
	// fullPause is about the time in which a target with a few slots ends some
	// requests and accepts connections again.
	fullPause = 150 * time.Millisecond
	// soundFor is how long after an answer a target that resets a connection counts
	// as full: targets of some services refuse requests in this way.
	soundFor = time.Second
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
		g.pressure(c.endpoint.Service).Report(*s.Load)
	}
	label := "answered"
	switch {
	case failure != nil && (errors.Is(failure, upstream.ErrResetAtOnce) || errors.Is(failure, syscall.ECONNRESET) && c.track.HeardWithin(now, soundFor)):
		label = "full"
		c.track.Refused()
		c.track.Block(now + fullPause)
	case failure != nil:
		label = string(failure.Kind)
		atOnce := failure.Kind == errkind.TargetUnreachable || errors.Is(failure, upstream.ErrUnbounded)
		if failure.Kind != errkind.AnswerTimeout && (c.track.Failed() >= failuresBeforeCheck || atOnce) {
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
		if a.sharded && (s.Load == nil || s.Load.Waiting == 0) {
			g.sampleWork(c.endpoint.Service, c.endpoint.Incarnation, now-sent)
		}
	}
	g.metrics.sends.WithLabelValues(label).Inc()
}

// race sends the request to a target and, if that is slow and the request may
// run twice, to a second one. It returns the first final answer, or the last
// outcome when there is none. The slower send is cancelled; the other one ends
// with its response.
func (a *attempt) race(ctx context.Context, first choice) outcome {
	var sends []context.CancelFunc
	outcomes := make(chan outcome, 2)
	launch := func(c choice) {
		a.begin(c)
		sendCtx, cancel := context.WithCancel(ctx)
		index := len(sends)
		sends = append(sends, cancel)
		go func() {
			o := outcome{choice: c, failure: errkind.New(errkind.Internal, "a fault ended the send")}
			a.g.caught(func() { o = a.send(sendCtx, c) })
			o.send = index
			outcomes <- o
		}()
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
				endSends(sends, o)
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

// endSends cancels all sends but the one whose response is still read.
func endSends(sends []context.CancelFunc, o outcome) {
	for i, cancel := range sends {
		if i == o.send && o.resp != nil && o.resp.Rest != nil {
			o.resp.Rest.AfterClose(cancel)
			continue
		}
		cancel()
	}
}

// begin notes that the request goes to a target.
func (a *attempt) begin(c choice) {
	a.sends++
	a.target = c.endpoint.ID
	a.tried = append(a.tried, c.endpoint.Incarnation)
}
