package reach

import (
	"testing"
	"time"
)

// Guards against an entry VM that refuses its callers although it reaches a target
// again, because most targets are down and no peer relays either.
func TestEntryWithoutPeersUsesTheFewTargetsThatItReaches(t *testing.T) {
	p := NewPath()
	lose(p, time.Second, minLost)
	p.Checked(time.Second, Result{Tried: 6, Refused: 6})
	now := 2 * time.Second
	if !p.BeginCheck(now) {
		t.Fatal("no check while isolated")
	}
	if p.Checked(now, Result{Tried: 6, Reached: 1, Refused: 5}) {
		t.Error("left peers that relay for the few targets that are reached")
	}
	now += time.Second
	if !p.BeginCheck(now) {
		t.Fatal("no check while isolated")
	}
	if !p.Checked(now, Result{Tried: 6, Reached: 1, Refused: 5, NoPeer: true}) || p.state != Returning {
		t.Errorf("state %v although a target is reached and no peer relays", p.state)
	}
}
