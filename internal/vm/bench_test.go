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

// clusterSize is the size of a cluster for which the control plane is measured.
type clusterSize struct{ vms, targets, slices int }

// clusterSizes varies one dimension at a time and then all of them together.
var clusterSizes = []clusterSize{
	{9, 9, 174}, {9, 29, 174}, {9, 58, 174}, {9, 29, 64}, {9, 29, 1024}, {100, 29, 174},
	{100, 322, 1933}, {248, 800, 4800}, {400, 1289, 7733}, {800, 2578, 15467},
}

func (c clusterSize) String() string {
	return fmt.Sprintf("vms=%d/targets=%d/slices=%d", c.vms, c.targets, c.slices)
}

// text returns a configuration text with 2 regions, 6 data centres and one
// service with exclusive ownership.
func (c clusterSize) text() []byte {
	var b strings.Builder
	b.WriteString("name: size\nregions:\n")
	for r := range 2 {
		fmt.Fprintf(&b, "  - name: r%d\n    data_centres: [{name: d%d}, {name: d%d}, {name: d%d}]\n", r, r, r+2, r+4)
	}
	fmt.Fprintf(&b, "services:\n  - {name: ledger, ownership: exclusive, slices: %d, endpoints: %d, slots: 6}\ntenants:\n  - name: \"*\"\n", c.slices, max(1, c.targets))
	return []byte(b.String())
}

func (c clusterSize) vm(i int) control.VM {
	i %= c.vms
	return control.VM{
		Name: fmt.Sprintf("vm-%04d", i), DataCentre: fmt.Sprintf("d%d", i%6), Region: fmt.Sprintf("r%d", i%2),
		LinkAddr: "127.100.100.100:7001", CallerAddr: "127.100.100.100:8001", Incarnation: 1764800000000,
	}
}

func (c clusterSize) target(i int) control.Target {
	return control.Target{
		ID: fmt.Sprintf("ledger-%04d", i), Service: "ledger", DataCentre: fmt.Sprintf("d%d", i%c.vms%6),
		Address: "127.100.100.100:6001", Incarnation: 1764800000000, ChecksGrants: true, Slots: 6, State: control.Warm,
	}
}

// state returns a control state in which every slice is owned and every target
// has a dispatcher.
func (c clusterSize) state(b *testing.B) *control.State {
	s := control.NewState()
	apply(b, s, control.Command{ChangeConfig: &control.ChangeConfig{Text: c.text()}})
	for i := range c.vms {
		v := c.vm(i)
		apply(b, s, control.Command{RegisterVM: &v})
	}
	for i := range c.targets {
		t, v := c.target(i), c.vm(i)
		apply(b, s, control.Command{RegisterTarget: &t})
		apply(b, s, control.Command{SetDispatch: &control.SetDispatch{Dispatch: contract.Dispatch{
			Target: t.ID, VM: v.Name, VMIncarnation: v.Incarnation, Epoch: 1,
		}}})
	}
	if epochOf(s, c.target(c.targets-1).ID) != 1 {
		b.Fatal("a target has no dispatcher")
	}
	apply(b, s, control.Command{SetHolders: &control.SetHolders{}})
	for i, a := range s.Table().Assignments() {
		assign(b, s, a, c.target(i*c.targets/c.slices))
	}
	return s
}

// heapBytes returns the size of the reachable heap objects.
func heapBytes() uint64 {
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

// heartbeat returns the heartbeat of VM i, whose targets are all reachable and
// warm.
func (c clusterSize) heartbeat(i int, s *control.State, now time.Duration) control.Heartbeat {
	hb := control.Heartbeat{VM: c.vm(i), SentAt: now, Version: s.Version(), ConfigNumber: 1}
	for t := i; t < c.targets; t += c.vms {
		hb.Reports = append(hb.Reports, control.TargetReport{
			Target: c.target(t).ID, Incarnation: c.target(t).Incarnation, Epoch: epochOf(s, c.target(t).ID),
			Reachable: true, State: control.Warm, InFlight: 3, Load: 0.5,
		})
	}
	return hb
}

// BenchmarkHeartbeat measures the encoded size of a VM's heartbeat and renewal
// and the time to encode and decode the heartbeat, for several numbers of targets
// that the VM dispatches.
func BenchmarkHeartbeat(b *testing.B) {
	for _, targets := range []int{0, 1, 3, 10, 30} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			c := clusterSize{1, targets, 1}
			hb := c.heartbeat(0, control.NewState(), time.Hour)
			renewal, _ := msgpack.Marshal(control.LeaseRenewal{Granted: true, SentAt: time.Hour, Version: 1 << 20, Leader: "vm-0001"})
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

// BenchmarkSnapshot measures the size of the control state, both encoded and in
// memory with its table, and the time to encode and decode it.
func BenchmarkSnapshot(b *testing.B) {
	for _, c := range clusterSizes {
		b.Run(c.String(), func(b *testing.B) {
			s := c.state(b)
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
			empty := heapBytes()
			s, _ = control.Restore(data)
			s.Table().Assignments()
			b.ReportMetric(float64(heapBytes()-empty), "heapB")
			b.ReportMetric(float64(len(data)), "snapshotB")
			b.ReportMetric(float64(encoding.Nanoseconds())/float64(b.N), "ns/encode")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkTable measures applying one command and rebuilding the routing table,
// including the index that the dispatcher reads.
func BenchmarkTable(b *testing.B) {
	for _, c := range clusterSizes {
		b.Run(c.String(), func(b *testing.B) {
			s := c.state(b)
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
					size = assign(b, s, a, c.target(0))
				}
			}
			b.ReportMetric(float64(size), "assignB")
		})
	}
}

// BenchmarkPlan measures one run of the planner for a cluster without faults.
// The heartbeats of all VMs are measured separately. The slowest run is one that
// rebalances, which happens once a second; to include one, run at least 100
// iterations.
func BenchmarkPlan(b *testing.B) {
	for _, c := range clusterSizes {
		b.Run(c.String(), func(b *testing.B) {
			s := c.state(b)
			p := control.NewPlanner("vm-0000")
			now, commands, heartbeatTime, slowest := time.Duration(0), 0, time.Duration(0), time.Duration(0)
			p.StartTerm(now)
			for n := 0; b.Loop(); n++ {
				if n%6 == 0 {
					b.StopTimer()
					began := time.Now()
					for i := range c.vms {
						p.Heartbeat(now, c.heartbeat(i, s, now+1))
					}
					heartbeatTime += time.Since(began)
					b.StartTimer()
				}
				began := time.Now()
				commands += len(p.Plan(now, s))
				slowest = max(slowest, time.Since(began))
				now += planInterval
			}
			b.ReportMetric(float64(commands)/float64(b.N), "commands/op")
			b.ReportMetric(float64(slowest.Nanoseconds()), "ns/slowest")
			b.ReportMetric(float64(heartbeatTime.Nanoseconds())/float64((b.N+5)/6*c.vms), "ns/heartbeat")
		})
	}
}

// BenchmarkAnnouncements measures the search that a VM makes for each heartbeat
// for announcements that differ from the control state. Here there are none.
func BenchmarkAnnouncements(b *testing.B) {
	for _, c := range clusterSizes {
		b.Run(c.String(), func(b *testing.B) {
			table := c.state(b).Table()
			var a announcements
			for b.Loop() {
				a.pending(time.Hour, table)
			}
		})
	}
}
