package consensus

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// runScenario runs a scripted simulation and compares its trace with the golden
// file.
func runScenario(t *testing.T, s *sim, script func(s *sim)) {
	t.Helper()
	script(s)
	if s.violation != "" {
		t.Fatalf("%s\n%s", s.violation, s.trace.String())
	}
	goldie.New(t).Assert(t, t.Name(), []byte(s.trace.String()))
}

// Guards against unavailability or loss of entries after the leader is lost.
func TestSessionLeaderKilled(t *testing.T) {
	runScenario(t, newSim(1, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(3)
		first := s.leaseHolder()
		s.crash(first)
		s.tracef("%s killed", first.id)
		s.propose(2)
		s.start(first)
		s.tracef("%s restarted", first.id)
		s.run(time.Second)
		if first.applied != uint64(len(s.committed)) {
			s.failf("%s applied %d of %d", first.id, first.applied, len(s.committed))
		}
		leader := s.leaseHolder()
		s.tracef("%+v", leader.node.Status(s.localTime(leader)))
	})
}

// Guards against a paused leader that takes its expired lease for valid when it
// resumes while there is another leader.
func TestSessionLeaderPaused(t *testing.T) {
	runScenario(t, newSim(2, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(1)
		first := s.leaseHolder()
		first.paused = true
		s.tracef("%s paused", first.id)
		s.run(time.Second)
		if first.node.LeaseValid(s.localTime(first)) {
			s.failf("%s holds a lease after its pause", first.id)
		}
		s.propose(1)
		first.paused = false
		s.tracef("%s resumed", first.id)
		s.propose(1)
	})
}

// replaceReplica replaces a lost replica by one with a new ID: it adds the new
// one as a learner, removes the lost one and promotes the learner.
func (s *sim) replaceReplica(lost, id string) {
	s.add(id)
	s.proposeChange("add learner", Membership.WithLearner, id)
	s.run(500 * time.Millisecond)
	s.proposeChange("remove", Membership.Without, lost)
	s.run(100 * time.Millisecond)
	s.proposeChange("promote", Membership.WithVoter, id)
	s.run(100 * time.Millisecond)
}

// Guards against unavailability when a second replica is lost right after the
// first one was replaced.
func TestSessionTwoLost(t *testing.T) {
	runScenario(t, newSim(3, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(3)
		s.crash(s.replica("a/0"))
		s.tracef("a/0 lost")
		s.replaceReplica("a/0", "a/1")
		s.crash(s.replica("b/0"))
		s.tracef("b/0 lost")
		s.propose(2)
	})
}

// Guards against a replica that votes with an empty log under the ID that it had
// before it lost its disk.
func TestSessionLostDisk(t *testing.T) {
	runScenario(t, newSim(4, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(2)
		s.crash(s.replica("b/0"))
		fresh := s.add("b/1")
		fresh.node.Step(s.localTime(fresh), Message{Type: MsgVote, From: "c/0", To: "b/0", Term: 99, Index: 99, LogTerm: 99})
		s.run(time.Second)
		if fresh.node.Term() != 0 || fresh.node.HasReady() {
			s.failf("b/1 answered a message to b/0")
		}
		s.proposeChange("promote without learning", Membership.WithVoter, "b/1")
		s.replaceReplica("b/0", "b/1")
		s.propose(1)
	})
}

// Guards against entries or votes that are sent although a crash while they
// were being saved lost them.
func TestSessionTornWrite(t *testing.T) {
	runScenario(t, newSim(5, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(2)
		for stage := range 4 {
			leader := s.leaseHolder()
			s.proposeMany(leader, 6)
			s.crashDuringSave(leader, stage)
			s.tracef("%s crashes in save stage %d", leader.id, stage)
			s.propose(1)
			s.start(leader)
			s.run(300 * time.Millisecond)
		}
	})
}

// Guards against commits by a minority, and against entries of the minority that
// remain after the partition heals.
func TestSessionMinorityCutOff(t *testing.T) {
	runScenario(t, newSim(6, "a/0", "b/0", "c/0", "d/0", "e/0"), func(s *sim) {
		s.propose(2)
		first := s.leaseHolder()
		s.partitioned[first.id] = true
		s.partitioned[s.initial.Without(first.id).Voters[0]] = true
		s.proposeMany(first, 1)
		s.tracef("%s cut off with one follower", first.id)
		s.run(time.Second)
		s.propose(2)
		clear(s.partitioned)
		s.tracef("partition healed")
		s.propose(1)
	})
}

