package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the recovery of estimates that keep requests from the target whose
// responses would correct them.
const (
	// minHalfLife is the least half-life of an ageing estimate: about the duration of
	// short periods of slowness, so that their end is noticed soon.
	minHalfLife = 5 * time.Second
	// probeRate bounds the probes per second that a target gets from all entries
	// together. A holder with four slots and a service time of 430 ms serves nine
	// requests per second.
	probeRate = 8
	// minProbeInterval is the least time between two probes of one entry at a target,
	// and maxProbeInterval the time up to which it doubles while probes show no
	// recovery. maxProbeInterval has no effect where probeRate requires more.
	minProbeInterval = time.Second
	maxProbeInterval = 4 * time.Second
	// serviceProbeInterval is the least time between two probes of one entry at any
	// targets of a service. With hundreds of targets, probes of each would let all
	// requests of an overload through.
	serviceProbeInterval = 250 * time.Millisecond
)

// ProbeInterval returns the time between the first probes of one of the given number
// of entries at a target.
func ProbeInterval(entries int) time.Duration {
	return max(minProbeInterval, time.Duration(entries)*time.Second/probeRate)
}

// ageWeight returns the weight of an estimate whose last evidence is from the given
// time. An estimate that all entries hold must not end at all of them within seconds
// while the target is still slow, so the half-life grows with the number of entries.
func ageWeight(now, evidence time.Duration, entries int) float64 {
	age := now - evidence - ageGrace
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(max(minHalfLife, ProbeInterval(entries))))
}

// trust returns the weight of what the entry remembers of the target.
func (t *TargetStats) trust(now time.Duration) float64 {
	return ageWeight(now, t.evidenceAt, t.ServiceAverage.sharers())
}

// TimedOut records that no response came before the deadline of a request. It says
// nothing about the current latency, but an estimate from before is not outdated yet.
func (t *TargetStats) TimedOut(now time.Duration) { t.evidenceAt = now }

// agedLoad returns the average load of other entries after it decayed towards the average
// of the service, if that is lower.
func (t *TargetStats) agedLoad(now time.Duration, trust float64) float64 {
	if trust == 1 {
		return t.meanOtherLoad
	}
	return aged(t.meanOtherLoad, math.Min(t.meanOtherLoad, t.ServiceAverage.averageLoad(now)), trust)
}

// staleWeight is the weight of a new observation after an estimate has aged fully. A
// single latency varies by a factor of two, so it does not replace the estimate.
const staleWeight = 0.3

// updateWeight returns the weight of a new observation, which is usually weight.
func updateWeight(weight, trust float64) float64 { return staleWeight + trust*(weight-staleWeight) }

// calmRise is the time in which the slowdown without disturbances may double: changes
// within a disturbance of some seconds do not count as the usual state.
const calmRise = time.Minute

// updateCalm adjusts the undisturbed slowdown of the target, which follows the lowest
// reports.
func (t *TargetStats) updateCalm(now time.Duration, slowdown float64) {
	if t.calmSlowdown == 0 {
		t.calmSlowdown = math.Min(slowdown, 1)
	}
	rise := math.Exp2(math.Min(1, float64(now-t.calmAt)/float64(calmRise)))
	t.calmSlowdown, t.calmAt = math.Min(slowdown, t.calmSlowdown*rise), now
}

// Probe returns the index of the candidate that gets a request although its response is
// expected after the deadline, or -1 if there is none. Otherwise nothing would correct an
// estimate that prevents all requests. The response may come in time if the target has
// recovered: least is the lowest plausible service time, left the time to the deadline.
// Of several candidates that with the lowest expected latency is probed.
//
// Invariant: all entries together send on average at most probeRate probes per second to a
// target. Each sends at most one in its ProbeInterval to a target and one in
// serviceProbeInterval to the targets of a service.
func Probe(now, least, left time.Duration, entries int, rng *rand.Rand, candidates []Candidate) int {
	best, lowest := -1, time.Duration(0)
	for i, c := range candidates {
		queue := math.Max(1, float64(c.Stats.InFlight+1)/float64(max(c.Slots, 1)))
		if !c.Stats.probeDue(now, entries, rng) || now < c.Stats.ServiceAverage.probesFrom() || time.Duration(float64(least)*queue) > left {
			continue
		}
		if expected := c.expected(now, time.Millisecond); best < 0 || expected < lowest {
			best, lowest = i, expected
		}
	}
	if best >= 0 {
		candidates[best].Stats.probed(now, entries)
	}
	return best
}

// probeDue reports whether the target may be probed. Many entries notice the slowness of a
// holder at the same time, so each draws the time of its first probe from the interval. A
// probe that was not needed when it was due is drawn again, since the times of other
// entries passed as well.
func (t *TargetStats) probeDue(now time.Duration, entries int, rng *rand.Rand) bool {
	interval := ProbeInterval(entries)
	if needed := t.probeInterval > 0 && now < t.nextProbe+ageGrace; !t.probeDrawn && !needed {
		t.probeDrawn = true
		t.nextProbe = now + time.Duration(rng.Float64()*float64(interval-minProbeInterval))
	}
	return now >= t.nextProbe
}

// probed schedules the next probe.
func (t *TargetStats) probed(now time.Duration, entries int) {
	first := ProbeInterval(entries)
	t.probeDrawn = false
	if t.probeInterval < first {
		t.probeInterval = first
	}
	t.nextProbe = now + t.probeInterval
	if t.ServiceAverage != nil {
		t.ServiceAverage.nextProbe = now + serviceProbeInterval
	}
	t.probeInterval = max(first, min(2*t.probeInterval, maxProbeInterval))
}

// ProbeSucceeded records the successful response to a probe, before its latency and load
// are added. It shows the current state of the target better than estimates that
// prevented all other requests.
func (t *TargetStats) ProbeSucceeded() {
	t.correction, t.slowdown, t.meanSlowdown = 0, 0, 0
	t.otherLoad, t.meanOtherLoad, t.failureRate = 0, 0, 0
	t.probeAnswered, t.probeInterval = true, 0
}
