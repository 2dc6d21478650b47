package gateway

import (
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// hasSlowStart reports whether slow start applies to the targets of a service: to those
// of services whose configuration names a cold start. A key has one holder, so requests
// for it have no other target to which they could go meanwhile.
func hasSlowStart(s items.Service) bool { return !s.Sharded && (s.ColdRate > 0 || s.ColdPeriod > 0) }

// defaultSlowStartEntries is the least number of entries in a region at which slow start
// applies to its targets. Fewer entries see each target often enough: with three of them
// slow start delays the fair share by two seconds and prevents no flood.
const defaultSlowStartEntries = 8

// entriesInRegion returns the number of entries in the gateway's region; the mutex is
// held.
func (g *Gateway) entriesInRegion(view *fleet.View) int {
	if first := firstEntry(view); g.regionEntries.first != first || first == nil {
		g.regionEntries = countedEntries{first: first}
		for _, entry := range view.Entries() {
			if entry.Region == g.cfg.Region {
				g.regionEntries.count++
			}
		}
	}
	return g.regionEntries.count
}

// countedEntries is a number of entries and the list in which they were counted.
type countedEntries struct {
	first *fleet.Entry
	count int
}

// paces gives the paces at the targets of a service.
type paces struct {
	g                           *Gateway
	view                        *fleet.View
	service                     items.Service
	name                        string
	counted                     bool
	targets, entries, preferred int
}

// at returns the pace at a target; the mutex is held.
func (p *paces) at(e *fleet.Endpoint, t *targetState) placement.Pace {
	g := p.g
	preferred := g.subset(p.view, p.name)
	if !p.counted {
		p.counted, p.preferred = true, len(preferred)
		for _, other := range p.view.Endpoints(p.name) {
			if g.cfg.Regions[other.DataCentre] == g.cfg.Region {
				p.targets++
			}
		}
		p.entries = g.entriesInRegion(p.view)
	}
	permitted := p.service.ColdRate*g.cfg.ColdFactor + g.cfg.ColdSlack
	pace := placement.NewPace(permitted, g.coldInterval(p.view, p.service, e, t), preferred[e.ID], p.preferred, p.targets, p.entries, len(p.view.Entries()))
	pace.Phase = g.rng.Float64()
	return pace
}

// pacesOf returns the paces at the targets of a service, nil if slow start does not
// apply to them; the mutex is held.
func (g *Gateway) pacesOf(view *fleet.View, name string) *paces {
	service, ok := view.Service(name)
	if !g.cfg.SlowStart || !ok || !hasSlowStart(service) || g.entriesInRegion(view) < g.slowStartEntries {
		return nil
	}
	return &paces{g: g, view: view, service: service, name: name}
}

// follow brings slow start of a target up to date; the mutex is held.
func (p *paces) follow(e *fleet.Endpoint, t *targetState, now time.Duration) {
	if p == nil {
		return
	}
	if t.slowStart.Expire(now) {
		p.g.logSlowStart(e, "", "target left slow start")
	}
	if t.slowStart.Origin(now) == "" && t.Avoided(now, e.Slots) && p.g.subset(p.view, p.name)[e.ID] && t.slowStart.Avoided(now, p.at(e, t)) {
		p.g.logSlowStart(e, placement.OriginSlow, "target in slow start")
	}
	until := max(e.ColdUntil, t.coldUntil)
	if until <= now || t.slowStart.ColdUntil() == until {
		return
	}
	if t.slowStart.Cold(now, until, p.at(e, t)) {
		p.g.logSlowStart(e, placement.OriginCold, "target in slow start")
	}
}

// accepts reports whether slow start lets a request through to a target.
func (p *paces) accepts(t *targetState, now time.Duration) bool {
	return p == nil || t.slowStart.Accepts(now)
}

// due reports whether the request is to be sent to a target in slow start whatever is
// expected of that one. A request that has been sent before is not put at risk again.
func (p *paces) due(a *activeRequest, t *targetState, now time.Duration) bool {
	return p != nil && a.attempts+a.sameTargetRetries+a.unreachable == 0 && t.slowStart.Due(now, a.route.Kind.Idempotent())
}

// logSlowStart logs that a target entered or left slow start.
func (g *Gateway) logSlowStart(e *fleet.Endpoint, origin placement.Origin, message string) {
	entry := g.cfg.Logger.WithFields(log.Fields{"target": e.ID, "service": e.Service})
	if origin != "" {
		entry = entry.WithField("origin", string(origin))
	}
	entry.Info(message)
}

// released begins slow start of a target that passed a health check; the mutex is held.
func (g *Gateway) released(c choice, now time.Duration) {
	p := g.pacesOf(g.view.Load(), c.endpoint.Service)
	if p == nil {
		return
	}
	if c.state.slowStart.Released(now, p.at(c.endpoint, c.state)) {
		g.logSlowStart(c.endpoint, placement.OriginReleased, "target in slow start")
	}
}

// quality returns what an attempt says about the pace of its target, and false if it
// says nothing; the mutex is held.
func (g *Gateway) quality(a *activeRequest, res attemptResult, now time.Duration) (placement.Quality, bool) {
	failure, s := res.failure, res.info
	switch {
	case res.undialed, failure != nil && errors.Is(failure, upstream.ErrWithdrawn):
		return 0, false
	case failure != nil && failure.Kind == errkind.AnswerTimeout && now < a.deadline:
		// The attempt was cancelled.
		return 0, false
	case failure == nil && s.Misdirected:
		return 0, false
	case failure != nil, s.NotRun, res.resp.Status >= 500:
		return placement.Failed, true
	}
	state := res.choice.state
	return placement.Judge(now, res.took, g.workOf(a.name, a.route), res.choice.endpoint.Slots, s.Load, state.ServiceAverage), true
}

// updatePace records what an attempt says about the pace of its target, before its
// response changes the estimates. The mutex is held.
func (g *Gateway) updatePace(a *activeRequest, res attemptResult, now time.Duration) {
	c := res.choice
	if c.state.slowStart.Origin(now) == "" {
		return
	}
	quality, ok := g.quality(a, res, now)
	if !ok {
		return
	}
	capacity := g.workOf(a.name, a.route) / time.Duration(max(c.endpoint.Slots, 1))
	recovered, ended := c.state.slowStart.Responded(now, c.chosenAt, capacity, quality)
	if recovered {
		c.state.ProbeSucceeded()
	}
	if ended {
		g.logSlowStart(c.endpoint, "", "target left slow start")
	}
}

// updateRecovery ends the trials of a target that no longer counts as slow; the mutex is
// held.
func (g *Gateway) updateRecovery(c choice, now time.Duration) {
	if !c.state.Slow(now, c.endpoint.Slots) && c.state.slowStart.NotAvoided() {
		g.logSlowStart(c.endpoint, "", "target left slow start")
	}
}

// slowStartCollector counts the targets in slow start by service and origin.
type slowStartCollector struct{ g *Gateway }

// slowStartTargets describes the metric of a slowStartCollector.
var slowStartTargets = prometheus.NewDesc(
	"flamingoreel_gateway_slow_start_targets", "Targets in slow start.", []string{"service", "origin"}, nil,
)

// Describe implements prometheus.Collector.
func (slowStartCollector) Describe(descs chan<- *prometheus.Desc) { descs <- slowStartTargets }

// Collect implements prometheus.Collector.
func (c slowStartCollector) Collect(metrics chan<- prometheus.Metric) {
	for service, counts := range c.g.countSlowStarts() {
		for origin, count := range counts {
			metrics <- prometheus.MustNewConstMetric(slowStartTargets, prometheus.GaugeValue, count, service, string(origin))
		}
	}
}

// countSlowStarts returns the number of targets in slow start by origin for each service
// to which slow start applies.
func (g *Gateway) countSlowStarts() map[string]map[placement.Origin]float64 {
	now, view := g.now(), g.view.Load()
	counts := make(map[string]map[placement.Origin]float64)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range view.AllEndpoints() {
		if service, ok := view.Service(e.Service); !ok || !hasSlowStart(service) {
			continue
		}
		if counts[e.Service] == nil {
			counts[e.Service] = map[placement.Origin]float64{placement.OriginCold: 0, placement.OriginReleased: 0, placement.OriginSlow: 0}
		}
		if t := g.targetStates[e.Incarnation]; t != nil {
			if origin := t.slowStart.Origin(now); origin != "" {
				counts[e.Service][origin]++
			}
		}
	}
	return counts
}
