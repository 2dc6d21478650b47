// Package routing chooses the target of a request to an `any` service, bounds
// retries and hedges, and runs hedged requests. It relies on its own measurements
// (requests in flight, recent latency) rather than on load reports of the targets.
//
// Times are monotonic and passed in by the caller; a Selector with the same seed and
// the same calls makes the same choices.
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
	// latencyWeight is the weight of a new latency in a target's moving average.
	latencyWeight = 0.25
	// decayTime is the time constant with which the average of a target that
	// gets no requests returns to the median of all targets.
	decayTime = 10 * time.Second
	// stragglerFactor times the median is the latency above which a target is a
	// straggler.
	stragglerFactor = 3
	// maxEjectedShare is the largest share of the targets that may be ejected,
	// that is, get no requests but probes because they are stragglers.
	maxEjectedShare = 1.0 / 3
	// failureFactor times the median is the least latency that a failure counts
	// as, so that a target that fails fast does not attract requests.
	failureFactor = 10
	// regionCost and remoteCost are the factors by which the local targets
	// must be worse before a request leaves the data centre or the region.
	// Traffic between regions is billed.
	regionCost = 1.5
	remoteCost = 4
	// initialLatency is the assumed latency of a service before its first response.
	initialLatency = time.Millisecond
	// minAverage is the lowest first average, in seconds; 0 means that no latency
	// was measured.
	minAverage = 1e-6
	// forgetAfter is the time without requests after which a target's
	// measurements are removed.
	forgetAfter = time.Minute
	// maxStarts bounds the number of start times kept per target.
	maxStarts = 1024
)

// Candidate is a target that may serve a request. Local means that it is in the data
// centre of the Selector's VM, Remote that it is in another region.
type Candidate struct {
	Target, VM    string
	Local, Remote bool
}

// cost returns the factor by which the location of a candidate raises its score.
func (c Candidate) cost() float64 {
	switch {
	case c.Local:
		return 1
	case c.Remote:
		return remoteCost
	}
	return regionCost
}

// targetStats holds a Selector's measurements of one target.
type targetStats struct {
	// average is the moving average of the latency in seconds, at usedAt.
	average float64
	usedAt  time.Duration
	// probeInterval is the time without requests after which a straggler is
	// probed; 0 stands for minProbeInterval.
	probeInterval time.Duration
	// probing is set while the request in flight is a probe.
	probing bool
	// starts holds the start times of the requests in flight, oldest first.
	starts []time.Duration
}

// Selector chooses among the targets of one service by the power of two
// choices. It is safe for concurrent use.
type Selector struct {
	mu      sync.Mutex
	rng     *rand.Rand
	now     time.Duration
	stats   map[string]*targetStats
	recent  latencyWindow
	sweptAt time.Duration
	// scratch is a buffer of median that avoids an allocation per pick.
	scratch []float64
}

// NewSelector returns a Selector for one service.
func NewSelector(seed uint64) *Selector {
	return &Selector{
		rng:   rand.New(rand.NewPCG(seed, seed)),
		stats: map[string]*targetStats{},
	}
}

// Pick chooses one of the candidates other than exclude. It returns false if there
// is none.
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

