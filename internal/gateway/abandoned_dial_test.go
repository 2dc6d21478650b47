package gateway

import (
	"context"
	"net/http"
	"testing"
)

// Guards against a healthy target that gets no requests, and counts as out of reach,
// because an attempt was cancelled while its connection was being established.
func TestCancelledDialDoesNotBlockTheTarget(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed), newTarget(t, signed))
	post, _ := b.g.view.Load().Match("h", "/post/x")
	a := &activeRequest{g: b.g, name: post.Name, route: post.Route, service: "s", arrived: b.g.now(), deadline: b.g.now() + post.Route.Timeout,
		req: &Request{ID: "1", Method: "GET", URI: "/post/x", Host: "h", Header: http.Header{"X-Id": {"1"}}, Key: NoKey}}
	c, failure := a.choose(context.Background())
	if failure != nil {
		t.Fatal(failure)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if res := a.send(ctx, c); res.failure == nil {
		t.Fatal("a cancelled attempt succeeded")
	}
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	now := b.g.now()
	if c.state.recovering || c.state.Blocked(now) || b.g.path.IsLost(now, c.endpoint.Address) {
		t.Error("the target counts as lost")
	}
}
