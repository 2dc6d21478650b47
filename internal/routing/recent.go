package routing

import (
	"sort"
	"time"
)

// Limits of the time before a hedge.
const (
	// HedgeMin keeps hedges from racing requests that are only just slower.
	HedgeMin = 2 * time.Millisecond
	// HedgeMax applies until enough latencies are known.
	HedgeMax = time.Second
	// hedgeQuantile is the quantile of recent latency after which a request is
	// hedged.
	hedgeQuantile = 0.95
	// hedgeMedianFactor keeps hedges from requests that take the usual time: with
	// nearly constant latency the p95 is the median, and hedges at the p95 would
	// use up the budget before a straggler appears.
	hedgeMedianFactor = 1.5
	// recentCount is the number of latencies that are kept.
	recentCount = 512
	// recentMin is the number from which on the quantile is used.
	recentMin = 32
	// recentStale is the number of new latencies after which the order of the
	// kept ones is computed again.
	recentStale = 32
)

// recent keeps the latest latencies of a service.
type recent struct {
	ring   [recentCount]time.Duration
	next   int
	count  int
	added  int
	sorted []time.Duration
}

func (r *recent) add(d time.Duration) {
	r.ring[r.next] = d
	r.next = (r.next + 1) % recentCount
	r.count = min(r.count+1, recentCount)
	r.added++
}

// quantile returns a quantile of the kept latencies, or 0 without any.
func (r *recent) quantile(q float64) time.Duration {
	if r.count == 0 {
		return 0
	}
	if r.sorted == nil || r.added >= recentStale {
		r.added = 0
		r.sorted = append(r.sorted[:0], r.ring[:r.count]...)
		sort.Slice(r.sorted, func(i, j int) bool { return r.sorted[i] < r.sorted[j] })
	}
	return r.sorted[int(q*float64(len(r.sorted)-1))]
}

func (r *recent) median() time.Duration { return r.quantile(0.5) }

// HedgeAfter returns the time after which a request that has no answer yet is
// hedged: the p95 of recent latency, but at least hedgeMedianFactor times its
// median, between HedgeMin and HedgeMax.
func (s *Selector) HedgeAfter(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = max(s.now, now)
	if s.recent.count < recentMin {
		return HedgeMax
	}
	usual := time.Duration(hedgeMedianFactor * float64(s.recent.median()))
	return min(max(s.recent.quantile(hedgeQuantile), usual, HedgeMin), HedgeMax)
}
