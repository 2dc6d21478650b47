package session

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/standin"
)

// workload sends reads and POSTs in turn through the VMs that entryNames returns until
// stop is closed. The channel receives the number of requests that failed.
func (c *cluster) workload(stop <-chan struct{}, entryNames func() []string) <-chan int {
	failed := make(chan int, 1)
	go func() {
		n, failures := 0, 0
		for {
			select {
			case <-stop:
				failed <- failures
				return
			default:
			}
			names := entryNames()
			key := keyNames[n%len(keyNames)]
			q := call{via: names[n%len(names)], method: http.MethodGet, service: "ledger", tenant: "club-celje", key: key}
			if n%3 == 0 {
				q = c.postCall(q.via, "ledger", "club-celje", key, "w-"+time.Since(c.startedAt).String(), time.Now())
			}
			if a := c.do(q); a.outcome != "answered" {
				failures++
			}
			n++
			time.Sleep(3 * time.Millisecond)
		}
	}()
	return failed
}

func allVMs() []string {
	var names []string
	for _, v := range smallVMs {
		names = append(names, v.name)
	}
	return names
}

// Guards against requests to a data centre that operators took out, and against
// requests that fail while it is taken out and back in.
func TestSessionDataCentreOutAndBack(t *testing.T) {
	runSession(t, "data_centre_out_and_back", func(c *cluster) {
		stop := make(chan struct{})
		failed := c.workload(stop, allVMs)
		time.Sleep(time.Second)
		c.apply("mb-1", strings.Replace(smallText, "{name: lj-a}", "{name: lj-a, state: out}", 1))
		time.Sleep(3 * time.Second)
		owners := c.ownersOf("kp-1")
		c.logf("3 s after lj-a is out, its target owns %d slices", owners["ledger-lj"])
		time.Sleep(2 * time.Second)
		c.apply("kp-1", smallText)
		c.eventually(10*time.Second, "lj-a serves again", func() bool { return c.ownersOf("kp-1")["ledger-lj"] > 0 })
		c.logf("lj-a is in again and its target owns slices")
		close(stop)
		c.logf("requests that were not answered: %d", <-failed)
	})
}

