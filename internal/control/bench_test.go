package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// benchSizes are the numbers of VMs, targets and slices to benchmark. The slopes
// between the results are recorded in docs/CAPACITY.md.
var benchSizes = []struct{ vms, targets, slices int }{
	{9, 18, 64}, {100, 100, 1024}, {800, 100, 1024}, {100, 800, 1024}, {100, 100, 8192}, {800, 800, 8192},
}

// benchState returns a state in which each slice has an owner, and a planner
// that has received a heartbeat of every VM with reports on all targets.
func benchState(b *testing.B, vms, targets, slices int) (*State, *Planner) {
	b.Helper()
	s, p := NewState(), NewPlanner("vm-0")
	apply := func(c Command) {
		data, err := Encode(c)
		if err == nil {
			_, err = s.Apply(s.Version()+1, data)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	for i := range vms {
		apply(Command{RegisterVM: &VM{Name: fmt.Sprintf("vm-%d", i), DataCentre: "d", Incarnation: 1}})
	}
	apply(changeConfig(0, fmt.Sprintf("name: b\nregions: [{name: r, data_centres: [{name: d}]}]\n"+
		"services: [{name: ledger, ownership: exclusive, slices: %d, endpoints: 9, slots: 6}]\ntenants: [{name: \"*\"}]\n", slices)))
	for i := range targets {
		id := fmt.Sprintf("target-%d", i)
		apply(Command{RegisterTarget: &Target{
			ID: id, Service: "ledger", DataCentre: "d", Incarnation: 1, ChecksGrants: true, Slots: 6, State: Warm,
		}})
		apply(dispatchOf(id, fmt.Sprintf("vm-%d", i%vms), 1, 1))
	}
	for i := range slices {
		apply(assignSlice(contract.SliceID(i+1), fmt.Sprintf("target-%d", i%targets), 1, 1))
	}
	p.StartTerm(0)
	// Heartbeats dated one hour ahead keep observations and leases valid for the
	// whole run.
	heartbeats(s, p, vms, time.Hour)
	return s, p
}

// heartbeats passes one heartbeat of each VM, with reports on its targets, to
// the planner.
func heartbeats(s *State, p *Planner, vms int, now time.Duration) {
	for i := range vms {
		v := s.vms[fmt.Sprintf("vm-%d", i)]
		hb := Heartbeat{VM: v, SentAt: now, Version: s.version}
		for _, c := range s.Table().Contracts(v.Name, 1) {
			hb.Announcements = append(hb.Announcements, c.Target)
			hb.Reports = append(hb.Reports, TargetReport{
				Target: c.Target.ID, Incarnation: 1, Epoch: 1, Reachable: true, State: Warm,
			})
		}
		p.Heartbeat(now, hb)
	}
}

// benchmark runs one benchmark at every size and also reports the size of the
// snapshot in bytes.
func benchmark(b *testing.B, run func(b *testing.B, s *State, p *Planner, slices int)) {
	for _, size := range benchSizes {
		name := fmt.Sprintf("vms=%d/targets=%d/slices=%d", size.vms, size.targets, size.slices)
		b.Run(name, func(b *testing.B) {
			s, p := benchState(b, size.vms, size.targets, size.slices)
			snapshot, _ := s.Snapshot()
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s, p, size.slices)
			b.ReportMetric(float64(len(snapshot)), "snapshot-B")
		})
	}
}

func BenchmarkApply(b *testing.B) {
	benchmark(b, func(b *testing.B, s *State, _ *Planner, slices int) {
		data, _ := Encode(Command{Drain: &SliceChange{Slice: 1, Fence: 1}})
		for b.Loop() {
			s.slices[1].Assignment.Phase = contract.Owned
			_, _ = s.Apply(s.Version()+1, data)
		}
		b.ReportMetric(float64(len(data)), "command-B")
	})
}

func BenchmarkTable(b *testing.B) {
	benchmark(b, func(b *testing.B, s *State, _ *Planner, slices int) {
		for b.Loop() {
			s.invalidateView(s.slices[1].Slice)
			s.markChanged()
			s.Table()
		}
	})
}

func BenchmarkRoute(b *testing.B) {
	benchmark(b, func(b *testing.B, s *State, _ *Planner, slices int) {
		table, hash := s.Table(), uint64(0)
		for b.Loop() {
			hash += 0x9e3779b97f4a7c15
			if _, err := table.Route("ledger", "", hash); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	benchmark(b, func(b *testing.B, s *State, p *Planner, slices int) {
		now := 2 * time.Second
		for b.Loop() {
			now += planInterval
			p.Plan(now, s)
		}
	})
}
