package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// simText is a text with two regions and a ledger that reporting depends on.
const simText = `name: test
regions:
- name: north
  data_centres: [{name: n1, state: in}, {name: n2, state: in}]
- name: south
  data_centres: [{name: s1, state: in}]
services:
- {name: ledger, ownership: exclusive, slices: 12, endpoints: 6, slots: 6}
tenants:
- {name: "*", share: 1}
`

// newSession returns a simulation with VMs in three data centres and six
// targets of the ledger, after the first placement.
func newSession(seed uint64, checks bool) *sim {
	s := newSim(seed)
	dcs := []string{"n1", "n1", "n2", "n2", "s1", "s1"}
	regions := map[string]string{"n1": "north", "n2": "north", "s1": "south"}
	for i, dc := range dcs {
		s.addVM(fmt.Sprintf("vm%d", i+1), dc, regions[dc])
	}
	for i, dc := range dcs {
		s.addTarget(fmt.Sprintf("t%d", i+1), "ledger", dc, checks || i > 0)
	}
	s.run(50 * time.Millisecond)
	s.propose(Command{ChangeConfig: &ChangeConfig{Text: []byte(simText)}}, nil)
	s.run(2 * time.Second)
	clear(s.unserved)
	s.moves = 0
	return s
}

func describe(c Command) string {
	switch {
	case c.ChangeConfig != nil:
		return fmt.Sprintf("config base %d", c.ChangeConfig.Base)
	case c.RegisterVM != nil:
		return fmt.Sprintf("vm %s incarnation %d stopping %t", c.RegisterVM.Name, c.RegisterVM.Incarnation, c.RegisterVM.Stopping)
	case c.RegisterTarget != nil:
		return fmt.Sprintf("target %s incarnation %d", c.RegisterTarget.ID, c.RegisterTarget.Incarnation)
	case c.MarkTarget != nil:
		return fmt.Sprintf("mark %s %s lost %t", c.MarkTarget.ID, c.MarkTarget.State, c.MarkTarget.Lost)
	case c.SetDispatch != nil:
		d := c.SetDispatch.Dispatch
		return fmt.Sprintf("dispatch %s to %s/%d epoch %d", d.Target, d.VM, d.VMIncarnation, d.Epoch)
	case c.Assign != nil:
		a := c.Assign.Assignment
		return fmt.Sprintf("assign %d to %s/%d fence %d", a.Slice, a.Target, a.Incarnation, a.Fence)
	case c.Drain != nil:
		return fmt.Sprintf("drain %d fence %d", c.Drain.Slice, c.Drain.Fence)
	case c.Unassign != nil:
		return fmt.Sprintf("unassign %d fence %d", c.Unassign.Slice, c.Unassign.Fence)
	case c.Hold != nil:
		return fmt.Sprintf("hold %d fence %d", c.Hold.Slice, c.Hold.Fence)
	}
	return strings.TrimPrefix(fmt.Sprintf("%+v", pendingKeyOf(c)), " ")
}

// Guards against a first placement that leaves slices without owner or places
// them unevenly.
func TestFirstPlacementIsEven(t *testing.T) {
	s := newSession(1, true)
	counts := map[string]int{}
	for _, entry := range s.state.Table().Assignments() {
		if entry.Assignment.Phase != contract.Owned || !s.served(entry) {
			t.Errorf("slice %d is %s", entry.Slice.ID, entry.Assignment.Phase)
		}
		counts[entry.Assignment.Target]++
	}
	for id, n := range counts {
		if n != 2 {
			t.Errorf("%s owns %d slices, want 2", id, n)
		}
	}
	if len(s.faults) > 0 {
		t.Error(strings.Join(s.faults, "\n"))
	}
}
