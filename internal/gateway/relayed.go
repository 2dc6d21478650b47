package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/linkshare"
	"github.com/flamingoreel/flamingoreel/internal/reach"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// relayLimiter bounds the requests that this VM serves for others, so that they
// take neither its memory nor the capacity for its own callers.
type relayLimiter struct {
	inProgress atomic.Int64
	// idleSince is when the last request ended, as Unix time in nanoseconds.
	idleSince atomic.Int64
	bytes     atomic.Int64
	maxBytes  int64
}

func newRelayLimiter(maxBytes int64) *relayLimiter {
	if maxBytes <= 0 {
		maxBytes = defaultRelayBytes
	}
	return &relayLimiter{maxBytes: maxBytes}
}

// begin counts a request. It returns false if there are too many.
func (l *relayLimiter) begin() bool {
	if l.inProgress.Add(1) > maxRelayed {
		l.inProgress.Add(-1)
		return false
	}
	return true
}

// end uncounts a request and the bytes that it reserved.
func (l *relayLimiter) end(reserved int64) {
	l.bytes.Add(-reserved)
	l.idleSince.Store(time.Now().UnixNano())
	l.inProgress.Add(-1)
}

// reserve reports whether n more bytes may be used.
func (l *relayLimiter) reserve(n int64) bool {
	if l.bytes.Add(n) > l.maxBytes {
		l.bytes.Add(-n)
		return false
	}
	return true
}

// handleRelay serves a request for an entry VM that reaches no targets.
func (g *Gateway) handleRelay(ctx context.Context, from string, payload []byte) ([]byte, error) {
	m := new(relayRequest)
	if err := wire.Unmarshal(payload, m); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "malformed relayed request")
	}
	reply := g.serveRelayed(ctx, m)
	g.metrics.relayed.WithLabelValues("received", reply.label()).Inc()
	if reply.Status == 0 {
		g.cfg.Logger.WithFields(relayFields(from, m)).WithFields(reply.fields()).Info("relayed request failed")
	}
	return wire.Marshal(reply)
}

// serveRelayed serves a relayed request and returns its final answer.
func (g *Gateway) serveRelayed(ctx context.Context, m *relayRequest) *relayReply {
	now := g.now()
	left := m.Left
	if deadline, ok := ctx.Deadline(); ok {
		// The link's deadline takes into account how long the message was under way.
		left = min(left, time.Until(deadline))
	}
	if declined := g.declineRelayed(now, left, m); declined != nil {
		return declined
	}
	reserved := int64(len(m.Body) + holdBytes)
	if !g.relayLimit.reserve(reserved) {
		g.relayLimit.end(0)
		return &relayReply{Declined: "requests of others take the available memory", Busy: true}
	}
	defer func() { g.relayLimit.end(reserved) }()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	defer context.AfterFunc(g.stopping.serviceCtx, cancel)()
	a := g.newRelayed(now, left, m)
	if failure := a.judgeCrasher(now); failure != nil {
		return &relayReply{Kind: failure.Kind, Message: failure.Message}
	}
	defer g.crashes.End(a.fingerprints)
	a.admitDownload(now)
	defer a.transfer.end()
	reply := a.relayReply(a.run(ctx), func(n int64) bool {
		if !g.relayLimit.reserve(n) {
			return false
		}
		reserved += n
		return true
	})
	reply.Target, reply.Answered = a.lastTarget, a.answered
	g.observeSize(a.service, int64(len(m.Body)+len(reply.Body)))
	g.link.count(linkshare.Out, len(reply.Body))
	return reply
}

// declineRelayed returns the reply to a relayed request that this VM does not take,
// or nil if it takes the request. Then the request counts as begun.
func (g *Gateway) declineRelayed(now, left time.Duration, m *relayRequest) *relayReply {
	switch {
	case g.stopping.declining.Load():
		return &relayReply{Declined: "this VM is shutting down"}
	case !g.Ready():
		return &relayReply{Declined: "no configuration is known yet"}
	case !m.Route.Kind.Known() || left <= 0:
		return &relayReply{Declined: "the request is invalid"}
	case g.pathState() != reach.Direct:
		return &relayReply{Declined: "this VM reaches no targets itself"}
	case !g.admitRelayed(now, m.Service):
		return &relayReply{Declined: "the link of this VM has no capacity left", Busy: true}
	case !g.relayLimit.begin():
		return &relayReply{Declined: "this VM serves too many requests of others", Busy: true}
	}
	return nil
}

