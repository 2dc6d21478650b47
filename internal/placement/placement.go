// Package placement selects the target of a request by expected latency on behalf of
// an entry VM (entry). It also limits the requests to cold targets, sheds load and
// times hedged requests. The package is deterministic and does no I/O: the time,
// random numbers and the statistics of targets are arguments.
package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// Distance is the network distance between the entry and a target.
type Distance uint8

// The distances, in ascending order.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Penalties that are added to the expected latency of a target. Those for
// distance are the extra latency that is equivalent to the cost of the traffic:
// traffic between regions costs about a quarter of the value of a request,
// traffic between data centres a thirtieth.
const (
	sameRegionCost  = 15 * time.Millisecond
	otherRegionCost = 250 * time.Millisecond
	// outsideSubsetCost applies to targets outside the entry's subset: their load is
	// not known well, and they usually need a new connection.
	outsideSubsetCost = 100 * time.Millisecond
)

// Parameters of the latency estimate.
const (
	// reportHalfLife is the half-life of the weight of a reported load. Requests
	// take a few hundred milliseconds, so a report that is a second old says little
	// about the current load.
	reportHalfLife = 700 * time.Millisecond
	// loadWeight is the weight of a new report in the moving averages of load and
	// slowdown.
	loadWeight = 0.15
	// slowdownHalfLife is the half-life of the weight of a reported slowdown. The
	// noisy neighbours of targets change several times a second.
	slowdownHalfLife = 250 * time.Millisecond
	// contention is the relative slowdown of a target with all slots in use compared
	// with an idle one.
	contention = 0.3
	// correctionWeight is the weight of a new observation in the latency correction
	// of a target. minCorrection and maxCorrection bound the correction, so that a
	// straggler is eventually tried again.
	correctionWeight             = 0.1
	minCorrection, maxCorrection = 0.3, 20.0
	// failureRateWeight is the weight of a new observation in the rate of failed and
	// refused requests. failureRateCost is the relative increase of the estimated
	// latency at a failure rate of 1: each failure costs another attempt or the
	// request.
	failureRateWeight = 0.15
	failureRateCost   = 4.0
	// scoreJitter is the maximum random increase of a score, relative to the
	// estimated latency. It keeps entries with the same information from all
	// choosing the same target.
	scoreJitter = 0.15
)

// Load is the load that a target reported.
type Load struct {
	// Running and Waiting are the numbers of running and queued requests, Slots is
	// how many the target runs at the same time.
	Running, Waiting, Slots int
	// Slowdown is the ratio of the current to the usual service time. Values up to
	// 0 mean that it is unknown.
	Slowdown float64
}

// TargetStats holds the statistics that an entry collects about one target from its own
// requests.
type TargetStats struct {
	// ServiceAverage holds the averages over all targets of the service; it may be nil.
	ServiceAverage *ServiceAverage
	// reports counts the load reports of the target.
	reports int
	// InFlight is the number of this entry's requests at the target.
	InFlight int
	// used is true once the entry has sent a request to the target.
	used bool
	// otherLoad is the number of requests of other entries at the target according
	// to the last report, meanOtherLoad its moving average, and reportedAt the time
	// of that report.
	otherLoad, meanOtherLoad float64
	reportedAt               time.Duration
	// slowdown is the last reported slowdown, meanSlowdown its moving average. Both
	// are 0 until the first report.
	slowdown, meanSlowdown float64
	// correction is the moving ratio of the observed latency to the latency that
	// load and slowdown explain; 0 stands for 1.
	correction float64
	// failures counts the failed requests since the last successful one.
	failures int
	// failureRate is the moving average of the fraction of requests that failed or
	// were refused.
	failureRate float64
	// blockedUntil is the time from which the target may be chosen again.
	blockedUntil time.Duration
	// nextCold is the earliest time of the next request while the target is cold.
	nextCold time.Duration
	// evidenceAt is the time of the last report or response. From then on the
	// estimates age.
	evidenceAt time.Duration
	// calmSlowdown is the slowdown without disturbances, updated at calmAt.
	calmSlowdown float64
	calmAt       time.Duration
	// nextProbe is the earliest time of the next probe, probeInterval the time from
	// that one to the next.
	nextProbe, probeInterval time.Duration
	// probeDrawn reports that nextProbe was drawn at random and is still to be used.
	probeDrawn bool
	// probeAnswered reports that the next report is that of a response to a probe.
	probeAnswered bool
}

