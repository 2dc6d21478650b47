package gateway

import (
	"maps"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
	"github.com/flamingoreel/flamingoreel/internal/registry"
)

// subset returns the preferred targets of a service: some of those in the
// gateway's own data centre and some of those in its region. The mutex is held.
func (g *Gateway) subset(view *fleet.View, service string) map[string]bool {
	if known, ok := g.subsets[service]; ok {
		return known
	}
	chosen := g.subsetOf(view, service, func(dataCentre string) bool { return dataCentre == g.cfg.DataCentre })
	maps.Copy(chosen, g.subsetOf(view, service, func(dataCentre string) bool { return g.cfg.Regions[dataCentre] == g.cfg.Region }))
	g.subsets[service] = chosen
	return chosen
}

// subsetOf divides the local targets among the local entry VMs.
func (g *Gateway) subsetOf(view *fleet.View, service string, local func(dataCentre string) bool) map[string]bool {
	var targets, entries []string
	for _, e := range view.Endpoints(service) {
		if local(e.DataCentre) {
			targets = append(targets, e.ID)
		}
	}
	for _, e := range view.Entries() {
		if local(e.DataCentre) {
			entries = append(entries, e.Addr)
		}
	}
	return placement.Subset(g.cfg.Addr, entries, targets)
}

// workOf returns the service time of a route's requests on an average target
// without load; the mutex is held.
func (g *Gateway) workOf(name string, route *items.Route) time.Duration {
	return g.routeWork[name].Value(g.now(), placement.InitialWork(route.LatencyObjective, route.Timeout))
}

// updateWork adds an observation to the service time of a route; the mutex is
// held.
func (g *Gateway) updateWork(name string, route *items.Route, observed time.Duration) {
	w := g.routeWork[name]
	if w == nil {
		w = new(placement.WorkEstimate)
		g.routeWork[name] = w
	}
	w.Add(g.now(), placement.InitialWork(route.LatencyObjective, route.Timeout), observed)
}

// pressure returns the queue pressure at the targets of a service; the mutex is
// held.
func (g *Gateway) pressure(service string) *placement.LoadShedder {
	p := g.pressures[service]
	if p == nil {
		p = new(placement.LoadShedder)
		g.pressures[service] = p
	}
	return p
}

// admit reports whether a request is admitted under the queue pressure of its
// service. Only a request that no target has received yet may be refused, since
// it certainly did not run.
func (a *activeRequest) admit(view *fleet.View, now, expected time.Duration) bool {
	if a.sharded || a.attempts+a.sameTargetRetries+a.unreachable > 0 {
		return true
	}
	urgent := a.route.Priority < view.LeastUrgent(a.service)
	return a.g.pressure(a.service).Admit(now, expected, a.arrived+a.route.LatencyObjective-now, urgent, a.g.rng.Float64())
}

// maxSampledKeys bounds the sampled keys of one service in one watch.
const maxSampledKeys = 64

// sampleKey records a request for a key; the mutex is held.
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

// sampleWork records how long a target took for a request; the mutex is held.
func (g *Gateway) sampleWork(service string, in fleet.Incarnation, took time.Duration) {
	g.samplesOf(service).AddServiceTime(registry.ServiceTime{Target: in, Mean: took, Count: 1})
}

// takeSamples returns the samples since the last call and clears them.
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

// split distributes the requests of a route by the weights of its services.
// Each request goes to the service furthest below its share, so that the
// weights also hold over short spans.
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
