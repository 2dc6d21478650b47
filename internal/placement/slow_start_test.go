package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartCapacity is the least time between two requests of the target of these tests,
// and slowStartPermitted the requests per second that it takes while it is cold.
const (
	slowStartCapacity  = 40 * time.Millisecond
	slowStartPermitted = 14
)

// slowStartPace returns the pace of one of the given number of senders.
func slowStartPace(senders int, phase float64) Pace {
	return Pace{Permitted: slowStartPermitted, Senders: senders, InSubset: true, Phase: phase}
}

// offer sends to the target whenever slow start permits it, with all entries offering
// more than the target serves, and returns the number of requests in each second.
func offer(senders []SlowStart, length time.Duration, answer func(now time.Duration) Quality) []int {
	const step, took = 5 * time.Millisecond, 250 * time.Millisecond
	type sent struct {
		by int
		at time.Duration
	}
	var open []sent
	counts := make([]int, int(length/time.Second))
	for now := time.Duration(0); now < length; now += step {
		for len(open) > 0 && now-open[0].at >= took {
			senders[open[0].by].Responded(now, open[0].at, slowStartCapacity, answer(now))
			open = open[1:]
		}
		for i := range senders {
			if senders[i].Accepts(now) {
				senders[i].Sent(now)
				open = append(open, sent{i, now})
				counts[now/time.Second]++
			}
		}
	}
	return counts
}

// senders returns the states of entries at a target that was released at 0.
func senders(n int) []SlowStart {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	list := make([]SlowStart, n)
	for i := range list {
		list[i].Released(0, slowStartPace(n, rng.Float64()))
	}
	return list
}

// Guards against a target that is flooded by entries that each think themselves alone, and
// against one that stays below its share although it responds well.
func TestSlowStartGrowsWithGoodResponses(t *testing.T) {
	for _, n := range []int{1, 9, 76, 195} {
		list := senders(n)
		counts := offer(list, 8*time.Second, func(time.Duration) Quality { return Good })
		t.Logf("%d entries: %v requests per second", n, counts)
		if 2*counts[0] > 3*slowStartPermitted {
			t.Errorf("%d entries send %d requests in the first second", n, counts[0])
		}
	}
	// A few entries send to each target.
	list := senders(6)
	offer(list, 6*time.Second, func(time.Duration) Quality { return Good })
	for i := range list {
		if origin := list[i].Origin(6 * time.Second); origin != "" {
			t.Errorf("entry %d is still in slow start (%s)", i, origin)
		}
	}
}

// Guards against a share that grows without responses, with responses of a busy target or
// in spite of refusals.
func TestSlowStartDoesNotGrowOtherwise(t *testing.T) {
	for _, n := range []int{6, 76} {
		for _, q := range []Quality{Busy, Strained, Failed} {
			for second, count := range offer(senders(n), 8*time.Second, func(time.Duration) Quality { return q }) {
				if count > slowStartPermitted+2 {
					t.Errorf("%d entries send %d requests in second %d in spite of quality %d", n, count, second, q)
				}
			}
		}
	}
}

// Guards against a pace that does not fall when a target that had recovered gets into
// trouble again.
func TestSlowStartShrinks(t *testing.T) {
	var s SlowStart
	s.Released(0, slowStartPace(6, 0))
	now, sendAt := time.Duration(0), func(now time.Duration, q Quality) {
		s.Sent(now)
		s.Responded(now+minGrowthTime, now, 1, q)
	}
	for ; now < 3*time.Second; now += 400 * time.Millisecond {
		sendAt(now, Good)
	}
	fast := s.interval
	sendAt(now, Failed)
	if s.interval != 2*fast {
		t.Errorf("interval %v, then %v after a refusal", fast, s.interval)
	}
	for range 20 {
		now += 400 * time.Millisecond
		sendAt(now, Failed)
	}
	if s.interval != slowStartPace(6, 0).interval() {
		t.Errorf("interval %v after many refusals, at first %v", s.interval, slowStartPace(6, 0).interval())
	}
}

// Guards against a limit on targets in steady state.
func TestSteadyTargetsAreNotLimited(t *testing.T) {
	var s SlowStart
	s.Sent(0)
	s.Responded(time.Second, 0, slowStartCapacity, Failed)
	if !s.Accepts(time.Second) || s.Due(time.Hour, true) || s.Origin(time.Second) != "" {
		t.Errorf("a target in steady state is limited: %+v", s)
	}
	s.Released(0, slowStartPace(6, 0))
	if s.Origin(maxSlowStart) != "" || !s.Accepts(maxSlowStart) || !s.Expire(maxSlowStart) {
		t.Error("slow start does not end")
	}
}

