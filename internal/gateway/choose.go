package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// choice is the target of one attempt.
type choice struct {
	endpoint *fleet.Endpoint
	state    *targetState
	// probe reports that the response is expected after the deadline; see
	// placement.Probe.
	probe bool
	// due reports that slow start chose the target; see placement.FirstDue.
	due bool
	// chosenAt is the time of the choice.
	chosenAt time.Duration
}

// choose returns the target of the next attempt and counts it as started. It
// waits while the key has no holder and while its holder is in a backoff.
func (a *activeRequest) choose(ctx context.Context) (choice, *errkind.Error) {
	for {
		if a.g.stopping.ended() {
			return choice{}, errStopping()
		}
		if a.mustRelay() {
			return choice{}, errIsolated()
		}
		a.g.mu.Lock()
		changed := a.g.changed
		c, failure := a.pick(true)
		wait := a.usableAt - a.g.now()
		a.g.mu.Unlock()
		switch {
		case failure == nil:
			return c, nil
		case failure.Kind == errkind.NoOwner && a.usableAt == 0:
			wait = forever
		case a.usableAt == 0:
			return choice{}, failure
		}
		if !a.waitForChange(ctx, changed, wait) {
			return choice{}, failure
		}
	}
}

// pick chooses among the targets. mayProbe permits a target from which no response is
// expected in time. The gateway's mutex is held.
func (a *activeRequest) pick(mayProbe bool) (choice, *errkind.Error) {
	g := a.g
	view := g.view.Load()
	now := g.now()
	a.usableAt, a.unavailable, a.returnsAt = 0, available, 0
	service, ok := view.Service(a.service)
	if !ok {
		return choice{}, errkind.New(errkind.UnknownService, "service %s is not known", a.service)
	}
	endpoints, failure := a.eligible(view, service)
	if failure != nil {
		return choice{}, failure
	}
	candidates, choices := a.candidates(view, service, endpoints, now, mayProbe)
	left := a.arrived + a.route.LatencyObjective - now
	entries := len(view.Entries())
	g.average(a.service).Entries = entries
	if due, _ := placement.FirstDue(now, g.workOf(a.name, a.route), candidates); due >= 0 && !g.stopping.endsBefore(a.deadline) {
		choices[due].due = true
		return a.take(view, service, choices[due], candidates[due].Cold, now), nil
	}
	i, expected := placement.Choose(now, g.workOf(a.name, a.route), left, g.rng, candidates)
	if i < 0 {
		g.notePathIfBlocked(now, endpoints)
		if failure := a.pausedFailure(view); failure != nil && a.usableAt == 0 {
			return choice{}, failure
		}
		return choice{}, errkind.New(errkind.TargetUnreachable, "none of the %d targets of %s is available", len(endpoints), a.service)
	}
	probe := -1
	if now+expected > a.deadline {
		least := g.routeWork[a.name].Least(now)
		if mayProbe && !g.stopping.endsBefore(a.deadline) {
			probe = placement.Probe(now, least, a.deadline-now, entries, g.rng, candidates)
		}
		if probe < 0 {
			return choice{}, errkind.New(errkind.Overloaded, "the expected response time of %v exceeds the remaining %v", expected.Round(time.Millisecond), (a.deadline - now).Round(time.Millisecond))
		}
		i, expected, choices[probe].probe = probe, least, true
		g.metrics.lateProbes.Inc()
	}
	if g.stopping.endsBefore(now + stopReserve*expected) {
		return choice{}, errStopping()
	}
	if probe < 0 && !a.admit(view, now, expected) {
		// Another region may have capacity, for example after the loss of a
		// data centre.
		if i, expected = placement.Fastest(now, g.workOf(a.name, a.route), candidates); !placement.WithinBudget(expected, left) {
			return choice{}, errkind.New(errkind.Overloaded, "the targets of %s are overloaded", a.service)
		}
	}
	return a.take(view, service, choices[i], candidates[i].Cold, now), nil
}

