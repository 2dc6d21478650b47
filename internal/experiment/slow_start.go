package experiment

import (
	"fmt"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// DisturbanceKind is what happens to disturbed targets.
type DisturbanceKind int

// The kinds of disturbances. Each ends with targets that a policy must find the pace of.
const (
	// Joining targets do not exist before the end of the disturbance.
	Joining DisturbanceKind = iota
	// Returning targets are unreachable meanwhile, as those of a data centre that is out
	// of service.
	Returning
	// Failing targets are unreachable meanwhile, and used again after a health check of
	// each entry.
	Failing
	// Slow targets serve more slowly by Factor.
	Slow
)

// Disturbance is a disturbance of some targets.
type Disturbance struct {
	Kind DisturbanceKind
	// DataCentre is the index of the data centre whose targets are disturbed; -1 disturbs
	// each Every-th target of all.
	DataCentre, Every int
	From, To          time.Duration
	Factor            float64
	// ColdFor is how long after To targets are slower by ColdFactor.
	ColdFor    time.Duration
	ColdFactor float64
}

// SlowStartPatterns returns the patterns in which targets start or recover, for each origin
// of slow start and number of entries. The load is near the capacity of the targets.
func SlowStartPatterns() []Pattern {
	ledger, grown := Patterns()[0], Patterns()[0]
	for _, p := range Patterns() {
		if p.Name == "ledger grown, stated" {
			grown = p
		}
	}
	small, most := ledger, grown
	small.PerSecond *= nearCapacity
	most.DataCentres = dataCentres(3, 2, []int{33, 32, 33, 32, 33, 32}, []int{33, 33, 33, 33, 33, 32})
	grown.DataCentres = dataCentres(3, 2, []int{13, 13, 13, 13, 12, 12}, []int{33, 33, 33, 33, 33, 32})
	grown.PerSecond *= nearCapacity
	most.PerSecond *= nearCapacity
	var patterns []Pattern
	for _, base := range []Pattern{small, grown, most} {
		entries := 0
		for _, dataCentre := range base.DataCentres {
			entries += dataCentre.Entries
		}
		base.ColdRate, base.Length = 4, 30*time.Second
		disturbance := Disturbance{DataCentre: -1, Every: 6, From: 6 * time.Second, To: 12 * time.Second}
		for _, v := range []struct {
			name    string
			kind    DisturbanceKind
			place   int
			coldFor time.Duration
			factor  float64
		}{
			{"targets join", Joining, -1, 3 * time.Second, 1}, {"data centre returns", Returning, 0, 3 * time.Second, 1},
			{"slowdown ends", Slow, -1, 0, 12}, {"health checks pass", Failing, -1, 3 * time.Second, 1},
		} {
			p := base
			p.Name = fmt.Sprintf("slow start, %d entries, %s", entries, v.name)
			p.Disturbance = disturbance
			p.Disturbance.Kind, p.Disturbance.DataCentre, p.Disturbance.Factor = v.kind, v.place, v.factor
			p.Disturbance.ColdFor, p.Disturbance.ColdFactor = v.coldFor, 2
			if v.kind == Slow {
				// Entries know targets for long before these become slow.
				p.Disturbance.From, p.Disturbance.To, p.Length = p.Disturbance.From+slowLater, p.Disturbance.To+slowLater, p.Length+slowLater
			}
			patterns = append(patterns, p)
		}
	}
	return patterns
}

// slowLater is by how much later a slowdown begins than other disturbances.
const slowLater = 16 * time.Second

// nearCapacity is the factor on the stated rate.
const nearCapacity = 0.9

// coldFactor returns the factor on the service time of cold targets.
func (p Pattern) coldFactor() float64 {
	if p.Disturbance.To > 0 {
		return p.Disturbance.ColdFactor
	}
	return p.Outages[0].ColdFactor
}

// permitted returns the requests per second that a cold target takes from all entries,
// with the factor and slack that the users' bound names.
func (p Pattern) permitted() float64 { return 1.5*p.ColdRate + 8 }

// scheduleDisturbance schedules the pattern's disturbance.
func (r *run) scheduleDisturbance() {
	d := r.f.pattern.Disturbance
	if d.To == 0 {
		return
	}
	r.result.disturbance.disturbance = d
	for _, t := range r.f.targets {
		t.disturbed = d.DataCentre == t.dataCentre || d.DataCentre < 0 && t.index%d.Every == 0
		if t.disturbed {
			t.absent = d.Kind == Joining
			r.result.disturbance.targets++
			r.schedule(d.From, func() { r.disturb(t) })
			r.schedule(d.To, func() { r.endDisturbance(t) })
		}
	}
}

func (r *run) disturb(t *target) {
	switch d := r.f.pattern.Disturbance; d.Kind {
	case Returning:
		t.absent = true
	case Failing:
		t.lost = true
	case Slow:
		t.slowness = d.Factor
	}
}

func (r *run) endDisturbance(t *target) {
	d := r.f.pattern.Disturbance
	t.absent, t.lost, t.slowness = false, false, 1
	t.coldUntil = d.To + d.ColdFor
	if d.ColdFor == 0 {
		return
	}
	for _, e := range r.f.entries {
		if d.Kind != Failing {
			e.slow[t.index].Cold(r.now, t.coldUntil, r.f.pace(e, t))
		}
	}
}

// maxCheckDelay is the longest delay between two health checks of a target.
const maxCheckDelay = 4 * time.Second

// checkUntilHealthy keeps an entry from using a failed target until it passes a health
// check.
func (r *run) checkUntilHealthy(e *entry, t *target) {
	d := r.f.pattern.Disturbance
	if d.To == 0 {
		return
	}
	e.stats[t.index].Block(r.f.pattern.Length)
	r.schedule(d.To+time.Duration(e.rng.Float64()*float64(maxCheckDelay)), func() {
		if e.stats[t.index].Blocked(r.now) {
			e.stats[t.index].Unblock()
			e.slow[t.index].Released(r.now, r.f.pace(e, t))
		}
	})
}

// coldInterval returns the entry's interval at a cold target.
func (f *fleet) coldInterval(e *entry, t *target) time.Duration {
	if e.coldIntervals[t.index] < 0 {
		var sharers []placement.Entry
		for _, other := range f.entries {
			sharers = append(sharers, placement.Entry{Addr: other.addr, Near: f.distance(other, t) != placement.OtherRegion})
		}
		e.coldIntervals[t.index] = placement.ColdInterval(f.pattern.permitted(), t.id, e.addr, sharers)
	}
	return e.coldIntervals[t.index]
}

// coldReady reports whether the entry may send to a cold target.
func (r *run) coldReady(e *entry, t *target) bool {
	return r.f.coldInterval(e, t) > 0 && e.stats[t.index].ColdReady(r.now)
}

// pace returns where slow start of a target begins at an entry.
func (f *fleet) pace(e *entry, t *target) placement.Pace {
	region := f.pattern.DataCentres[e.dataCentre].Region
	entries, targets := 0, 0
	for _, dataCentre := range f.pattern.DataCentres {
		if dataCentre.Region == region {
			entries, targets = entries+dataCentre.Entries, targets+dataCentre.Targets
		}
	}
	pace := placement.NewPace(f.pattern.permitted(), f.coldInterval(e, t), e.preferred[t.id], len(e.preferred), targets, entries, len(f.entries))
	pace.Phase = e.rng.Float64()
	return pace
}

// capacity returns the least time between two requests of the class that a target serves.
func (f *fleet) capacity(q *request) time.Duration {
	return q.class.ServiceTime / time.Duration(f.pattern.Slots)
}

// WithoutSlowStart is the product's policy without slow start.
func WithoutSlowStart(s *PolicyInput) int {
	return product(s, options{admission: true, pauses: s.entry.availability, limits: true})
}

// skipSlowStart removes the candidates that slow start holds back, unless no other is
// left, and returns the index of one that is due, or -1.
func (s *PolicyInput) skipSlowStart(candidates []placement.Candidate, indexes []int) (open []placement.Candidate, openIndexes []int, due int) {
	if s.fleet.pattern.ColdRate == 0 {
		return candidates, indexes, -1
	}
	s.entry.heedsSlowStart = true
	for i, c := range candidates {
		slow := &s.entry.slow[indexes[i]]
		if t := s.fleet.targets[indexes[i]]; s.entry.preferred[t.id] && slow.Origin(s.Now) == "" && c.Stats.Avoided(s.Now, c.Slots) {
			slow.Avoided(s.Now, s.fleet.pace(s.entry, t))
		}
		if slow.Accepts(s.Now) {
			c.Due = !s.Refused && slow.Due(s.Now, !s.Class.Unsafe)
			open, openIndexes = append(open, c), append(openIndexes, indexes[i])
		}
	}
	due, _ = placement.FirstDue(s.Now, s.Class.ServiceTime, open)
	if len(open) == 0 {
		return candidates, indexes, -1
	}
	return open, openIndexes, due
}

// learnPace records what a successful response says about the pace of its target.
func (r *run) learnPace(q *request, l placement.Load) {
	e, i := q.entry, q.target.index
	if !e.heedsSlowStart {
		return
	}
	quality := placement.Judge(r.now, r.now-q.sent, q.class.ServiceTime, r.f.pattern.Slots, &l, &e.averages)
	if recovered, _ := e.slow[i].Responded(r.now, q.sent, r.f.capacity(q), quality); recovered {
		e.stats[i].ProbeSucceeded()
	}
}

// noteRecovery ends the trials of a target that no longer counts as slow.
func (r *run) noteRecovery(q *request) {
	e, i := q.entry, q.target.index
	if !e.stats[i].Slow(r.now, r.f.pattern.Slots) {
		e.slow[i].NotAvoided()
	}
}
