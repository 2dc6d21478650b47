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

// slow makes every request take serviceTime on every target, which is warm.
func slow(cfg *standin.Config) {
	cfg.ServiceTime = serviceTime
	cfg.ColdRequests = -1
	cfg.ColdFactor = 1
}

// slowSession runs a golden session with slow targets.
func slowSession(t *testing.T, name string, steps func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := startSmall(t, slow)
		defer c.close()
		steps(c)
		goldie.New(t).Assert(t, name, c.out.Bytes())
	})
}

// executed logs how often a posting ran; more than once fails the session.
func (c *cluster) executed(tenant, idem string) {
	n := c.ledger.ExecutionsOf(tenant, idem)
	c.logf("executions of %s: %d", idem, n)
	if n > 1 {
		c.t.Errorf("%s ran %d times", idem, n)
	}
}

// start sends a call in the background and returns its answer.
func (c *cluster) start(q call) <-chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- c.do(q) }()
	return answers
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

// dispatcher returns the VM that dispatches a target.
func (c *cluster) dispatcher(via, id string) string {
	d, _ := c.vms[via].Table().DispatchOf(id)
	return d.VM
}

// otherVM returns a VM other than the given ones and the control leader.
func (c *cluster) otherVM(not ...string) string {
	leader := c.leader()
	for _, v := range smallVMs {
		taken := v.name == leader || c.vms[v.name] == nil
		for _, n := range not {
			taken = taken || n == v.name
		}
		if !taken {
			return v.name
		}
	}
	return ""
}

// Guards against a second run after the dispatcher died with the posting sent:
// nobody knows whether it ran, so a resend must be told so.
func TestSessionDispatcherKilledAfterSend(t *testing.T) {
	slowSession(t, "dispatcher_killed_after_send", func(c *cluster) {
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		sent := time.Now()
		victim := c.dispatcher("kp-1", "ledger-lj")
		answers := c.start(c.posting("kp-1", "ledger", "club-celje", key, "dues-1", sent))
		time.Sleep(200 * time.Millisecond)
		c.killVM(victim)
		c.logf("dispatcher killed 200 ms after the posting was sent")
		c.logf("first caller -> %s", brief(<-answers))
		time.Sleep(2 * time.Second)
		c.logf("resend -> %s", brief(c.do(c.posting("kp-1", "ledger", "club-celje", key, "dues-1", sent))))
		c.executed("club-celje", "dues-1")
	})
}

// brief drops the body, which may name processes that differ between runs.
func brief(a answer) string {
	a.body = ""
	return a.String()
}

// Guards against a lost answer: the entry dies after it relayed the posting,
// and the resend through another VM must get the answer of the first run.
func TestSessionEntryKilledAfterSend(t *testing.T) {
	slowSession(t, "entry_killed_after_send", func(c *cluster) {
		key := c.ownedBy("mb-1", "club-celje", "ledger-lj")
		entry := c.otherVM(c.dispatcher("mb-1", "ledger-lj"), "mb-1")
		sent := time.Now()
		answers := c.start(c.posting(entry, "ledger", "club-celje", key, "dues-1", sent))
		time.Sleep(200 * time.Millisecond)
		c.killVM(entry)
		c.logf("entry killed 200 ms after the posting was sent")
		c.logf("first caller -> %s", brief(<-answers))
		time.Sleep(2 * time.Second)
		a := c.do(c.posting("mb-1", "ledger", "club-celje", key, "dues-1", sent))
		c.logf("resend -> %d %s, stored balance received: %v", a.status, a.outcome, len(a.body) > 0)
		c.executed("club-celje", "dues-1")
	})
}

// Guards against answers that are thrown away when they come after the
// caller's deadline: the resend must get them.
func TestSessionLateAnswer(t *testing.T) {
	slowSession(t, "late_answer", func(c *cluster) {
		sent := time.Now()
		q := c.posting("lj-1", "ledger", "club-celje", "member-a", "dues-1", sent)
		q.deadline = 100 * time.Millisecond
		c.logf("deadline 100 ms, target needs 500 ms -> %s", brief(c.do(q)))
		time.Sleep(3 * time.Second)
		c.logf("resend -> %s", brief(c.do(c.posting("kp-1", "ledger", "club-celje", "member-a", "dues-1", sent))))
		c.executed("club-celje", "dues-1")
	})
}

// Guards against duplicates that pass each other: two callers send one posting
// at the same time through different VMs.
func TestSessionDuplicatesAtOnce(t *testing.T) {
	slowSession(t, "duplicates_at_once", func(c *cluster) {
		sent := time.Now()
		first := c.start(c.posting("lj-1", "ledger", "club-celje", "member-a", "dues-1", sent))
		second := c.start(c.posting("kp-1", "ledger", "club-celje", "member-a", "dues-1", sent))
		a, b := <-first, <-second
		c.logf("first -> %s", a)
		c.logf("second -> %s", b)
		c.executed("club-celje", "dues-1")
	})
}