// candidates returns those of the targets that accept the request now, as candidates and
// as choices with the same indexes. If slow start holds back all of them, it holds back
// none. The mutex is held.
func (a *activeRequest) candidates(view *fleet.View, service items.Service, endpoints []*fleet.Endpoint, now time.Duration, mayProbe bool) ([]placement.Candidate, []choice) {
	g := a.g
	preferred, paces := g.subset(view, a.service), g.pacesOf(view, a.service)
	candidates, choices := make([]placement.Candidate, 0, len(endpoints)), make([]choice, 0, len(endpoints))
	var held []placement.Candidate
	var heldChoices []choice
	for _, e := range endpoints {
		t := g.stateOf(e)
		if !t.Accepts(now, t.InFlight) {
			a.deferTo(t, now)
			continue
		}
		if !a.withinLimit(view, e, t, now) {
			continue
		}
		cold := max(e.ColdUntil, t.coldUntil) > now
		paces.follow(e, t, now)
		if until := t.BlockedUntil(); a.sharded && until > now && until < a.deadline {
			a.usableAt = until
		}
		if t.Blocked(now) || cold && (!t.ColdReady(now) || g.coldInterval(view, service, e, t) == 0) {
			continue
		}
		candidate := placement.Candidate{
			Stats: &t.TargetStats, Slots: e.Slots, Distance: g.distance(e.DataCentre), Cold: cold,
			OutsideSubset: !a.sharded && !preferred[e.ID] && g.cfg.Regions[e.DataCentre] == g.cfg.Region, Explore: a.route.Kind.Idempotent(),
		}
		chosen := choice{endpoint: e, state: t, chosenAt: now}
		if !paces.accepts(t, now) {
			held, heldChoices = append(held, candidate), append(heldChoices, chosen)
			continue
		}
		candidate.Due = mayProbe && paces.due(a, t, now)
		candidates, choices = append(candidates, candidate), append(choices, chosen)
	}
	if len(candidates) == 0 && mayProbe {
		return held, heldChoices
	}
	return candidates, choices
}

// take counts the attempt at a chosen target; the mutex is held.
func (a *activeRequest) take(view *fleet.View, service items.Service, c choice, cold bool, now time.Duration) choice {
	if cold {
		c.state.AllowCold(now, a.g.coldInterval(view, service, c.endpoint, c.state))
	}
	a.takeLimit(c, now)
	c.state.slowStart.Sent(now)
	c.state.Started()
	c.state.usedSinceCheck = true
	return c
}

// eligible returns the targets that may run the request.
func (a *activeRequest) eligible(view *fleet.View, service items.Service) ([]*fleet.Endpoint, *errkind.Error) {
	all := view.Endpoints(a.service)
	if service.Sharded && a.req.Key != NoKey {
		owner, ok := view.Owner(a.service, a.req.Key)
		if !ok {
			return nil, errkind.New(errkind.NoOwner, "no target holds key %d", a.req.Key)
		}
		if failure := a.handoverFailure(view, owner); failure != nil {
			return nil, failure
		}
		all = []*fleet.Endpoint{owner}
	}
	fit := make([]*fleet.Endpoint, 0, len(all))
	for _, e := range all {
		if a.allowed(view, e) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		if failure := a.pausedFailure(view); failure != nil {
			return nil, failure
		}
		a.noteLeaving(all)
		return nil, errkind.New(errkind.TargetUnreachable, "no target of %s may run the request", a.service)
	}
	return fit, nil
}

func (a *activeRequest) allowed(view *fleet.View, e *fleet.Endpoint) bool {
	if e.Condition != fleet.Ready || view.DataCentreOut(e.DataCentre) || a.g.stateOf(e).Leaving() || slices.Contains(a.tried, e.Incarnation) {
		return false
	}
	if a.targetCount()+a.lostRelays >= a.route.MaxAttempts && !slices.Contains(a.retryableAt, e.Incarnation) {
		return false
	}
	return len(a.route.AllowedRegions) == 0 || slices.Contains(a.route.AllowedRegions, a.g.cfg.Regions[e.DataCentre])
}

// targetCount returns the number of different targets to which the request was
// sent.
func (a *activeRequest) targetCount() int {
	count := len(a.retryableAt)
	for i, in := range a.retryableAt {
		if slices.Contains(a.retryableAt[:i], in) {
			count--
		}
	}
	for _, in := range a.tried {
		if !slices.Contains(a.retryableAt, in) {
			count++
		}
	}
	return count
}

// stateOf returns the state of a target, which it creates if needed; the mutex
// is held.
func (g *Gateway) stateOf(e *fleet.Endpoint) *targetState {
	t := g.targetStates[e.Incarnation]
	if t == nil {
		t = &targetState{TargetStats: placement.TargetStats{ServiceAverage: g.average(e.Service)}}
		g.targetStates[e.Incarnation] = t
	}
	return t
}

// average returns the averages of a service's targets; the mutex is held.
func (g *Gateway) average(service string) *placement.ServiceAverage {
	n := g.averages[service]
	if n == nil {
		n = new(placement.ServiceAverage)
		g.averages[service] = n
	}
	return n
}

func (g *Gateway) distance(dataCentre string) placement.Distance {
	switch {
	case dataCentre == g.cfg.DataCentre:
		return placement.SameDataCentre
	case g.cfg.Regions[dataCentre] == g.cfg.Region:
		return placement.SameRegion
	}
	return placement.OtherRegion
}
