package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Guards against an isolated entry VM that is ended for its memory because it copies the
// body of every request at once for its peers.
func TestCopiesOfRelayedBodiesAreBounded(t *testing.T) {
	hold := make(chan struct{})
	bed := newScriptedPeers(t, 1, func(_ context.Context, m *relayRequest) ([]byte, error) {
		<-hold
		return wire.Marshal(&relayReply{Status: http.StatusOK, Header: http.Header{}, Body: []byte("answer"), Length: 6})
	})
	body := make([]byte, 1<<20)
	bed.g.relayCopies = newRelayLimiter(3 * int64(len(body)) / 2)
	post := func() Result {
		return bed.g.Serve(context.Background(), &Request{
			ID: "1", Method: http.MethodPost, URI: "/post/x", Path: "/post/x", Host: "h", RouteHost: "h", Header: http.Header{}, Body: body, HasBody: true, Key: NoKey,
		})
	}
	var first sync.WaitGroup
	first.Go(func() {
		if r := post(); r.Err != nil {
			t.Errorf("a request within the bound got %v", r.Err)
		}
	})
	for end := time.Now().Add(time.Second); bed.g.relayCopies.bytes.Load() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if r := post(); r.Err == nil || r.Err.Outcome() != errkind.NotRun || r.RetryAfter == 0 {
		t.Errorf("a request beyond the bound got %+v, want a refusal with a time to retry", r)
	}
	close(hold)
	first.Wait()
	if left := bed.g.relayCopies.bytes.Load(); left != 0 {
		t.Errorf("%d bytes stay reserved", left)
	}
}
