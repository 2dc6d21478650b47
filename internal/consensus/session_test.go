package consensus

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// play runs a session and compares its trace with the golden file.
func play(t *testing.T, s *sim, script func(s *sim)) {
	t.Helper()
	script(s)
	if s.fault != "" {
		t.Fatalf("%s\n%s", s.fault, s.trace.String())
	}
	goldie.New(t).Assert(t, t.Name(), []byte(s.trace.String()))
}

// Guards against unavailability or loss of entries after the leader is lost.
func TestSessionLeaderKilled(t *testing.T) {
	play(t, newSim(1, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(3)
		first := s.holder()
		s.crash(first)
		s.note("%s killed", first.id)
		s.propose(2)
		s.start(first)
		s.note("%s restarted", first.id)
		s.run(time.Second)
		if first.applied != uint64(len(s.history)) {
			s.failf("%s applied %d of %d", first.id, first.applied, len(s.history))
		}
		leader := s.holder()
		s.note("%+v", leader.node.Status(s.local(leader)))
	})
}

// Guards against a paused leader that answers from its expired lease when it
// resumes while another leader serves.
func TestSessionLeaderPaused(t *testing.T) {
	play(t, newSim(2, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(1)
		first := s.holder()
		first.paused = true
		s.note("%s paused", first.id)
		s.run(time.Second)
		if first.node.LeaseValid(s.local(first)) {
			s.failf("%s holds a lease after its pause", first.id)
		}
		s.propose(1)
		first.paused = false
		s.note("%s resumed", first.id)
		s.propose(1)
	})
}

// replace brings in a new identity for a lost one and waits for its promotion.
func (s *sim) replace(lost, id string) {
	s.add(id)
	s.change("add learner", Membership.WithLearner, id)
	s.run(500 * time.Millisecond)
	s.change("remove", Membership.Without, lost)
	s.run(100 * time.Millisecond)
	s.change("promote", Membership.WithVoter, id)
	s.run(100 * time.Millisecond)
}

// Guards against a stop when a second replica is lost right after the first
// one was replaced.
func TestSessionTwoLost(t *testing.T) {
	play(t, newSim(3, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(3)
		s.crash(s.get("a/0"))
		s.note("a/0 lost")
		s.replace("a/0", "a/1")
		s.crash(s.get("b/0"))
		s.note("b/0 lost")
		s.propose(2)
	})
}

// Guards against a replica that votes from an empty log under the name that
// it had before it lost its disk.
func TestSessionLostDisk(t *testing.T) {
	play(t, newSim(4, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(2)
		s.crash(s.get("b/0"))
		fresh := s.add("b/1")
		fresh.node.Step(s.local(fresh), Message{Type: MsgVote, From: "c/0", To: "b/0", Term: 99, Index: 99, LogTerm: 99})
		s.run(time.Second)
		if fresh.node.Term() != 0 || fresh.node.HasReady() {
			s.failf("b/1 answered a message to b/0")
		}
		s.change("promote without learning", Membership.WithVoter, "b/1")
		s.replace("b/0", "b/1")
		s.propose(1)
	})
}

// Guards against entries or votes that were sent although a crash in the
// middle of saving them lost them.
func TestSessionTornWrite(t *testing.T) {
	play(t, newSim(5, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(2)
		for stage := range 4 {
			leader := s.holder()
			s.proposeMany(leader, 6)
			s.crashIn(leader, stage)
			s.note("%s crashes in save stage %d", leader.id, stage)
			s.propose(1)
			s.start(leader)
			s.run(300 * time.Millisecond)
		}
	})
}

// Guards against service by a minority, and against entries of the minority
// that survive the merge.
func TestSessionMinorityCutOff(t *testing.T) {
	play(t, newSim(6, "a/0", "b/0", "c/0", "d/0", "e/0"), func(s *sim) {
		s.propose(2)
		first := s.holder()
		s.cut[first.id] = true
		s.cut[s.initial.Without(first.id).Voters[0]] = true
		s.proposeMany(first, 1)
		s.note("%s cut off with one follower", first.id)
		s.run(time.Second)
		s.propose(2)
		clear(s.cut)
		s.note("healed")
		s.propose(1)
	})
}

