package entry

import (
	"context"
	"sync"

	"github.com/flamingoreel/flamingoreel/internal/configtext"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/relay"
	"github.com/flamingoreel/flamingoreel/internal/routing"
)

// selectors holds one selector for each service whose keys any target may serve.
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

// tryAny relays a request to a target chosen by observed latency and load. An
// idempotent request that takes unusually long is sent to a second target
// while the hedge budget lasts; the slower attempt is cancelled.
func (e *Entry) tryAny(ctx context.Context, table *control.Table, service *configtext.Service, req *relay.Request) (*relay.Reply, *errkind.Error) {
	candidates := e.candidates(table, req)
	selector := e.selectors.get(req.Service)
	first, ok := selector.Pick(e.cfg.Now(), candidates, "")
	if !ok {
		return nil, errkind.New(errkind.NoOwner, "service %s has no usable target", req.Service)
	}
	allow := func() bool {
		return len(candidates) > 1 && routing.MayHedge(e.hedges, service.Ownership, req.Idempotent())
	}
	e.hedges.Earn()
	reply, err := routing.Hedge(ctx, selector.HedgeAfter(e.cfg.Now()), allow, func(ctx context.Context, hedge bool) (*relay.Reply, error) {
		if !hedge {
			return e.sendTo(ctx, selector, first, req)
		}
		second, ok := selector.Pick(e.cfg.Now(), candidates, first.Target)
		if !ok {
			return nil, errkind.New(errkind.NoOwner, "service %s has no second target", req.Service)
		}
		return e.sendTo(ctx, selector, second, req)
	})
	if err != nil {
		return nil, errkind.From(err)
	}
	return reply, nil
}

// sendTo relays a request to one candidate and reports the result to the
// selector.
func (e *Entry) sendTo(ctx context.Context, selector *routing.Selector, c routing.Candidate, req *relay.Request) (*relay.Reply, error) {
	attempt := *req
	attempt.Target = c.Target
	started := e.cfg.Now()
	selector.Started(c.Target)
	reply, err := e.cfg.Router.Relay(ctx, c.VM, &attempt)
	now := e.cfg.Now()
	if err == nil {
		selector.Done(now, c.Target, now-started, true)
		return reply, nil
	}
	if ctx.Err() != nil {
		selector.Cancelled(now, c.Target, now-started)
	} else {
		selector.Done(now, c.Target, now-started, false)
	}
	return nil, err
}

// candidates lists the usable targets of a service with their distance from this
// VM.
func (e *Entry) candidates(table *control.Table, req *relay.Request) []routing.Candidate {
	routes := table.Routes(req.Service, req.Residency)
	candidates := make([]routing.Candidate, 0, len(routes))
	for _, r := range routes {
		candidates = append(candidates, routing.Candidate{
			Target: r.Target.ID,
			VM:     r.Dispatch.VM,
			Local:  r.Target.DataCentre == e.cfg.DataCentre,
			Remote: table.RegionOf(r.Target.DataCentre) != e.cfg.Region,
		})
	}
	return candidates
}
