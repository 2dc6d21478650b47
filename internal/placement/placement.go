// Package placement decides to which target a request goes. It is pure: time,
// randomness and what is known of targets are arguments.
package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// Distance is how far a target is from the entry.
type Distance uint8

// The distances.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Costs of distance as a delay that a caller would accept instead. Bytes
// between regions cost about a quarter of a request's worth, bytes between data
// centres a thirtieth.
const (
	regionCost  = 15 * time.Millisecond
	distantCost = 250 * time.Millisecond
	// outsideCost is for targets outside of the entry's subset: their load is not
	// known well, and they mostly need a new connection.
	outsideCost = 100 * time.Millisecond
)

// Figures of the estimate.
const (
	// reportHalfLife is how fast a reported load loses its weight: requests take
	// a few hundred milliseconds, so a report of a second ago says little.
	reportHalfLife = 700 * time.Millisecond
	// loadShare is the weight of a new report in the usual load and slowdown.
	loadShare = 0.15
	// slowdownHalfLife is how fast a reported slowdown loses its weight: the
	// targets' neighbours change several times a second.
	slowdownHalfLife = 250 * time.Millisecond
	// crowding is how much slower a full target works than an empty one.
	crowding = 0.3
	// factorShare is the weight of a new observation in the factor of a target,
	// minFactor and maxFactor bound it, so that a straggler is tried again.
	factorShare          = 0.1
	minFactor, maxFactor = 0.3, 20.0
	// troubleShare is the weight of a new observation in the share of failed and
	// refused requests, and troubleCost how much longer a target seems to take
	// when all of them fail: each failure costs another send or the request.
	troubleShare = 0.15
	troubleCost  = 4.0
	// spread is the random part of a score. It keeps entries that know the same
	// from choosing the same target.
	spread = 0.15
)

// Load is what a target said of its load.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes compared with usual; 1 is as usual.
	Slowdown float64
}

// Track is what an entry knows of one target from its own requests.
type Track struct {
	// Norm is what targets of the service usually report; nil knows nothing.
	Norm *Norm
	// reports counts the loads that the target reported.
	reports int
	// InFlight is the number of own requests at the target.
	InFlight int
	// used says that the target got a request before.
	used bool
	// others is the load of other entries at the last report, at reportAt, and
	// usual the mean of these loads.
	others, usual float64
	reportAt      time.Duration
	// slowdown is the last reported one, usualSlowdown the mean; 0 while none
	// was reported.
	slowdown, usualSlowdown float64
	// factor is how much longer requests take than load and slowdown explain; 0
	// stands for 1.
	factor float64
	// failures counts failed requests since the last good one.
	failures int
	// trouble is the recent share of requests that failed or were refused.
	trouble float64
	// blockedUntil is when the target may be chosen again.
	blockedUntil time.Duration
	// nextCold is when a cold target may get the next request.
	nextCold time.Duration
}

// Started notes a request that goes to the target.
func (t *Track) Started() {
	t.InFlight++
	t.used = true
}

// Ended notes the end of a request.
func (t *Track) Ended() { t.InFlight-- }

// Report takes in a load that came with a response at now. The response's own
// request is no longer in flight.
func (t *Track) Report(now time.Duration, l Load) {
	t.others = math.Max(0, float64(l.Running+l.Waiting-t.InFlight))
	t.Norm.take(t.others, l.Slowdown)
	if t.reports == 0 {
		t.usual = t.Norm.load()
	}
	t.reports++
	t.usual += loadShare * (t.others - t.usual)
	t.reportAt = now
	if l.Slowdown <= 0 {
		return
	}
	t.slowdown = l.Slowdown
	if t.usualSlowdown == 0 {
		t.usualSlowdown = l.Slowdown
	}
	t.usualSlowdown += loadShare * (l.Slowdown - t.usualSlowdown)
}

// Served takes in the latency of a good response to a request whose usual work
// is known. It returns the work that the latency stands for on an ordinary
// target without load.
func (t *Track) Served(now, latency, work time.Duration, slots int) time.Duration {
	t.failures = 0
	t.trouble *= 1 - troubleShare
	expected := t.Expected(now, slots, work)
	if expected <= 0 {
		return work
	}
	ratio := float64(latency) / float64(expected)
	if t.factor == 0 {
		t.factor = 1
	}
	t.factor *= 1 + factorShare*(math.Min(ratio, maxFactor)-1)
	t.factor = math.Min(math.Max(t.factor, minFactor), maxFactor)
	return time.Duration(float64(work) * ratio)
}

func (t *Track) correction() float64 {
	if t.factor == 0 {
		return 1
	}
	return t.factor
}

// Blocked reports whether the target may not be chosen at now.
func (t *Track) Blocked(now time.Duration) bool { return now < t.blockedUntil }

// BlockedUntil returns when the target may be chosen again.
func (t *Track) BlockedUntil() time.Duration { return t.blockedUntil }

// HeardWithin reports whether the target reported its load a short time ago.
func (t *Track) HeardWithin(now, span time.Duration) bool {
	return t.reports > 0 && now-t.reportAt < span
}

// Block keeps the target from being chosen until a time.
func (t *Track) Block(until time.Duration) { t.blockedUntil = max(t.blockedUntil, until) }

// Unblock lets the target be chosen again.
func (t *Track) Unblock() { t.blockedUntil, t.failures = 0, 0 }

// Failed notes a failed request and returns how many failed in a row.
func (t *Track) Failed() int {
	t.Refused()
	t.failures++
	return t.failures
}

