package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/reach"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// mayRelay reports whether the request may go through another entry VM. A relayed
// request is never relayed again.
func (a *activeRequest) mayRelay() bool {
	return !a.relayed && len(a.req.Body) <= maxRelayedBody
}

// mustRelay reports whether the request can only go through another entry VM.
func (a *activeRequest) mustRelay() bool { return a.mayRelay() && a.g.isolated() }

// viaPeer reports whether the next attempt of the request goes through another
// entry VM.
func (a *activeRequest) viaPeer() bool {
	if !a.mayRelay() {
		return false
	}
	g := a.g
	g.mu.Lock()
	defer g.mu.Unlock()
	share := g.path.DirectShare(g.now())
	return share < 1 && g.rng.Float64() >= share
}

// isolated reports whether this VM reaches no target.
func (g *Gateway) isolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	state, _ := g.path.State()
	return state == reach.Isolated
}

// relay offers the request to other entry VMs until one handles it. It returns
// false if none did and the request did not run.
func (a *activeRequest) relay(ctx context.Context) (Result, bool) {
	if a.outlastsStop() {
		return a.failureResult(errStopping()), true
	}
	// The message for a peer is a copy of the body.
	size := int64(len(a.req.Body))
	if !a.g.relayCopies.reserve(size) {
		return Result{}, false
	}
	defer a.g.relayCopies.bytes.Add(-size)
	var tried []string
	for len(tried) < maxRelayPeers && ctx.Err() == nil && !a.g.stopping.ended() {
		peer, ok := a.choosePeer(tried)
		if !ok {
			break
		}
		tried = append(tried, peer.Addr)
		granted := a.relayAttempts()
		reply, failure := a.callPeer(ctx, peer.Addr)
		if failure == nil && reply.outcome() == reach.Relayed {
			a.peer, a.lastTarget = peer.Addr, reply.Target
			return a.relayedResult(reply), true
		}
		if failure == nil || failure.Outcome() == errkind.NotRun {
			continue
		}
		a.peer, a.mayHaveRun = peer.Addr, true
		a.attempts += granted
		a.lostRelays += granted
		if failure.Kind == errkind.AnswerTimeout || !a.mayRetry(ctx, failure) {
			return a.failureResult(failure), true
		}
	}
	return Result{}, false
}

// outlastsStop reports whether the request would usually end after a planned stop.
func (a *activeRequest) outlastsStop() bool {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	return a.g.stopping.endsBefore(a.g.now() + stopReserve*a.g.workOf(a.name, a.route))
}

