package session

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/flamingoreel/flamingoreel/internal/standin"
	"github.com/flamingoreel/flamingoreel/internal/vm"
)

// serviceTime is how long a slow target runs a request.
const serviceTime = 500 * time.Millisecond

// slow configures a warm target on which every request takes serviceTime.
func slow(cfg *standin.Config) {
	cfg.ServiceTime = serviceTime
	cfg.ColdRequests = -1
	cfg.ColdFactor = 1
}

// runSlowSession runs a golden session with slow targets.
func runSlowSession(t *testing.T, name string, steps func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := startSmall(t, slow)
		defer c.close()
		steps(c)
		goldie.New(t).Assert(t, name, c.out.Bytes())
	})
}

// logExecutions logs how often a POST ran and fails the test if it ran more than
// once.
func (c *cluster) logExecutions(tenant, idem string) {
	n := c.ledger.ExecutionsOf(tenant, idem)
	c.logf("executions of %s: %d", idem, n)
	if n > 1 {
		c.t.Errorf("%s ran %d times", idem, n)
	}
}

// start sends a call in the background and returns a channel for its response.
func (c *cluster) start(q call) <-chan response {
	responses := make(chan response, 1)
	go func() { responses <- c.do(q) }()
	return responses
}

// ownedBy returns a key of the tenant that the target owns.
func (c *cluster) ownedBy(via, tenant, id string) string {
	for _, key := range keyNames {
		if c.owner(via, "ledger", tenant, key) == id {
			return key
		}
	}
	c.t.Fatalf("no key of %s is owned by %s", tenant, id)
	return ""
}

var keyNames = func() (names []string) {
	for letter := 'a'; letter <= 'z'; letter++ {
		names = append(names, "member-"+string(letter))
	}
	return names
}()

// dispatcher returns the VM that sends requests to a target, as the VM via knows it.
func (c *cluster) dispatcher(via, id string) string {
	d, _ := c.vms[via].Table().DispatchOf(id)
	return d.VM
}

// otherVM returns a running VM that is neither the control leader nor excluded.
func (c *cluster) otherVM(excluded ...string) string {
	leader := c.leader()
	for _, v := range smallVMs {
		skip := v.name == leader || c.vms[v.name] == nil
		for _, n := range excluded {
			skip = skip || n == v.name
		}
		if !skip {
			return v.name
		}
	}
	return ""
}

// Guards against a second run of a POST whose dispatcher is killed after it sent the
// POST: whether it ran is unknown, and the response to a retry must say so.
func TestSessionDispatcherKilledAfterSend(t *testing.T) {
	runSlowSession(t, "dispatcher_killed_after_send", func(c *cluster) {
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		sent := time.Now()
		victim := c.dispatcher("kp-1", "ledger-lj")
		responses := c.start(c.postCall("kp-1", "ledger", "club-celje", key, "dues-1", sent))
		time.Sleep(200 * time.Millisecond)
		c.killVM(victim)
		c.logf("dispatcher killed 200 ms after the posting was sent")
		c.logf("first caller -> %s", withoutBody(<-responses))
		time.Sleep(2 * time.Second)
		c.logf("resend -> %s", withoutBody(c.do(c.postCall("kp-1", "ledger", "club-celje", key, "dues-1", sent))))
		c.logExecutions("club-celje", "dues-1")
	})
}

// withoutBody formats a response without its body, which may name processes that
// differ between runs.
func withoutBody(r response) string {
	r.body = ""
	return r.String()
}

// Guards against a lost response: the entry VM is killed after it forwarded the POST,
// and a retry through another VM must get the response of the first run.
func TestSessionEntryKilledAfterSend(t *testing.T) {
	runSlowSession(t, "entry_killed_after_send", func(c *cluster) {
		key := c.ownedBy("mb-1", "club-celje", "ledger-lj")
		entry := c.otherVM(c.dispatcher("mb-1", "ledger-lj"), "mb-1")
		sent := time.Now()
		responses := c.start(c.postCall(entry, "ledger", "club-celje", key, "dues-1", sent))
		time.Sleep(200 * time.Millisecond)
		c.killVM(entry)
		c.logf("entry killed 200 ms after the posting was sent")
		c.logf("first caller -> %s", withoutBody(<-responses))
		time.Sleep(2 * time.Second)
		a := c.do(c.postCall("mb-1", "ledger", "club-celje", key, "dues-1", sent))
		c.logf("resend -> %d %s, stored balance received: %v", a.status, a.outcome, len(a.body) > 0)
		c.logExecutions("club-celje", "dues-1")
	})
}

