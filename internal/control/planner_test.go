package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// Guards against a new leader that replaces a dispatcher which may still act
// under a lease from the previous leader.
func TestNewLeaderWaitsForOldLeases(t *testing.T) {
	s := smallState(t)
	applyAll(t, s, Command{RegisterVM: &VM{Name: "x", DataCentre: "n2", Incarnation: 1}})
	p := NewPlanner("x")
	p.StartTerm(time.Second)
	for now := time.Second; now < 3*time.Second; now += 10 * time.Millisecond {
		p.Heartbeat(now, Heartbeat{VM: s.vms["x"], SentAt: now})
		if i := slices.IndexFunc(p.Plan(now, s), func(c Command) bool { return c.SetDispatch != nil }); i >= 0 {
			if waited := now - time.Second; waited < contract.NewLeaderWait || waited > contract.NewLeaderWait+20*time.Millisecond {
				t.Fatalf("the dispatcher was replaced %v after the election", waited)
			}
			return
		}
	}
	t.Fatal("the dispatcher was not replaced")
}

// Guards against a delayed heartbeat from an older incarnation of a VM that
// renews a lease or replaces the observation of the new incarnation.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	s := smallState(t)
	p := NewPlanner("w")
	p.StartTerm(0)
	v := s.vms["v"]
	p.Heartbeat(time.Second, Heartbeat{VM: v, SentAt: 5})
	older := v
	older.Incarnation = 1
	p.Heartbeat(time.Second+contract.VMLease, Heartbeat{VM: older, SentAt: 9})
	p.Heartbeat(time.Second+contract.VMLease, Heartbeat{VM: v, SentAt: 4})
	if p.vms["v"].leaseUntil != time.Second+contract.VMLease || p.CurrentIncarnation(s, older) || !p.CurrentIncarnation(s, v) {
		t.Fatal("a heartbeat of an older incarnation, or one that arrived after a later one, renewed the lease")
	}
	newer := v
	newer.Incarnation = 3
	p.Heartbeat(2*time.Second, Heartbeat{VM: newer, SentAt: 1})
	if p.CurrentIncarnation(s, v) {
		t.Fatal("an incarnation is current although a later one sent a heartbeat")
	}
}

// Guards against hot hashes that share a slice with other keys, and against
// slices that are not merged again when the hashes are no longer hot.
func TestHotHashGetsItsOwnSlice(t *testing.T) {
	s := newConfiguredSim(1, true)
	entry := s.state.slices[3]
	hash := entry.Slice.Lo + 1000
	hot := s.target(entry.Assignment.Target)
	hot.hot = hash
	s.run(5 * time.Second)
	alone := slices.IndexFunc(s.state.Table().Assignments(), func(e ContractSlice) bool {
		return e.Slice.Lo == hash && e.Slice.Hi == hash
	})
	if alone < 0 {
		t.Fatal("the hot hash has no slice of its own")
	}
	hot.hot = 0
	s.run(2 * maxHotAge)
	if n := len(s.state.Table().Assignments()); n != 12 {
		t.Errorf("%d slices remain after the hash cooled down, want 12", n)
	}
	s.checkGroups()
	if len(s.faults) > 0 {
		t.Error(strings.Join(s.faults, "\n"))
	}
}

// Guards against moves whose cost exceeds their gain, by the service's weights.
func TestWeightsDecideOnMoves(t *testing.T) {
	for churn, want := range map[string]bool{"1": true, "1000": false} {
		s := newConfiguredSim(1, true)
		text := strings.Replace(simText, "slots: 6", "slots: 6, weights: {churn: "+churn+"}", 1)
		s.change(1, strings.Replace(text, "n1, state: in", "n1, state: out", 1))
		s.run(4 * time.Second)
		s.change(2, text)
		s.moves = 0
		s.run(5 * time.Second)
		if (s.moves > 0) != want {
			t.Errorf("%d moves to the data centre that returned with churn weight %s", s.moves, churn)
		}
	}
}

