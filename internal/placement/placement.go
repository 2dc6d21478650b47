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
)

// Figures of the estimate.
const (
	// firstWork is the expected work of a target that has answered nothing yet.
	firstWork = 300 * time.Millisecond
	// workShare is the weight of a new observation in the mean work.
	workShare = 0.2
	// reportHalfLife is how fast a reported load loses its weight: requests take
	// a few hundred milliseconds, so a report of a second ago says little.
	reportHalfLife = 700 * time.Millisecond
	// spread is the random part of a score. It keeps entries that know the same
	// from choosing the same target.
	spread = 0.15
	// maxWork bounds the mean work, so that a straggler is tried again.
	maxWork = 5 * time.Second
)

// Load is what a target said of its load.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes compared with usual; 1 is as usual.
	Slowdown float64
}

// Track is what an entry knows of one target from its own requests.
type Track struct {
	// InFlight is the number of own requests at the target.
	InFlight int
	// others is the load of other entries at the last report, at reportAt.
	others   float64
	reportAt time.Duration
	slowdown float64
	slots    int
	work     time.Duration
	// failures counts failed requests since the last good one.
	failures int
	// blockedUntil is when the target may be chosen again.
	blockedUntil time.Duration
	// nextCold is when a cold target may get the next request.
	nextCold time.Duration
}

// Started notes a request that goes to the target.
func (t *Track) Started() { t.InFlight++ }

// Ended notes the end of a request.
func (t *Track) Ended() { t.InFlight-- }

// Report takes in a load that came with a response at now.
func (t *Track) Report(now time.Duration, l Load) {
	t.others = math.Max(0, float64(l.Running+l.Waiting-t.InFlight))
	t.reportAt = now
	t.slowdown = l.Slowdown
	t.slots = l.Slots
}

// Served takes in the latency of a good response. Part of it is queueing, which
// the estimate adds by itself, so it is divided by the rounds of the queue.
func (t *Track) Served(now, latency time.Duration, slots int) {
	t.failures = 0
	work := time.Duration(float64(latency) / t.rounds(now, slots))
	if t.work == 0 {
		t.work = work
		return
	}
	t.work += time.Duration(workShare * float64(work-t.work))
	t.work = min(t.work, maxWork)
}

// Work is the mean time of a request that does not wait; 0 while not known.
func (t *Track) Work() time.Duration { return t.work }

// Blocked reports whether the target may not be chosen at now.
func (t *Track) Blocked(now time.Duration) bool { return now < t.blockedUntil }

// Block keeps the target from being chosen until a time.
func (t *Track) Block(until time.Duration) { t.blockedUntil = max(t.blockedUntil, until) }

// Unblock lets the target be chosen again.
func (t *Track) Unblock() { t.blockedUntil, t.failures = 0, 0 }

// Failed notes a failed request and returns how many failed in a row.
func (t *Track) Failed() int {
	t.failures++
	return t.failures
}

// total is the estimated number of requests at the target.
func (t *Track) total(now time.Duration) float64 {
	age := float64(now-t.reportAt) / float64(reportHalfLife)
	return float64(t.InFlight) + t.others*math.Exp2(-age)
}

// rounds is how often the work of one request passes until a new one is done.
func (t *Track) rounds(now time.Duration, slots int) float64 {
	if slots <= 0 {
		slots = max(t.slots, 1)
	}
	return math.Max(1, (t.total(now)+1)/float64(slots))
}

// Expected is the estimated time until a new request at the target is answered.
func (t *Track) Expected(now time.Duration, slots int) time.Duration {
	work := t.work
	if work == 0 {
		work = firstWork
	}
	return time.Duration(float64(work) * t.rounds(now, slots))
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
}

// coldFactor is how much slower a cold target is taken to be.
const coldFactor = 2

// Choose returns the index of the best candidate and its expected latency, or
// -1 when there is none.
func Choose(now time.Duration, rng *rand.Rand, candidates []Candidate) (int, time.Duration) {
	best, bestScore, bestExpected := -1, 0.0, time.Duration(0)
	for i, c := range candidates {
		expected := c.Track.Expected(now, c.Slots)
		if c.Cold {
			expected *= coldFactor
		}
		score := float64(expected)*(1+spread*rng.Float64()) + float64(distanceCost(c.Distance))
		if best < 0 || score < bestScore {
			best, bestScore, bestExpected = i, score, expected
		}
	}
	return best, bestExpected
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

// ColdInterval is the time between two requests of one entry to a cold target,
// so that all entries together stay within rate requests in any second. Each
// entry may send ceil(1 s / interval) in a second. Beyond one entry for each
// permitted request the entries rely on not being in step.
func ColdInterval(rate float64, entries int) time.Duration {
	if rate <= 0 || entries <= 0 {
		return time.Second
	}
	perEntry := math.Floor(rate / float64(entries))
	if perEntry >= 1 {
		return time.Duration(1.05 * float64(time.Second) / perEntry)
	}
	return time.Duration(2 * float64(time.Second) * float64(entries) / rate)
}