// choosePeer selects a peer that may get the request: the request stays in the
// allowed regions of its route.
func (a *activeRequest) choosePeer(tried []string) (reach.Peer, bool) {
	g := a.g
	var peers []reach.Peer
	for _, e := range g.view.Load().Entries() {
		peers = append(peers, reach.Peer{Addr: e.Addr, DataCentre: e.DataCentre, Region: e.Region})
	}
	allowed := func(p reach.Peer) bool {
		return len(a.route.AllowedRegions) == 0 || slices.Contains(a.route.AllowedRegions, p.Region)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.relayPeers.Choose(g.now(), g.rng, peers, allowed, tried)
}

// callPeer sends the request to a peer and returns its reply. The kind of the
// error says whether the request may have run.
func (a *activeRequest) callPeer(ctx context.Context, addr string) (*relayReply, *errkind.Error) {
	g := a.g
	outcome := reach.Unreachable
	label := "unreachable"
	defer func() {
		g.metrics.relayed.WithLabelValues("sent", label).Inc()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.relayPeers.Ended(g.now(), addr, outcome)
	}()
	payload, err := wire.Marshal(a.relayMessage())
	if err != nil {
		return nil, errkind.Wrap(errkind.LinkDown, err, "the request cannot be encoded")
	}
	if !a.wanted(ctx) {
		outcome, label = reach.Abandoned, string(errkind.QueueTimeout)
		return nil, errkind.New(errkind.QueueTimeout, "the caller left before the request was relayed")
	}
	g.links.SetPeer(addr, addr)
	ctx, cancel := context.WithTimeout(ctx, a.deadline-g.now())
	defer cancel()
	data, err := g.links.Call(ctx, addr, methodRelay, payload)
	if err != nil {
		failure := errkind.From(err)
		outcome, label = outcomeOf(failure), string(failure.Kind)
		if ctx.Err() != nil {
			outcome = reach.Abandoned
		}
		return nil, failure
	}
	reply := new(relayReply)
	if err = wire.Unmarshal(data, reply); err == nil {
		err = reply.check(a.req.Method)
	}
	if err != nil {
		label = "malformed"
		return nil, errkind.Wrap(errkind.LinkLost, err, "%s sent a malformed reply", addr)
	}
	outcome = reply.outcome()
	label = reply.label()
	return reply, nil
}

// outcomeOf returns what a failed call says about the peer. A peer of an earlier
// version has no handler for relayed requests.
func outcomeOf(failure *errkind.Error) reach.Outcome {
	switch failure.Kind {
	case errkind.Overloaded:
		return reach.Busy
	case errkind.BadRequest:
		return reach.Declined
	case errkind.AnswerTimeout, errkind.QueueTimeout:
		return reach.Abandoned
	}
	return reach.Unreachable
}

// relayAttempts returns the number of targets to which a peer may send the request.
// An idempotent request keeps one for another peer: if the first one is lost, it may
// have sent the request to as many targets as it was allowed to.
func (a *activeRequest) relayAttempts() int {
	left := a.route.MaxAttempts - a.targetCount() - a.lostRelays
	if a.route.Kind.Idempotent() {
		left--
	}
	return max(1, left)
}

// relayMessage returns the request for a peer.
func (a *activeRequest) relayMessage() *relayRequest {
	now := a.g.now()
	route := *a.route
	route.MaxAttempts = a.relayAttempts()
	return &relayRequest{
		ID: a.req.ID, Method: a.req.Method, URI: a.req.URI, Path: a.req.Path, Host: a.req.Host, RouteHost: a.req.RouteHost,
		Caller: a.req.Caller, Header: a.req.Header, Body: a.req.Body, HasBody: a.req.HasBody, Key: a.req.Key,
		RouteName: a.name, Route: route, Service: a.service, Elapsed: now - a.arrived, Left: a.deadline - now,
	}
}

// relayedResult returns the result of a request that a peer handled.
func (a *activeRequest) relayedResult(r *relayReply) Result {
	if r.Kind == "" {
		resp := r.response()
		a.g.noteRelayed(r.Answered, resp)
		return Result{Response: resp}
	}
	result := a.failureResult(&errkind.Error{Kind: r.Kind, Message: r.Message})
	if result.RetryAfter > 0 && r.RetryAfter > 0 {
		result.RetryAfter = r.RetryAfter
	}
	return result
}

// noteRelayed records whether the target of a relayed response is leaving and which
// limit it names. A pause is meant for the peer, which has recorded it.
func (g *Gateway) noteRelayed(target fleet.Incarnation, resp *upstream.Response) {
	e, ok := g.view.Load().Endpoint(target.ID)
	if !ok || e.Incarnation != target {
		return
	}
	g.mu.Lock()
	state := g.stateOf(e)
	g.mu.Unlock()
	info := g.cfg.Dialect.Read(resp)
	g.updateAvailability(choice{endpoint: e, state: state}, ResponseInfo{Leaving: info.Leaving, Limit: info.Limit})
}

// label returns the value of the metrics label outcome.
func (r *relayReply) label() string {
	switch {
	case r.Declined != "":
		return "declined"
	case r.Kind != "":
		return string(r.Kind)
	case r.Status >= http.StatusInternalServerError:
		return "target_failed"
	}
	return "answered"
}

// closeIdleLinks closes the links to peers that relayed no request lately. It
// reports whether none is left.
func (g *Gateway) closeIdleLinks(now time.Duration) bool {
	g.mu.Lock()
	idle := g.relayPeers.TakeIdle(now)
	left := g.relayPeers.Known()
	g.mu.Unlock()
	for _, addr := range idle {
		g.links.Disconnect(addr)
	}
	return left == 0
}

// errIsolated is the failure of a request that no entry VM could send.
func errIsolated() *errkind.Error {
	return errkind.New(errkind.TargetUnreachable, "this VM reaches no target and no other entry VM took the request")
}

// relayFields returns the log fields of a request served for another VM.
func relayFields(from string, m *relayRequest) log.Fields {
	return log.Fields{"request": m.ID, "from": from, "route": m.RouteName, "service": m.Service, "key": m.Key, "left": m.Left.Round(time.Millisecond)}
}