// Guards against responses that are discarded because they arrive after the
// caller's deadline: a retry must get them.
func TestSessionLateResponse(t *testing.T) {
	runSlowSession(t, "late_answer", func(c *cluster) {
		sent := time.Now()
		q := c.postCall("lj-1", "ledger", "club-celje", "member-a", "dues-1", sent)
		q.deadline = 100 * time.Millisecond
		c.logf("deadline 100 ms, target needs 500 ms -> %s", withoutBody(c.do(q)))
		time.Sleep(3 * time.Second)
		c.logf("resend -> %s", withoutBody(c.do(c.postCall("kp-1", "ledger", "club-celje", "member-a", "dues-1", sent))))
		c.logExecutions("club-celje", "dues-1")
	})
}

// Guards against concurrent duplicates that both run: two callers send the same POST
// at the same time through different VMs.
func TestSessionConcurrentDuplicates(t *testing.T) {
	runSlowSession(t, "duplicates_at_once", func(c *cluster) {
		sent := time.Now()
		first := c.start(c.postCall("lj-1", "ledger", "club-celje", "member-a", "dues-1", sent))
		second := c.start(c.postCall("kp-1", "ledger", "club-celje", "member-a", "dues-1", sent))
		a, b := <-first, <-second
		c.logf("first -> %s", a)
		c.logf("second -> %s", b)
		c.logExecutions("club-celje", "dues-1")
	})
}

// Guards against a second run of a POST whose target is killed while it runs it.
func TestSessionTargetKilled(t *testing.T) {
	runSlowSession(t, "target_killed", func(c *cluster) {
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		sent := time.Now()
		responses := c.start(c.postCall("kp-1", "ledger", "club-celje", key, "dues-1", sent))
		time.Sleep(200 * time.Millisecond)
		c.targets["ledger-lj"].Crash()
		c.logf("target killed 200 ms after the posting was sent")
		c.logf("first caller -> %s", withoutBody(<-responses))
		took := c.eventually(time.Second+serviceTime, "key served again", func() bool {
			return c.do(call{via: "kp-1", method: http.MethodGet, service: "ledger", tenant: "club-celje", key: key, deadline: 5 * time.Second}).status == 200
		})
		c.logf("key served again within 1 s and the service time: %v", took <= time.Second+serviceTime)
		c.logf("resend -> %s", withoutBody(c.do(c.postCall("mb-1", "ledger", "club-celje", key, "dues-1", sent))))
		c.logExecutions("club-celje", "dues-1")
	})
}

// Guards against a VM that continues to serve while it is partitioned, and against
// keys that have no dispatcher during the partition.
func TestSessionPartitionedVM(t *testing.T) {
	runSession(t, "silent_vm", func(c *cluster) {
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		victim := c.dispatcher("kp-1", "ledger-lj")
		if victim == c.leader() {
			victim = c.leader()
		}
		c.isolateVM(victim, true)
		c.logf("dispatcher of ledger-lj is cut off from all other VMs")
		via := c.otherVM(victim)
		took := c.eventually(time.Second, "key served again", func() bool {
			return c.do(call{via: via, method: http.MethodGet, service: "ledger", tenant: "club-celje", key: key, deadline: 300 * time.Millisecond}).status == 200
		})
		c.logf("key served again within 1 s: %v", took <= time.Second)
		time.Sleep(2 * time.Second)
		c.logf("read through the silent VM -> %s", withoutBody(c.do(call{via: victim, method: http.MethodGet, service: "ledger", tenant: "club-celje", key: key})))
		sent := time.Now()
		c.logf("posting through the silent VM -> %s", withoutBody(c.do(c.postCall(victim, "ledger", "club-celje", key, "dues-1", sent))))
		c.logf("resend through another VM -> %s", withoutBody(c.do(c.postCall(via, "ledger", "club-celje", key, "dues-1", sent))))
		c.isolateVM(victim, false)
		c.eventually(5*time.Second, "the VM has a lease again", func() bool { return c.vms[victim].LeaseValid() })
		c.logf("after the partition: resend through the silent VM -> %s", withoutBody(c.do(c.postCall(victim, "ledger", "club-celje", key, "dues-1", sent))))
		c.logExecutions("club-celje", "dues-1")
	})
}