// Guards against a replica that cannot catch up after its next entries were
// compacted, and against a restart that loses entries or state.
func TestSessionSnapshot(t *testing.T) {
	s := newSim(7, "a/0", "b/0", "c/0")
	s.compact = 100
	runScenario(t, s, func(s *sim) {
		s.propose(10)
		s.crash(s.replica("a/0"))
		s.tracef("a/0 stopped")
		s.propose(600)
		s.start(s.replica("a/0"))
		s.run(time.Second)
		for _, r := range s.replicas {
			s.crashDuringSave(r, 0)
			s.start(r)
		}
		s.tracef("all restarted")
		s.propose(5)
	})
}

// Guards against a learner that votes before it holds the log, and against
// more than one change at a time.
func TestSessionLearner(t *testing.T) {
	runScenario(t, newSim(8, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(20)
		s.partitioned["d/0"] = true
		s.add("d/0")
		s.proposeChange("add learner", Membership.WithLearner, "d/0")
		s.proposeChange("add learner at the same time", Membership.WithLearner, "e/0")
		s.run(time.Second)
		s.proposeChange("promote while unreachable", Membership.WithVoter, "d/0")
		clear(s.partitioned)
		s.run(200 * time.Millisecond)
		s.proposeChange("remove a/0 and promote", func(m Membership, id string) Membership { return m.Without("a/0").WithVoter(id) }, "d/0")
		s.proposeChange("promote", Membership.WithVoter, "d/0")
		s.propose(1)
	})
}

// Guards against a replica that deposes the leader when it returns after a long
// partition, or after its removal.
func TestSessionReturnAfterPartition(t *testing.T) {
	runScenario(t, newSim(9, "a/0", "b/0", "c/0", "d/0"), func(s *sim) {
		s.propose(1)
		followers := s.initial.Without(s.leaseHolder().id).Voters
		s.partitioned[followers[0]] = true
		s.run(10 * time.Minute)
		s.proposeChange("remove", Membership.Without, followers[1])
		s.run(10 * time.Second)
		clear(s.partitioned)
		s.tracef("%s reconnected, %s unaware of its removal", followers[0], followers[1])
		s.run(10 * time.Second)
		if len(s.leaders) != 1 {
			s.failf("leaders by term: %v", s.leaders)
		}
		s.propose(1)
	})
}

// Guards against a leader that stays leader after its own removal.
func TestSessionLeaderRemoved(t *testing.T) {
	runScenario(t, newSim(10, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(1)
		first := s.leaseHolder().id
		s.proposeChange("remove", Membership.Without, first)
		s.run(time.Second)
		s.propose(1)
	})
}

// Guards against a second lease when a follower that receives nothing from the
// leader requests votes from one that does, or that did before it restarted.
func TestSessionFollowerCutOffFromLeader(t *testing.T) {
	runScenario(t, newSim(11, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(1)
		first := s.leaseHolder()
		others := s.initial.Without(first.id).Voters
		blocked, connected := s.replica(others[0]), s.replica(others[1])
		s.blockedUntil[first.id+">"+blocked.id] = s.now + time.Minute
		s.tracef("%s receives nothing from %s", blocked.id, first.id)
		s.run(10 * time.Second)
		for blocked.node.electionDeadline > s.localTime(blocked)+TickInterval {
			s.step()
		}
		s.partitioned[first.id] = true
		s.crash(connected)
		s.start(connected)
		s.tracef("%s restarted, %s cut off", connected.id, first.id)
		s.run(time.Second)
		s.propose(1)
	})
}

// Guards against elections that take longer than the design allows: the longest
// election timeout and a tick, then the round trips of pre-vote, vote and commit
// at a one-way delay of 8 ms.
func TestElectionTime(t *testing.T) {
	const limit = DefaultElectionMax + TickInterval + 6*8*time.Millisecond + simStep
	for seed := range uint64(200) {
		s := newSim(seed, []string{"a/0", "b/0", "c/0", "d/0", "e/0"}[:3+seed%2*2]...)
		s.delay = 8 * time.Millisecond
		first := s.leaseHolder()
		s.run(time.Duration(100+s.rng.IntN(100)) * time.Millisecond)
		s.crash(first)
		lost := s.now
		if s.leaseHolder(); s.now-lost > limit || s.violation != "" {
			t.Fatalf("seed %d: no leader for %v, limit %v %s", seed, s.now-lost, limit, s.violation)
		}
	}
}
