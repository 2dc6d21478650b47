package routing

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/text"
)

func targets(n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{Target: fmt.Sprintf("t%d", i), Local: true}
	}
	return all
}

// run sends n requests one after the other and counts them per target.
func run(s *Selector, now *time.Duration, all []Candidate, n int, latency func(string) time.Duration) map[string]int {
	counts := map[string]int{}
	for range n {
		c, ok := s.Pick(*now, all, "")
		if !ok {
			return counts
		}
		counts[c.Target]++
		s.Started(c.Target)
		d := latency(c.Target)
		*now += d
		s.Done(*now, c.Target, d, true)
	}
	return counts
}

// Guards against a straggler that keeps its share of the requests, and against
// one that gets no requests after it has recovered.
func TestStragglerIsEjectedAndProbed(t *testing.T) {
	s, now, all := NewSelector(1), time.Duration(0), targets(12)
	slow := 50 * time.Millisecond
	latency := func(target string) time.Duration {
		if target == "t3" {
			return slow
		}
		return 5 * time.Millisecond
	}
	run(s, &now, all, 200, latency)
	if n := run(s, &now, all, 1000, latency)["t3"]; n == 0 || n > 10 {
		t.Errorf("straggler got %d of 1000 requests, want a few probes", n)
	}
	slow = 5 * time.Millisecond
	run(s, &now, all, 2000, latency)
	if n := run(s, &now, all, 1200, latency)["t3"]; n < 50 {
		t.Errorf("recovered target got %d of 1200 requests, want near 100", n)
	}
}

// Guards against ejecting so many targets that the others fail under the load, and
// against finding no target when only stragglers are left.
func TestEjectionIsBounded(t *testing.T) {
	s, all := NewSelector(1), targets(12)
	for i, c := range all {
		s.Pick(0, all, "")
		s.Started(c.Target)
		d := time.Millisecond
		if i < 5 {
			d = time.Duration(i+10) * time.Millisecond
		}
		s.Done(0, c.Target, d, true)
	}
	if n := len(s.ejected(all, s.median(all))); n != 4 {
		t.Errorf("%d of 12 targets ejected, want 4", n)
	}
	if c, ok := s.Pick(0, all[:1], ""); !ok || c.Target != "t0" {
		t.Errorf("only candidate: got %v, %v", c, ok)
	}
	if _, ok := s.Pick(0, all[:1], "t0"); ok {
		t.Error("the excluded target was picked")
	}
}

// Guards against choices that ignore a measurement of the Selector: requests in
// flight, the age of the oldest one, and failures, which may be faster than
// responses.
func TestChoiceUsesOwnMeasurements(t *testing.T) {
	cases := []struct {
		name string
		// makeWorse makes t1 the worse of two targets with equal latencies.
		makeWorse func(s *Selector)
	}{
		{"more in flight", func(s *Selector) { s.Started("t1") }},
		{"old request in flight", func(s *Selector) {
			s.Started("t1")
			s.Pick(10*time.Millisecond, targets(2), "")
			s.Started("t0")
			s.Started("t0")
		}},
		{"fails fast", func(s *Selector) { s.Done(0, "t1", time.Microsecond, false) }},
		{"cancelled late", func(s *Selector) { s.Cancelled(0, "t1", 20*time.Millisecond) }},
	}
	for _, tc := range cases {
		s, all := NewSelector(1), targets(2)
		for range 100 {
			s.Done(0, "t0", time.Millisecond, true)
			s.Done(0, "t1", time.Millisecond, true)
		}
		tc.makeWorse(s)
		for range 20 {
			if c, _ := s.Pick(s.now, all, ""); c.Target != "t0" {
				t.Errorf("%s: the worse target was picked", tc.name)
				break
			}
		}
	}
}

// Guards against billed traffic between regions while local targets are idle,
// and against staying local when they are overloaded.
func TestLocalFirst(t *testing.T) {
	all := targets(3)
	all[1].Local = false
	all[2].Local, all[2].Remote = false, true
	s := NewSelector(1)
	var order []string
	for range 12 {
		c, _ := s.Pick(0, all, "")
		s.Started(c.Target)
		order = append(order, c.Target)
	}
	got := map[string]int{}
	for _, target := range order {
		got[target]++
	}
	if order[0] != "t0" || got["t0"] <= got["t1"] || got["t1"] <= got["t2"] || got["t2"] == 0 {
		t.Errorf("12 requests at once went to %v", order)
	}
}

// Guards against retries or hedges beyond their share of the requests.
func TestBudget(t *testing.T) {
	b, spent := NewBudget(0.1), 0
	for range 1000 {
		b.Earn()
		for b.Spend() {
			spent++
		}
	}
	if spent != 109 && spent != 110 {
		t.Errorf("%d extra sends for 1000 requests, want the burst of 10 and 100", spent)
	}
	if NewBudget(0).Spend() {
		t.Error("a share of 0 allowed an extra send")
	}
	full := NewBudget(1)
	if MayHedge(full, text.Exclusive, true) || MayHedge(full, text.AnyTarget, false) || !MayHedge(full, text.AnyTarget, true) {
		t.Error("hedging is for idempotent requests of any services only")
	}
}

// Guards against a hedge that hides a success, that runs on after the request has
// ended, or that runs although the budget is empty.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cancelled := 0
		sleep := func(first, second time.Duration, fail bool) func(context.Context, bool) (bool, error) {
			return func(ctx context.Context, hedge bool) (bool, error) {
				d := first
				if hedge {
					d = second
				}
				select {
				case <-time.After(d):
				case <-ctx.Done():
					cancelled++
					return hedge, ctx.Err()
				}
				if fail && hedge {
					return hedge, errors.New("hedge failed")
				}
				return hedge, nil
			}
		}
		check := func(what string, allow bool, send func(context.Context, bool) (bool, error), hedge bool, took time.Duration, cancels int) {
			t.Helper()
			cancelled = 0
			began := time.Now()
			got, err := Hedge(t.Context(), 10*time.Millisecond, func() bool { return allow }, send)
			d := time.Since(began)
			synctest.Wait()
			if err != nil || got != hedge || d != took || cancelled != cancels {
				t.Errorf("%s: hedge won %v after %v, %d cancelled, %v", what, got, d, cancelled, err)
			}
		}
		check("fast", true, sleep(5*time.Millisecond, 0, false), false, 5*time.Millisecond, 0)
		check("slow", true, sleep(time.Second, 5*time.Millisecond, false), true, 15*time.Millisecond, 1)
		check("budget empty", false, sleep(time.Second, 0, false), false, time.Second, 0)
		check("hedge fails", true, sleep(50*time.Millisecond, 0, true), false, 50*time.Millisecond, 0)
	})
}