// Guards against a paused owner that runs requests after it resumes, when its slices
// have moved.
func TestSessionPausedOwner(t *testing.T) {
	runSlowSession(t, "frozen_owner", func(c *cluster) {
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		sent := time.Now()
		responses := c.start(c.postCall("kp-1", "ledger", "club-celje", key, "dues-1", sent))
		time.Sleep(200 * time.Millisecond)
		c.targets["ledger-lj"].Freeze(4 * time.Second)
		c.logf("owner frozen for 4 s while it runs a posting")
		c.logf("first caller -> %s", withoutBody(<-responses))
		c.eventually(time.Second, "key has another owner", func() bool {
			owner := c.owner("kp-1", "ledger", "club-celje", key)
			return owner != "" && owner != "ledger-lj"
		})
		c.logf("key served by another owner within 1 s of the deadline")
		time.Sleep(5 * time.Second)
		c.logf("resend after the thaw -> %s", withoutBody(c.do(c.postCall("mb-1", "ledger", "club-celje", key, "dues-1", sent))))
		c.logExecutions("club-celje", "dues-1")
	})
}

// Guards against a replica that votes with an empty log after the loss of its disk,
// and against a repair that does not restore the tolerance of two lost VMs: two more
// VMs fail right after the first one's repair.
func TestSessionLostDisk(t *testing.T) {
	runSession(t, "lost_disk", func(c *cluster) {
		victim := c.follower()
		old := c.replicaOf(victim)
		c.killVM(victim)
		if err := os.RemoveAll(filepath.Join(c.dir, victim)); err != nil {
			c.t.Fatal(err)
		}
		c.startVM(victim)
		took := c.eventually(20*time.Second, "replica under a new identity votes", func() bool {
			id := c.replicaOf(victim)
			return id != "" && id != old && c.allKnowVoter(id)
		})
		c.logf("the VM that lost its disk votes again under a new identity: %v", took > 0)
		leader := c.leader()
		c.killVM(leader)
		c.logf("control leader killed right after the repair")
		via := c.eventuallyLeader()
		c.logf("voters: %d", len(c.status(via).Voters))
		second := ""
		for _, v := range smallVMs {
			if c.vms[v.name] != nil && v.name != victim && v.name != via {
				second = v.name
			}
		}
		c.killVM(second)
		c.logf("a second VM killed")
		via = c.eventuallyLeader()
		number, _, _ := c.vms[via].Config(context.Background())
		c.logf("configuration number with two of five voters lost: %d", number)
		result, _, err := c.vms[via].ChangeConfig(context.Background(), number, []byte(smallText+"# changed\n"))
		c.logf("a change is accepted: %v", err == nil && result.Accepted)
	})
}

// status returns the status of the system as a VM knows it.
func (c *cluster) status(name string) vm.Status {
	s, err := c.vms[name].Status(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	return s
}

// replicaOf returns the identity of a VM's voting replica as the leader knows it, or
// an empty string if there is none.
func (c *cluster) replicaOf(name string) string {
	leader := c.leader()
	if leader == "" {
		return ""
	}
	for _, id := range c.status(leader).Voters {
		if strings.HasPrefix(id, name+"/") {
			return id
		}
	}
	return ""
}

// allKnowVoter reports whether every VM knows the voter id and the full number of
// voters.
func (c *cluster) allKnowVoter(id string) bool {
	for name := range c.vms {
		if s := c.status(name); !slices.Contains(s.Voters, id) || len(s.Voters) != len(smallVMs) {
			return false
		}
	}
	return true
}

// eventuallyLeader waits until a running VM is the control leader and returns it.
func (c *cluster) eventuallyLeader() string {
	leader := ""
	c.eventually(3*time.Second, "a control leader", func() bool {
		leader = c.leader()
		return leader != ""
	})
	return leader
}

// Guards against reads that wait at a paused owner until their deadline although the
// next owner could serve them.
func TestReadRetriedWhenOwnerPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startSmall(t, slow)
		defer c.close()
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		responses := c.start(call{via: "kp-1", method: http.MethodGet, service: "ledger", tenant: "club-celje", key: key, deadline: 10 * time.Second})
		time.Sleep(100 * time.Millisecond)
		started := time.Now()
		c.targets["ledger-lj"].Freeze(8 * time.Second)
		a := <-responses
		if took := time.Since(started); a.status != http.StatusOK || took > time.Second+serviceTime {
			t.Errorf("read at a paused owner: %v after %v", a, took)
		}
	})
}
