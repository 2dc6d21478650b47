package experiment

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// Policy returns the index of the candidate that a request is sent to, or -1 to
// refuse the request.
type Policy func(s *PolicyInput) int

// PolicyInput is the input of a policy for one request.
type PolicyInput struct {
	Now   time.Duration
	Class *Class
	// Waited is the time since the caller's first attempt.
	Waited time.Duration
	// Refused reports whether a target has already refused the request.
	Refused bool
	// Candidates are the targets that the request may be sent to, and TargetIndexes their
	// indexes in the deployment.
	Candidates    []placement.Candidate
	TargetIndexes []int
	// HoldUntil, if a policy sets it and refuses, is the time at which the request is
	// sent again without its caller. ReturnAt is the time at which the caller may come
	// back.
	HoldUntil, ReturnAt time.Duration

	entry *entry
	fleet *fleet
}

// NamedPolicy is a policy with its name in reports.
type NamedPolicy struct {
	Name   string
	Policy Policy
}

// Policies returns the product's policy, the policies that it replaced, and an
// oracle as an upper bound.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"round robin", RoundRobin},
		{"product, unknown targets count as empty", WithoutServiceAverages},
		{"product, all requests admitted", WithoutLoadShedding},
		{"product, proportional load shedding", ProportionalShedding},
		{"product, pauses ignored", WithoutPauses},
		{"product, pauses known to all entries", SharedPauses},
		{"product, limits ignored", WithoutLimits},
		{"product, no slow start", WithoutSlowStart},
		{"product", Product},
		{"oracle", Oracle},
	}
}

// Product is the product's policy: it chooses the target with the lowest expected
// latency. It refuses the request if no response is expected before the timeout,
// or if load shedding refuses it because of queue pressure.
func Product(s *PolicyInput) int {
	return product(s, options{admission: true, pauses: s.entry.availability, limits: true, slowStart: true})
}

// WithoutLoadShedding is the product's policy without load shedding.
func WithoutLoadShedding(s *PolicyInput) int {
	return product(s, options{pauses: s.entry.availability})
}

// options selects parts of the product's policy.
type options struct {
	admission bool
	// pauses holds what is known of the pauses of targets; nil ignores them.
	pauses []placement.Availability
	// limits heeds the limits that targets name.
	limits bool
	// slowStart heeds slow start.
	slowStart bool
}

func product(s *PolicyInput, o options) int {
	candidates, indexes := s.Candidates, []int(nil)
	if o.pauses != nil {
		candidates, indexes = s.skipPaused(o.pauses)
	}
	if o.limits {
		candidates, indexes = s.skipLimited(candidates, indexes)
	}
	if o.slowStart {
		var due int
		if candidates, indexes, due = s.skipSlowStart(candidates, indexes); due >= 0 {
			return indexes[due]
		}
	}
	i, expected := placement.Choose(s.Now, s.Class.ServiceTime, s.Class.LatencyObjective-s.Waited, s.entry.rng, candidates)
	if s.Waited+expected > s.Class.Timeout {
		return -1
	}
	if o.admission && !s.Refused && !s.entry.pressure.Admit(s.Now, expected, s.Class.LatencyObjective-s.Waited, s.Class.Urgent, s.entry.rng.Float64()) {
		return -1
	}
	if o.pauses != nil && i >= 0 {
		return indexes[i]
	}
	return i
}

// WithoutServiceAverages is the product's policy without service averages: targets that the
// entry has not used count as idle.
func WithoutServiceAverages(s *PolicyInput) int {
	for i := range s.Candidates {
		s.Candidates[i].Stats.ServiceAverage = nil
	}
	return Product(s)
}

// RoundRobin chooses the targets of the entry's data centre in turn, or a random
// target if that data centre has none.
func RoundRobin(s *PolicyInput) int {
	var near []int
	for i, c := range s.Candidates {
		if c.Distance == placement.SameDataCentre {
			near = append(near, i)
		}
	}
	switch {
	case len(s.Candidates) == 0:
		return -1
	case len(near) == 0:
		return s.entry.rng.IntN(len(s.Candidates))
	}
	s.entry.roundRobin++
	return near[s.entry.roundRobin%len(near)]
}

// Oracle chooses by the current load and speed of every target of the region. A
// real entry cannot know them, so it bounds the gain from better information.
func Oracle(s *PolicyInput) int {
	best, bestScore := -1, 0.0
	for i, c := range s.Candidates {
		if c.Distance == placement.OtherRegion {
			continue
		}
		t := s.fleet.targets[s.TargetIndexes[i]]
		fill := float64(t.running+len(t.waiting)+1) / float64(s.fleet.pattern.Slots)
		// The random factor breaks ties; otherwise equal targets would be chosen in
		// order.
		score := t.speed * t.noise * max(1, fill) * (1 + 0.01*s.entry.rng.Float64())
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