// Guards against a replica that cannot return after its next entries were
// compacted, and against a restart that loses entries or state.
func TestSessionSnapshot(t *testing.T) {
	s := newSim(7, "a/0", "b/0", "c/0")
	s.compact = 100
	play(t, s, func(s *sim) {
		s.propose(10)
		s.crash(s.get("a/0"))
		s.note("a/0 stopped")
		s.propose(600)
		s.start(s.get("a/0"))
		s.run(time.Second)
		for _, r := range s.replicas {
			s.crashIn(r, 0)
			s.start(r)
		}
		s.note("all restarted")
		s.propose(5)
	})
}

// Guards against a learner that votes before it holds the log, and against
// more than one change at a time.
func TestSessionLearner(t *testing.T) {
	play(t, newSim(8, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(20)
		s.cut["d/0"] = true
		s.add("d/0")
		s.change("add learner", Membership.WithLearner, "d/0")
		s.change("add learner at the same time", Membership.WithLearner, "e/0")
		s.run(time.Second)
		s.change("promote while unreachable", Membership.WithVoter, "d/0")
		clear(s.cut)
		s.run(200 * time.Millisecond)
		s.change("remove a/0 and promote", func(m Membership, id string) Membership { return m.Without("a/0").WithVoter(id) }, "d/0")
		s.change("promote", Membership.WithVoter, "d/0")
		s.propose(1)
	})
}

// Guards against a replica that was silent for long, or removed, and deposes
// the leader when it returns.
func TestSessionSilentReturn(t *testing.T) {
	play(t, newSim(9, "a/0", "b/0", "c/0", "d/0"), func(s *sim) {
		s.propose(1)
		silent := s.initial.Without(s.holder().id).Voters
		s.cut[silent[0]] = true
		s.run(10 * time.Minute)
		s.change("remove", Membership.Without, silent[1])
		s.run(10 * time.Second)
		clear(s.cut)
		s.note("%s returns, %s goes on without being told", silent[0], silent[1])
		s.run(10 * time.Second)
		if len(s.leaders) != 1 {
			s.failf("leaders by term: %v", s.leaders)
		}
		s.propose(1)
	})
}

// Guards against a leader that stays after its own removal.
func TestSessionLeaderRemoved(t *testing.T) {
	play(t, newSim(10, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(1)
		first := s.holder().id
		s.change("remove", Membership.Without, first)
		s.run(time.Second)
		s.propose(1)
	})
}

// Guards against a second lease when a follower that hears nothing from the
// leader seeks votes from one that does, or that did before it restarted.
func TestSessionDeafFollower(t *testing.T) {
	play(t, newSim(11, "a/0", "b/0", "c/0"), func(s *sim) {
		s.propose(1)
		first := s.holder()
		others := s.initial.Without(first.id).Voters
		deaf, hearing := s.get(others[0]), s.get(others[1])
		s.deaf[first.id+">"+deaf.id] = s.now + time.Minute
		s.note("%s hears nothing from %s", deaf.id, first.id)
		s.run(10 * time.Second)
		for deaf.node.electionDeadline > s.local(deaf)+TickInterval {
			s.step()
		}
		s.cut[first.id] = true
		s.crash(hearing)
		s.start(hearing)
		s.note("%s restarted, %s cut off", hearing.id, first.id)
		s.run(time.Second)
		s.propose(1)
	})
}

// Guards against elections that take longer than the sum in the design: the
// longest timeout and a tick, then pre-vote, vote and commit at 8 ms one way.
func TestElectionTime(t *testing.T) {
	const limit = DefaultElectionMax + TickInterval + 6*8*time.Millisecond + simStep
	for seed := range uint64(200) {
		s := newSim(seed, []string{"a/0", "b/0", "c/0", "d/0", "e/0"}[:3+seed%2*2]...)
		s.delay = 8 * time.Millisecond
		first := s.holder()
		s.run(time.Duration(100+s.rng.IntN(100)) * time.Millisecond)
		s.crash(first)
		lost := s.now
		if s.holder(); s.now-lost > limit || s.fault != "" {
			t.Fatalf("seed %d: no leader for %v, limit %v %s", seed, s.now-lost, limit, s.fault)
		}
	}
}
