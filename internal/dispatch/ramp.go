package dispatch

import (
	"slices"
	"time"
)

// Thresholds of the cold-start ramp.
const (
	// nearBest is how far above the best latency a completion may be to count
	// towards a higher limit.
	nearBest = 2
	// farAbove is how far above the best latency (ramp) or the long-run median
	// (warm) a completion must be to count as slow.
	farAbove = 3
	// slowStreak is the number of consecutive slow completions after which a
	// warm target is regarded as cold. Stragglers recover within a few
	// completions more often than cold targets do.
	slowStreak = 5
	// historySize is the number of latencies of the long-run median, and
	// historyMin the number below which no median is trusted.
	historySize = 128
	historyMin  = 16
	// meanWeight is the weight of a new latency in the mean service time.
	meanWeight = 0.125
)

// ramp limits the requests in flight from measured completions. Invariant:
// 1 <= limit <= slots.
type ramp struct {
	slots, cold int
	limit       int
	// best is the lowest latency since the ramp began; 0 is none.
	best      time.Duration
	successes int
	slow      int
	history   []time.Duration
	cursor    int
	median    time.Duration
	mean      time.Duration
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
	r.limit = min(max(1, r.limit), r.slots)
	if warm {
		r.limit = r.slots
	}
}

func (r *ramp) warm() bool { return r.slots > 0 && r.limit >= r.slots }

// restart begins again with the cold slots and forgets all latencies.
func (r *ramp) restart() {
	r.limit = r.cold
	r.best = 0
	r.successes = 0
	r.slow = 0
	r.history = r.history[:0]
	r.cursor = 0
	r.median = 0
	r.mean = 0
}

// completed takes the latency of a successful completion.
func (r *ramp) completed(latency time.Duration) {
	latency = max(latency, 1)
	r.updateMean(latency)
	if r.warm() {
		r.completedWarm(latency)
		return
	}
	r.completedCold(latency)
}

func (r *ramp) updateMean(latency time.Duration) {
	if r.mean == 0 {
		r.mean = latency
		return
	}
	r.mean += time.Duration(meanWeight * float64(latency-r.mean))
}

func (r *ramp) completedCold(latency time.Duration) {
	if r.best == 0 || latency < r.best {
		r.best = latency
	}
	switch {
	case latency <= nearBest*r.best:
		r.slow = 0
		r.successes++
	case latency > farAbove*r.best:
		r.slow++
	}
	if r.slow > r.limit {
		r.limit = max(r.cold, r.limit-1)
		r.slow, r.successes = 0, 0
		return
	}
	if r.successes >= r.limit {
		r.limit = min(r.slots, r.limit+1)
		r.slow, r.successes = 0, 0
	}
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
		sorted := slices.Sorted(slices.Values(r.history))
		r.median = sorted[len(sorted)/2]
	}
}
