package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/registry"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Guards against a VM that fills in rows from a shard map of another revision than
// the leader's, and against responses that carry known rows across regions with each
// heartbeat.
func TestRowsAreOmittedOnlyAtTheSameRevision(t *testing.T) {
	holder := fleet.Incarnation{ID: "t", StartMs: 1}
	state := fleet.NewState()
	data, err := wire.Marshal(&fleet.Command{ShardMapChange: &fleet.ShardMapChange{ShardMap: fleet.ShardMap{
		Service: "s", LastFence: 2, Rows: []fleet.Row{
			{From: 0, To: 99, Fence: 1, Holder: holder},
			{From: 100, To: fleet.MaxKey, Fence: 2, Holder: holder, Next: fleet.Incarnation{ID: "u", StartMs: 1}},
		},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	if failure := state.Apply(7, data); failure != nil {
		t.Fatal(failure)
	}
	l := &loop{state: state}
	shard, _ := state.ShardMap("s")
	grant := registry.Grant{Renew: true, Rows: registry.HeldRows(shard, holder)}
	if len(grant.Rows) != 1 {
		t.Fatalf("the target is assigned %+v, want only the row that does not move", grant.Rows)
	}
	if a := l.omitKnownRows(grant, "s", 7); !a.RowsOmitted || len(a.Grant.Rows) != 0 {
		t.Errorf("response to a VM at the same revision is %+v, want no rows", a)
	}
	for _, known := range []uint64{0, 6, 8} {
		if a := l.omitKnownRows(grant, "s", known); a.RowsOmitted || len(a.Grant.Rows) != 1 {
			t.Errorf("response to a VM at revision %d is %+v, want the rows", known, a)
		}
	}
	if a := l.omitKnownRows(registry.Grant{}, "s", 7); a.RowsOmitted {
		t.Error("a response that grants nothing makes the VM fill in rows")
	}
}

// sendUntilAnswered sends a heartbeat to a VM as a target does: again, while the VMs
// can't say who leads.
func (v *vms) sendUntilAnswered(vm int, h registry.Heartbeat) {
	v.t.Helper()
	v.await("a heartbeat is answered", 10*time.Second, func() bool {
		_, failure := v.all[vm].Heartbeat(context.Background(), h)
		return failure == nil
	})
}

// Guards against a target that is used after its leave was acknowledged: no earlier
// heartbeat reached a leader, so the target is unknown, and one arrives after the
// leave.
func TestLateHeartbeatDoesNotBringBackATargetThatLeft(t *testing.T) {
	v := startVMs(t)
	for i, startMs := range []int64{0, 1_790_000_000_000} {
		id := fmt.Sprintf("i-%d", startMs)
		leave := registry.Heartbeat{Target: fleet.Target{Incarnation: fleet.Incarnation{ID: id, StartMs: startMs}, Condition: fleet.Leaving}}
		v.sendUntilAnswered(0, leave)
		late := registry.Heartbeat{Seq: 1, Target: fleet.Target{
			Incarnation: leave.Target.Incarnation, Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", 9+i), DataCentre: "dc-0", Slots: 1,
		}}
		for i := range v.all {
			v.sendUntilAnswered(i, late)
		}
		next := late
		next.Target.StartMs = startMs + 1
		next.Target.ID = id
		v.await("all replicas have applied the leader's log", 2*time.Second, v.allApplied)
		for i, c := range v.all {
			type lookup struct {
				target fleet.Target
				known  bool
			}
			got, failure := call(context.Background(), c.loop, routine, func(results chan<- lookup) {
				target, known := c.loop.state.Target(id)
				results <- lookup{target: target, known: known}
			})
			if failure != nil {
				t.Fatal(failure)
			}
			if !got.known {
				t.Errorf("start %d: VM %d does not know the target after a late heartbeat", startMs, i)
			} else if got.target.Condition != fleet.Leaving {
				t.Errorf("start %d: the target is %v at VM %d after a late heartbeat", startMs, got.target.Condition, i)
			}
		}
		v.sendUntilAnswered(0, next)
		v.await("the next incarnation of the target is known", 2*time.Second, func() bool {
			target, _ := call(context.Background(), v.all[1].loop, routine, func(results chan<- fleet.Target) {
				target, _ := v.all[1].loop.state.Target(id)
				results <- target
			})
			return target.Condition == fleet.Ready && target.StartMs == startMs+1
		})
	}
}

// allApplied reports whether a VM leads and every replica has applied all entries of
// that VM's log. The log includes entries that are proposed but not committed yet,
// because a heartbeat of a ready target is answered before its entry is committed.
func (v *vms) allApplied() bool {
	v.t.Helper()
	var last uint64
	for _, c := range v.all {
		last = max(last, v.index(c, func() uint64 {
			if now := c.now(); c.loop.leading(now) {
				return c.loop.replica.Status(now).LastIndex
			}
			return 0
		}))
	}
	if last == 0 {
		return false
	}
	for _, c := range v.all {
		if v.index(c, func() uint64 { return c.loop.applied }) < last {
			return false
		}
	}
	return true
}

// index reads a log index on the control goroutine of a VM.
func (v *vms) index(c *Controller, read func() uint64) uint64 {
	v.t.Helper()
	index, failure := call(context.Background(), c.loop, routine, func(results chan<- uint64) { results <- read() })
	if failure != nil {
		v.t.Fatal(failure)
	}
	return index
}
