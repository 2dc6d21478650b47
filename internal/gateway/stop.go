package gateway

import (
	"context"
	"sync/atomic"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// stopping is the state of a planned stop.
type stopping struct {
	// refusing reports that new requests are refused because they may not
	// finish in time.
	refusing atomic.Bool
	// declining reports that requests of other entry VMs are declined.
	declining atomic.Bool
	// serviceCtx ends when all requests must get their final answer.
	serviceCtx    context.Context
	cancelService context.CancelFunc
}

func newStopping() stopping {
	service, end := context.WithCancel(context.Background())
	return stopping{serviceCtx: service, cancelService: end}
}

// DeclineRelayed makes the gateway decline requests that other entry VMs relay from
// now on. They reach another VM at once.
func (g *Gateway) DeclineRelayed() { g.stopping.declining.Store(true) }

// RefuseNew makes the gateway refuse requests that arrive from now on. Their
// callers are told to retry and then reach another entry VM.
func (g *Gateway) RefuseNew() { g.stopping.refusing.Store(true) }

// FinishRequests gives all requests their final answer: requests that wait for a
// holder of their key or for capacity are refused, and requests at a target
// get a timeout. A connection that ends without an answer would leave its
// caller waiting, even if the target does not respond.
func (g *Gateway) FinishRequests() { g.stopping.cancelService() }

// ended reports whether no more requests may be sent.
func (s *stopping) ended() bool { return s.serviceCtx.Err() != nil }

func errStopping() *errkind.Error {
	return errkind.New(errkind.Stopping, "this VM is shutting down")
}
