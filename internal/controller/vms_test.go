package controller

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// vms are control VMs that run in the test process and listen on loopback.
type vms struct {
	t          *testing.T
	all        []*Controller
	logs       *lockedLogs
	registries []*prometheus.Registry
}

// lockedLogs makes a log handler safe for use by several VMs.
type lockedLogs struct {
	mu sync.Mutex
	to *memory.Handler
}

func (h *lockedLogs) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.to.HandleLog(e)
}

// startVMs starts the three initial voters of a deployment that tolerates the loss
// of one, and waits until it accepts changes.
func startVMs(t *testing.T) *vms {
	t.Helper()
	return startVMsFor(t, 1)
}

// startVMsFor starts the three initial voters of a deployment that is to tolerate
// the given number of lost VMs, and waits until it accepts changes.
func startVMsFor(t *testing.T, tolerated int) *vms {
	t.Helper()
	v := &vms{t: t, logs: &lockedLogs{to: memory.New()}}
	logger := &log.Logger{Handler: v.logs, Level: log.InfoLevel}
	seeds := freeAddrs(t, 3)
	for i, addr := range seeds {
		registry := prometheus.NewRegistry()
		c, err := New(Config{
			Addr: addr, CallAddr: addr, Region: fmt.Sprintf("region-%d", i), DataCentre: fmt.Sprintf("dc-%d", i),
			Seeds: seeds, DataDir: t.TempDir(), Bootstrap: true, ToleratedLosses: tolerated, Seed: uint64(i + 1),
			Logger: logger, Registry: registry,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		v.all = append(v.all, c)
		v.registries = append(v.registries, registry)
	}
	v.await("a change is accepted", 10*time.Second, func() bool {
		return v.all[0].Change(context.Background(), serviceChange(1)) == nil
	})
	return v
}

// freeAddrs returns loopback addresses with ports that are not in use.
func freeAddrs(t *testing.T, count int) []string {
	t.Helper()
	var addrs []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

// await polls until done returns true and fails the test after the limit.
func (v *vms) await(what string, limit time.Duration, done func() bool) {
	v.t.Helper()
	for end := time.Now().Add(limit); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			v.t.Fatalf("not reached within %v: %s", limit, what)
		}
	}
}

// leader waits for a leader and returns it and another VM that knows a leader.
func (v *vms) leader() (leader, follower *Controller) {
	v.t.Helper()
	v.await("a leader is known", 10*time.Second, func() bool {
		leader, follower = nil, nil
		for _, c := range v.all {
			if c.Leader() == c.cfg.Addr {
				leader = c
			} else if c.Leader() != "" {
				follower = c
			}
		}
		return leader != nil && follower != nil
	})
	return leader, follower
}

// serviceChange returns a change that sets a service to a version.
func serviceChange(version uint64) fleet.Command {
	return fleet.Command{Patch: &items.Patch{Items: []items.Item{{
		Key: items.Key{Collection: items.Services, Name: "s"}, Version: version, Service: &items.Service{},
	}}}}
}

// Guards against metrics and logs that don't show where an unanswered change waited:
// at the VM that received it, in the leader's queue, or for its commit.
func TestLatencyOfAChangeIsRecorded(t *testing.T) {
	v := startVMs(t)
	leader, follower := v.leader()
	if failure := follower.Change(context.Background(), serviceChange(2)); failure != nil {
		t.Fatal(failure)
	}
	for _, want := range []struct {
		at     *Controller
		metric string
	}{
		{follower, "flamingoreel_control_change_seconds"}, {leader, "flamingoreel_control_commit_seconds"},
		{leader, "flamingoreel_control_wait_seconds"}, {leader, "flamingoreel_control_work_seconds"},
	} {
		if v.samples(want.at, want.metric) == 0 {
			t.Errorf("%s has no sample", want.metric)
		}
	}
	answered := 0
	v.logs.mu.Lock()
	defer v.logs.mu.Unlock()
	for _, e := range v.logs.to.Entries {
		if e.Message == "change answered" && e.Fields["outcome"] == outcomeAccepted {
			answered++
		}
	}
	if answered < 2 {
		t.Errorf("%d log lines report the outcome of a change, want one for each change", answered)
	}
}

// samples returns the number of samples of a histogram of a VM.
func (v *vms) samples(c *Controller, name string) (count uint64) {
	v.t.Helper()
	families, err := v.registries[slices.Index(v.all, c)].Gather()
	if err != nil {
		v.t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			count += m.GetHistogram().GetSampleCount()
		}
	}
	return count
}

// follow makes a VM with a failed replica follow a leader.
func follow(t *testing.T, c *Controller, leader string) {
	t.Helper()
	if _, failure := call(context.Background(), c.loop, urgent, func(results chan<- bool) {
		c.loop.failed, c.loop.failedAt = true, c.now()+time.Hour
		c.leader.set(leader)
		results <- true
	}); failure != nil {
		t.Fatal(failure)
	}
}
