package controller

import (
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/registry"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Guards against rows that a VM fills in from another division than the leader
// decided on, and against rows that cross regions with each heartbeat.
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
		t.Fatalf("the target is to hold %+v, want the row that does not move", grant.Rows)
	}
	if a := l.shorten(grant, "s", 7); !a.Known || len(a.Grant.Rows) != 0 {
		t.Errorf("answer to a VM at the same revision is %+v, want it without rows", a)
	}
	for _, known := range []uint64{0, 6, 8} {
		if a := l.shorten(grant, "s", known); a.Known || len(a.Grant.Rows) != 1 {
			t.Errorf("answer to a VM at revision %d is %+v, want the rows", known, a)
		}
	}
	if a := l.shorten(registry.Grant{}, "s", 7); a.Known {
		t.Error("an answer that grants nothing lets the VM fill in rows")
	}
}