// Guards against a service that drains before the services that depend on it.
func TestDependantsDrainFirst(t *testing.T) {
	s := newSimWithoutConfig(1, true)
	for i, dc := range []string{"n1", "n2", "s1"} {
		s.addTarget(fmt.Sprintf("z%d", i), "reporting", dc, true)
	}
	text := strings.Replace(simText, "tenants:", "- {name: reporting, ownership: exclusive, slices: 6, endpoints: 3, slots: 6, "+
		"depends_on: [{service: ledger, required: true}]}\ntenants:", 1)
	s.change(0, text)
	s.run(3 * time.Second)
	var drained []string
	s.onApply = func(c Command, _ any) {
		if c.Drain != nil {
			drained = append(drained, s.state.slices[c.Drain.Slice].Slice.Service)
		}
	}
	s.change(1, strings.Replace(text, "n1, state: in", "n1, state: out", 1))
	s.run(5 * time.Second)
	sorted := slices.Clone(drained)
	slices.Sort(sorted)
	slices.Reverse(sorted)
	if len(drained) != 6 || !slices.Equal(sorted, drained) {
		t.Errorf("drained %v", drained)
	}
}

// Guards against slices of a residency that are assigned to targets outside its
// regions, also when no target is usable within them.
func TestResidencyIsKept(t *testing.T) {
	s := newSimWithoutConfig(1, true)
	text := strings.Replace(simText, "share: 1}", "share: 1}\n- {name: local, home_regions: [north]}", 1)
	s.change(0, text)
	s.run(2 * time.Second)
	check := func(served bool) {
		t.Helper()
		for _, e := range s.state.Table().Assignments() {
			if e.Slice.Residency != "north" {
				continue
			}
			owner := s.state.targets[e.Assignment.Target]
			if served != s.served(e) || (owner.ID != "" && s.state.config.regionOf[owner.DataCentre] != "north") {
				t.Fatalf("slice %d of the north is at %q", e.Slice.ID, owner.ID)
			}
		}
	}
	check(true)
	out := strings.NewReplacer("n1, state: in", "n1, state: out", "n2, state: in", "n2, state: out")
	s.change(1, out.Replace(text))
	s.run(3 * time.Second)
	check(false)
	s.change(2, text)
	s.run(3 * time.Second)
	check(true)
}

// Guards against held slices that are never reassigned from a retired target,
// and against retired targets and VMs that stay registered.
func TestHeldSlicesOfRetiredTargetAreReassigned(t *testing.T) {
	s := newConfiguredSim(1, false)
	s.targets[0].dead, s.vms[0].dead = true, true
	s.run(3 * time.Second)
	if len(s.unservedFor) != 2 {
		t.Fatalf("%d slices are without service, want the 2 held ones", len(s.unservedFor))
	}
	s.change(1, simText+"retired_targets: [t1]\nretired_vms: [vm1]\n")
	s.run(time.Second)
	if len(s.unservedFor) != 0 {
		t.Errorf("%d slices wait for a retired target", len(s.unservedFor))
	}
	s.run(removeAfter + 2*time.Second)
	if _, ok := s.state.targets["t1"]; ok || len(s.state.vms) != 5 {
		t.Error("a retired target or VM is still registered")
	}
}

// Guards against more moves per second than the configuration text allows.
func TestMovesAreBounded(t *testing.T) {
	s := newConfiguredSim(1, true)
	text := strings.Replace(simText, "slots: 6", "slots: 6, max_moves_per_second: 1", 1)
	s.change(1, strings.Replace(text, "n1, state: in", "n1, state: out", 1))
	s.run(2500 * time.Millisecond)
	if s.moves > 3 {
		t.Errorf("%d moves within 2.5 s, at most 1 per second is allowed", s.moves)
	}
	s.run(3 * time.Second)
	if s.moves != 4 {
		t.Errorf("%d moves, want 4", s.moves)
	}
}

