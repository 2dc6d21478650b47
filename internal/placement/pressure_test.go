package placement

import (
	"testing"
	"time"
)

// admitted returns the fraction of requests with the expected latency that is
// admitted after targets with four slots reported the number of waiting requests.
// The remaining latency budget is one second.
func admitted(waiting int, expected time.Duration, urgent bool) float64 {
	var p LoadShedder
	for range 100 {
		p.AddReport(0, Load{Running: 4, Waiting: waiting, Slots: 4})
	}
	count := 0
	const draws = 1000
	for i := range draws {
		if p.Admit(0, expected, time.Second, urgent, float64(i)/draws) {
			count++
		}
	}
	return float64(count) / draws
}

// Guards against refusing requests while targets have free slots, and against
// refusing all requests, after which no load report would show that the queues have
// drained.
func TestAdmissionFollowsTheQueues(t *testing.T) {
	const late = 700 * time.Millisecond
	if got := admitted(0, late, false); got != 1 {
		t.Errorf("%.2f of the requests are admitted without a queue", got)
	}
	if got := admitted(16, 300*time.Millisecond, false); got != 1 {
		t.Errorf("%.2f of the requests are admitted although a target has free slots", got)
	}
	last := 1.0
	for _, waiting := range []int{4, 6, 8, 12} {
		got := admitted(waiting, late, false)
		if got >= last || got < minAdmitted {
			t.Errorf("%d waiting requests: %.2f are admitted, %.2f with fewer waiting", waiting, got, last)
		}
		last = got
	}
	if got := admitted(400, late, true); got != minAdmitted {
		t.Errorf("%.2f of the requests are admitted with a long queue, want %.2f", got, minAdmitted)
	}
}

// Guards against refusing urgent requests before less urgent ones.
func TestUrgentRequestsAreRefusedLast(t *testing.T) {
	const late = 700 * time.Millisecond
	if usual, urgent := admitted(4, late, false), admitted(4, late, true); usual >= 1 || urgent != 1 {
		t.Errorf("with one waiting request per slot %.2f of the urgent and %.2f of the other requests are admitted", urgent, usual)
	}
	for waiting := range 30 {
		if usual, urgent := admitted(waiting, late, false), admitted(waiting, late, true); urgent < usual {
			t.Errorf("%d waiting requests: %.2f of the urgent and %.2f of the other requests are admitted", waiting, urgent, usual)
		}
	}
}

// Guards against refusing requests while another region has free slots: after the
// loss of a data centre the queues in its region are long, those in other regions
// are not.
func TestFastestConsidersAllRegions(t *testing.T) {
	near, far := new(TargetStats), new(TargetStats)
	for range 12 {
		near.Started()
	}
	candidates := []Candidate{{Stats: near, Slots: 4}, {Stats: far, Slots: 4, Distance: OtherRegion}}
	const left = 2 * testWork
	if i, expected := Fastest(0, testWork, candidates); i != 1 || expected >= left {
		t.Errorf("the fastest candidate is %d in %v, want the one in the other region in less than %v", i, expected, left)
	}
	if i, _ := Fastest(0, testWork, nil); i != -1 {
		t.Errorf("got index %d without candidates", i)
	}
}

// Guards against a queue that stays long because the refused fraction stops growing,
// and against requests that are refused for long after the queue has drained.
func TestRefusedFractionGrowsWhileQueuesAreLong(t *testing.T) {
	var p LoadShedder
	now := time.Duration(0)
	report := func(waiting int, span time.Duration) {
		for end := now + span; now < end; now += 100 * time.Millisecond {
			p.AddReport(now, Load{Running: 4, Waiting: waiting, Slots: 4})
		}
	}
	refused := func() float64 {
		count := 0
		for i := range 1000 {
			if !p.Admit(now, time.Second, 900*time.Millisecond, false, float64(i)/1000) {
				count++
			}
		}
		return float64(count) / 1000
	}
	report(7, time.Second)
	first := refused()
	report(7, 10*time.Second)
	if grown := refused(); grown < first+0.3 || grown > 1-minAdmittedLong {
		t.Errorf("%.2f are refused after 1 s and %.2f after 11 s of the same queue", first, grown)
	}
	grown := refused()
	if now += 5 * time.Second; refused() > grown-0.3 {
		t.Errorf("%.2f are refused 5 s after the last report, %.2f right after it", refused(), grown)
	}
	if report(0, 3*time.Second); refused() != 0 {
		t.Errorf("%.2f are refused 3 s after the queue has drained", refused())
	}
}
