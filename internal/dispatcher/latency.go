package dispatcher

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencyWindow is the age up to which an exchange counts as recent.
	latencyWindow = 2 * time.Second
	// latencySamples bounds the exchanges that are kept; the median of this
	// many varies little, also where a target completes more per window.
	latencySamples = 128
)

// recentLatency keeps how long the last exchanges with one target took. It is
// safe for concurrent use.
type recentLatency struct {
	mu      sync.Mutex
	samples [latencySamples]latencySample
	next    int
}

// latencySample is one exchange; took is 0 where none is kept.
type latencySample struct {
	at, took time.Duration
}

// add notes an exchange that ended at now.
func (l *recentLatency) add(now, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[l.next] = latencySample{at: now, took: max(took, 1)}
	l.next = (l.next + 1) % latencySamples
}

// median returns the median of the exchanges within the last latencyWindow and
// their number; it is 0 if there are none.
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
