package entry

import (
	"context"
	"sync"

	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/relay"
	"github.com/flamingoreel/flamingoreel/internal/routing"
)

// selectors holds one selector per service without ownership.
type selectors struct {
	seed      uint64
	mu        sync.Mutex
	byService map[string]*routing.Selector
}

func newSelectors(seed uint64) *selectors {
	return &selectors{seed: seed, byService: make(map[string]*routing.Selector)}
}

func (s *selectors) get(service string) *routing.Selector {
	s.mu.Lock()
	defer s.mu.Unlock()
	sel, ok := s.byService[service]
	if !ok {
		sel = routing.NewSelector(s.seed)
		s.byService[service] = sel
	}
	return sel
}

// tryAny relays a request to a target chosen by observed latency and load.
func (e *Entry) tryAny(ctx context.Context, table *control.Table, req *relay.Request) (*relay.Reply, *errkind.Error) {
	candidates := e.candidates(table, req)
	selector := e.selectors.get(req.Service)
	c, ok := selector.Pick(e.cfg.Now(), candidates, "")
	if !ok {
		return nil, errkind.New(errkind.NoOwner, "service %s has no usable target", req.Service)
	}
	attempt := *req
	attempt.Target = c.Target
	started := e.cfg.Now()
	selector.Started(c.Target)
	reply, err := e.cfg.Router.Relay(ctx, c.VM, &attempt)
	now := e.cfg.Now()
	selector.Done(now, c.Target, now-started, err == nil)
	return reply, err
}

func (e *Entry) candidates(table *control.Table, req *relay.Request) []routing.Candidate {
	routes := table.Routes(req.Service, req.Residency)
	candidates := make([]routing.Candidate, 0, len(routes))
	for _, r := range routes {
		candidates = append(candidates, routing.Candidate{
			Target: r.Target.ID,
			VM:     r.Dispatch.VM,
			Local:  table.RegionOf(r.Target.DataCentre) == e.cfg.Region,
		})
	}
	return candidates
}
