package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// lose records n lost targets and returns whether a check is due then.
func lose(p *Path, now time.Duration, n int) bool {
	for i := range n {
		p.Lost(now, fmt.Sprint("lost-", i))
	}
	return p.BeginCheck(now)
}

// Guards against an entry VM that goes on dialing targets that it cannot reach.
func TestEntryThatReachesNoTargetIsIsolated(t *testing.T) {
	for name, r := range map[string]Result{"hanging": {Tried: 6}, "refused": {Tried: 6, Refused: 6}} {
		p := NewPath()
		if !lose(p, time.Second, minLost) {
			t.Fatalf("%s: no check after %d lost targets", name, minLost)
		}
		if !p.Checked(2*time.Second, r) || p.state != Isolated || p.DirectShare(2*time.Second) != 0 {
			t.Errorf("%s: state %v after a check that reached nothing", name, p.state)
		}
	}
}

// Guards against an entry VM that takes crashed targets or its own congested link
// for a broken path.
func TestCrashesAndCongestionDoNotIsolate(t *testing.T) {
	p := NewPath()
	if !lose(p, time.Second, 10) {
		t.Fatal("no check although many targets are lost")
	}
	if p.Checked(time.Second, Result{Tried: 6, Reached: 1, Refused: 5}) {
		t.Error("isolated although a target accepted a connection")
	}
	p = NewPath()
	if !lose(p, time.Second, 10) {
		t.Fatal("no check although many targets are lost")
	}
	p.Answered(time.Second, "slow")
	if p.Checked(1400*time.Millisecond, Result{Tried: 6}) {
		t.Error("isolated although a target responded during the check")
	}
}

// Guards against an overloaded target that resets connections and counts as lost,
// and against a reset by a target that has not responded lately that is ignored.
func TestResetCountsUnlessTheTargetRespondedLately(t *testing.T) {
	p := NewPath()
	p.Answered(time.Second, "full")
	p.Reset(1500*time.Millisecond, "full")
	p.Reset(1500*time.Millisecond, "silent")
	if lost := p.LostTargets(1500 * time.Millisecond); lost != 1 || !p.IsLost(1500*time.Millisecond, "silent") {
		t.Errorf("%d targets are lost, want only the silent one", lost)
	}
}

// Guards against all requests going to targets in the same instant when the path
// works again.
func TestDirectShareGrowsAfterIsolation(t *testing.T) {
	p := NewPath()
	lose(p, 0, minLost)
	p.Checked(0, Result{Tried: 6})
	now := 10 * time.Second
	if !p.BeginCheck(now) {
		t.Fatal("no check while isolated")
	}
	if !p.Checked(now, Result{Tried: 6, Reached: 6}) || p.state != Returning {
		t.Fatalf("state %v after a check that reached all targets", p.state)
	}
	last := 0.0
	for ; now < 11*time.Second; now += 100 * time.Millisecond {
		if share := p.DirectShare(now); share <= last || share >= 1 {
			t.Fatalf("share %v at %v after %v", share, now, last)
		} else {
			last = share
		}
	}
	if !p.Advance(now) || p.state != Direct || p.DirectShare(now) != 1 {
		t.Errorf("state %v after the time of return", p.state)
	}
}

// world is an entry VM and its targets in virtual time.
type world struct {
	path *Path
	rng  *rand.Rand
	// cut says how the entry VM is cut off: 0 not at all, 1 connections hang, 2 new
	// connections are refused while established ones work.
	cut int
	// down is the number of targets, of worldTargets, that are down.
	down int
	// checkEnds is when the running check ends, or 0.
	checkEnds time.Duration
}

const (
	worldTargets = 12
	worldStep    = 50 * time.Millisecond
	// hangTime is the time after which a connection that hangs fails.
	hangTime = 400 * time.Millisecond
)

// step plays one request and the end of a check that is due.
func (w *world) step(now time.Duration) {
	target := w.rng.IntN(worldTargets)
	name := fmt.Sprint(target)
	switch established := w.rng.IntN(2) == 0; {
	case target < w.down || w.cut == 1 || w.cut == 2 && !established:
		w.path.Lost(now, name)
	default:
		w.path.Answered(now, name)
	}
	if w.checkEnds > 0 && now >= w.checkEnds {
		w.checkEnds = 0
		r := Result{Tried: 6}
		for range r.Tried {
			switch {
			case w.cut == 2:
				r.Refused++
			case w.cut == 0 && w.rng.IntN(worldTargets) >= w.down:
				r.Reached++
			}
		}
		w.path.Checked(now, r)
	}
	if w.checkEnds == 0 && w.path.BeginCheck(now) {
		w.checkEnds = now + hangTime
	}
	w.path.Advance(now)
}

// Guards against a path that notices a cut or its end late, and against crashed
// targets that isolate an entry VM, for random series of cuts and crashes.
func TestPathFollowsCutsInTime(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("isolated within 3 s of a cut and direct within 4 s of its end", prop.ForAll(
		func(seed uint64, lengths []int, cuts []int, down int) string {
			w := &world{path: NewPath(), rng: rand.New(rand.NewPCG(seed, 1)), down: down}
			now := time.Duration(0)
			for i, length := range lengths {
				w.cut = 0
				if i%2 == 1 {
					w.cut = cuts[i%len(cuts)]
				}
				end := now + time.Duration(length)*100*time.Millisecond
				for began := now; now < end; now += worldStep {
					w.step(now)
					elapsed := now - began
					if w.cut != 0 && elapsed > 3*time.Second && w.path.state != Isolated {
						return fmt.Sprintf("state %v %v after a cut of kind %d", w.path.state, elapsed, w.cut)
					}
					if w.cut == 0 && elapsed > 4*time.Second && w.path.state != Direct {
						return fmt.Sprintf("state %v %v after the end of a cut", w.path.state, elapsed)
					}
				}
			}
			return ""
		},
		gen.UInt64(), gen.SliceOfN(6, gen.IntRange(5, 120)), gen.SliceOfN(3, gen.IntRange(1, 2)), gen.IntRange(0, worldTargets/4),
	))
	properties.TestingRun(t)
}

// Guards against a check that tries only targets of one data centre, or none of
// the own one.
func TestSampleCoversDataCentres(t *testing.T) {
	var targets []Target
	for i := range 30 {
		targets = append(targets, Target{Addr: fmt.Sprint(i), DataCentre: string(rune('a' + i%3)), Lost: i%10 == 0})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		counts := make(map[string]int)
		for _, target := range Sample(rng, "b", targets, 4) {
			counts[target.DataCentre]++
			if target.Lost {
				t.Error("a lost target was tried although there are others")
			}
		}
		if counts["a"] != 1 || counts["b"] != 2 || counts["c"] != 1 {
			t.Fatalf("sample by data centre: %v", counts)
		}
	}
	if got := len(Sample(rng, "b", targets[:2], 4)); got != 2 {
		t.Errorf("sample of %d targets, want the lost one too", got)
	}
}