// ownersOf returns the number of slices of each target as a VM knows them.
func (c *cluster) ownersOf(via string) map[string]int {
	owners := make(map[string]int)
	s, err := c.vms[via].Status(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	for _, slice := range s.Slices {
		owners[slice.Target]++
	}
	return owners
}

// Guards against requests that fail because of a planned stop of a VM.
func TestSessionPlannedStopOfVM(t *testing.T) {
	runSession(t, "planned_stop_of_vm", func(c *cluster) {
		victim := c.dispatcher("kp-1", "ledger-lj")
		stop := make(chan struct{})
		failed := c.workload(stop, func() []string {
			var names []string
			for _, name := range allVMs() {
				if name != victim {
					names = append(names, name)
				}
			}
			return names
		})
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		started := time.Now()
		c.vms[victim].Drain(ctx)
		c.logf("drain ended before its limit: %v", time.Since(started) < 9*time.Second)
		_ = c.servers[victim].Shutdown(ctx)
		c.killVM(victim)
		time.Sleep(2 * time.Second)
		close(stop)
		c.logf("requests that were not answered: %d", <-failed)
	})
}

// Guards against requests that fail because their target is draining, and against
// slices that it still owns 3 s after draining began.
func TestSessionPlannedStopOfTarget(t *testing.T) {
	runSession(t, "planned_stop_of_target", func(c *cluster) {
		stop := make(chan struct{})
		failed := c.workload(stop, allVMs)
		time.Sleep(time.Second)
		c.targets["ledger-lj"].Drain(3 * time.Second)
		time.Sleep(3 * time.Second)
		c.logf("3 s after it began to leave, the target owns %d slices", c.ownersOf("kp-1")["ledger-lj"])
		time.Sleep(time.Second)
		close(stop)
		c.logf("requests that were not answered: %d", <-failed)
	})
}

// Guards against a request of a tenant with home regions that is served, forwarded
// or stored outside them.
func TestSessionHomeRegion(t *testing.T) {
	runSession(t, "home_region", func(c *cluster) {
		a := c.do(c.postCall("lj-1", "ledger", "club-maribor", "member-a", "dues-1", time.Now()))
		c.logf("posting at an entry outside the home region -> %s", withoutBody(a))
		a = c.post("mb-2", "ledger", "club-maribor", "member-a", "dues-1", time.Now())
		c.logf("served by %s", a.from)
		c.logExecutions("club-maribor", "dues-1")
	})
}

// Guards against two accepted changes that are based on the same number, and against
// a retried change that is refused or accepted twice.
func TestSessionRacingOperators(t *testing.T) {
	runSession(t, "racing_operators", func(c *cluster) {
		one := strings.Replace(smallText, "slots: 6", "slots: 5", 1)
		two := strings.Replace(smallText, "slots: 6", "slots: 4", 1)
		change := func(via, text string) string {
			r, _, err := c.vms[via].ChangeConfig(context.Background(), c.number, []byte(text))
			switch {
			case err != nil:
				return string(err.Kind)
			case r.Accepted:
				return "accepted"
			}
			return "conflict"
		}
		first := change("lj-1", one)
		second := change("mb-1", two)
		c.logf("two changes on the same number -> %s, %s", first, second)
		c.logf("the first one resent through a third VM -> %s", change("kp-1", one))
		c.logf("the second one resent -> %s", change("kp-1", two))
		time.Sleep(time.Second)
		for _, name := range allVMs() {
			number, _, _ := c.vms[name].Config(context.Background())
			c.logf("%s has number %d", name, number)
		}
	})
}

// Guards against a configuration or assignment that is lost when every VM
// restarts.
func TestSessionRestartOfAllVMs(t *testing.T) {
	runSession(t, "restart_of_all_vms", func(c *cluster) {
		for i := range 300 {
			text := smallText + strings.Repeat("# change\n", i%7+1)
			if i == 299 {
				text = strings.Replace(smallText, "slots: 6", "slots: 5", 1)
			}
			r, _, err := c.vms["lj-1"].ChangeConfig(context.Background(), c.number, []byte(text))
			if err != nil || !r.Accepted {
				c.t.Fatalf("change %d: %+v %v", i, r, err)
			}
			c.number = r.Number
		}
		c.logf("300 changes accepted, number %d", c.number)
		before := c.ownersOf("kp-1")
		for _, name := range allVMs() {
			c.killVM(name)
		}
		c.logf("all VMs killed and started again")
		for _, name := range allVMs() {
			c.startVM(name)
		}
		c.waitReady()
		number, content, _ := c.vms["mb-2"].Config(context.Background())
		c.logf("number %d, last text in force: %v", number, strings.Contains(string(content), "slots: 5"))
		after := c.ownersOf("kp-1")
		same := true
		for id, n := range before {
			same = same && after[id] == n
		}
		c.logf("owners unchanged: %v", same)
	})
}

// Guards against a request that crashes one target after another when its caller
// retries it, and against refusing other requests of the same tenant.
func TestSessionCrashingRequest(t *testing.T) {
	runSession(t, "crashing_request", func(c *cluster) {
		crashes := 0
		for i := range 10 {
			q := call{
				via: allVMs()[i%5], method: http.MethodGet, service: "ledger", tenant: "club-celje", key: "member-a",
				header: map[string]string{standin.HeaderCrash: "1"},
			}
			a := c.do(q)
			if a.kind == "known_crasher" {
				continue
			}
			crashes++
			time.Sleep(2 * time.Second)
		}
		c.logf("of ten sends, refused as known crasher: %v", crashes <= 3)
		for _, target := range c.targets {
			target.Restart()
		}
		time.Sleep(3 * time.Second)
		c.get("lj-1", "ledger", "club-celje", "member-b")
	})
}

// Guards against a second owner while a target that does not check grants is paused:
// its keys are not served until it responds again.
func TestSessionOwnerWithoutChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startSmall(t, func(cfg *standin.Config) { cfg.IgnoreGrants = true })
		defer c.close()
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		c.targets["ledger-lj"].Freeze(5 * time.Second)
		c.logf("owner that does not check grants is frozen for 5 s")
		time.Sleep(3 * time.Second)
		a := c.do(call{via: "kp-1", method: http.MethodGet, service: "ledger", tenant: "club-celje", key: key})
		c.logf("read after 3 s -> %s", withoutBody(a))
		c.eventually(10*time.Second, "key served again", func() bool { return c.owner("kp-1", "ledger", "club-celje", key) != "" })
		c.logf("after the thaw the key is served by %s", c.owner("kp-1", "ledger", "club-celje", key))
		goldie.New(t).Assert(t, "owner_without_checks", c.out.Bytes())
	})
}

// Guards against moves of keys after all VMs were partitioned from each other:
// healthy targets must keep their slices when the partition ends.
func TestSessionControlOutage(t *testing.T) {
	runSession(t, "control_outage", func(c *cluster) {
		before := c.fences("kp-1")
		for _, a := range smallVMs {
			c.isolateVM(a.name, true)
		}
		time.Sleep(3 * time.Second)
		c.logf("all VMs cut off from each other for 3 s")
		c.logf("read meanwhile -> %s", withoutBody(c.do(call{via: "lj-1", method: http.MethodGet, service: "ledger", tenant: "club-celje", key: "member-a"})))
		for _, a := range smallVMs {
			c.isolateVM(a.name, false)
		}
		took := c.eventually(3*time.Second, "key served again", func() bool { return c.owner("lj-1", "ledger", "club-celje", "member-a") != "" })
		c.logf("key served again within 3 s of the end of the outage: %v", took < 3*time.Second)
		time.Sleep(5 * time.Second)
		moves := 0
		for slice, fence := range c.fences("kp-1") {
			moves += int(fence - before[slice])
		}
		c.logf("changes of a slice's owner: %d", moves)
	})
}

// fences returns the fencing token of each slice as a VM knows it.
func (c *cluster) fences(via string) map[contract.SliceID]contract.Fence {
	s, err := c.vms[via].Status(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	fences := make(map[contract.SliceID]contract.Fence)
	for _, slice := range s.Slices {
		fences[slice.ID] = slice.Fence
	}
	return fences
}
