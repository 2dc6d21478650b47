package admission

import (
	"slices"
	"time"
)

// Thresholds of the cold-start ramp.
const (
	// growRatio is the highest ratio of a window's median to the baseline at
	// which the limit is raised.
	growRatio = 2
	// slowRatio is the ratio to the baseline (during the ramp) or to the long-run
	// median (of a warm target) above which a latency counts as slow.
	slowRatio = 3
	// minWindow is the minimum number of completions in a window. With fewer, a
	// single cheap request would determine the baseline.
	minWindow = 3
	// baselineGrowth is the factor by which the baseline rises after each window,
	// so that the limit can grow again when requests become more expensive.
	baselineGrowth = 1.1
	// slowStreak is the number of consecutive slow completions after which a
	// warm target is regarded as cold. A straggler that is not cold is more likely
	// than a cold target to recover within a few completions.
	slowStreak = 5
	// historySize is the number of latencies that make up the long-run median,
	// which is updated after every medianInterval added latencies.
	historySize    = 128
	medianInterval = 16
	// meanWeight is the weight of a new latency in the mean service time.
	meanWeight = 0.125
	// maxMeanAge is the age above which the mean service time is ignored. Without
	// this limit, refusals based on an outdated mean could keep away the requests
	// that would correct it.
	maxMeanAge = time.Second
)

// ramp adapts the limit of requests in flight to the measured latencies.
// Invariant: 1 <= cold <= limit <= slots.
type ramp struct {
	slots, cold int
	limit       int
	// window holds the latencies since the last decision about the limit.
	window []time.Duration
	// baseline is the lowest median of a window since the ramp began, raised by
	// baselineGrowth after each window; 0 if there was no window yet.
	baseline time.Duration
	// slowCount counts consecutive slow completions of a warm target.
	slowCount int
	// history is a ring buffer of latencies with the write index cursor; median is
	// their long-run median.
	history []time.Duration
	cursor  int
	median  time.Duration
	// mean is the moving average of the service time, last updated at measuredAt.
	mean       time.Duration
	measuredAt time.Duration
	// coldTransitions counts how often the latencies showed that a warm target had
	// become cold.
	coldTransitions int
}

func newRamp(slots, cold int) ramp {
	r := ramp{}
	r.setSlots(slots, cold)
	r.restart()
	return r
}

// setSlots changes the bounds of the limit. If the limit had reached the old number
// of slots, it is set to the new one at once.
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

// restart resets the limit to the cold slots and discards all latencies.
func (r *ramp) restart() {
	r.limit = r.cold
	r.window = r.window[:0]
	r.baseline = 0
	r.slowCount = 0
	r.history = r.history[:0]
	r.cursor = 0
	r.median = 0
	r.mean = 0
}

// completed records the latency of a successful completion.
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

// serviceTime returns the mean latency of recent completions, or 0 if unknown.
func (r *ramp) serviceTime(now time.Duration) time.Duration {
	if now-r.measuredAt > maxMeanAge {
		return 0
	}
	return r.mean
}

// completedCold adjusts the limit after each window of completions.
func (r *ramp) completedCold(latency time.Duration) {
	r.window = append(r.window, latency)
	if len(r.window) < max(minWindow, r.limit) {
		return
	}
	median := medianOf(r.window)
	r.window = r.window[:0]
	if r.baseline == 0 || median < r.baseline {
		r.baseline = median
	}
	switch {
	case median <= growRatio*r.baseline:
		r.limit = min(r.slots, r.limit+1)
	case median > slowRatio*r.baseline:
		r.limit = max(r.cold, r.limit-1)
	}
	r.baseline = time.Duration(baselineGrowth * float64(r.baseline))
}

// failed records a request that ended without a response. Its latency is not
// meaningful, so the window starts over: a cold target must complete a whole window
// again before the limit grows.
func (r *ramp) failed() { r.window = r.window[:0] }

func medianOf(latencies []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[len(sorted)/2]
}

func (r *ramp) completedWarm(latency time.Duration) {
	if r.median > 0 && latency > slowRatio*r.median {
		r.slowCount++
		if r.slowCount >= slowStreak && r.cold < r.slots {
			r.coldTransitions++
			r.restart()
		}
		return
	}
	r.slowCount = 0
	r.remember(latency)
}

func (r *ramp) remember(latency time.Duration) {
	if len(r.history) < historySize {
		r.history = append(r.history, latency)
	} else {
		r.history[r.cursor] = latency
	}
	r.cursor = (r.cursor + 1) % historySize
	if r.cursor%medianInterval == 0 {
		r.median = medianOf(r.history)
	}
}
