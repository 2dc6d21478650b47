package admission

import (
	"slices"
	"time"
)

// Thresholds of the cold-start ramp.
const (
	// nearBest is how far above the best window the median of a window may be
	// for the limit to grow.
	nearBest = 2
	// farAbove is how far above the best window (ramp) or the long-run median
	// (warm) a latency must be to count as slow.
	farAbove = 3
	// minWindow is the least number of completions that decide about the limit;
	// with fewer a single cheap request would set the pace.
	minWindow = 3
	// bestGrowth raises the best window with each further one, so that a limit
	// does not stay low for ever when requests become more expensive.
	bestGrowth = 1.1
	// slowStreak is the number of consecutive slow completions after which a
	// warm target is regarded as cold. Stragglers recover within a few
	// completions more often than cold targets do.
	slowStreak = 5
	// historySize is the number of latencies of the long-run median, which is
	// updated after every historyMin of them.
	historySize = 128
	historyMin  = 16
	// meanWeight is the weight of a new latency in the mean service time.
	meanWeight = 0.125
	// meanAge is the age above which the mean service time is not trusted, so
	// that refusals based on it cannot prevent its correction.
	meanAge = time.Second
)

// ramp limits the requests in flight from measured completions. Invariant:
// 1 <= cold <= limit <= slots.
type ramp struct {
	slots, cold int
	limit       int
	// window holds the latencies since the last decision about the limit, best
	// the lowest median of a window since the ramp began; 0 is none.
	window []time.Duration
	best   time.Duration
	// slow counts consecutive slow completions of a warm target.
	slow    int
	history []time.Duration
	cursor  int
	median  time.Duration
	// mean is the mean service time, measured last at measuredAt.
	mean       time.Duration
	measuredAt time.Duration
	// turns counts how often the gate itself saw a warm target turn cold.
	turns int
}

func newRamp(slots, cold int) ramp {
	r := ramp{}
	r.setSlots(slots, cold)
	r.restart()
	return r
}

// setSlots changes the bounds. A ramp that had reached all slots follows a
// change of slots at once.
func (r *ramp) setSlots(slots, cold int) {
	warm := r.warm()
	r.slots = max(1, slots)
	r.cold = min(max(1, cold), r.slots)
	r.limit = min(max(r.cold, r.limit), r.slots)
	if warm {
		r.limit = r.slots
	}
}

func (r *ramp) warm() bool { return r.slots > 0 && r.limit >= r.slots }

// restart begins again with the cold slots and forgets all latencies.
func (r *ramp) restart() {
	r.limit = r.cold
	r.window = r.window[:0]
	r.best = 0
	r.slow = 0
	r.history = r.history[:0]
	r.cursor = 0
	r.median = 0
	r.mean = 0
}

// completed takes the latency of a successful completion.
func (r *ramp) completed(now, latency time.Duration) {
	latency = max(latency, 1)
	r.updateMean(now, latency)
	if r.warm() {
		r.completedWarm(latency)
		return
	}
	r.completedCold(latency)
}

func (r *ramp) updateMean(now, latency time.Duration) {
	mean := r.serviceTime(now)
	if mean == 0 {
		mean = latency
	}
	r.mean = mean + time.Duration(meanWeight*float64(latency-mean))
	r.measuredAt = now
}

// serviceTime is the mean latency of recent completions, 0 if unknown.
func (r *ramp) serviceTime(now time.Duration) time.Duration {
	if now-r.measuredAt > meanAge {
		return 0
	}
	return r.mean
}

// completedCold decides about the limit after a window of completions.
func (r *ramp) completedCold(latency time.Duration) {
	r.window = append(r.window, latency)
	if len(r.window) < max(minWindow, r.limit) {
		return
	}
	median := medianOf(r.window)
	r.window = r.window[:0]
	if r.best == 0 || median < r.best {
		r.best = median
	}
	switch {
	case median <= nearBest*r.best:
		r.limit = min(r.slots, r.limit+1)
	case median > farAbove*r.best:
		r.limit = max(r.cold, r.limit-1)
	}
	r.best = time.Duration(bestGrowth * float64(r.best))
}

// failed takes a completion without an answer. It says nothing about latency,
// so a cold target must complete a whole window again before the limit grows.
func (r *ramp) failed() { r.window = r.window[:0] }

func medianOf(latencies []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[len(sorted)/2]
}

func (r *ramp) completedWarm(latency time.Duration) {
	if r.median > 0 && latency > farAbove*r.median {
		r.slow++
		if r.slow >= slowStreak && r.cold < r.slots {
			r.turns++
			r.restart()
		}
		return
	}
	r.slow = 0
	r.remember(latency)
}

func (r *ramp) remember(latency time.Duration) {
	if len(r.history) < historySize {
		r.history = append(r.history, latency)
	} else {
		r.history[r.cursor] = latency
	}
	r.cursor = (r.cursor + 1) % historySize
	if r.cursor%historyMin == 0 {
		r.median = medianOf(r.history)
	}
}
