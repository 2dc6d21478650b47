package control

import (
	"fmt"
	"strings"
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// applyAll applies the commands to the state and returns it.
func applyAll(t *testing.T, s *State, commands ...Command) *State {
	t.Helper()
	for _, c := range commands {
		data, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Apply(s.Version()+1, data); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func changeConfig(base uint64, text string) Command {
	return Command{ChangeConfig: &ChangeConfig{Base: base, Text: []byte(text)}}
}

func registerTarget(id string, incarnation uint64) Command {
	return Command{RegisterTarget: &Target{
		ID: id, Service: "ledger", DataCentre: "n1", Incarnation: incarnation, ChecksGrants: true, State: Warm,
	}}
}

func assignSlice(id contract.SliceID, target string, incarnation uint64, fence contract.Fence) Command {
	return Command{Assign: &Assign{Assignment: contract.Assignment{
		Slice: id, Target: target, Incarnation: incarnation, Fence: fence,
	}}}
}

func dispatchOf(target, vm string, incarnation uint64, epoch contract.Epoch) Command {
	return Command{SetDispatch: &SetDispatch{Dispatch: contract.Dispatch{
		Target: target, VM: vm, VMIncarnation: incarnation, Epoch: epoch,
	}}}
}

// smallState has two VMs, two targets of incarnation 2, slice 1 owned by a
// under fence 3, slice 2 draining at a under fence 1, and slice 3 owned by b.
func smallState(t *testing.T) *State {
	at := func(id contract.SliceID, f contract.Fence) *SliceChange { return &SliceChange{Slice: id, Fence: f} }
	return applyAll(t, NewState(), changeConfig(0, simText),
		Command{RegisterVM: &VM{Name: "v", DataCentre: "n1", Incarnation: 2}},
		Command{RegisterVM: &VM{Name: "w", DataCentre: "s1", Incarnation: 1}},
		registerTarget("a", 2), registerTarget("b", 2),
		dispatchOf("a", "v", 2, 1), dispatchOf("b", "v", 2, 1),
		assignSlice(1, "a", 2, 1), Command{Drain: at(1, 1)}, Command{Unassign: at(1, 1)},
		assignSlice(1, "b", 2, 2), Command{Drain: at(1, 2)}, Command{Unassign: at(1, 2)},
		assignSlice(1, "a", 2, 3), assignSlice(2, "a", 2, 1), Command{Drain: at(2, 1)},
		assignSlice(3, "b", 2, 1),
	)
}

// Guards against a change of the state by a stale command, or by a command that
// would take a slice from an owner that may still run work.
func TestStaleCommandsChangeNothing(t *testing.T) {
	at := func(id contract.SliceID, f contract.Fence) *SliceChange { return &SliceChange{Slice: id, Fence: f} }
	stale := []Command{
		{RegisterVM: &VM{Name: "v", DataCentre: "n1", Incarnation: 1}},
		{RemoveVM: &RemoveVM{Name: "v"}},
		registerTarget("a", 1),
		{MarkTarget: &MarkTarget{ID: "a", Incarnation: 1, State: Leaving}},
		{RemoveTarget: &RemoveTarget{ID: "a", Incarnation: 2}},
		{RemoveTarget: &RemoveTarget{ID: "b", Incarnation: 1}},
		dispatchOf("a", "v", 2, 1), dispatchOf("a", "v", 1, 2), dispatchOf("a", "w", 1, 2), dispatchOf("a", "v", 2, 3),
		assignSlice(4, "a", 2, 0), assignSlice(4, "a", 2, 2), assignSlice(4, "a", 1, 1), assignSlice(1, "b", 2, 4),
		{Drain: at(1, 2)}, {Drain: at(2, 1)}, {Unassign: at(1, 3)}, {Unassign: at(2, 2)}, {Unassign: at(4, 0)},
		{Hold: at(1, 2)}, {Hold: at(4, 0)},
		{Split: &Split{Slice: 1, Fence: 3, After: 5}}, {Split: &Split{Slice: 4, Fence: 1, After: 5}}, {Split: &Split{Slice: 4, After: 5}},
		{Merge: &Merge{Left: 1, Right: 2}}, {Merge: &Merge{Left: 2, Right: 3}}, {Merge: &Merge{Left: 1, Right: 3}}, {Merge: &Merge{Left: 3, Right: 5}}, {Merge: &Merge{Left: 3, Right: 2}}, {Merge: &Merge{Left: 11, Right: 12}},
		{DropHolderSets: &DropHolderSets{Before: 0}}, {AddResidency: &AddResidency{Service: "ledger"}},
	}
	s := applyAll(t, smallState(t), assignSlice(11, "b", 2, 1), assignSlice(12, "b", 2, 1))
	for _, c := range stale {
		revision := s.revision
		applyAll(t, s, c)
		if s.revision != revision {
			t.Errorf("changed the state: %s", describe(c))
		}
	}
}

// Guards against slice identifiers and fences that are reused after a service
// was removed from the configuration text and added again, and against gaps
// between slices if it is added again while some slices are still assigned.
func TestRemovedServiceIsAddedAgain(t *testing.T) {
	s := smallState(t)
	without := strings.Replace(simText, "ledger", "other", 1)
	applyAll(t, s, changeConfig(1, without), changeConfig(2, simText))
	if s.slices[12] == nil || len(s.groups[groupKey{Service: "ledger"}].ids) != 12 {
		t.Fatal("slices of a service with owners were dropped")
	}
	applyAll(t, s, changeConfig(3, without))
	for _, c := range []*SliceChange{{Slice: 1, Fence: 3}, {Slice: 3, Fence: 1}} {
		applyAll(t, s, Command{Drain: c}, Command{Unassign: c})
	}
	applyAll(t, s, Command{Unassign: &SliceChange{Slice: 2, Fence: 1}})
	if _, ok := s.groups[groupKey{Service: "ledger"}]; ok {
		t.Fatal("unassigned slices of a removed service remain")
	}
	applyAll(t, s, changeConfig(4, simText))
	g := s.groups[groupKey{Service: "ledger"}]
	if s.slices[g.ids[0]].Assignment.Fence < 3 || g.ids[0] <= 24 {
		t.Fatalf("new slice %d starts at fence %d, which was used before", g.ids[0], s.slices[g.ids[0]].Assignment.Fence)
	}
}

// Guards against slices that are reassigned while a dispatcher may still send
// work meant for the older process to a new process that does not check grants.
func TestRestartReleasesSlices(t *testing.T) {
	for checks, want := range map[bool]contract.Phase{true: contract.Unassigned, false: contract.Draining} {
		again := registerTarget("a", 3)
		again.RegisterTarget.ChecksGrants = checks
		s := applyAll(t, smallState(t), again)
		if got := s.slices[1].Assignment.Phase; got != want {
			t.Errorf("the new process checks grants %t: slice 1 is %s, want %s", checks, got, want)
		}
	}
}

// Guards against epochs that are reused after a target was removed and
// registered again.
func TestEpochIsNotReusedAfterRemoval(t *testing.T) {
	s := smallState(t)
	applyAll(t, s, registerTarget("c", 1), dispatchOf("c", "v", 2, 1), dispatchOf("c", "v", 2, 2),
		Command{RemoveTarget: &RemoveTarget{ID: "c", Incarnation: 1}}, registerTarget("c", 1), dispatchOf("c", "v", 2, 1))
	if e := s.epochOf("c"); e < 2 {
		t.Fatalf("epoch is %d after removal, was 2", e)
	}
}

// Guards against a history that forgets recent results, grows without bound, or
// is lost in a snapshot.
func TestHistoryIsBounded(t *testing.T) {
	s := NewState()
	text := func(n int) string { return fmt.Sprintf("%s# %d\n", simText, n) }
	for n := range MaxHistory {
		s.configNumber++
		s.recordChange(historyEntry{Number: s.configNumber, Base: uint64(n), Hash: textHash([]byte(text(n)))})
	}
	for n := MaxHistory; n < MaxHistory+5; n++ {
		applyAll(t, s, changeConfig(uint64(n), text(n)))
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil || len(restored.history) != MaxHistory {
		t.Fatalf("history of %d changes, error %v", len(restored.history), err)
	}
	for base, want := range map[int]bool{4: false, 5: true, MaxHistory: true} {
		again, _ := Encode(changeConfig(uint64(base), text(base)))
		result, _ := restored.Apply(restored.Version()+1, again)
		if r := result.(*ChangeResult); r.Accepted != want || (want && r.Number != uint64(base+1)) {
			t.Errorf("base %d sent again: accepted %t number %d", base, r.Accepted, r.Number)
		}
	}
}

// Guards against routes to an owner that is lost, has no dispatcher, is outside
// the home regions or is in a data centre that is out, and against new work for
// a leaving target.
func TestRoutes(t *testing.T) {
	s := smallState(t)
	if r, err := s.Table().Route("ledger", "", 0); err != nil || r.Target.ID != "a" || r.Fence != 3 {
		t.Fatalf("route %+v, error %v", r, err)
	}
	hash := s.slices[2].Slice.Lo
	if _, err := s.Table().Route("ledger", "", hash); err == nil || err.Kind != errkind.NoOwner {
		t.Fatalf("draining slice: error %v", err)
	}
	if _, err := s.Table().Route("none", "", 0); err == nil || err.Kind != errkind.UnknownService {
		t.Fatalf("unknown service: error %v", err)
	}
	applyAll(t, s, Command{MarkTarget: &MarkTarget{ID: "a", Incarnation: 2, State: Leaving}})
	if _, err := s.Table().Route("ledger", "", 0); err != nil {
		t.Fatalf("leaving owner: error %v", err)
	}
	if r := s.Table().Routes("ledger", "north"); len(r) != 1 || r[0].Target.ID != "b" || s.Table().HasUsableTarget("ledger", "south") {
		t.Fatalf("usable targets %+v", r)
	}
	table := s.Table()
	applyAll(t, s, Command{RemoveVM: &RemoveVM{Name: "v"}})
	if s.Table() != table {
		t.Fatal("the table changed without a change of the state")
	}
	applyAll(t, s, changeConfig(1, strings.Replace(simText, "n1, state: in", "n1, state: out", 1)))
	if _, err := s.Table().Route("ledger", "", 0); err == nil || len(s.Table().Routes("ledger", "")) > 0 {
		t.Fatal("a target in a data centre that is out is used")
	}
}

// Guards against dropping a holder set whose VMs may still hold records.
func TestHolderSets(t *testing.T) {
	s := smallState(t)
	setHolders := Command{SetHolders: &SetHolders{}}
	applyAll(t, s, setHolders, changeConfig(1, simText+"retired_vms: [v]\n"), setHolders)
	if got := fmt.Sprint(s.Table().HolderSets("")); got != "[[w] [v w]]" {
		t.Fatalf("holder sets %s", got)
	}
	last := s.holders[len(s.holders)-1].Number
	applyAll(t, s, Command{DropHolderSets: &DropHolderSets{Before: last + 1}})
	if got := fmt.Sprint(s.Table().HolderSets("south")); got != "[[w]]" {
		t.Fatalf("holder sets %s", got)
	}
}
