package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Guards against a 404 for a service that the peer does not know yet, and against a
// refusal because the peer stops.
func TestPeerThatCannotServeIsPassedOver(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.UnknownService, errkind.Stopping, errkind.TargetUnreachable} {
		first := true
		bed := newScriptedPeers(t, 2, func(context.Context, *relayRequest) ([]byte, error) {
			if first {
				first = false
				return wire.Marshal(&relayReply{Kind: kind})
			}
			return wire.Marshal(&relayReply{Status: http.StatusOK})
		})
		if r := bed.serve("/post/x", fmt.Sprint(kind)); r.Err != nil {
			t.Errorf("got %v although another peer can serve", r.Err)
		}
	}
}
