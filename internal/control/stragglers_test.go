package control

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// feedReadings feeds readings to a detector every stragglerInterval; micros gives
// the latency of target i in microseconds, count the number of its completions.
func feedReadings(w *stragglerDetector, from, d time.Duration, targets int, micros func(i int) float64, count func(i int) int) {
	for now := from; now < from+d; now += stragglerInterval {
		var readings []latencyReading
		for i := range targets {
			readings = append(readings, latencyReading{target: fmt.Sprint(i), micros: micros(i), count: count(i)})
		}
		w.update(now, readings)
	}
}

func countStragglers(w *stragglerDetector) (n int) {
	for _, s := range w.targets {
		if s.straggler {
			n++
		}
	}
	return n
}

func enough(int) int { return minCompletions }

// firstSlow returns the latencies of targets of which the first n have factor
// times the latency of the others.
func firstSlow(n int, factor float64) func(int) float64 {
	return func(i int) float64 {
		if i < n {
			return 1000 * factor
		}
		return 1000
	}
}

// Guards against stragglers that are not found, that are found after a short
// latency spike or from too few completions, or that are more than a third of
// the targets.
func TestStragglersAreFound(t *testing.T) {
	for _, c := range []struct {
		slow   int
		factor float64
		d      time.Duration
		count  int
		want   int
	}{
		{2, 10, 2 * time.Second, minCompletions, 2},
		{2, 10, time.Second, minCompletions, 0},
		{2, 10, 5 * time.Second, minCompletions - 1, 0},
		{2, stragglerFactor, 5 * time.Second, minCompletions, 0},
		{5, 10, 5 * time.Second, minCompletions, 4},
	} {
		w := newStragglerDetector()
		feedReadings(w, time.Second, c.d, 12, firstSlow(c.slow, c.factor), func(int) int { return c.count })
		if got := countStragglers(w); got != c.want {
			t.Errorf("%+v: %d stragglers", c, got)
		}
	}
}

// Guards against a straggler that counts as normal while its latency is still
// near the limit, or that remains a straggler when it is fast, and against probe
// waits that do not grow.
func TestStragglerReturnsAfterProbe(t *testing.T) {
	w := newStragglerDetector()
	feedReadings(w, time.Second, 2*time.Second, 12, firstSlow(1, 10), enough)
	feedReadings(w, 3*time.Second, 10*time.Second, 12, firstSlow(1, 2), enough)
	if countStragglers(w) != 1 {
		t.Fatal("a target at twice the median returned")
	}
	s := w.targets["0"]
	empty := func(i int) int { return min(i, 1) * minCompletions }
	var waits []time.Duration
	now := 13 * time.Second
	for range 3 {
		from := now
		for ; !s.probing; now += stragglerInterval {
			feedReadings(w, now, stragglerInterval, 12, firstSlow(1, 10), empty)
		}
		waits = append(waits, (now - from).Round(time.Second))
		feedReadings(w, now, time.Second, 12, firstSlow(1, 10), enough)
		now += time.Second
	}
	if got := fmt.Sprint(waits); got != "[5s 10s 20s]" {
		t.Errorf("waits between probes %v", got)
	}
	feedReadings(w, now, returnAfter+time.Second, 12, firstSlow(0, 1), enough)
	if countStragglers(w) != 0 {
		t.Error("a fast target is still a straggler")
	}
}

// Guards against slices that stay with a straggler, that move without a weight
// for tail latency, that return while it is slow, or that do not return when it
// is fast again.
func TestSlicesMoveOffStragglers(t *testing.T) {
	for tail, want := range map[string]bool{"4": true, "0": false} {
		s := newSimWithoutConfig(1, true)
		s.change(0, strings.Replace(simText, "slots: 6", "slots: 6, weights: {churn: 1, balance: 2, tail: "+tail+"}", 1))
		s.run(3 * time.Second)
		s.moves = 0
		for _, target := range s.targets {
			target.micros = 1000
		}
		s.targets[0].micros = 10000
		s.run(5 * time.Second)
		owned := func() int { return len(s.planner.indexOf(s.state).owned["t1"]) }
		if left := owned() == 0; left != want {
			t.Fatalf("tail %s: the straggler owns %d slices", tail, owned())
		}
		if !want {
			if s.moves != 0 {
				t.Errorf("%d moves without a weight for the tail", s.moves)
			}
			continue
		}
		for range 300 {
			s.run(100 * time.Millisecond)
			if owned() > 1 {
				t.Fatalf("the straggler owns %d slices, a probe needs 1", owned())
			}
		}
		// Two slices left, and at most three probes of two moves each.
		if s.moves > 8 {
			t.Errorf("%d moves in 35 s", s.moves)
		}
		s.targets[0].micros = 1000
		s.run(60 * time.Second)
		if owned() != 2 {
			t.Errorf("the target owns %d slices after it became fast, want 2", owned())
		}
		if len(s.faults) > 0 {
			t.Error(strings.Join(s.faults, "\n"))
		}
	}
}
