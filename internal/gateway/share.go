package gateway

import (
	"maps"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
	"github.com/flamingoreel/flamingoreel/internal/registry"
)

// subset returns the preferred targets of a service: a part of those in the
// entry's own data centre and a part of those in its region. The mutex is held.
func (g *Gateway) subset(view *fleet.View, service string) map[string]bool {
	if known, ok := g.subsets[service]; ok {
		return known
	}
	chosen := g.subsetOf(view, service, func(dataCentre string) bool { return dataCentre == g.cfg.DataCentre })
	maps.Copy(chosen, g.subsetOf(view, service, func(dataCentre string) bool { return g.cfg.Regions[dataCentre] == g.cfg.Region }))
	g.subsets[service] = chosen
	return chosen
}

// subsetOf divides the targets of a place among the entries there.
func (g *Gateway) subsetOf(view *fleet.View, service string, here func(dataCentre string) bool) map[string]bool {
	var targets, entries []string
	for _, e := range view.Endpoints(service) {
		if here(e.DataCentre) {
			targets = append(targets, e.ID)
		}
	}
	for _, e := range view.Entries() {
		if here(e.DataCentre) {
			entries = append(entries, e.Addr)
		}
	}
	return placement.Subset(g.cfg.Addr, entries, targets)
}

// Figures of the work of a route.
const (
	// aimPerWork is the usual ratio of a route's aim to the work of a request, by
	// which the work is guessed before the first response.
	aimPerWork = 2.7
	// routeWorkShare is the weight of a new observation.
	routeWorkShare = 0.05
)

// workOf returns what a request of a route takes on an ordinary target without
// load; the mutex is held.
func (g *Gateway) workOf(name string, route *items.Route) time.Duration {
	if work := g.works[name]; work > 0 {
		return work
	}
	return time.Duration(float64(route.Aim) / aimPerWork)
}

// learnWork takes in an observation of a route's work; the mutex is held.
func (g *Gateway) learnWork(name string, known, seen time.Duration) {
	g.works[name] = known + time.Duration(routeWorkShare*float64(seen-known))
}

// pressure returns how much work waits at the targets of a service; the mutex is
// held.
func (g *Gateway) pressure(service string) *placement.Pressure {
	p := g.pressures[service]
	if p == nil {
		p = new(placement.Pressure)
		g.pressures[service] = p
	}
	return p
}

// admit reports whether a request may add to the work of its service. Only one
// that no target has got yet may be refused: it is known not to run.
func (a *attempt) admit(view *fleet.View, now, expected time.Duration) bool {
	if a.sharded || a.sends+a.refusals+a.unreachable > 0 {
		return true
	}
	urgent := a.route.Priority < view.LeastUrgent(a.service)
	return a.g.pressure(a.service).Admit(expected, a.arrived+a.route.Aim-now, urgent, a.g.rng.Float64())
}

// maxSampledKeys bounds the keys of one service in one watch.
const maxSampledKeys = 64

// sampleKey notes a request for a key; the mutex is held.
func (g *Gateway) sampleKey(service string, key int) {
	s := g.samplesOf(service)
	if len(s.Keys) < maxSampledKeys {
		s.Keys = append(s.Keys, key)
	}
}

func (g *Gateway) samplesOf(service string) *registry.Samples {
	s := g.samples[service]
	if s == nil {
		s = &registry.Samples{Service: service}
		g.samples[service] = s
	}
	return s
}

// sampleWork notes how long a target took for a request; the mutex is held.
func (g *Gateway) sampleWork(service string, in fleet.Incarnation, took time.Duration) {
	g.samplesOf(service).AddWork(registry.Work{Target: in, Mean: took, Count: 1})
}

// takeSamples returns what was seen since the last call.
func (g *Gateway) takeSamples() []registry.Samples {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []registry.Samples
	for _, s := range g.samples {
		all = append(all, *s)
	}
	clear(g.samples)
	return all
}

// split divides the requests of a route by the weights of its services. Each
// request goes to the service that lags most behind its share, so that the
// shares hold over short spans too.
type split struct {
	weights []items.Share
	credit  []float64
}

// next returns the service of the next request.
func (s *split) next(shares []items.Share) string {
	if !equalShares(s.weights, shares) {
		s.weights, s.credit = shares, make([]float64, len(shares))
	}
	total := 0
	for _, share := range shares {
		total += share.Weight
	}
	best := 0
	for i, share := range shares {
		s.credit[i] += float64(share.Weight) / float64(total)
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best]--
	return shares[best].Service
}

func equalShares(a, b []items.Share) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
