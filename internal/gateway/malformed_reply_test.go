package gateway

import (
	"context"
	"net/http"
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Guards against a reply without a status that is forwarded as a response, or from
// which a post is reported as not run.
func TestReplyWithoutStatusLeavesThePostUnknown(t *testing.T) {
	for _, reply := range []relayReply{{}, {Status: 7}, {Status: http.StatusContinue}, {Status: 1000}} {
		calls := 0
		bed := newScriptedPeers(t, 2, func(context.Context, *relayRequest) ([]byte, error) {
			calls++
			return wire.Marshal(&reply)
		})
		r := bed.serve("/post/x", "1")
		if r.Err == nil || r.Err.Outcome() != errkind.Unknown || calls != 1 {
			t.Errorf("status %d: got %+v after %d calls, want an unknown outcome after one", reply.Status, r, calls)
		}
	}
}
