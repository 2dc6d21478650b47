package vm

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/control"
)

// fleet is a size for which control is measured.
type fleet struct{ vms, targets, slices int }

// fleets vary one dimension at a time and then all of them together.
var fleets = []fleet{
	{9, 9, 174}, {9, 29, 174}, {9, 58, 174}, {9, 29, 64}, {9, 29, 1024}, {100, 29, 174},
	{100, 322, 1933}, {248, 800, 4800}, {400, 1289, 7733}, {800, 2578, 15467},
}

func (f fleet) String() string {
	return fmt.Sprintf("vms=%d/targets=%d/slices=%d", f.vms, f.targets, f.slices)
}

// text lists 2 regions with 6 data centres and one exclusive service.
func (f fleet) text() []byte {
	var b strings.Builder
	b.WriteString("name: size\nregions:\n")
	for r := range 2 {
		fmt.Fprintf(&b, "  - name: r%d\n    data_centres: [{name: d%d}, {name: d%d}, {name: d%d}]\n", r, r, r+2, r+4)
	}
	fmt.Fprintf(&b, "services:\n  - {name: ledger, ownership: exclusive, slices: %d, endpoints: %d, slots: 6}\ntenants:\n  - name: \"*\"\n", f.slices, max(1, f.targets))
	return []byte(b.String())
}

func (f fleet) vm(i int) control.VM {
	i %= f.vms
	return control.VM{
		Name: fmt.Sprintf("vm-%04d", i), DataCentre: fmt.Sprintf("d%d", i%6), Region: fmt.Sprintf("r%d", i%2),
		LinkAddr: "127.100.100.100:7001", CallerAddr: "127.100.100.100:8001", Incarnation: 1764800000000,
	}
}

func (f fleet) target(i int) control.Target {
	return control.Target{
		ID: fmt.Sprintf("ledger-%04d", i), Service: "ledger", DataCentre: fmt.Sprintf("d%d", i%f.vms%6),
		Address: "127.100.100.100:6001", Incarnation: 1764800000000, ChecksGrants: true, Slots: 6, State: control.Warm,
	}
}

// state has every slice owned and every target dispatched.
func (f fleet) state(b *testing.B) *control.State {
	s := control.NewState()
	apply(b, s, control.Command{ChangeConfig: &control.ChangeConfig{Text: f.text()}})
	for i := range f.vms {
		v := f.vm(i)
		apply(b, s, control.Command{RegisterVM: &v})
	}
	for i := range f.targets {
		t, v := f.target(i), f.vm(i)
		apply(b, s, control.Command{RegisterTarget: &t})
		apply(b, s, control.Command{SetDispatch: &control.SetDispatch{Dispatch: contract.Dispatch{
			Target: t.ID, VM: v.Name, VMIncarnation: v.Incarnation, Epoch: 1,
		}}})
	}
	if epochOf(s, f.target(f.targets-1).ID) != 1 {
		b.Fatal("a target has no dispatcher")
	}
	apply(b, s, control.Command{SetHolders: &control.SetHolders{}})
	for i, a := range s.Table().Assignments() {
		assign(b, s, a, f.target(i*f.targets/f.slices))
	}
	return s
}

// heap returns the bytes of reachable objects.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func epochOf(s *control.State, target string) contract.Epoch {
	d, _ := s.Table().DispatchOf(target)
	return d.Epoch
}

func apply(b *testing.B, s *control.State, c control.Command) int {
	data, err := control.Encode(c)
	if err == nil {
		_, err = s.Apply(s.Version()+1, data)
	}
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}

func assign(b *testing.B, s *control.State, a control.ContractSlice, t control.Target) int {
	return apply(b, s, control.Command{Assign: &control.Assign{Assignment: contract.Assignment{
		Slice: a.Slice.ID, Target: t.ID, Incarnation: t.Incarnation, Fence: a.Assignment.Fence + 1, Phase: contract.Owned,
	}}})
}

