package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Guards against a target that is told more time than the caller has left because
// the relayed request took long to arrive.
func TestTransferTimeShortensTheDeadlineOfARelayedRequest(t *testing.T) {
	deadlines := make(chan bool, 1)
	bed := newScriptedPeers(t, 1, func(ctx context.Context, _ *relayRequest) ([]byte, error) {
		deadline, ok := ctx.Deadline()
		deadlines <- ok && time.Until(deadline) < 3*time.Second
		return wire.Marshal(&relayReply{Status: http.StatusOK})
	})
	if r := bed.serve("/post/x", "1"); r.Err != nil || !<-deadlines {
		t.Errorf("got %+v, or the link does not carry the deadline", r)
	}
	left := make(chan string, 1)
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		left <- r.Header.Get("X-Left")
		signed(w, r)
	})
	peer := newRelayBed(t, []string{"r"}, target).peers[0].g
	post, _ := peer.view.Load().Match("h", "/post/x")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply := peer.serveRelayed(ctx, &relayRequest{
		ID: "1", Method: "GET", URI: "/post/x", Path: "/post/x", Host: "h", RouteHost: "h", Header: http.Header{"X-Id": {"1"}}, Key: NoKey,
		RouteName: "post", Route: *post.Route, Service: "s", Left: 3 * time.Second,
	})
	if reply.Status != http.StatusOK {
		t.Fatalf("got %+v", reply)
	}
	if told, err := time.ParseDuration(<-left); err != nil || told > time.Second {
		t.Errorf("the target was told %v (%v), the link leaves 1 s", told, err)
	}
}
