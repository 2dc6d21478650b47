package controller

import (
	"context"
	"sync"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// maxSuspicions bounds the number of suspicions that a control VM keeps for entry
// VMs. An entry VM that lags further behind misses the oldest.
const maxSuspicions = 512

// suspicions buffers the reports of entry VMs about requests that may crash their
// targets. They are forwarded but not stored durably: a lost one costs one more
// crash.
type suspicions struct {
	// origin identifies this list in a watch.Cursor.
	origin uint64

	mu   sync.Mutex
	list []admission.Suspicion
	// next is the number of the next suspicion. The list holds the ones before it.
	next uint64
}

// add appends suspicions and drops the oldest beyond maxSuspicions.
func (s *suspicions) add(added []admission.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next += uint64(len(added))
	s.list = append(s.list, added...)
	s.list = s.list[max(0, len(s.list)-maxSuspicions):]
}

// since returns the suspicions after a mark, and the mark of their end. A mark of
// another origin stands for the start of the list.
func (s *suspicions) since(after watch.Cursor) ([]admission.Suspicion, watch.Cursor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := watch.Cursor{Origin: s.origin, Next: s.next}
	missing := s.next
	if after.Origin == s.origin {
		missing = s.next - min(after.Next, s.next)
	}
	from := len(s.list) - int(min(missing, uint64(len(s.list))))
	return append([]admission.Suspicion(nil), s.list[from:]...), end
}

// forwardSuspicions adds the suspicions of an entry VM and sends them to the other
// control VMs.
func (c *Controller) forwardSuspicions(received []admission.Suspicion) {
	if len(received) == 0 {
		return
	}
	c.suspicions.add(received)
	payload, err := wire.Marshal(received)
	if err != nil {
		c.cfg.Logger.WithError(err).Error("suspicions cannot be encoded")
		return
	}
	for _, peer := range c.ControlVMs() {
		if peer.Addr != c.cfg.Addr {
			c.links.SetPeer(peer.Addr, peer.Addr)
			c.links.Send(peer.Addr, methodSuspicions, payload)
		}
	}
}

// handleSuspicions adds the suspicions that another control VM received from entry
// VMs.
func (c *Controller) handleSuspicions(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var received []admission.Suspicion
	if err := wire.Unmarshal(payload, &received); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "suspicions cannot be read")
	}
	c.suspicions.add(received)
	return nil, nil
}
