package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Guards against a list of control VMs that grows with each replacement, and against
// forgetting those that the settings name or that introduced themselves.
func TestGoneControlVMsAreForgotten(t *testing.T) {
	c := &Controller{
		cfg: Config{Addr: "self", Seeds: []string{"seed"}}, reloadedSeeds: []string{"reloaded"},
		known: make(map[string]watch.Peer), lastHello: make(map[string]time.Duration), lastNamed: make(map[string]time.Duration),
	}
	for _, addr := range []string{"self", "seed", "reloaded", "gone", "introduced", "named"} {
		c.known[addr] = watch.Peer{Addr: addr}
	}
	c.forgetVMs(time.Second)
	if len(c.known) != 6 {
		t.Errorf("%d control VMs are known at the start, want 6", len(c.known))
	}
	c.lastHello["introduced"], c.lastNamed["named"] = forgetAfter, forgetAfter
	c.forgetVMs(forgetAfter + time.Second)
	if _, ok := c.known["gone"]; ok || len(c.known) != 5 {
		t.Errorf("known are %v, want all but the one that is gone", c.known)
	}
	for i := range 3 * maxKnownVMs {
		addr := fmt.Sprint("vm-", i)
		c.known[addr], c.lastNamed[addr] = watch.Peer{Addr: addr}, 2*forgetAfter+time.Duration(i)
	}
	c.forgetVMs(2*forgetAfter + time.Second)
	if len(c.known) > maxKnownVMs || len(c.lastNamed) > maxKnownVMs || c.known["seed"].Addr == "" {
		t.Errorf("%d control VMs are known, at most %d allowed", len(c.known), maxKnownVMs)
	}
	if _, ok := c.known[fmt.Sprint("vm-", 3*maxKnownVMs-1)]; !ok {
		t.Error("the control VM that was named last is forgotten")
	}
}

// Guards against what a leader keeps of each replica that ever existed.
func TestRosterForgets(t *testing.T) {
	r := newRoster(2, 4*time.Second)
	m := five()
	for i := range 100 {
		r.introduced(fmt.Sprint("old-", i), candidate{replicaID: fmt.Sprint("old-", i, "/0"), at: time.Second})
		r.stops(fmt.Sprint("stopped-", i, "/0"))
		r.refusals[fmt.Sprint("ended-", i, "/0")] = time.Second
	}
	r.introduced("new", candidate{replicaID: "new/0", at: forgetAfter})
	r.stops(m.Voters[1])
	r.forget(forgetAfter+time.Second, m)
	if len(r.candidates) != 1 || len(r.stopping) != 1 || len(r.refusals) != 0 {
		t.Errorf("%d candidates, %d stopping replicas and %d refusals are left", len(r.candidates), len(r.stopping), len(r.refusals))
	}
}

// Guards against a leader that takes targets for silent because other control VMs answer
// their heartbeats, and against forwarding those of small deployments.
func TestRepeatedHeartbeatsAreForwardedAtTimes(t *testing.T) {
	for count, want := range map[int]bool{refreshAbove: false, refreshAbove + 1: true} {
		l := &loop{state: fleet.NewState(), refreshedAt: make(map[fleet.Incarnation]time.Duration)}
		var cmd fleet.Command
		for i := range count {
			cmd.Targets = append(cmd.Targets, fleet.Target{Incarnation: fleet.Incarnation{ID: fmt.Sprint(i), StartMs: 1}, Address: fmt.Sprint("a-", i)})
		}
		data, err := wire.Marshal(&cmd)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.state.Apply(1, data); err != nil {
			t.Fatal(err)
		}
		forwarded := 0
		for now := time.Duration(0); now < 5*refreshInterval; now += time.Second {
			if l.refreshDue(now, cmd.Targets[7].Incarnation) {
				forwarded++
			}
		}
		if (forwarded > 0) != want || forwarded > 5 {
			t.Errorf("%d targets: %d heartbeats forwarded in %v", count, forwarded, 5*refreshInterval)
		}
	}
}

// Guards against ending targets while a control VM of an earlier build answers their
// heartbeats without forwarding any.
func TestEarlierBuildsKeepSilentTargets(t *testing.T) {
	r, m := newRoster(2, 4*time.Second), five()
	for _, id := range m.Voters {
		r.introduced(vmAddr(id), candidate{replicaID: id, level: fleet.RefreshLevel, at: time.Second})
	}
	if !r.allRefresh(2*time.Second, m.Voters[0], m) {
		t.Error("silent targets are kept although all control VMs forward heartbeats")
	}
	r.introduced("spare", candidate{replicaID: "spare/0", level: fleet.RevivalLevel, at: time.Second})
	if r.allRefresh(2*time.Second, m.Voters[0], m) {
		t.Error("silent targets end although a control VM of an earlier build takes heartbeats")
	}
}
