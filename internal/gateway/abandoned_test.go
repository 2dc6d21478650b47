package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// leaver is a caller that leaves at a moment that only its connection shows: the
// context of its request goes on.
type leaver struct{ left atomic.Bool }

func (l *leaver) request(id string) *Request {
	return &Request{
		ID: id, Method: http.MethodGet, URI: "/read/x", Path: "/read/x", Host: "h", RouteHost: "h", Header: http.Header{"X-Id": {id}},
		Key: NoKey, Gone: l.left.Load,
	}
}

// requestOfGone returns a request whose caller has left.
func requestOfGone(id string) *Request {
	l := &leaver{}
	l.left.Store(true)
	return l.request(id)
}

// Guards against a request that reaches a target although its caller left before this
// VM got to it.
func TestRequestOfACallerThatLeftIsNotSent(t *testing.T) {
	target := newTarget(t, signed)
	b := newTestbed(t, target)
	for range 50 {
		if r := b.g.Serve(context.Background(), requestOfGone("1")); r.Err == nil || r.Err.Outcome() != errkind.NotRun {
			t.Fatalf("got %+v, want a failure that says that nothing was sent", r)
		}
	}
	if n := target.count(); n > 0 {
		t.Errorf("%d requests of callers that left were sent", n)
	}
}

// Guards against a retry for a caller that left while the request waited for it.
func TestRetryOfACallerThatLeftIsNotSent(t *testing.T) {
	caller := &leaver{}
	leftAndBroken := func(w http.ResponseWriter, r *http.Request) {
		caller.left.Store(true)
		broken(w, r)
	}
	first, second := newTarget(t, leftAndBroken), newTarget(t, leftAndBroken)
	b := newTestbed(t, first, second)
	b.g.Serve(context.Background(), caller.request("1"))
	if n := first.count() + second.count(); n != 1 {
		t.Errorf("targets got %d requests, want only the one before the caller left", n)
	}
}

// Guards against a request that is sent once its key has a holder although its caller
// left while it waited for one.
func TestRequestThatWaitedForAHolderIsNotSent(t *testing.T) {
	target := newTarget(t, signed)
	b := newTestbed(t, target)
	b.put(fleet.Delta{Items: []items.Item{{
		Key: items.Key{Collection: items.Services, Name: "s"}, Version: 2, Service: &items.Service{HealthPath: "/health", Sharded: true},
	}}})
	caller := &leaver{}
	req := caller.request("1")
	req.Key = 7
	time.AfterFunc(60*time.Millisecond, func() {
		caller.left.Store(true)
		b.put(fleet.Delta{ShardMaps: []fleet.ShardMap{{Service: "s", Rows: []fleet.Row{
			{From: 0, To: fleet.MaxKey, Fence: 1, Holder: fleet.Incarnation{ID: "t0", StartMs: 1}, Granted: true},
		}}}})
	})
	b.g.Serve(context.Background(), req)
	if n := target.count(); n > 0 {
		t.Errorf("%d requests were sent", n)
	}
}

// Guards against a request that is relayed although its caller left, and a peer that
// gets no requests because of it.
func TestRequestOfACallerThatLeftIsNotRelayed(t *testing.T) {
	var relayed atomic.Int64
	bed := newScriptedPeers(t, 1, func(context.Context, *relayRequest) ([]byte, error) {
		relayed.Add(1)
		return nil, errkind.New(errkind.Internal, "not expected")
	})
	req := requestOfGone("1")
	req.URI, req.Path = "/post/x", "/post/x"
	bed.g.Serve(context.Background(), req)
	if n := relayed.Load(); n > 0 {
		t.Errorf("%d requests of callers that left were relayed", n)
	}
	post, _ := bed.g.view.Load().Match("h", "/post/x")
	if _, ok := (&activeRequest{g: bed.g, route: post.Route}).choosePeer(nil); !ok {
		t.Error("the peer rests because a caller left")
	}
}
