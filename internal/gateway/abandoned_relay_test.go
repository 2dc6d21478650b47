package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Guards against a peer that gets no requests because callers left while the link to
// it was being dialed.
func TestCallerThatLeavesDoesNotMakeThePeerRest(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	bed := newScriptedPeers(t, 0, nil)
	bed.put(fleet.Delta{Entries: []fleet.Entry{{Addr: silent.Addr().String(), Region: "r", DataCentre: "d"}}})
	for i := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		r := bed.g.Serve(ctx, &Request{ID: "1", Method: "GET", URI: "/post/x", Path: "/post/x", Host: "h", RouteHost: "h", Key: NoKey})
		cancel()
		if r.Err == nil {
			t.Fatal("a peer that does not respond relayed a request")
		}
		post, _ := bed.g.view.Load().Match("h", "/post/x")
		a := &activeRequest{g: bed.g, route: post.Route}
		if _, ok := a.choosePeer(nil); !ok {
			t.Fatalf("the peer rests after %d callers that left", i+1)
		}
	}
}
