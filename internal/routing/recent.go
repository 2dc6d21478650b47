package routing

import (
	"sort"
	"time"
)

// Limits of the delay before a hedge.
const (
	// MinHedgeDelay is the shortest delay; it avoids hedges of requests that are only
	// slightly slower than usual.
	MinHedgeDelay = 2 * time.Millisecond
	// MaxHedgeDelay is the longest delay, which applies until enough latencies are known.
	MaxHedgeDelay = time.Second
	// hedgeQuantile is the quantile of recent latency after which a request is
	// hedged.
	hedgeQuantile = 0.95
	// hedgeMedianFactor times the median is the least delay. It avoids hedges of
	// requests that take the usual time: with nearly constant latency the p95 is
	// about the median, and hedges at the p95 would use up the budget before a
	// straggler appears.
	hedgeMedianFactor = 1.5
	// recentCount is the number of latencies that are kept.
	recentCount = 512
	// recentMin is the number of latencies from which on the quantile is used.
	recentMin = 32
	// recentStale is the number of new latencies after which the kept ones are
	// sorted again.
	recentStale = 32
)

// latencyWindow keeps the latest latencies of a service.
type latencyWindow struct {
	ring  [recentCount]time.Duration
	next  int
	count int
	// added counts the latencies since sorted was computed.
	added  int
	sorted []time.Duration
}

func (w *latencyWindow) add(d time.Duration) {
	w.ring[w.next] = d
	w.next = (w.next + 1) % recentCount
	w.count = min(w.count+1, recentCount)
	w.added++
}

// quantile returns a quantile of the kept latencies, or 0 without any.
func (w *latencyWindow) quantile(q float64) time.Duration {
	if w.count == 0 {
		return 0
	}
	if w.sorted == nil || w.added >= recentStale {
		w.added = 0
		w.sorted = append(w.sorted[:0], w.ring[:w.count]...)
		sort.Slice(w.sorted, func(i, j int) bool { return w.sorted[i] < w.sorted[j] })
	}
	return w.sorted[int(q*float64(len(w.sorted)-1))]
}

func (w *latencyWindow) median() time.Duration { return w.quantile(0.5) }

// HedgeAfter returns the time after which a request without a response is hedged:
// the p95 of the recent latencies, but at least hedgeMedianFactor times their
// median, between MinHedgeDelay and MaxHedgeDelay.
func (s *Selector) HedgeAfter(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = max(s.now, now)
	if s.recent.count < recentMin {
		return MaxHedgeDelay
	}
	usual := time.Duration(hedgeMedianFactor * float64(s.recent.median()))
	return min(max(s.recent.quantile(hedgeQuantile), usual, MinHedgeDelay), MaxHedgeDelay)
}