// newRelayed returns the state of a relayed request with the time left until its
// deadline.
func (g *Gateway) newRelayed(now, left time.Duration, m *relayRequest) *activeRequest {
	a := &activeRequest{
		g: g, route: &m.Route, name: m.RouteName, service: m.Service, relayed: true,
		arrived: now + left - m.Left - m.Elapsed, deadline: now + left,
		req: &Request{
			ID: m.ID, Method: m.Method, URI: m.URI, Path: m.Path, Host: m.Host, RouteHost: m.RouteHost,
			Caller: m.Caller, Header: m.Header, Body: m.Body, HasBody: m.HasBody, Key: m.Key, CallerTimeout: left,
		},
	}
	a.fingerprints = a.req.fingerprints()
	service, ok := g.view.Load().Service(a.service)
	a.sharded = ok && service.Sharded && m.Key != NoKey
	g.ensureRetryBudget(a.service)
	return a
}

// admitRelayed reports whether this VM's link has capacity for a request of another
// VM.
func (g *Gateway) admitRelayed(now time.Duration, service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.linkBudget.AdmitRelayed(now, service)
}

// admitOwn reports whether this VM's link has capacity for a request of its own
// callers.
func (g *Gateway) admitOwn(now time.Duration, service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.linkBudget.AdmitOwn(now, service)
}

// observeSize records the size of the bodies of a request and its response.
func (g *Gateway) observeSize(service string, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.linkBudget.Observe(service, bytes)
}

// ensureRetryBudget creates the retry budget of a service of which this VM has
// served no request yet. Relayed requests earn no retries: their own entry VM has
// earned them.
func (g *Gateway) ensureRetryBudget(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retryBudgets[service] == nil {
		g.retryBudgets[service] = newRetryBudget(retryLimit{g.cfg.RetryRatio, g.cfg.RetrySlack}, len(g.view.Load().Entries()))
	}
}

// relayReply returns the reply for a result. It reads a long response whole,
// within the memory that reserve grants.
func (a *activeRequest) relayReply(r Result, reserve func(int64) bool) *relayReply {
	if r.Err != nil {
		return &relayReply{Kind: r.Err.Kind, Message: r.Err.Message, RetryAfter: r.RetryAfter}
	}
	resp := r.Response
	defer resp.Close()
	if failure := readRest(resp, reserve); failure != nil {
		return &relayReply{Kind: failure.Kind, Message: failure.Message}
	}
	return &relayReply{Status: resp.Status, Header: resp.Header, Body: resp.Body, Length: resp.Length}
}

// relayReadBytes is the size of the parts in which a long response is read.
const relayReadBytes = 64 << 10

// readRest appends the rest of a streamed body to Body. A response that breaks off
// or does not fit was run by its target, so neither error is a refusal.
func readRest(resp *upstream.Response, reserve func(int64) bool) *errkind.Error {
	if resp.Rest == nil {
		return nil
	}
	buf := make([]byte, relayReadBytes)
	for {
		n, err := resp.Rest.Read(buf)
		if len(resp.Body)+n > maxRelayedBody || n > 0 && !reserve(int64(n)) {
			return errkind.New(errkind.AnswerTooLarge, "the response is too long to be relayed")
		}
		resp.Body = append(resp.Body, buf[:n]...)
		if errors.Is(err, io.EOF) {
			resp.Length = int64(len(resp.Body))
			return nil
		}
		if err != nil {
			return errkind.Wrap(errkind.TargetLost, err, "the response broke off")
		}
	}
}

// RelayIdleFor returns how long this VM has served no request for another one; 0
// while it serves one or sends the reply.
func (g *Gateway) RelayIdleFor() time.Duration {
	if g.relayLimit.inProgress.Load() > 0 || g.links.OpenRequests() > 0 {
		return 0
	}
	return time.Since(time.Unix(0, g.relayLimit.idleSince.Load()))
}

// fields returns the log fields of a failed request.
func (r *relayReply) fields() log.Fields {
	return log.Fields{"outcome": r.label(), "reason": r.Declined + r.Message, "target": r.Target, "retry_after": r.RetryAfter.Round(time.Millisecond)}
}
