package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// stopReserve is the multiple of its expected response time that must be left until
// the end of a planned stop for a request to be sent: many take longer than expected.
const stopReserve = 2

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
	// end is the monotonic time at which serviceCtx is going to end, or 0.
	end atomic.Int64
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

// FinishWithin announces that FinishRequests follows after a time. Requests that may
// take longer at their target are refused instead of sent: those that may not be
// repeated would be cut off.
func (g *Gateway) FinishWithin(d time.Duration) { g.stopping.end.Store(int64(g.now() + d)) }

// FinishRequests gives all requests their final answer: requests that wait for a
// holder of their key or for capacity are refused, and requests at a target
// get a timeout. A connection that ends without an answer would leave its
// caller waiting, even if the target does not respond.
func (g *Gateway) FinishRequests() { g.stopping.cancelService() }

// endsBefore reports whether the stop ends before a time.
func (s *stopping) endsBefore(t time.Duration) bool {
	end := s.end.Load()
	return end != 0 && time.Duration(end) < t
}

// ended reports whether no more requests may be sent.
func (s *stopping) ended() bool { return s.serviceCtx.Err() != nil }

func errStopping() *errkind.Error {
	return errkind.New(errkind.Stopping, "this VM is shutting down")
}
