package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
)

// settle applies membership changes until there is nothing left to change. It
// returns the final membership and the lowest number of voters on the way. lost are
// unresponsive replicas; other learners catch up at once.
func settle(t *testing.T, m consensus.Membership, wanted int, candidates, lost []string) (consensus.Membership, int) {
	t.Helper()
	fewest := len(m.Voters)
	for range 20 {
		v := memberView{current: m, self: m.Voters[0], wanted: wanted, candidates: candidates}
		for _, id := range m.Members() {
			status := consensus.ReplicaStatus{ID: id, Voter: m.IsVoter(id), CaughtUp: true}
			if slices.Contains(lost, id) {
				status.SinceLastReply, status.CaughtUp = time.Minute, false
			}
			v.replicas = append(v.replicas, status)
		}
		next, reason := nextMembership(v)
		if reason == "" {
			return m, fewest
		}
		m = next
		fewest = min(fewest, len(m.Voters))
	}
	t.Fatal("the membership does not settle")
	return m, fewest
}

func five() consensus.Membership {
	return consensus.Membership{Voters: []string{"a/0", "b/0", "c/0", "d/0", "e/0"}}
}

// Guards against entries that are committed on two disks only while two lost
// replicas are replaced: at most one vote may be missing at a time.
func TestLostDisksAreReplacedOneAtATime(t *testing.T) {
	m, fewest := settle(t, five(), 5, []string{"d/1", "e/1"}, []string{"d/0", "e/0"})
	if fewest < 4 {
		t.Errorf("the number of voters fell to %d, want 4 or more", fewest)
	}
	for _, id := range []string{"a/0", "b/0", "c/0", "d/1", "e/1"} {
		if !m.IsVoter(id) {
			t.Errorf("%s is not a voter: %+v", id, m)
		}
	}
}

// Guards against a VM that is gone for good and stays a voter.
func TestLostVoterIsReplaced(t *testing.T) {
	m, _ := settle(t, five(), 5, []string{"f/1"}, []string{"e/0"})
	if m.IsVoter("e/0") || !m.IsVoter("f/1") || len(m.Voters) != 5 {
		t.Errorf("got %+v, want f/1 in place of e/0", m)
	}
}

// Guards against candidates that replace working voters.
func TestCandidatesDoNotReplaceWorkingVoters(t *testing.T) {
	m, _ := settle(t, five(), 5, []string{"f/1", "g/1", "h/1"}, nil)
	if len(m.Voters) != 5 || m.IsVoter("f/1") || len(m.Learners) > maxLearners {
		t.Errorf("got %+v, want the five voters and at most %d learners", m, maxLearners)
	}
}

// Guards against a log that starts with three voters and never gets more.
func TestInitialVotersGrowToTheWantedNumber(t *testing.T) {
	initial := consensus.Membership{Voters: []string{"a/0", "b/0", "c/0"}}
	if m, _ := settle(t, initial, 5, []string{"d/1", "e/1"}, nil); len(m.Voters) != 5 {
		t.Errorf("got %+v, want five voters", m)
	}
}

// Guards against a VM that keeps forwarding all calls to a former leader because its
// storage failed or its replica is not a member yet.
func TestVMWithoutAReplicaFindsTheNextLeader(t *testing.T) {
	v := startVMs(t)
	leader, failed := v.leader()
	var former *Controller
	for _, c := range v.all {
		if c != leader && c != failed {
			former = c
		}
	}
	follow(t, failed, former.cfg.Addr)
	v.await("the VM follows the leader", 2*helloInterval, func() bool { return failed.Leader() == leader.cfg.Addr })
	if failure := failed.Change(context.Background(), serviceChange(2)); failure != nil {
		t.Error(failure)
	}
}

// Guards against a wait for missing voters that starts again with each new leader.
// Together, the waits would exceed the time for which operators are told to wait.
func TestNextLeaderDoesNotRestartWaitForVoters(t *testing.T) {
	// There are only three voters, although the tolerated loss of two requires five.
	v := startVMsFor(t, 2)
	leader, _ := v.leader()
	leader.Close()
	v.all = slices.DeleteFunc(v.all, func(c *Controller) bool { return c == leader })
	next, _ := v.leader()
	start := time.Now()
	v.await("a change is accepted", 2*voterWaitTimeout, func() bool {
		return next.Change(context.Background(), serviceChange(2)) == nil
	})
	if took := time.Since(start); took > voterWaitTimeout/2 {
		t.Errorf("the next leader accepted a change after %v", took)
	}
}

// Guards against changes that are refused for longer than it takes to make the new
// replica of a VM that lost its disk a voter.
func TestWipedReplicaIsReplacedQuickly(t *testing.T) {
	v := startVMs(t)
	_, wiped := v.leader()
	wiped.Close()
	cfg := wiped.cfg
	cfg.DataDir, cfg.Bootstrap, cfg.Registry = t.TempDir(), false, nil
	again, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(again.Close)
	var removed, added time.Time
	v.await("the new replica is a voter", 10*time.Second, func() bool {
		removed, added = v.proposed("identity replaced"), v.proposed("replica caught up")
		return !removed.IsZero() && added.After(removed)
	})
	if took := added.Sub(removed); took > membershipInterval/2 {
		t.Errorf("a vote was missing for %v", took)
	}
}

// proposed returns when a membership change was last proposed for the given reason.
func (v *vms) proposed(reason string) (at time.Time) {
	v.logs.mu.Lock()
	defer v.logs.mu.Unlock()
	for _, e := range v.logs.to.Entries {
		if e.Message == "membership change proposed" && e.Fields["reason"] == reason {
			at = e.Timestamp
		}
	}
	return at
}
