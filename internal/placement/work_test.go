package placement

import (
	"testing"
	"time"
)

// Guards against a route whose service time is inflated by a delay of the entry's own
// link or by slow targets, and stays so afterwards.
func TestWorkIsRobust(t *testing.T) {
	var w WorkEstimate
	initial := InitialWork(800*time.Millisecond, 1500*time.Millisecond)
	now := time.Duration(0)
	add := func(count int, observed time.Duration) {
		for range count {
			now += 60 * time.Millisecond
			w.Add(now, initial, observed)
		}
	}
	add(300, testWork)
	calm := w.Value(now, initial)
	add(150, 12*testWork)
	if got := w.Value(now, initial); got > 3*calm {
		t.Errorf("the estimate rose from %v to %v during 9 s of delays", calm, got)
	}
	if got := w.Value(now+30*time.Second, initial); got > 3*calm/2 {
		t.Errorf("without traffic the estimate is still %v after 30 s, usually %v", got, calm)
	}
	add(60, testWork)
	if got := w.Value(now, initial); got > 3*calm/2 {
		t.Errorf("the estimate is %v some seconds after the delays, usually %v", got, calm)
	}
	add(4000, 6*testWork)
	if got := w.Value(now, initial); got < 5*testWork {
		t.Errorf("the estimate is %v, although requests take %v for minutes", got, 6*testWork)
	}
}

// Guards against an initial service time that exceeds the timeout of the route, with
// which every request is refused (review/9).
func TestInitialWorkIsBelowTheTimeout(t *testing.T) {
	if got := InitialWork(8*time.Second, 2*time.Second); got > time.Second {
		t.Errorf("the initial service time is %v with a timeout of 2 s", got)
	}
	if got := InitialWork(800*time.Millisecond, 2*time.Second).Round(time.Millisecond); got != 296*time.Millisecond {
		t.Errorf("the initial service time is %v with a latency objective of 800 ms", got)
	}
}
