package dispatcher

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencyWindow is the age up to which a latency sample counts as recent.
	latencyWindow = 2 * time.Second
	// latencySamples is the maximum number of samples kept. The median of this
	// many varies little, even if a target completes more requests per window.
	latencySamples = 128
)

// recentLatency holds the latencies of the latest requests to one target. It is
// safe for concurrent use.
type recentLatency struct {
	mu      sync.Mutex
	samples [latencySamples]latencySample
	next    int
}

// latencySample is the latency of one request and the time at which it ended.
// took is 0 in unused samples.
type latencySample struct {
	at, took time.Duration
}

// add records the latency of a request that ended at now.
func (l *recentLatency) add(now, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[l.next] = latencySample{at: now, took: max(took, 1)}
	l.next = (l.next + 1) % latencySamples
}

// median returns the median of the samples within the last latencyWindow and
// their number, or zeros if there are none.
func (l *recentLatency) median(now time.Duration) (time.Duration, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := make([]time.Duration, 0, latencySamples)
	for _, s := range l.samples {
		if s.took > 0 && now-s.at <= latencyWindow {
			recent = append(recent, s.took)
		}
	}
	if len(recent) == 0 {
		return 0, 0
	}
	slices.Sort(recent)
	return recent[len(recent)/2], len(recent)
}