// Started records that a request is sent to the target.
func (t *TargetStats) Started() {
	t.InFlight++
	t.used = true
}

// Ended records the end of a request.
func (t *TargetStats) Ended() { t.InFlight-- }

// AddReport records the load that came with a response received at now. Call it
// after Ended: the request of the response must no longer count as in flight.
func (t *TargetStats) AddReport(now time.Duration, l Load) {
	t.otherLoad = math.Max(0, float64(l.Running+l.Waiting-t.InFlight))
	t.ServiceAverage.add(now, t.otherLoad, l.Slowdown)
	if t.reports == 0 {
		t.meanOtherLoad = t.ServiceAverage.averageLoad(now)
	}
	t.reports++
	if t.probeAnswered {
		t.meanOtherLoad, t.probeAnswered = t.otherLoad, false
	}
	trust := ageWeight(now, t.reportedAt, t.ServiceAverage.sharers())
	weight := updateWeight(loadWeight, trust)
	t.meanOtherLoad = t.agedLoad(now, trust)
	t.meanOtherLoad += weight * (t.otherLoad - t.meanOtherLoad)
	t.reportedAt, t.evidenceAt = now, now
	if l.Slowdown <= 0 {
		return
	}
	t.updateCalm(now, l.Slowdown)
	t.slowdown = l.Slowdown
	if t.meanSlowdown == 0 {
		t.meanSlowdown = l.Slowdown
	}
	t.meanSlowdown = aged(t.meanSlowdown, t.calmSlowdown, trust)
	t.meanSlowdown += weight * (l.Slowdown - t.meanSlowdown)
}

// Succeeded records the latency of a successful response to a request whose usual
// service time is work. It returns the service time that this latency corresponds
// to on an average target without load.
func (t *TargetStats) Succeeded(now, latency, work time.Duration, slots int) time.Duration {
	trust := t.trust(now)
	if t.correction == 0 {
		trust = 1 // A first response is not more reliable than others.
	}
	t.failures = 0
	t.failureRate *= t.trust(now) * (1 - failureRateWeight)
	expected := t.ExpectedLatency(now, slots, work)
	if expected <= 0 {
		return work
	}
	ratio := float64(latency) / float64(expected)
	t.correction = t.latencyCorrection(now) * (1 + updateWeight(correctionWeight, trust)*(math.Min(ratio, maxCorrection)-1))
	t.correction = math.Min(math.Max(t.correction, minCorrection), maxCorrection)
	t.evidenceAt = now
	return time.Duration(float64(work) * ratio)
}

// latencyCorrection returns the correction of the estimated latency, 1 if there is
// no observation yet. It decays to 1 as the last response ages.
func (t *TargetStats) latencyCorrection(now time.Duration) float64 {
	if t.correction == 0 {
		return 1
	}
	return math.Pow(t.correction, t.trust(now))
}

// Blocked reports whether the target may not be chosen at now.
func (t *TargetStats) Blocked(now time.Duration) bool { return now < t.blockedUntil }

// BlockedUntil returns the time from which the target may be chosen again.
func (t *TargetStats) BlockedUntil() time.Duration { return t.blockedUntil }

// ReportedWithin reports whether the last load report is younger than span.
func (t *TargetStats) ReportedWithin(now, span time.Duration) bool {
	return t.reports > 0 && now-t.reportedAt < span
}

