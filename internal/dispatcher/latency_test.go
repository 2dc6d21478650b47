package dispatcher

import (
	"testing"
	"time"
)

// Guards against a median that is affected by old samples or by one outlier, and
// against a count that includes old samples.
func TestRecentLatencyIsTheMedianOfTheWindow(t *testing.T) {
	var l recentLatency
	for i := range 3 * latencySamples {
		l.add(time.Duration(i)*time.Millisecond, time.Second)
	}
	now := time.Minute
	if d, n := l.median(now); d != 0 || n != 0 {
		t.Errorf("old samples give median %v of %d", d, n)
	}
	for _, took := range []time.Duration{4, 5, time.Hour, 5, 6} {
		l.add(now, took)
	}
	if d, n := l.median(now + latencyWindow); d != 5 || n != 5 {
		t.Errorf("median %v of %d, want 5 of 5", d, n)
	}
}
