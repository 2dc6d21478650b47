// Package routing chooses the target of a request to an `any` service, bounds
// retries and hedges, and runs hedged requests. It trusts its own measurements
// (requests in flight, recent latency) rather than the targets' load reports.
//
// Times are monotonic and passed in; a Selector with the same seed and the same
// calls makes the same choices.
package routing

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// Weights and limits of a Selector.
const (
	// latencyWeight is the weight of one latency in a target's average.
	latencyWeight = 0.25
	// decayTime is the time constant with which the average of a target that
	// gets no requests returns to the median of all.
	decayTime = 10 * time.Second
	// stragglerFactor is how far above the median a straggler's latency is.
	stragglerFactor = 3
	// maxEjectedShare is the largest share of targets that are passed over.
	maxEjectedShare = 1.0 / 3
	// failureFactor makes a failure count as a latency of that many medians,
	// so that a target that fails fast does not attract requests.
	failureFactor = 10
	// regionCost and remoteCost are the factors by which the local targets
	// must be worse before a request leaves the data centre or the region.
	// Traffic between regions is billed.
	regionCost = 1.5
	remoteCost = 4
	// initialLatency stands for the latency of a service before any answer.
	initialLatency = time.Millisecond
	// minAverage keeps a measured average, in seconds, apart from none.
	minAverage = 1e-6
	// forgetAfter is the time without requests after which a target's
	// measurements are removed.
	forgetAfter = time.Minute
	// maxStarts bounds the start times kept per target.
	maxStarts = 1024
)

// Candidate is a target that may serve a request. Local means the data centre
// of the chooser, Remote another region.
type Candidate struct {
	Target, VM    string
	Local, Remote bool
}

func (c Candidate) cost() float64 {
	switch {
	case c.Local:
		return 1
	case c.Remote:
		return remoteCost
	}
	return regionCost
}

// measure is what a Selector knows of one target.
type measure struct {
	// average is the moving average of the latency in seconds, at usedAt.
	average float64
	usedAt  time.Duration
	// probeAfter is the time without requests after which a straggler is
	// probed; 0 stands for probeMin.
	probeAfter time.Duration
	// probing says that the request in flight is a probe.
	probing bool
	// starts holds the start times of the requests in flight, oldest first.
	starts []time.Duration
}

// Selector chooses among the targets of one service by the power of two
// choices. It is safe for concurrent use.
type Selector struct {
	mu       sync.Mutex
	rng      *rand.Rand
	now      time.Duration
	measures map[string]*measure
	recent   recent
	sweptAt  time.Duration
	// scratch avoids an allocation per pick.
	scratch []float64
}

// NewSelector returns a Selector for one service.
func NewSelector(seed uint64) *Selector {
	return &Selector{
		rng:      rand.New(rand.NewPCG(seed, seed)),
		measures: map[string]*measure{},
	}
}

// Pick chooses one of the candidates other than exclude. It reports false when
// there is none.
func (s *Selector) Pick(now time.Duration, candidates []Candidate, exclude string) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = max(s.now, now)
	s.sweep()
	median := s.median(candidates)
	if c, ok := s.probe(candidates, exclude, median); ok {
		return c, true
	}
	usable := s.usable(candidates, exclude, median)
	if len(usable) == 0 {
		return Candidate{}, false
	}
	return s.choose(usable, median), true
}

// usable returns the candidates apart from exclude and the stragglers. If only
// stragglers are left they are returned.
func (s *Selector) usable(candidates []Candidate, exclude string, median float64) []Candidate {
	ejected := s.ejected(candidates, median)
	usable := make([]Candidate, 0, len(candidates))
	var rest []Candidate
	for _, c := range candidates {
		switch {
		case c.Target == exclude:
		case ejected[c.Target]:
			rest = append(rest, c)
		default:
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return rest
	}
	return usable
}

// ejected returns the worst stragglers, at most maxEjectedShare of all.
func (s *Selector) ejected(candidates []Candidate, median float64) map[string]bool {
	limit := int(float64(len(candidates)) * maxEjectedShare)
	type straggler struct {
		target  string
		latency float64
	}
	var found []straggler
	for _, c := range candidates {
		if l := s.latency(c.Target, median); l > stragglerFactor*median {
			found = append(found, straggler{c.Target, l})
		}
	}
	if len(found) == 0 {
		return nil
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].latency > found[j].latency })
	out := make(map[string]bool, limit)
	for _, f := range found[:min(limit, len(found))] {
		out[f.target] = true
	}
	return out
}