// Guards against a target that joined and gets no request within 4 s, also where all
// requests must not run twice, and against more requests to a cold target than permitted.
func TestColdTargetGetsRequests(t *testing.T) {
	for _, n := range []int{1, 9, 76, 195} {
		for _, idempotent := range []bool{true, false} {
			var entries []Entry
			for i := range n {
				entries = append(entries, Entry{Addr: fmt.Sprint("e", i), Near: i%3 == 0})
			}
			rng := rand.New(rand.NewPCG(2, uint64(n)))
			first, count := time.Hour, 0
			for _, e := range entries {
				var s SlowStart
				interval := ColdInterval(slowStartPermitted, "t", e.Addr, entries)
				pace := NewPace(slowStartPermitted, interval, false, 8, 65, n/3, n)
				pace.Phase = rng.Float64()
				s.Cold(0, 10*time.Second, pace)
				for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
					if interval > 0 && s.Due(now, idempotent) {
						s.Sent(now)
						first, count = min(first, now), count+1
					}
				}
			}
			if first > 4*time.Second {
				t.Errorf("%d entries, idempotent %v: first request after %v", n, idempotent, first)
			}
			if count > 10*slowStartPermitted {
				t.Errorf("%d entries, idempotent %v: %d requests in 10 s", n, idempotent, count)
			}
		}
	}
}

// Guards against a slow target that is left idle after it has recovered, and against
// trials that cost many requests or ones that must not run twice.
func TestSlowTargetIsTried(t *testing.T) {
	var s SlowStart
	s.Avoided(0, slowStartPace(6, 0.5))
	trials, last := 0, time.Duration(0)
	for now := time.Duration(0); now < 12*time.Second; now += 10 * time.Millisecond {
		if s.Due(now, false) {
			t.Fatal("a request that must not run twice is a trial")
		}
		if s.Due(now, true) {
			trials, last = trials+1, now
			s.Sent(now)
			s.Responded(now, now, slowStartCapacity, Strained)
		}
	}
	if trials < 2 || trials > 6 {
		t.Errorf("%d trials in 12 s", trials)
	}
	at := last + maxTrialInterval
	if recovered, _ := s.Responded(at, at-1, slowStartCapacity, Good); recovered {
		t.Error("a response to another request than a trial ends the estimates")
	}
	s.Sent(at)
	if recovered, _ := s.Responded(at+minGrowthTime, at, slowStartCapacity, Good); !recovered {
		t.Error("a good response to a trial does not begin the growth")
	}
	if s.trying || s.Origin(at) != OriginSlow || s.interval != slowStartPace(6, 0).interval() {
		t.Errorf("state after a good trial: %+v", s)
	}
}

// Guards against responses that count as good although the target is slow or full, and as
// bad although all targets have queues.
func TestJudge(t *testing.T) {
	const work = 200 * time.Millisecond
	calm, loaded := &ServiceAverage{otherLoad: 2, slowdown: 1}, &ServiceAverage{otherLoad: 12, slowdown: 1}
	for _, c := range []struct {
		latency time.Duration
		load    *Load
		average *ServiceAverage
		want    Quality
	}{
		{work, nil, calm, Good},
		{2 * work, &Load{Running: 2, Slowdown: 1.5}, calm, Good},
		{5 * work, nil, calm, Busy},
		{12 * work, nil, calm, Strained},
		{work, &Load{Running: 6, Waiting: 1, Slowdown: 1}, calm, Busy},
		{work, &Load{Running: 6, Waiting: 6, Slowdown: 1}, calm, Strained},
		{2 * work, &Load{Running: 6, Waiting: 6, Slowdown: 1}, loaded, Good},
		{work, &Load{Running: 1, Slowdown: 12}, calm, Busy},
		{work, nil, nil, Good},
	} {
		if got := Judge(0, c.latency, work, 6, c.load, c.average); got != c.want {
			t.Errorf("latency %v, load %+v, average %+v: %d, want %d", c.latency, c.load, c.average, got, c.want)
		}
	}
}

// Guards against trials of targets that are in use or little known, and against a target
// that was much slower than others and is not tried.
func TestAvoidedTargets(t *testing.T) {
	for _, c := range []struct {
		slowdown float64
		reports  int
		age      time.Duration
		want     bool
	}{{12, minAvoidedReports, avoidedAge, true}, {12, minAvoidedReports, avoidedAge / 2, false}, {12, minAvoidedReports - 1, avoidedAge, false}, {2, minAvoidedReports, avoidedAge, false}} {
		average := &ServiceAverage{Entries: 9}
		s, sound := TargetStats{ServiceAverage: average}, TargetStats{ServiceAverage: average}
		for range 100 {
			sound.AddReport(time.Second, Load{Running: 1, Slots: 6, Slowdown: 1})
		}
		for range c.reports {
			s.Succeeded(time.Second, time.Duration(c.slowdown*float64(100*time.Millisecond)), 100*time.Millisecond, 6)
			s.AddReport(time.Second, Load{Running: 1, Slots: 6, Slowdown: c.slowdown})
		}
		if got := s.Avoided(time.Second+c.age, 6); got != c.want {
			t.Errorf("slowdown %v in %d reports, %v ago: %v, want %v", c.slowdown, c.reports, c.age, got, c.want)
		}
	}
}
