package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// target is a simulated target.
type target struct {
	index      int
	id         string
	dataCentre int
	speed      float64
	noise      float64
	running    int
	waiting    []*request
	// lost reports whether the target is unreachable; coldUntil is when it is no
	// longer slow after it became reachable again.
	lost      bool
	coldUntil time.Duration
	// arrivals holds when the requests of the last excessWindow began, if the target
	// names a limit.
	arrivals []time.Duration
	// disturbed reports whether the target has the pattern's disturbance, and
	// slowness is the factor of that on its service time.
	disturbed bool
	slowness  float64
	// absent reports that the target has not joined yet.
	absent bool
}

// load returns the load report of the target.
func (t *target) load(slots int) placement.Load {
	return placement.Load{Running: t.running, Waiting: len(t.waiting), Slots: slots, Slowdown: t.speed * t.noise * t.slowness}
}

// entry is a simulated entry VM. It learns the state of targets only from its own
// requests.
type entry struct {
	addr       string
	dataCentre int
	stats      []placement.TargetStats
	// availability holds what each target has said about further requests.
	availability []placement.Availability
	// throttles holds the limits that the targets have named.
	throttles []placement.Throttle
	// slow holds the slow start of each target, and coldIntervals the entry's interval at
	// each cold target; -1 is not computed yet.
	slow          []placement.SlowStart
	coldIntervals []time.Duration
	// heedsSlowStart reports that the policy heeds slow start.
	heedsSlowStart bool
	averages       placement.ServiceAverage
	pressure       placement.LoadShedder
	// proportional is the load shedder that pressure replaced.
	proportional proportionalShedder
	preferred    map[string]bool
	rng          *rand.Rand
	// idle holds, by target index, when each idle connection was last used.
	idle map[int][]time.Duration
	// roundRobin is the position of the round robin policy.
	roundRobin int
}

// request is one request from its arrival to its end.
type request struct {
	entry   *entry
	target  *target
	arrived time.Duration
	sent    time.Duration
	class   *Class
	// work is the service time at a target of speed 1 without added load or noise.
	work time.Duration
	// retries counts the retries of the caller.
	retries int
	// refusedBy holds the indexes of the targets that refused the request since
	// the caller's last retry.
	refusedBy []int
}

// fleet is a simulated deployment.
type fleet struct {
	pattern Pattern
	entries []*entry
	targets []*target
	// byDataCentre holds the entries by the index of their data centre.
	byDataCentre [][]*entry
	// announced holds what each target has said to any entry.
	announced []placement.Availability
	rng       *rand.Rand
}

func newFleet(p Pattern, seed uint64) *fleet {
	f := &fleet{pattern: p, rng: rand.New(rand.NewPCG(seed, 7)), byDataCentre: make([][]*entry, len(p.DataCentres))}
	for i, dataCentre := range p.DataCentres {
		for range dataCentre.Targets {
			n := len(f.targets)
			f.targets = append(f.targets, &target{index: n, id: fmt.Sprint("t-", n), dataCentre: i, speed: p.Speeds[n%len(p.Speeds)], noise: 1, slowness: 1})
		}
	}
	for i, dataCentre := range p.DataCentres {
		for range dataCentre.Entries {
			n := len(f.entries)
			e := &entry{addr: fmt.Sprintf("10.0.0.%d", n), dataCentre: i, rng: rand.New(rand.NewPCG(seed, uint64(n))), idle: make(map[int][]time.Duration)}
			e.stats = make([]placement.TargetStats, len(f.targets))
			e.availability = make([]placement.Availability, len(f.targets))
			e.throttles = make([]placement.Throttle, len(f.targets))
			e.slow = make([]placement.SlowStart, len(f.targets))
			e.coldIntervals = slices.Repeat([]time.Duration{-1}, len(f.targets))
			f.entries = append(f.entries, e)
			f.byDataCentre[i] = append(f.byDataCentre[i], e)
		}
	}
	f.announced = make([]placement.Availability, len(f.targets))
	for _, e := range f.entries {
		e.preferred = f.subset(e)
		for i := range e.stats {
			e.stats[i].ServiceAverage = &e.averages
		}
	}
	return f
}

// subset returns the preferred targets of an entry as the gateway selects them:
// a subset of the targets of its data centre and a subset of those of its region.
func (f *fleet) subset(e *entry) map[string]bool {
	own := f.pattern.DataCentres[e.dataCentre]
	all := make(map[string]bool)
	for _, inScope := range []func(DataCentre) bool{
		func(p DataCentre) bool { return p.Name == own.Name }, func(p DataCentre) bool { return p.Region == own.Region },
	} {
		var targets, entries []string
		for _, t := range f.targets {
			if inScope(f.pattern.DataCentres[t.dataCentre]) {
				targets = append(targets, t.id)
			}
		}
		for _, other := range f.entries {
			if inScope(f.pattern.DataCentres[other.dataCentre]) {
				entries = append(entries, other.addr)
			}
		}
		for id := range placement.Subset(e.addr, entries, targets) {
			all[id] = true
		}
	}
	return all
}

func (f *fleet) distance(e *entry, t *target) placement.Distance {
	from, to := f.pattern.DataCentres[e.dataCentre], f.pattern.DataCentres[t.dataCentre]
	switch {
	case from.Name == to.Name:
		return placement.SameDataCentre
	case from.Region == to.Region:
		return placement.SameRegion
	}
	return placement.OtherRegion
}

// delay is the one-way delay between an entry and a target.
func (f *fleet) delay(e *entry, t *target) time.Duration {
	switch f.distance(e, t) {
	case placement.SameDataCentre:
		return 0
	case placement.SameRegion:
		return f.pattern.ZoneDelay
	}
	return f.pattern.RegionDelay
}

// drawEntry picks a random entry for a request: data centres are weighted by their
// shares, the entries of a data centre equally.
func (f *fleet) drawEntry() *entry {
	at := f.rng.Float64()
	for i, dataCentre := range f.pattern.DataCentres {
		at -= dataCentre.Share
		if at < 0 || i == len(f.pattern.DataCentres)-1 {
			return f.byDataCentre[i][f.rng.IntN(len(f.byDataCentre[i]))]
		}
	}
	return nil
}

// drawClass picks a random class for a request, weighted by the shares of the
// classes.
func (f *fleet) drawClass() *Class {
	at := f.rng.Float64()
	for i := range f.pattern.Classes {
		at -= f.pattern.Classes[i].Share
		if at < 0 {
			return &f.pattern.Classes[i]
		}
	}
	return &f.pattern.Classes[0]
}

// drawWork draws the work of a request from a log-normal distribution.
func (f *fleet) drawWork(c *Class) time.Duration {
	return time.Duration(float64(c.ServiceTime) * math.Exp(c.Spread*f.rng.NormFloat64()-c.Spread*c.Spread/2))
}

// drawNoise picks the targets that noise slows until the next call.
func (f *fleet) drawNoise() {
	for _, t := range f.targets {
		t.noise = 1
		if f.rng.Float64() < f.pattern.NoiseShare {
			t.noise = f.pattern.NoiseFactor
		}
	}
}

// startOutage makes the targets of a data centre unreachable.
func (f *fleet) startOutage(o Outage) {
	for _, t := range f.targets {
		if t.dataCentre == o.DataCentre {
			t.lost = true
		}
	}
}

// endOutage makes the targets of a data centre reachable again. They are cold for
// the duration that the outage states.
func (f *fleet) endOutage(o Outage) {
	for _, t := range f.targets {
		if t.dataCentre == o.DataCentre {
			t.lost, t.coldUntil = false, o.To+o.ColdFor
		}
	}
}
