package control

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// simText is a configuration text with two regions, three data centres and the
// exclusive service ledger.
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

// newConfiguredSim returns the simulation of newSimWithoutConfig after simText
// was applied and the slices were placed.
func newConfiguredSim(seed uint64, firstChecksGrants bool) *sim {
	s := newSimWithoutConfig(seed, firstChecksGrants)
	s.run(50 * time.Millisecond)
	s.change(0, simText)
	s.run(2 * time.Second)
	s.unservedSeconds, s.longestOutage, s.moves = 0, 0, 0
	return s
}

// newSimWithoutConfig returns a simulation with six VMs and six targets of the
// ledger in three data centres, without a configuration. All targets check
// grants, but the first only if firstChecksGrants is set.
func newSimWithoutConfig(seed uint64, firstChecksGrants bool) *sim {
	s := newSim(seed)
	dcs := []string{"n1", "n1", "n2", "n2", "s1", "s1"}
	regions := map[string]string{"n1": "north", "n2": "north", "s1": "south"}
	for i, dc := range dcs {
		s.addVM(fmt.Sprintf("vm%d", i+1), dc, regions[dc])
	}
	for i, dc := range dcs {
		s.addTarget(fmt.Sprintf("t%d", i+1), "ledger", dc, firstChecksGrants || i > 0)
	}
	return s
}

// describe formats the field of a command that is set.
func describe(c Command) string {
	if c.ChangeConfig != nil {
		return fmt.Sprintf("ChangeConfig base %d, %d bytes", c.ChangeConfig.Base, len(c.ChangeConfig.Text))
	}
	v := reflect.ValueOf(c)
	for i := range v.NumField() {
		if !v.Field(i).IsNil() {
			return fmt.Sprintf("%s %+v", v.Type().Field(i).Name, v.Field(i).Elem().Interface())
		}
	}
	return ""
}

// change proposes a configuration text. The result that it returns is filled in
// when the command is applied.
func (s *sim) change(base uint64, text string) *ChangeResult {
	var result ChangeResult
	s.propose(Command{ChangeConfig: &ChangeConfig{Base: base, Text: []byte(text)}}, func(r any) {
		result = *r.(*ChangeResult)
		s.trace("result accepted %t number %d", result.Accepted, result.Number)
	})
	return &result
}

// scenario is a simulated sequence of events whose trace is a golden file. After
// run, each slice must be served again. maxOutage bounds the time for which any
// slice is not served, 0 for no bound.
type scenario struct {
	name              string
	firstChecksGrants bool
	maxOutage         time.Duration
	run               func(s *sim)
}

