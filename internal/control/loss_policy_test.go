package control

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// newThreeRegionSim returns a simulation with three regions of two data centres
// each, with 9 VMs, 18 targets and 72 slices.
func newThreeRegionSim(moves int) *sim {
	s := newSim(1)
	text := "name: fleet\nregions:\n"
	for r, vms := range []string{"abab", "aba", "ab"} {
		region := fmt.Sprintf("r%d", r)
		text += fmt.Sprintf("- {name: %s, data_centres: [{name: %sa}, {name: %sb}]}\n", region, region, region)
		for i, dc := range vms {
			s.addVM(fmt.Sprintf("vm-%s%c-%d", region, dc, i), fmt.Sprintf("%s%c", region, dc), region)
		}
	}
	for i := range 18 {
		s.addTarget(fmt.Sprintf("t%02d", i), "ledger", fmt.Sprintf("r%d%c", i/6, 'a'+i/3%2), true)
	}
	text += "services:\n- {name: ledger, ownership: exclusive, slices: 72, endpoints: 18, slots: 6, " +
		fmt.Sprintf("max_moves_per_second: %d}\ntenants:\n- {name: \"*\"}\n", moves)
	s.run(50 * time.Millisecond)
	s.change(0, text)
	s.run(5 * time.Second)
	s.unservedSeconds, s.longestOutage, s.moves = 0, 0, 0
	return s
}

// faultDuration is how long a fault lasts and how long the simulation runs after
// it.
const faultDuration = 3 * time.Second

// lossFaults lists the simulated faults; lost targets and VMs do not return.
var lossFaults = []struct {
	name       string
	begin, end func(s *sim)
}{
	{"one target", func(s *sim) { s.targets[0].dead = true }, nil},
	{"one rack", func(s *sim) { s.targets[0].dead, s.targets[1].dead = true, true }, nil},
	{"one data centre", func(s *sim) { s.loseDataCentre("r0a") }, nil},
	{"observer cut off", func(s *sim) { s.partitionTargets(func(v *simVM) bool { return v.Name == "vm-r0a-0" }, true) },
		func(s *sim) { s.partitionTargets(func(*simVM) bool { return true }, false) }},
	{"observers of a data centre cut off", func(s *sim) { s.partitionTargets(func(v *simVM) bool { return v.DataCentre == "r0a" }, true) },
		func(s *sim) { s.partitionTargets(func(*simVM) bool { return true }, false) }},
	{"all observers cut off", func(s *sim) { s.partitionTargets(func(*simVM) bool { return true }, true) },
		func(s *sim) { s.partitionTargets(func(*simVM) bool { return true }, false) }},
}

func (s *sim) loseDataCentre(name string) {
	for _, v := range s.vms {
		v.dead = v.dead || v.DataCentre == name
	}
	for _, t := range s.targets {
		t.dead = t.dead || t.DataCentre == name
	}
}

func (s *sim) partitionTargets(which func(*simVM) bool, cut bool) {
	for _, v := range s.vms {
		if which(v) {
			for _, t := range s.targets {
				v.partitioned[t.ID] = cut
			}
		}
	}
}

// Guards against figures of the policies for lost targets in docs/decisions.md
// that are no longer true. Guards also against a default policy under which the
// slices of a lost target are unserved for contract.RecoveryLimit or longer, or
// under which slices move when only the observing VM is partitioned.
func TestLossPolicyFigures(t *testing.T) {
	t.Parallel()
	policies := []struct {
		name   string
		moves  int
		policy LossPolicy
	}{
		{"at most 50 moves/s", 50, BoundedMoves{}},
		{"at most 4 moves/s", 4, BoundedMoves{}},
		{"share below 1/10", 50, ShareThreshold{MaxLostShare: 0.1}},
		{"share below 1/3", 50, ShareThreshold{MaxLostShare: 1.0 / 3}},
		{"confirmation", 50, DefaultLossPolicy()},
	}
	rows := make([]string, len(lossFaults)*len(policies))
	var group sync.WaitGroup
	for i, fault := range lossFaults {
		for j, p := range policies {
			group.Go(func() {
				s := newThreeRegionSim(p.moves)
				s.planner.SetLossPolicy(p.policy)
				fault.begin(s)
				s.run(faultDuration)
				if fault.end != nil {
					fault.end(s)
				}
				s.run(faultDuration)
				rows[i*len(policies)+j] = fmt.Sprintf("| %s | %s | %d | %.1f | %.2f s |\n",
					fault.name, p.name, s.moves, s.unservedSeconds, s.longestOutage.Seconds())
				for _, f := range s.faults {
					t.Errorf("%s, %s: %s", fault.name, p.name, f)
				}
				if p.policy == DefaultLossPolicy() {
					checkDefaultPolicy(t, fault.name, s)
				}
			})
		}
	}
	group.Wait()
	table := "| fault | policy | moves | slice-seconds without service | longest |\n|---|---|---|---|---|\n" + strings.Join(rows, "")
	goldie.New(t).Assert(t, "loss-policies", []byte(table))
}

func checkDefaultPolicy(t *testing.T, fault string, s *sim) {
	switch fault {
	case "one target", "one rack":
		if s.longestOutage >= contract.RecoveryLimit {
			t.Errorf("%s: a slice was not served for %v", fault, s.longestOutage)
		}
	case "observer cut off", "observers of a data centre cut off":
		if s.moves > 0 || s.longestOutage >= contract.RecoveryLimit {
			t.Errorf("%s: %d moves, a slice was not served for %v", fault, s.moves, s.longestOutage)
		}
	}
}