// Guards against a cold target that gets as many slices as a warm one.
func TestColdTargetGetsFewerSlices(t *testing.T) {
	s := newSimWithoutConfig(1, true)
	s.targets[0].State = Cold
	s.announce(s.targets[0])
	s.change(0, simText)
	s.run(3 * time.Second)
	owned := func() int { return len(s.planner.indexOf(s.state).owned["t1"]) }
	if owned() > 1 {
		t.Errorf("the cold target owns %d slices, a warm one has 2", owned())
	}
	s.targets[0].State = Warm
	s.run(3 * time.Second)
	if owned() != 2 {
		t.Errorf("the target owns %d slices after it turned warm, want 2", owned())
	}
}

// Guards against sets of record holders that are dropped before the retention of
// their records has passed, or that are never dropped.
func TestHolderSetsAreForgottenAfterRetention(t *testing.T) {
	s := newSimWithoutConfig(1, true)
	s.change(0, strings.Replace(simText, "name: test", "name: test\nrecord_retention: 10s", 1))
	s.run(holderStableTime + time.Second)
	s.addVM("vm7", "s1", "south")
	s.run(holderMargin)
	if len(s.state.holders) < 2 {
		t.Fatal("earlier record holders were forgotten within the retention")
	}
	s.run(15 * time.Second)
	if sets := s.state.Table().HolderSets(""); len(sets) != 1 || len(sets[0]) != 7 {
		t.Errorf("sets of record holders %v", sets)
	}
}

// Guards against a data centre that gets no slices after it is in again. This
// happens if slices that cannot be assigned, because a tenant's home region has
// no target, stop the balancing of the service.
func TestUnservableSlicesDoNotStopBalancing(t *testing.T) {
	s := newSimWithoutConfig(1, true)
	text := strings.Replace(simText, "- name: south", "- name: west\n  data_centres: [{name: w1}]\n- name: south", 1)
	text = strings.Replace(text, "share: 1}", "share: 1}\n- {name: local, home_regions: [west]}", 1)
	s.change(0, text)
	s.run(2 * time.Second)
	s.change(1, strings.Replace(text, "n1, state: in", "n1, state: out", 1))
	s.run(3 * time.Second)
	s.change(2, text)
	s.run(5 * time.Second)
	if owned := len(s.planner.indexOf(s.state).owned["t1"]); owned == 0 {
		t.Error("the target of the returned data centre owns no slice")
	}
}

// Guards against slices that are taken from the targets of a region's only VM
// while grants that an earlier incarnation of the VM renewed may still be valid.
func TestGrantsOutliveARestartOfTheOnlyVM(t *testing.T) {
	s := smallState(t)
	applyAll(t, s, Command{RegisterTarget: &Target{ID: "c", Service: "ledger", DataCentre: "s1", Incarnation: 1, State: Warm}},
		dispatchOf("c", "w", 1, 1))
	p, restart := NewPlanner("w"), 5*time.Second
	p.StartTerm(0)
	p.Heartbeat(restart-50*time.Millisecond, Heartbeat{VM: s.vms["v"], SentAt: restart})
	restarted := s.vms["v"]
	restarted.Incarnation++
	for now := restart; now < restart+2*time.Second; now += 10 * time.Millisecond {
		if now == restart {
			p.Heartbeat(now, Heartbeat{VM: restarted, SentAt: 1})
		}
		p.Heartbeat(now, Heartbeat{VM: s.vms["w"], SentAt: now, Version: s.Version(),
			Reports: []TargetReport{{Target: "c", Incarnation: 1, Epoch: 1, Reachable: true}}})
		for _, c := range p.Plan(now, s) {
			if c.Unassign != nil && c.Unassign.Slice == 1 {
				if waited := now - restart; waited < contract.GrantExpiryWait {
					t.Fatalf("slice 1 was taken %v after the restart", waited)
				}
				return
			}
		}
	}
	t.Fatal("slice 1 was not taken although no VM can dispatch for its owner")
}