// usable returns the candidates without exclude and without the ejected ones. If
// only ejected ones are left, it returns those.
func (s *Selector) usable(candidates []Candidate, exclude string, median float64) []Candidate {
	ejected := s.ejected(candidates, median)
	usable := make([]Candidate, 0, len(candidates))
	var ejectedOnly []Candidate
	for _, c := range candidates {
		switch {
		case c.Target == exclude:
		case ejected[c.Target]:
			ejectedOnly = append(ejectedOnly, c)
		default:
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return ejectedOnly
	}
	return usable
}

// ejected returns the slowest stragglers, at most maxEjectedShare of the candidates.
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

// choose compares two random candidates of the lowest location cost and one of each
// other location cost, and returns the one with the lowest score times cost.
func (s *Selector) choose(usable []Candidate, median float64) Candidate {
	cheapest := math.Inf(1)
	for _, c := range usable {
		cheapest = min(cheapest, c.cost())
	}
	var best Candidate
	least := math.Inf(1)
	for _, cost := range []float64{1, regionCost, remoteCost} {
		group := withCost(usable, cost)
		choices := 1
		if cost == cheapest {
			choices = 2
		}
		for _, c := range s.sample(group, choices) {
			if v := s.score(c, median) * cost / cheapest; v < least {
				best, least = c, v
			}
		}
	}
	return best
}

func withCost(candidates []Candidate, cost float64) []Candidate {
	var group []Candidate
	for _, c := range candidates {
		if c.cost() == cost {
			group = append(group, c)
		}
	}
	return group
}

// sample returns up to n different random candidates in random order. It reorders
// from.
func (s *Selector) sample(from []Candidate, n int) []Candidate {
	n = min(n, len(from))
	for i := range n {
		j := i + s.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

// score returns the expected cost of one more request to a candidate: its latency
// times the requests in flight plus one.
func (s *Selector) score(c Candidate, median float64) float64 {
	inFlight := 0
	if t := s.stats[c.Target]; t != nil {
		inFlight = len(t.starts)
	}
	return s.latency(c.Target, median) * float64(inFlight+1)
}

// latency returns a target's expected latency in seconds: its average, which decays
// to the median while the target is not used, but at least the age of its oldest
// request in flight, which reveals a straggler before its first late response.
func (s *Selector) latency(target string, median float64) float64 {
	t := s.stats[target]
	if t == nil || t.average == 0 {
		return median
	}
	idle := (s.now - t.usedAt).Seconds()
	l := median + (t.average-median)*math.Exp(-idle/decayTime.Seconds())
	if len(t.starts) > 0 {
		l = max(l, (s.now - t.starts[0]).Seconds())
	}
	return l
}

// median returns the median of the candidates' average latencies in seconds.
func (s *Selector) median(candidates []Candidate) float64 {
	known := s.scratch[:0]
	for _, c := range candidates {
		if t := s.stats[c.Target]; t != nil && t.average > 0 {
			known = append(known, t.average)
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
	t := s.statsOf(target)
	t.usedAt = s.now
	if len(t.starts) < maxStarts {
		t.starts = append(t.starts, s.now)
	}
}

func (s *Selector) statsOf(target string) *targetStats {
	t := s.stats[target]
	if t == nil {
		t = &targetStats{}
		s.stats[target] = t
	}
	return t
}

// Done records the response to a request or, if ok is false, its failure.
func (s *Selector) Done(now time.Duration, target string, latency time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.removeInFlight(now, target, latency)
	seconds := latency.Seconds()
	median := s.recent.median().Seconds()
	if ok {
		s.recent.add(latency)
	} else {
		seconds = max(seconds, failureFactor*median)
	}
	t.observe(seconds)
	t.updateProbe(seconds, median)
}

// Cancelled records that a request was cancelled because another send of it was
// faster. The latency is then only a lower bound.
func (s *Selector) Cancelled(now time.Duration, target string, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.removeInFlight(now, target, latency)
	if seconds := latency.Seconds(); seconds > t.average {
		t.observe(seconds)
		t.updateProbe(seconds, s.recent.median().Seconds())
	}
}

// removeInFlight removes a request that took the given latency from those in flight
// at a target. It returns the statistics of the target.
func (s *Selector) removeInFlight(now time.Duration, target string, latency time.Duration) *targetStats {
	s.now = max(s.now, now)
	t := s.statsOf(target)
	t.removeStart(now - latency)
	t.usedAt = s.now
	return t
}

// observe adds a latency to the moving average.
func (t *targetStats) observe(seconds float64) {
	if t.average == 0 {
		t.average = max(seconds, minAverage)
		return
	}
	t.average += latencyWeight * (seconds - t.average)
}

// removeStart removes the request that started at about the given time.
func (t *targetStats) removeStart(start time.Duration) {
	if len(t.starts) == 0 {
		return
	}
	i := sort.Search(len(t.starts), func(i int) bool { return t.starts[i] >= start })
	i = min(i, len(t.starts)-1)
	t.starts = append(t.starts[:i], t.starts[i+1:]...)
}

// sweep removes the measurements of targets that got no requests for longer than
// forgetAfter.
func (s *Selector) sweep() {
	if s.now-s.sweptAt < forgetAfter {
		return
	}
	s.sweptAt = s.now
	for target, t := range s.stats {
		if len(t.starts) == 0 && s.now-t.usedAt > forgetAfter {
			delete(s.stats, target)
		}
	}
}
