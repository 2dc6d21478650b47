package gateway

import (
	"context"
	"sync/atomic"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// stopping is the state of a planned stop.
type stopping struct {
	// refusing says that new requests are refused: they may not end in time.
	refusing atomic.Bool
	// service ends when all requests get their final answer.
	service    context.Context
	endService context.CancelFunc
}

func newStopping() stopping {
	service, end := context.WithCancel(context.Background())
	return stopping{service: service, endService: end}
}

// RefuseNew lets the entry refuse requests that come from now on. Their callers
// are told to come back, and reach another entry then.
func (g *Gateway) RefuseNew() { g.stopping.refusing.Store(true) }

// EndService gives all requests their final answer: those that wait for a holder
// of their key or for room are refused, and those that a target has get a
// time-out. A connection that ends without an answer would leave its caller
// waiting, also where the target is silent.
func (g *Gateway) EndService() { g.stopping.endService() }

// over reports whether no request may be sent any more.
func (s *stopping) over() bool { return s.service.Err() != nil }

func errStopping() *errkind.Error {
	return errkind.New(errkind.Stopping, "this VM is about to stop")
}
