package controller

import (
	"context"
	"sync"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// maxSuspicions bounds the suspicions that a control VM passes on; entries that
// lag further miss the oldest.
const maxSuspicions = 512

// suspicions are what entries told of requests that may crash their targets. They
// are passed on, not kept: a lost one costs one more crash.
type suspicions struct {
	origin uint64

	mu   sync.Mutex
	list []admission.Suspicion
	// next is the number of the next suspicion; those in the list come before it.
	next uint64
}

// add appends suspicions.
func (s *suspicions) add(news []admission.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next += uint64(len(news))
	s.list = append(s.list, news...)
	s.list = s.list[max(0, len(s.list)-maxSuspicions):]
}

// since returns the suspicions after a mark, and the mark of their end.
func (s *suspicions) since(heard watch.Mark) ([]admission.Suspicion, watch.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := watch.Mark{Origin: s.origin, Next: s.next}
	lacking := s.next
	if heard.Origin == s.origin {
		lacking = s.next - min(heard.Next, s.next)
	}
	from := len(s.list) - int(min(lacking, uint64(len(s.list))))
	return append([]admission.Suspicion(nil), s.list[from:]...), end
}

// passSuspicions takes in what an entry told and tells the other control VMs.
func (c *Controller) passSuspicions(news []admission.Suspicion) {
	if len(news) == 0 {
		return
	}
	c.suspicions.add(news)
	payload, err := wire.Marshal(news)
	if err != nil {
		c.cfg.Logger.WithError(err).Error("suspicions cannot be encoded")
		return
	}
	for _, peer := range c.Known() {
		if peer.Addr != c.cfg.Addr {
			c.links.SetPeer(peer.Addr, peer.Addr)
			c.links.Send(peer.Addr, methodSuspicions, payload)
		}
	}
}

// suspicionsReceived takes in what another control VM heard from its entries.
func (c *Controller) suspicionsReceived(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var news []admission.Suspicion
	if err := wire.Unmarshal(payload, &news); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "suspicions cannot be read")
	}
	c.suspicions.add(news)
	return nil, nil
}