// Block keeps the target from being chosen until the given time. It never shortens
// an earlier block.
func (t *TargetStats) Block(until time.Duration) { t.blockedUntil = max(t.blockedUntil, until) }

// Unblock lets the target be chosen again and resets its count of failures.
func (t *TargetStats) Unblock() { t.blockedUntil, t.failures = 0, 0 }

// Failed records a failed request and returns the number of consecutive failures.
func (t *TargetStats) Failed() int {
	t.Refused()
	t.failures++
	return t.failures
}

// Refused records a request that the target refused without running it.
func (t *TargetStats) Refused() { t.failureRate += failureRateWeight * (1 - t.failureRate) }

// estimatedRequests returns the estimated number of requests at the target. As the
// last report ages, the estimate decays to the average load of the target, and that to
// the average load of the service.
func (t *TargetStats) estimatedRequests(now time.Duration) float64 {
	if t.reports == 0 {
		return float64(t.InFlight) + t.ServiceAverage.averageLoad(now)
	}
	weight := math.Exp2(-float64(now-t.reportedAt) / float64(reportHalfLife))
	mean := t.agedLoad(now, t.trust(now))
	return float64(t.InFlight) + mean + weight*(t.otherLoad-mean)
}

// estimatedSlowdown returns the estimated slowdown. As the last report ages, the
// estimate decays to the average slowdown of the target, and that to the one without
// disturbances.
func (t *TargetStats) estimatedSlowdown(now time.Duration) float64 {
	if t.meanSlowdown == 0 {
		return t.ServiceAverage.averageSlowdown(now)
	}
	weight := math.Exp2(-float64(now-t.reportedAt) / float64(slowdownHalfLife))
	mean := aged(t.meanSlowdown, t.calmSlowdown, t.trust(now))
	return mean + weight*(t.slowdown-mean)
}

// queueFactor returns the estimated latency of a new request as a multiple of its
// service time. Targets slow down when they are nearly full, so the last free
// slots count more.
func (t *TargetStats) queueFactor(now time.Duration, slots int) float64 {
	fill := (t.estimatedRequests(now) + 1) / float64(max(slots, 1))
	return math.Max(1, fill) + contention*math.Pow(math.Min(fill, 1), 4)
}

// ExpectedLatency returns the estimated latency at the target of a new request with the
// service time work.
func (t *TargetStats) ExpectedLatency(now time.Duration, slots int, work time.Duration) time.Duration {
	return time.Duration(float64(work) * t.queueFactor(now, slots) * t.estimatedSlowdown(now) * t.latencyCorrection(now))
}

// AllowCold reports whether the entry may send a request to the cold target now,
// and if so counts it. interval is the minimum time between two such requests.
func (t *TargetStats) AllowCold(now, interval time.Duration) bool {
	if now < t.nextCold {
		return false
	}
	t.nextCold = now + interval
	return true
}

// ColdReady reports whether AllowCold would succeed.
func (t *TargetStats) ColdReady(now time.Duration) bool { return now >= t.nextCold }

// Candidate is a target to which a request may be sent.
type Candidate struct {
	Stats    *TargetStats
	Slots    int
	Distance Distance
	// Cold is true if the target is cold and therefore slower than its statistics
	// suggest.
	Cold bool
	// OutsideSubset is true if the target is not in the entry's subset.
	OutsideSubset bool
	// Explore ranks the target before all others if this entry has never used it, so
	// that new targets get work. It has no effect on targets outside the subset or in
	// another region.
	Explore bool
	// Due is true if SlowStart.Due reports it; see FirstDue.
	Due bool
}

// sameRegionBudgetShare is the fraction of the remaining latency budget that the
// estimated latency in the own region may use for a request to stay there. While
// load rises, estimates are wrong by up to a factor of two.
const sameRegionBudgetShare = 0.5

// coldLatencyFactor is the assumed ratio of the latency of a cold target to that
// of a warm one.
const coldLatencyFactor = 2