// Refused notes a request that the target refused without running it.
func (t *Track) Refused() { t.trouble += troubleShare * (1 - t.trouble) }

// total is the estimated number of requests at the target. A report loses its
// weight to the usual load as it ages.
func (t *Track) total(now time.Duration) float64 {
	if t.reports == 0 {
		return float64(t.InFlight) + t.Norm.load()
	}
	fresh := math.Exp2(-float64(now-t.reportAt) / float64(reportHalfLife))
	return float64(t.InFlight) + t.usual + fresh*(t.others-t.usual)
}

// slowness is the estimated slowdown; a reported one loses its weight to the
// usual one as it ages.
func (t *Track) slowness(now time.Duration) float64 {
	if t.usualSlowdown == 0 {
		return t.Norm.slow()
	}
	fresh := math.Exp2(-float64(now-t.reportAt) / float64(slowdownHalfLife))
	return t.usualSlowdown + fresh*(t.slowdown-t.usualSlowdown)
}

// rounds is how often the work of one request passes until a new one is done.
// Targets slow down when they are nearly full, so the last slots count more.
func (t *Track) rounds(now time.Duration, slots int) float64 {
	fill := (t.total(now) + 1) / float64(max(slots, 1))
	return math.Max(1, fill) + crowding*math.Pow(math.Min(fill, 1), 4)
}

// Expected is the estimated time until a new request of the given work is
// answered by the target.
func (t *Track) Expected(now time.Duration, slots int, work time.Duration) time.Duration {
	return time.Duration(float64(work) * t.rounds(now, slots) * t.slowness(now) * t.correction())
}

// TakeCold reports whether a cold target may get a request now and counts it.
// interval is the time between two requests of this entry.
func (t *Track) TakeCold(now, interval time.Duration) bool {
	if now < t.nextCold {
		return false
	}
	t.nextCold = now + interval
	return true
}

// ColdReady reports whether TakeCold would succeed.
func (t *Track) ColdReady(now time.Duration) bool { return now >= t.nextCold }

// Candidate is a target that may get a request.
type Candidate struct {
	Track    *Track
	Slots    int
	Distance Distance
	// Cold targets are slower than their track says.
	Cold bool
	// Outside targets are not in the entry's subset.
	Outside bool
	// Explore lets a target that this entry has never used go before all others,
	// so that targets that join get work.
	Explore bool
}

// nearShare is the part of the time until the aim below which an expected latency
// is safe: estimates are off by up to a factor of two when load rises.
const nearShare = 0.5

// coldFactor is how much slower a cold target is taken to be.
const coldFactor = 2

// Choose returns the index of the best candidate and its expected latency, or
// -1 when there is none. work is what the request takes on an ordinary target,
// left the time until its aim. A request stays in its region while an answer is
// expected there in nearShare of that time: bytes between regions cost a good
// part of its worth, and it gains nothing by them.
func Choose(now, work, left time.Duration, rng *rand.Rand, candidates []Candidate) (int, time.Duration) {
	near, far := chosen{index: -1}, chosen{index: -1}
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
	if far.index < 0 || near.index >= 0 && (float64(near.likely) <= nearShare*float64(left) || near.score <= far.score) {
		return near.index, near.expected
	}
	return far.index, far.expected
}

// Quickest returns the index of the candidate with the least expected latency,
// wherever it is, and that latency; -1 when there is none.
func Quickest(now, work time.Duration, candidates []Candidate) (int, time.Duration) {
	best, least := -1, time.Duration(0)
	for i, c := range candidates {
		if expected := c.expected(now, work); best < 0 || expected < least {
			best, least = i, expected
		}
	}
	return best, least
}

// expected is the estimated latency of a request of the given work.
func (c Candidate) expected(now, work time.Duration) time.Duration {
	expected := c.Track.Expected(now, c.Slots, work)
	if c.Cold {
		expected *= coldFactor
	}
	return expected
}

// chosen is a candidate with its figures.
type chosen struct {
	index    int
	expected time.Duration
	// likely is the expected latency with the trouble of the target counted in.
	likely time.Duration
	score  float64
}

func (c Candidate) score(now, work time.Duration, rng *rand.Rand) chosen {
	expected := c.expected(now, work)
	likely := float64(expected) * (1 + troubleCost*c.Track.trouble)
	score := likely*(1+spread*rng.Float64()) + float64(distanceCost(c.Distance))
	if c.Outside {
		score += float64(outsideCost)
	}
	if c.Explore && !c.Outside && !c.Track.used && c.Distance != OtherRegion {
		score = 0
	}
	return chosen{expected: expected, likely: time.Duration(likely), score: score}
}

func distanceCost(d Distance) time.Duration {
	switch d {
	case SameDataCentre:
		return 0
	case SameRegion:
		return regionCost
	}
	return distantCost
}

// Figures of hedging.
const (
	// hedgeShare is the part of the time until the aim after which a second
	// target can still answer within it.
	hedgeShare = 0.5
	// hedgePatience is the wait for the first target, as a multiple of its
	// expected latency, below which it is not slow.
	hedgePatience = 1.4
)

// HedgeAfter is how long to wait for a target before another one gets the
// request too. left is the time until the aim.
func HedgeAfter(left, expected time.Duration) time.Duration {
	return max(time.Duration(hedgeShare*float64(left)), time.Duration(hedgePatience*float64(expected)))
}

// HasRoom reports whether the target would begin a new request at once.
func (t *Track) HasRoom(now time.Duration, slots int) bool {
	return t.total(now)+1 <= float64(slots)
}
