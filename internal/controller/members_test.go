package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// settle applies membership changes until there is nothing left to change. It
// returns the final membership and the lowest number of voters on the way. lost are
// unresponsive replicas; other learners catch up at once.
func settle(t *testing.T, m consensus.Membership, wanted int, candidates, lost []string) (consensus.Membership, int) {
	t.Helper()
	fewest := len(m.Voters)
	for range 20 {
		v := memberView{current: m, self: m.Voters[0], wanted: wanted, candidates: candidates, replicas: make(map[string]memberStatus)}
		for _, id := range m.Members() {
			gone := slices.Contains(lost, id)
			v.replicas[id] = memberStatus{caughtUp: !gone, lost: gone}
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
	m, _ := settle(t, five(), 5, []string{"f/1", "g/1", "h/1", "i/1", "j/1", "k/1", "l/1"}, nil)
	if !slices.Equal(m.Voters, five().Voters) || len(m.Learners) > 5 {
		t.Errorf("got %+v, want the five voters and at most five learners", m)
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

// viewOf returns the view of a leader on a membership in which all replicas reply and
// all learners have caught up.
func viewOf(m consensus.Membership, self string) memberView {
	v := memberView{current: m, self: self, wanted: 5, replicas: make(map[string]memberStatus), settled: true}
	for _, id := range m.Members() {
		v.replicas[id] = memberStatus{caughtUp: true}
	}
	return v
}

func (v memberView) stop(ids ...string) memberView {
	for _, id := range ids {
		status := v.replicas[id]
		status.stopping = true
		v.replicas[id] = status
	}
	return v
}

// Guards against the loss of control when voters stop for good: a learner gets the
// vote before the stopping voter loses it, and the leader gives up its own vote last.
func TestStoppingVotersAreReplacedFirst(t *testing.T) {
	m := five()
	m.Learners = []string{"f/1", "g/1"}
	var reasons []string
	for range 5 {
		v := viewOf(m, "a/0").stop("a/0", "b/0")
		next, reason := nextMembership(v)
		if reason == "" {
			break
		}
		if len(next.Voters) < 5 {
			t.Errorf("only %d voters after %q", len(next.Voters), reason)
		}
		if !next.IsVoter("a/0") && next.IsVoter("b/0") {
			t.Error("the leader gave up its vote before the other")
		}
		m, reasons = next, append(reasons, reason)
	}
	if m.IsVoter("a/0") || m.IsVoter("b/0") || !m.IsVoter("f/1") || !m.IsVoter("g/1") {
		t.Errorf("got %+v by %q, want f/1 and g/1 in place of a/0 and b/0", m, reasons)
	}
}

// Guards against a stopping voter without a successor that loses its vote: its process
// may be restarted with its disk.
func TestStoppingVoterWithoutASuccessorKeepsItsVote(t *testing.T) {
	m := five()
	m.Learners = []string{"f/1"}
	v := viewOf(m, "a/0").stop("b/0", "f/1")
	if next, reason := nextMembership(v); reason != "" {
		t.Errorf("got %+v: %s", next, reason)
	}
}

// Guards against an exchange that is interrupted after the successor got its vote: an
// even number of voters tolerates no more losses but needs a larger quorum.
func TestVotersBeyondTheWantedNumberAreRemoved(t *testing.T) {
	m := five()
	m.Voters = append(m.Voters, "f/1")
	v := viewOf(m, "f/1")
	if next, _ := nextMembership(v); len(next.Voters) != 5 || !next.IsVoter("f/1") {
		t.Errorf("got %+v, want five voters with the leader", next)
	}
	v.settled = false
	if _, reason := nextMembership(v); reason != "" {
		t.Errorf("a new leader removed a voter before it knew which reply: %s", reason)
	}
	v.replicas["c/0"] = memberStatus{lost: true}
	if next, _ := nextMembership(v); next.IsVoter("c/0") {
		t.Errorf("got %+v, want the lost voter removed", next)
	}
}

// Guards against a learner that has caught up and keeps all others from being added.
func TestWaitingLearnerDoesNotHoldBackOthers(t *testing.T) {
	m := five()
	m.Learners = []string{"f/1"}
	v := viewOf(m, "a/0")
	v.candidates = []string{"g/1"}
	if next, _ := nextMembership(v); !next.IsLearner("g/1") {
		t.Errorf("got %+v, want g/1 as a learner", next)
	}
}

// Guards against a successor that puts a third vote into one region while another
// learner would keep the votes spread.
func TestSuccessorKeepsVotesSpread(t *testing.T) {
	m := five()
	m.Learners = []string{"f/1", "g/1", "h/1"}
	v := viewOf(m, "a/0").stop("e/0")
	v.places = map[string]place{
		"a": {"r0", "x"}, "b": {"r0", "y"}, "c": {"r1", "x"}, "d": {"r1", "y"}, "e": {"r2", "x"},
		"f": {"r0", "x"}, "g": {"r2", "y"}, "h": {"r1", "x"},
	}
	if next, _ := nextMembership(v); !next.IsVoter("g/1") {
		t.Errorf("got %+v, want the vote of e/0 to stay in its region", next)
	}
}

// Guards against a lost voter that keeps its vote for longer with each change of the
// leader: what the last leader reported counts until the voter replies.
func TestNextLeaderKnowsSilentVoters(t *testing.T) {
	r := newRoster(2, 4*time.Second)
	r.reported(time.Second, map[string]time.Duration{"e/0": 800 * time.Millisecond})
	r.elected(2 * time.Second)
	lost := func(silence time.Duration, heard bool) bool {
		return r.lost(0, consensus.ReplicaStatus{ID: "e/0", Voter: true, SinceLastReply: silence, Heard: heard})
	}
	if !lost(minSilence, false) {
		t.Error("the reported silence doesn't count")
	}
	if lost(minSilence, true) {
		t.Error("the reported silence counts although the voter replied since")
	}
	if lost(minSilence/2, false) {
		t.Error("a new leader didn't give the voter time to reply")
	}
	r.elected(10 * time.Second)
	if lost(minSilence, false) {
		t.Error("an old report counts")
	}
}

// Guards against a successor that gets its vote later than the deployment allows: the
// time after which a voter counts as lost follows from its catch-up time.
func TestSilenceFollowsFromTheCatchUpTime(t *testing.T) {
	for catchUp, want := range map[time.Duration]time.Duration{
		4 * time.Second: time.Second, 6 * time.Second: 1500 * time.Millisecond, time.Second: minSilence,
	} {
		if got := newRoster(2, catchUp).silentAfter; got != want {
			t.Errorf("with a catch-up time of %v a voter counts as lost after %v, want %v", catchUp, got, want)
		}
	}
}

// Guards against a control VM that stops for good and keeps its vote although a
// successor stands by, also if it leads.
func TestStoppedVMGivesItsVoteToASuccessor(t *testing.T) {
	for _, stopsLeader := range []bool{false, true} {
		v := startVMs(t)
		cfg := v.all[0].cfg
		cfg.Addr, cfg.DataDir, cfg.Bootstrap, cfg.Registry = freeAddrs(t, 1)[0], t.TempDir(), false, nil
		successor, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(successor.Close)
		leader, stopped := v.leader()
		if stopsLeader {
			leader, stopped = stopped, leader
		}
		members := func(c *Controller) consensus.Membership {
			m, failure := call(context.Background(), c.loop, urgent, func(results chan<- consensus.Membership) {
				results <- c.loop.replica.CommittedMembership()
			})
			if failure != nil {
				t.Fatal(failure)
			}
			return m
		}
		v.await("the successor has caught up", 10*time.Second, func() bool { return members(successor).IsLearner(successor.loop.replicaID) })
		time.Sleep(time.Second)
		stopped.Resign(context.Background())
		if m := members(leader); len(m.Voters) < 3 || !m.IsVoter(successor.loop.replicaID) {
			t.Errorf("leader stops %t: got %+v, want a vote of %s", stopsLeader, m, successor.loop.replicaID)
		}
		stopped.Close()
		v.await("the stopped VM has no vote", 3*time.Second, func() bool {
			m := members(leader)
			return len(m.Voters) == 3 && !m.IsVoter(stopped.loop.replicaID)
		})
	}
}

// Guards against entry VMs that are recorded as gone by a VM that leads again: it saw
// them last in its earlier term.
func TestVMThatLeadsAgainWaitsForEntries(t *testing.T) {
	r := newRoster(2, 4*time.Second)
	entry := fleet.Entry{Addr: "e:1"}
	known := map[string]fleet.Entry{entry.Addr: entry}
	r.elected(0)
	r.entryChanges(0, known, []fleet.Entry{entry})
	r.elected(time.Minute)
	if changed := r.entryChanges(time.Minute, known, nil); len(changed) > 0 {
		t.Errorf("a VM that leads again recorded %+v", changed)
	}
	if changed := r.entryChanges(time.Minute+entryGoneAfter+1, known, nil); len(changed) != 1 || !changed[0].Gone {
		t.Errorf("got %+v, want the entry recorded as gone", changed)
	}
}