var scenarios = []scenario{
	{"vm-partitioned-from-leader", true, 0, func(s *sim) {
		s.vms[5].leaderPartitioned = true
		s.run(time.Second)
		s.change(1, simText+"# two\n")
		s.run(time.Minute)
		s.change(2, simText+"# three\n")
		s.run(time.Second)
		s.vms[5].leaderPartitioned = false
		s.run(2 * time.Second)
	}},
	{"concurrent-changes", true, 1, func(s *sim) {
		s.change(1, simText+"# first\n")
		s.change(1, simText+"# second\n")
		s.run(time.Second)
		s.change(1, simText+"# first\n")
		s.run(time.Second)
	}},
	{"changes-and-restart", true, 0, func(s *sim) {
		trace := s.trace
		s.trace = func(string, ...any) {}
		for n := range 300 {
			s.change(uint64(n+1), fmt.Sprintf("%s# change %d\n", simText, n))
			s.run(25 * time.Millisecond)
			if n%100 == 50 {
				s.depose(0, contract.ElectionTimeoutMax)
				s.run(500 * time.Millisecond)
			}
		}
		s.trace = trace
		s.depose(0, contract.ElectionTimeoutMax)
		s.run(2 * time.Second)
		s.trace("number %d", s.state.ConfigNumber())
	}},
	{"paused-owner-resumes", true, contract.RecoveryLimit, func(s *sim) {
		s.targets[2].paused = true
		s.run(3 * time.Second)
		s.targets[2].paused = false
		s.run(5 * time.Second)
	}},
	{"owner-does-not-check-grants", false, 0, func(s *sim) {
		s.targets[0].paused = true
		s.run(3 * time.Second)
		s.trace("target resumes")
		s.targets[0].paused = false
		s.run(5 * time.Second)
	}},
	{"target-restarts", false, contract.RecoveryLimit, func(s *sim) {
		s.targets[0].restart(s, 1)
		s.targets[0].State = Cold
		s.announce(s.targets[0])
		s.run(time.Second)
		s.targets[0].State = Warm
		s.run(4 * time.Second)
	}},
	{"target-that-checks-restarts", true, contract.RecoveryLimit, func(s *sim) {
		s.targets[0].restart(s, 1)
		s.announce(s.targets[0])
		s.run(4 * time.Second)
	}},
	{"data-centre-out-and-back", true, contract.RecoveryLimit, func(s *sim) {
		s.change(1, strings.Replace(simText, "n1, state: in", "n1, state: out", 1))
		s.run(5 * time.Second)
		s.trace("data centre in again")
		s.change(2, simText)
		s.run(8 * time.Second)
	}},
	{"all-targets-apparently-lost", true, 0, func(s *sim) {
		for _, v := range s.vms {
			for _, t := range s.targets {
				v.partitioned[t.ID] = true
			}
		}
		s.run(5 * time.Second)
		s.trace("reachable")
		for _, v := range s.vms {
			clear(v.partitioned)
		}
		s.run(2 * time.Second)
	}},
	{"vm-partitioned-from-targets", true, contract.RecoveryLimit, func(s *sim) {
		for _, t := range s.targets {
			s.vms[0].partitioned[t.ID] = true
		}
		s.run(5 * time.Second)
	}},
	{"vm-killed", true, contract.RecoveryLimit, func(s *sim) {
		s.vms[1].dead = true
		s.run(3 * time.Second)
	}},
	{"leader-and-vm-killed", true, contract.RecoveryLimit, func(s *sim) {
		s.vms[1].dead = true
		s.depose(1, contract.ElectionTimeoutMax)
		s.run(3 * time.Second)
	}},
	{"vm-restarts-within-lease", true, contract.RecoveryLimit, func(s *sim) {
		s.vms[1].restart(s, 1)
		s.run(3 * time.Second)
	}},
	{"planned-stop-of-vm", true, contract.RecoveryLimit, func(s *sim) {
		s.vms[1].Stopping = true
		s.run(2 * time.Second)
		s.vms[1].dead = true
		s.run(2 * time.Second)
	}},
	{"target-killed", true, contract.RecoveryLimit, func(s *sim) {
		s.targets[3].dead = true
		s.run(65 * time.Second)
	}},
	{"planned-stop-of-target", true, contract.RecoveryLimit, func(s *sim) {
		s.targets[3].State = Leaving
		s.announce(s.targets[3])
		s.run(2 * time.Second)
		s.targets[3].dead = true
		s.run(62 * time.Second)
	}},
}

// Guards against decisions of the planner that differ from the reviewed ones,
// that leave a slice unserved for too long or that let two targets execute
// requests of one hash, and against states that differ between replicas.
func TestSessions(t *testing.T) {
	t.Parallel()
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			s := newConfiguredSim(1, c.firstChecksGrants)
			var out strings.Builder
			start := s.now
			s.trace = func(format string, args ...any) {
				fmt.Fprintf(&out, "%6d ms  %s\n", (s.now - start).Milliseconds(), fmt.Sprintf(format, args...))
			}
			c.run(s)
			fmt.Fprintf(&out, "moves %d, slice-seconds without service %.3f, longest %v\n", s.moves, s.unservedSeconds, s.longestOutage)
			if c.maxOutage > 0 && s.longestOutage >= c.maxOutage {
				t.Errorf("a slice was not served for %v, limit %v", s.longestOutage, c.maxOutage)
			}
			if len(s.unservedFor) > 0 {
				t.Errorf("%d slices are not served at the end", len(s.unservedFor))
			}
			s.checkReplicas()
			for _, fault := range s.faults {
				t.Error(fault)
			}
			goldie.New(t).Assert(t, c.name, []byte(out.String()))
		})
	}
}

// checkReplicas compares the states of all live VMs that are up to date with the
// leader's state.
func (s *sim) checkReplicas() {
	for _, v := range s.vms {
		if !v.alive(s.now) || v.leaderPartitioned || v.state.Version() != s.state.Version() {
			continue
		}
		got, _ := v.state.Snapshot()
		want, _ := s.state.Snapshot()
		if string(got) != string(want) {
			s.fault("state of %s differs", v.Name)
		}
	}
}

// Guards against an initial placement that leaves slices without an owner or
// distributes them unevenly.
func TestFirstPlacementIsEven(t *testing.T) {
	s := newConfiguredSim(1, true)
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