// heartbeat reports the targets of one VM in an ordinary state.
func (f fleet) heartbeat(i int, s *control.State, now time.Duration) control.Heartbeat {
	hb := control.Heartbeat{VM: f.vm(i), SentAt: now, Version: s.Version(), ConfigNumber: 1}
	for t := i; t < f.targets; t += f.vms {
		hb.Reports = append(hb.Reports, control.TargetReport{
			Target: f.target(t).ID, Incarnation: f.target(t).Incarnation, Epoch: epochOf(s, f.target(t).ID),
			Reachable: true, State: control.Warm, InFlight: 3, Load: 0.5,
		})
	}
	return hb
}

// BenchmarkHeartbeat measures the encoded heartbeat and renewal of a VM by the
// number of targets that it dispatches, and decoding the heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	for _, targets := range []int{0, 1, 3, 10, 30} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			f := fleet{1, targets, 1}
			hb := f.heartbeat(0, control.NewState(), time.Hour)
			renewal, _ := msgpack.Marshal(control.Renewal{Granted: true, SentAt: time.Hour, Version: 1 << 20, Leader: "vm-0001"})
			var size int
			for b.Loop() {
				data, err := msgpack.Marshal(hb)
				if err != nil || msgpack.Unmarshal(data, new(control.Heartbeat)) != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "heartbeatB")
			b.ReportMetric(float64(len(renewal)), "renewalB")
		})
	}
}

// BenchmarkSnapshot measures the size of the control state, encoded and in
// memory with its table, and one encoding with its decoding.
func BenchmarkSnapshot(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			s := f.state(b)
			var data []byte
			var encoding time.Duration
			for b.Loop() {
				began := time.Now()
				data, _ = s.Snapshot()
				encoding += time.Since(began)
				var err error
				if s, err = control.Restore(data); err != nil {
					b.Fatal(err)
				}
			}
			s = nil
			empty := heap()
			s, _ = control.Restore(data)
			s.Table().Assignments()
			b.ReportMetric(float64(heap()-empty), "heapB")
			b.ReportMetric(float64(len(data)), "snapshotB")
			b.ReportMetric(float64(encoding.Nanoseconds())/float64(b.N), "ns/encode")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkTable measures applying one command and rebuilding the table that
// traffic reads, with the index that the dispatcher reads.
func BenchmarkTable(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			s := f.state(b)
			size := 0
			for n := 0; b.Loop(); n++ {
				a := s.Table().Assignments()[0]
				change := &control.SliceChange{Slice: a.Slice.ID, Fence: a.Assignment.Fence}
				switch a.Assignment.Phase {
				case contract.Owned:
					apply(b, s, control.Command{Drain: change})
				case contract.Draining:
					apply(b, s, control.Command{Unassign: change})
				default:
					size = assign(b, s, a, f.target(0))
				}
			}
			b.ReportMetric(float64(size), "assignB")
		})
	}
}

// BenchmarkPlan measures one look of the planner at a fleet without a fault,
// after the heartbeats of all VMs, which are measured apart. The slowest look
// is one that balances, once a second; it needs at least 100 iterations.
func BenchmarkPlan(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			s := f.state(b)
			p := control.NewPlanner("vm-0000")
			now, commands, beats, slowest := time.Duration(0), 0, time.Duration(0), time.Duration(0)
			p.Elected(now)
			for n := 0; b.Loop(); n++ {
				if n%6 == 0 {
					b.StopTimer()
					began := time.Now()
					for i := range f.vms {
						p.Heartbeat(now, f.heartbeat(i, s, now+1))
					}
					beats += time.Since(began)
					b.StartTimer()
				}
				began := time.Now()
				commands += len(p.Plan(now, s))
				slowest = max(slowest, time.Since(began))
				now += planInterval
			}
			b.ReportMetric(float64(commands)/float64(b.N), "commands/op")
			b.ReportMetric(float64(slowest.Nanoseconds()), "ns/slowest")
			b.ReportMetric(float64(beats.Nanoseconds())/float64((b.N+5)/6*f.vms), "ns/heartbeat")
		})
	}
}

// BenchmarkAnnouncements measures what a VM does for each heartbeat to find the
// announcements that the control state does not reflect, here none.
func BenchmarkAnnouncements(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			table := f.state(b).Table()
			var a announcements
			for b.Loop() {
				a.fresh(time.Hour, table)
			}
		})
	}
}
