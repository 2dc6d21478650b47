package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// Guards against a state that keeps targets that left without notice as ready for ever, and
// against the end of a target that sends heartbeats, holds keys or is one of few.
func TestSilentTargetsEnd(t *testing.T) {
	const limit, all, alive = 10, 16, 4
	l := leaderWithTwoHolders(t)
	l.commit(fleet.Command{Patch: &items.Patch{Items: []items.Item{{Key: items.Key{Collection: items.Services, Name: "u"}, Version: 1, Service: &items.Service{}}}}})
	beat := func(now time.Duration, i int, seq int64) {
		b := heartbeatOf(fmt.Sprint(10+i), seq)
		b.Target.Service, b.Target.Address = "u", fmt.Sprintf("10.0.1.%d:1", i)
		l.heartbeat(now, b)
	}
	for i := range all {
		beat(2*time.Second+time.Duration(i)*time.Second, i, 1)
	}
	later := goneAfter + 8*time.Second
	for i := range alive {
		beat(later, i, 2)
	}
	if _, due := l.reg.endSilentTargets(later, l.state, all+2); due {
		t.Error("targets end although there are few")
	}
	for {
		cmd, due := l.reg.endSilentTargets(later, l.state, limit)
		if !due {
			break
		}
		l.commit(cmd)
	}
	for i := range all {
		silent := i >= alive && later-(2*time.Second+time.Duration(i)*time.Second) >= goneAfter
		if got, _ := l.state.Target(fmt.Sprint(10 + i)); (got.Condition == fleet.Ended) != silent {
			t.Errorf("target %d is %v, silent for long: %v", i, got.Condition, silent)
		}
	}
	for _, id := range []string{"1", "2"} {
		if got, _ := l.state.Target(id); got.Condition != fleet.Ready {
			t.Errorf("the holder %s is %v", id, got.Condition)
		}
	}
}

// Guards against a command that ends more targets than needed to be below the bound.
func TestOnlyAsManyTargetsEndAsNeeded(t *testing.T) {
	l := newLeader(t)
	var all []fleet.Target
	for i := range 300 {
		all = append(all, fleet.Target{Incarnation: fleet.Incarnation{ID: fmt.Sprint(i), StartMs: 1}, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), DataCentre: "d", Slots: 4})
	}
	l.commit(fleet.Command{Targets: all})
	for {
		cmd, due := l.reg.endSilentTargets(goneAfter, l.state, 150)
		if !due {
			break
		}
		if len(cmd.Targets) > maxEndedAtOnce {
			t.Errorf("a command ends %d targets", len(cmd.Targets))
		}
		l.commit(cmd)
	}
	ready := 0
	for _, target := range l.state.Targets() {
		if target.Condition == fleet.Ready {
			ready++
		}
	}
	if ready != 150 {
		t.Errorf("%d targets are ready, want 150", ready)
	}
}