// Guards against a second run when the target dies while it runs the posting.
func TestSessionTargetKilled(t *testing.T) {
	slowSession(t, "target_killed", func(c *cluster) {
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		sent := time.Now()
		answers := c.start(c.posting("kp-1", "ledger", "club-celje", key, "dues-1", sent))
		time.Sleep(200 * time.Millisecond)
		c.targets["ledger-lj"].Crash()
		c.logf("target killed 200 ms after the posting was sent")
		c.logf("first caller -> %s", brief(<-answers))
		took := c.eventually(time.Second+serviceTime, "key served again", func() bool {
			return c.do(call{via: "kp-1", method: http.MethodGet, service: "ledger", tenant: "club-celje", key: key, deadline: 5 * time.Second}).status == 200
		})
		c.logf("key served again within 1 s and the service time: %v", took <= time.Second+serviceTime)
		c.logf("resend -> %s", brief(c.do(c.posting("mb-1", "ledger", "club-celje", key, "dues-1", sent))))
		c.executed("club-celje", "dues-1")
	})
}

// Guards against a VM that goes on serving behind a partition, and against
// keys that stay without a dispatcher while it is silent.
func TestSessionSilentVM(t *testing.T) {
	session(t, "silent_vm", func(c *cluster) {
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
		c.logf("read through the silent VM -> %s", brief(c.do(call{via: victim, method: http.MethodGet, service: "ledger", tenant: "club-celje", key: key})))
		sent := time.Now()
		c.logf("posting through the silent VM -> %s", brief(c.do(c.posting(victim, "ledger", "club-celje", key, "dues-1", sent))))
		c.logf("resend through another VM -> %s", brief(c.do(c.posting(via, "ledger", "club-celje", key, "dues-1", sent))))
		c.isolateVM(victim, false)
		c.eventually(5*time.Second, "lease back", func() bool { return c.vms[victim].LeaseValid() })
		c.logf("after the partition: resend through the silent VM -> %s", brief(c.do(c.posting(victim, "ledger", "club-celje", key, "dues-1", sent))))
		c.executed("club-celje", "dues-1")
	})
}

// Guards against work that a frozen owner does after it thaws, when its slices
// have moved.
func TestSessionFrozenOwner(t *testing.T) {
	slowSession(t, "frozen_owner", func(c *cluster) {
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		sent := time.Now()
		answers := c.start(c.posting("kp-1", "ledger", "club-celje", key, "dues-1", sent))
		time.Sleep(200 * time.Millisecond)
		c.targets["ledger-lj"].Freeze(4 * time.Second)
		c.logf("owner frozen for 4 s while it runs a posting")
		c.logf("first caller -> %s", brief(<-answers))
		c.eventually(time.Second, "key has another owner", func() bool {
			owner := c.owner("kp-1", "ledger", "club-celje", key)
			return owner != "" && owner != "ledger-lj"
		})
		c.logf("key served by another owner within 1 s of the deadline")
		time.Sleep(5 * time.Second)
		c.logf("resend after the thaw -> %s", brief(c.do(c.posting("mb-1", "ledger", "club-celje", key, "dues-1", sent))))
		c.executed("club-celje", "dues-1")
	})
}

// Guards against a replica that votes from an empty log after it lost its
// disk, and against a repair that leaves the cluster without a spare: a second
// VM fails right after the first one's repair.
func TestSessionLostDisk(t *testing.T) {
	session(t, "lost_disk", func(c *cluster) {
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

func (c *cluster) status(name string) vm.Status {
	s, err := c.vms[name].Status(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	return s
}

// replicaOf returns the voting replica of a VM as the leader knows it.
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

// allKnowVoter reports whether every VM's replica counts the voter.
func (c *cluster) allKnowVoter(id string) bool {
	for name := range c.vms {
		if s := c.status(name); !slices.Contains(s.Voters, id) || len(s.Voters) != len(smallVMs) {
			return false
		}
	}
	return true
}

// eventuallyLeader waits until a live VM leads and returns it.
func (c *cluster) eventuallyLeader() string {
	leader := ""
	c.eventually(3*time.Second, "a control leader", func() bool {
		leader = c.leader()
		return leader != ""
	})
	return leader
}

// Guards against reads that wait for their whole deadline at a frozen owner
// although the next owner could answer them.
func TestReadMovesOnFromFrozenOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startSmall(t, slow)
		defer c.close()
		key := c.ownedBy("kp-1", "club-celje", "ledger-lj")
		answers := c.start(call{via: "kp-1", method: http.MethodGet, service: "ledger", tenant: "club-celje", key: key, deadline: 10 * time.Second})
		time.Sleep(100 * time.Millisecond)
		started := time.Now()
		c.targets["ledger-lj"].Freeze(8 * time.Second)
		a := <-answers
		if took := time.Since(started); a.status != http.StatusOK || took > time.Second+serviceTime {
			t.Errorf("read at a frozen owner: %v after %v", a, took)
		}
	})
}