// choose takes two random candidates of the cheapest kind and one of each other
// kind, and returns the one with the least expected cost.
func (s *Selector) choose(usable []Candidate, median float64) Candidate {
	cheapest := math.Inf(1)
	for _, c := range usable {
		cheapest = min(cheapest, c.cost())
	}
	var best Candidate
	least := math.Inf(1)
	for _, cost := range []float64{1, regionCost, remoteCost} {
		kind := ofCost(usable, cost)
		tries := 1
		if cost == cheapest {
			tries = 2
		}
		for _, c := range s.sample(kind, tries) {
			if v := s.score(c, median) * cost / cheapest; v < least {
				best, least = c, v
			}
		}
	}
	return best
}

func ofCost(candidates []Candidate, cost float64) []Candidate {
	var kind []Candidate
	for _, c := range candidates {
		if c.cost() == cost {
			kind = append(kind, c)
		}
	}
	return kind
}

// sample returns up to n different random candidates in random order.
func (s *Selector) sample(from []Candidate, n int) []Candidate {
	n = min(n, len(from))
	for i := range n {
		j := i + s.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

// score is the expected cost of one more request: latency × (in flight + 1).
func (s *Selector) score(c Candidate, median float64) float64 {
	inFlight := 0
	if m := s.measures[c.Target]; m != nil {
		inFlight = len(m.starts)
	}
	return s.latency(c.Target, median) * float64(inFlight+1)
}

// latency is a target's expected latency in seconds: its average, decayed to
// the median since its last use, and at least the age of its oldest request in
// flight, which shows a straggler before its first late answer.
func (s *Selector) latency(target string, median float64) float64 {
	m := s.measures[target]
	if m == nil || m.average == 0 {
		return median
	}
	idle := (s.now - m.usedAt).Seconds()
	l := median + (m.average-median)*math.Exp(-idle/decayTime.Seconds())
	if len(m.starts) > 0 {
		l = max(l, (s.now - m.starts[0]).Seconds())
	}
	return l
}

// median is the median of the candidates' averages in seconds.
func (s *Selector) median(candidates []Candidate) float64 {
	known := s.scratch[:0]
	for _, c := range candidates {
		if m := s.measures[c.Target]; m != nil && m.average > 0 {
			known = append(known, m.average)
		}
	}
	s.scratch = known
	if len(known) == 0 {
		return initialLatency.Seconds()
	}
	sort.Float64s(known)
	return known[(len(known)-1)/2]
}

// Started records that a request was sent to the target that Pick returned.
func (s *Selector) Started(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.measure(target)
	m.usedAt = s.now
	if len(m.starts) < maxStarts {
		m.starts = append(m.starts, s.now)
	}
}

func (s *Selector) measure(target string) *measure {
	m := s.measures[target]
	if m == nil {
		m = &measure{}
		s.measures[target] = m
	}
	return m
}

// Done records the answer of a request, or with ok false its failure.
func (s *Selector) Done(now time.Duration, target string, latency time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.ended(now, target, latency)
	seconds := latency.Seconds()
	median := s.recent.median().Seconds()
	if ok {
		s.recent.add(latency)
	} else {
		seconds = max(seconds, failureFactor*median)
	}
	m.learn(seconds)
	m.probed(seconds, median)
}

// Cancelled records that a request was given up because a hedge was faster.
// Its latency is then only known to be at least the given one.
func (s *Selector) Cancelled(now time.Duration, target string, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.ended(now, target, latency)
	if seconds := latency.Seconds(); seconds > m.average {
		m.learn(seconds)
		m.probed(seconds, s.recent.median().Seconds())
	}
}

// ended removes a request from those in flight.
func (s *Selector) ended(now time.Duration, target string, latency time.Duration) *measure {
	s.now = max(s.now, now)
	m := s.measure(target)
	m.end(now - latency)
	m.usedAt = s.now
	return m
}

// learn adds a latency to the average.
func (m *measure) learn(seconds float64) {
	if m.average == 0 {
		m.average = max(seconds, minAverage)
		return
	}
	m.average += latencyWeight * (seconds - m.average)
}

// end removes the request that started at about the given time.
func (m *measure) end(start time.Duration) {
	if len(m.starts) == 0 {
		return
	}
	i := sort.Search(len(m.starts), func(i int) bool { return m.starts[i] >= start })
	i = min(i, len(m.starts)-1)
	m.starts = append(m.starts[:i], m.starts[i+1:]...)
}

// sweep removes the measurements of targets that are gone.
func (s *Selector) sweep() {
	if s.now-s.sweptAt < forgetAfter {
		return
	}
	s.sweptAt = s.now
	for target, m := range s.measures {
		if len(m.starts) == 0 && s.now-m.usedAt > forgetAfter {
			delete(s.measures, target)
		}
	}
}