// Choose returns the index of the best candidate and its expected latency, or -1
// if there are no candidates. work is the service time of the request on an average
// target, budget what is left of its latency objective. A request stays in its region
// if the response is expected there within sameRegionBudgetShare of the budget:
// traffic between regions costs a considerable part of the value of a request, and
// a request that is in time anyway gains nothing from it.
func Choose(now, work, budget time.Duration, rng *rand.Rand, candidates []Candidate) (int, time.Duration) {
	near, far := scoredCandidate{index: -1}, scoredCandidate{index: -1}
	for i, c := range candidates {
		scored := c.score(now, work, rng)
		scored.index = i
		best := &near
		if c.Distance == OtherRegion {
			best = &far
		}
		if best.index < 0 || scored.score < best.score {
			*best = scored
		}
	}
	if far.index < 0 || near.index >= 0 && (float64(near.penalized) <= sameRegionBudgetShare*float64(budget) || near.score <= far.score) {
		return near.index, near.expected
	}
	return far.index, far.expected
}

// Fastest returns the index of the candidate with the lowest expected latency in
// any region and that latency, or -1 if there are no candidates.
func Fastest(now, work time.Duration, candidates []Candidate) (int, time.Duration) {
	best, least := -1, time.Duration(0)
	for i, c := range candidates {
		if expected := c.expected(now, work); best < 0 || expected < least {
			best, least = i, expected
		}
	}
	return best, least
}

// expected returns the estimated latency of a request with the service time work.
func (c Candidate) expected(now, work time.Duration) time.Duration {
	expected := c.Stats.ExpectedLatency(now, c.Slots, work)
	if c.Cold {
		expected *= coldLatencyFactor
	}
	return expected
}

// scoredCandidate is the rating of one candidate.
type scoredCandidate struct {
	index    int
	expected time.Duration
	// penalized is the expected latency, increased by the target's failure rate.
	penalized time.Duration
	// score is the penalized latency in nanoseconds with jitter and the penalties of
	// the candidate; the lowest score wins.
	score float64
}

// score rates the candidate for a request with the service time work.
func (c Candidate) score(now, work time.Duration, rng *rand.Rand) scoredCandidate {
	expected := c.expected(now, work)
	penalized := float64(expected) * (1 + failureRateCost*c.Stats.failureRate*c.Stats.trust(now))
	score := penalized*(1+scoreJitter*rng.Float64()) + float64(distanceCost(c.Distance))
	if c.OutsideSubset {
		score += float64(outsideSubsetCost)
	}
	if c.Explore && !c.OutsideSubset && !c.Stats.used && c.Distance != OtherRegion {
		score = 0
	}
	return scoredCandidate{expected: expected, penalized: time.Duration(penalized), score: score}
}

// distanceCost returns the latency penalty of a distance.
func distanceCost(d Distance) time.Duration {
	switch d {
	case SameDataCentre:
		return 0
	case SameRegion:
		return sameRegionCost
	}
	return otherRegionCost
}

// Parameters of hedged requests.
const (
	// hedgeBudgetShare is the fraction of the remaining latency budget after which a
	// second target can still respond within the rest of it.
	hedgeBudgetShare = 0.5
	// hedgeLatencyFactor is the multiple of its expected latency up to which the
	// first target does not count as slow.
	hedgeLatencyFactor = 1.4
)

// HedgeAfter returns how long to wait for the first target before the request is
// also sent to a second one. budget is what is left of the latency objective.
func HedgeAfter(budget, expected time.Duration) time.Duration {
	return max(time.Duration(hedgeBudgetShare*float64(budget)), time.Duration(hedgeLatencyFactor*float64(expected)))
}

// HasFreeSlot reports whether the target is expected to run a new request without
// queueing it.
func (t *TargetStats) HasFreeSlot(now time.Duration, slots int) bool {
	return t.estimatedRequests(now)+1 <= float64(slots)
}
