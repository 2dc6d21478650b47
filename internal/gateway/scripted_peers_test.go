package gateway

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// newScriptedPeers starts an isolated entry VM whose n peers reply to relayed
// requests as the handler says.
func newScriptedPeers(t *testing.T, n int, handle func(ctx context.Context, m *relayRequest) ([]byte, error)) *relayBed {
	t.Helper()
	bed := newRelayBed(t, nil, newTarget(t, signed))
	for range n {
		addr := freeAddr(t)
		peer, err := link.Listen(watch.LinkConfig(addr, 1, &log.Logger{Handler: discard.New()}))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = peer.Close() })
		peer.Handle(methodRelay, func(ctx context.Context, _ string, payload []byte) ([]byte, error) {
			m := new(relayRequest)
			if err := wire.Unmarshal(payload, m); err != nil {
				return nil, err
			}
			return handle(ctx, m)
		})
		peer.Serve()
		bed.put(fleet.Delta{Entries: []fleet.Entry{{Addr: addr, Region: "r", DataCentre: "d"}}})
	}
	bed.isolateNow()
	return bed
}
