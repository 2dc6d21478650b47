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
func TestRowsAreLeftOutOnlyAtTheSameRevision(t *testing.T) {
	holder := fleet.Incarnation{ID: "t", Born: 1}
	state := fleet.NewState()
	data, err := wire.Marshal(&fleet.Command{Shard: &fleet.ShardChange{Shard: fleet.Shard{
		Service: "s", LastFence: 2, Rows: []fleet.Row{
			{From: 0, To: 99, Fence: 1, Holder: holder},
			{From: 100, To: fleet.MaxKey, Fence: 2, Holder: holder, Next: fleet.Incarnation{ID: "u", Born: 1}},
		},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	if failure := state.Apply(7, data); failure != nil {
		t.Fatal(failure)
	}
	l := &loop{state: state}
	shard, _ := state.Shard("s")
	grant := registry.Grant{Renew: true, Rows: registry.Held(shard, holder)}
	if len(grant.Rows) != 1 {
		t.Fatalf("the target is assigned %+v, want only the row that does not move", grant.Rows)
	}
	if a := l.omitKnownRows(grant, "s", 7); !a.Known || len(a.Grant.Rows) != 0 {
		t.Errorf("response to a VM at the same revision is %+v, want no rows", a)
	}
	for _, known := range []uint64{0, 6, 8} {
		if a := l.omitKnownRows(grant, "s", known); a.Known || len(a.Grant.Rows) != 1 {
			t.Errorf("response to a VM at revision %d is %+v, want the rows", known, a)
		}
	}
	if a := l.omitKnownRows(registry.Grant{}, "s", 7); a.Known {
		t.Error("a response that grants nothing makes the VM fill in rows")
	}
}

// Guards against a target that is used after its leave was acknowledged: no earlier
// heartbeat reached a leader, so the target is unknown, and one arrives after the
// leave.
func TestLateHeartbeatDoesNotBringBackATargetThatLeft(t *testing.T) {
	v := startVMs(t)
	for _, born := range []int64{0, 1_790_000_000_000} {
		id := fmt.Sprintf("i-%d", born)
		leave := registry.Beat{Target: fleet.Target{Incarnation: fleet.Incarnation{ID: id, Born: born}, Condition: fleet.Left}}
		if _, failure := v.all[0].Beat(context.Background(), leave); failure != nil {
			t.Fatal(failure)
		}
		late := registry.Beat{Seq: 1, Target: fleet.Target{
			Incarnation: leave.Target.Incarnation, Service: "s", Address: "127.0.0.1:9", DataCentre: "dc-0", Slots: 1,
		}}
		for _, c := range v.all {
			if _, failure := c.Beat(context.Background(), late); failure != nil {
				t.Fatal(failure)
			}
		}
		next := late
		next.Target.Born = born + 1
		next.Target.ID = id
		for _, c := range v.all {
			known, failure := call(context.Background(), c.loop, routine, func(results chan<- fleet.Target) {
				target, _ := c.loop.state.Target(id)
				results <- target
			})
			if failure != nil {
				t.Fatal(failure)
			}
			if known.Condition != fleet.Left {
				t.Errorf("born %d: the target is %v after a late heartbeat", born, known.Condition)
			}
		}
		if _, failure := v.all[0].Beat(context.Background(), next); failure != nil {
			t.Fatal(failure)
		}
		v.await("the next incarnation of the target is known", 2*time.Second, func() bool {
			target, _ := call(context.Background(), v.all[1].loop, routine, func(results chan<- fleet.Target) {
				target, _ := v.all[1].loop.state.Target(id)
				results <- target
			})
			return target.Condition == fleet.Ready && target.Born == born+1
		})
	}
}
