package placement

import (
	"math"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against a later announcement that shortens a pause or takes a leave back,
// and against a pause without an end.
func TestAnnouncementsAreNeverTakenBack(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("the longest pause holds", prop.ForAll(
		func(lengths, gaps []int64) bool {
			var a Availability
			var now, until time.Duration
			for i := range min(len(lengths), len(gaps)) {
				now += time.Duration(gaps[i])
				if began := a.Pause(now, time.Duration(lengths[i])); began && now < until {
					return false
				}
				if lengths[i] > 0 {
					until = max(until, now+min(time.Duration(lengths[i]), MaxPause))
				}
				if a.Paused(now) != (now < until) || a.Accepts(now, 0) != (now >= until) || a.OpensAt(now, 0) != max(now, until) {
					return false
				}
			}
			return !a.Paused(now + MaxPause)
		}, gen.SliceOfN(20, gen.OneGenOf(gen.Int64Range(-int64(time.Hour), 2*int64(time.Hour)), gen.Const(int64(math.MaxInt64)))),
		gen.SliceOfN(20, gen.Int64Range(0, int64(20*time.Minute)))))
	properties.Property("a leaving target accepts nothing", prop.ForAll(
		func(at, later int64, inFlight int) bool {
			var a Availability
			first, second := a.Leave(time.Duration(at)), a.Leave(time.Duration(later))
			return first && !second && a.LeavingSince() == time.Duration(at) && !a.Open(time.Duration(later)) && !a.Accepts(time.Duration(later), inFlight)
		}, gen.Int64Range(0, int64(time.Hour)), gen.Int64Range(0, int64(time.Hour)), gen.IntRange(0, 10)))
	properties.TestingRun(t)
}

// Guards against all waiting requests reaching a target at the end of its pause,
// and against a limit that stays.
func TestRequestsAfterAPauseAreLimitedAtFirst(t *testing.T) {
	var a Availability
	a.Pause(0, time.Second)
	sent := 0
	for now := time.Second; now < time.Second+rampTime; now += rampStep {
		for sent < 100 && a.Accepts(now, sent) {
			sent++
		}
		if want := 1 + int((now-time.Second)/rampStep); sent != want {
			t.Errorf("%d requests in flight %v after the pause, want %d", sent, now-time.Second, want)
		}
	}
	if !a.Accepts(time.Second+rampTime, 1000) {
		t.Error("the limit does not end")
	}
	if got := a.OpensAt(time.Second, 3); got != time.Second+3*rampStep {
		t.Errorf("with 3 requests in flight the target opens at %v", got)
	}
}
