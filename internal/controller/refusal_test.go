package controller

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
)

// Guards against a voter that is gone for good and keeps its vote although a successor
// stands by (review/7), and against the exchange of a voter that is suspended, slow or cut
// off for a moment: its address refuses nothing.
func TestEndedVoterGivesWayEarly(t *testing.T) {
	const now = time.Minute
	silentFor := func(silence time.Duration) consensus.ReplicaStatus {
		return consensus.ReplicaStatus{ID: "e/0", Voter: true, SinceLastReply: silence, Heard: true}
	}
	r := newRoster(2, 4*time.Second)
	if r.lost(now, silentFor(r.silentAfter-time.Millisecond)) {
		t.Error("a voter that refuses nothing is lost before the usual time")
	}
	r.refusals["e/0"] = now
	if !r.lost(now+time.Millisecond, silentFor(refusalSilence)) {
		t.Error("a voter that refuses connections isn't lost after a missed heartbeat")
	}
	if r.lost(now, silentFor(heartbeatInterval)) {
		t.Error("a voter is lost between two heartbeats")
	}
	if r.lost(now+time.Second, silentFor(refusalSilence)) {
		t.Error("a refusal counts although the voter replied since")
	}
	r.elected(now)
	if r.lost(now, silentFor(refusalSilence)) {
		t.Error("a refusal counts in a later term")
	}
}

// Guards against connections to silent voters that no learner could replace.
func TestOnlyReplaceableVotersAreChecked(t *testing.T) {
	m := five()
	v := viewOf(m, "a/0")
	silent := m.Voters[3]
	v.replicas[silent] = memberStatus{caughtUp: true, silence: refusalSilence}
	if got := v.silentVoters(); len(got) > 0 {
		t.Errorf("%v are checked without a learner", got)
	}
	v.current = m.WithLearner("f/0")
	if got := v.silentVoters(); len(got) > 0 {
		t.Errorf("%v are checked while the learner catches up", got)
	}
	v.replicas["f/0"] = memberStatus{caughtUp: true}
	if got := v.silentVoters(); !slices.Equal(got, []string{silent}) {
		t.Errorf("%v are checked, want %s", got, silent)
	}
	v.current = m.WithVoter("f/0")
	if got := v.silentVoters(); !slices.Equal(got, []string{silent}) {
		t.Errorf("%v are checked with a sixth voter, want %s", got, silent)
	}
}

// Guards against an address that only does not respond and counts as one that refuses.
func TestRefusedConnectionsAreRecognised(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if refusesConnections(l.Addr().String()) {
		t.Error("a process that accepts nothing counts as ended")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if !refusesConnections(l.Addr().String()) {
		t.Error("an address without a process doesn't refuse connections")
	}
}

// Guards against a voter that is started again and replies between the refusal and its
// handling, and then loses its vote at its next late reply: the refusal has to count from
// before the attempt.
func TestRefusalCountsFromItsAttempt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	clock := time.Minute
	now := func() time.Duration {
		clock += time.Second
		return clock
	}
	at, refused := refusalOf(now, l.Addr().String())
	if !refused || at != time.Minute+time.Second {
		t.Errorf("refused %t at %v, want the time of the attempt", refused, at)
	}
	r := newRoster(2, 4*time.Second)
	r.refusals["e/0"] = at
	// The reply arrived 200 ms after the attempt.
	status := consensus.ReplicaStatus{ID: "e/0", Voter: true, SinceLastReply: refusalSilence, Heard: true}
	if r.lost(at+200*time.Millisecond+refusalSilence, status) {
		t.Error("a refusal before the last reply counts")
	}
}

// Guards against a voter that ends together with the learner standing by, for example by a
// restart of their data centre: without a successor the early removal leaves four votes, and
// changes are refused until the voter is back as a learner.
func TestEndedVoterKeepsItsVoteWhileItsSuccessorIsSilent(t *testing.T) {
	m := five().WithLearner("f/0")
	v := viewOf(m, "a/0")
	v.replicas["e/0"] = memberStatus{lost: true, ended: true, silence: refusalSilence}
	v.replicas["f/0"] = memberStatus{caughtUp: true, silence: refusalSilence}
	if next, reason := nextMembership(v); reason != "" {
		t.Errorf("got %+v: %s", next, reason)
	}
	if got := v.silentVoters(); !slices.Equal(got, []string{"e/0"}) {
		t.Errorf("%v are checked again, want e/0: the successor may reply at any time", got)
	}
	v.replicas["f/0"] = memberStatus{caughtUp: true, silence: heartbeatInterval}
	if next, _ := nextMembership(v); next.IsVoter("e/0") {
		t.Errorf("got %+v, want the ended voter removed once its successor replies", next)
	}
	v.replicas["e/0"] = memberStatus{lost: true, silence: time.Second}
	v.replicas["f/0"] = memberStatus{caughtUp: true, silence: refusalSilence}
	if next, _ := nextMembership(v); next.IsVoter("e/0") {
		t.Errorf("got %+v, want a voter removed after the usual time", next)
	}
	m = m.WithVoter("f/0")
	v = viewOf(m, "a/0")
	v.replicas["e/0"] = memberStatus{lost: true, ended: true, silence: refusalSilence}
	if next, _ := nextMembership(v); next.IsVoter("e/0") {
		t.Errorf("got %+v, want the ended one of six voters removed", next)
	}
}

// Guards against the loss of the log by two losses half a second after the removal of a VM
// whose successor stood by. Without the checks this seed loses it.
func TestVotesSurviveARemovalWithoutNotice(t *testing.T) {
	if violation, trace := runMembership(t, 738); violation != "" {
		t.Errorf("%s\n%s", violation, trace)
	}
}

// Guards against a vote that goes without a successor when a voter and the learner standing
// by end together and are started again: changes would be refused meanwhile.
func TestVoterAndSuccessorMayEndTogether(t *testing.T) {
	for seed := range uint64(20) {
		s := newMembershipSim(t, seed)
		s.add(s.vms[0])
		s.run(2 * simCatchUp)
		leader := s.leader()
		if leader == nil || len(leader.node.Membership().Voters) != 2*simTolerated+1 {
			t.Fatalf("seed %d: no leader with all voters\n%s", seed, s.trace.String())
		}
		var ended []*simVM
		for _, vm := range s.vms {
			voter := leader.node.Membership().IsVoter(vm.replicaID)
			if vm != leader && (!voter || len(ended) == 0) {
				ended = append(ended, vm)
			}
		}
		for _, vm := range ended {
			s.kill(vm, false)
		}
		for range 20 {
			s.run(20 * time.Millisecond)
			if got := len(leader.node.Membership().Voters); got < 2*simTolerated+1 {
				t.Fatalf("seed %d: %d voters\n%s", seed, got, s.trace.String())
			}
		}
		for _, vm := range ended {
			s.start(vm)
		}
		s.run(time.Second)
		if got := len(leader.node.CommittedMembership().Voters); got != 2*simTolerated+1 {
			t.Errorf("seed %d: %d voters afterwards\n%s", seed, got, s.trace.String())
		}
	}
}

// Guards against the loss of control when a successor ends right after it took the vote of an
// ended voter, and another voter loses its disk: two losses beside the voter that came back.
func TestSuccessorMayEndAfterTheExchange(t *testing.T) {
	for seed := range uint64(20) {
		s := newMembershipSim(t, seed)
		successor := s.add(s.vms[0])
		s.run(2 * simCatchUp)
		leader := s.leader()
		voters := slices.DeleteFunc(slices.Clone(s.vms), func(vm *simVM) bool { return vm == leader || vm == successor })
		s.kill(voters[0], false)
		s.run(600 * time.Millisecond)
		if m := leader.node.CommittedMembership(); !m.IsVoter(successor.replicaID) || len(m.Voters) != 2*simTolerated+1 {
			t.Fatalf("seed %d: the successor has no vote\n%s", seed, s.trace.String())
		}
		s.start(voters[0])
		s.run(simCatchUp)
		s.kill(successor, false)
		s.kill(voters[1], true)
		s.start(voters[1])
		s.run(10 * time.Second)
		acked := len(s.acked)
		s.run(2 * time.Second)
		if leader := s.leader(); leader == nil || len(s.acked) == acked {
			t.Errorf("seed %d: no change is acknowledged any more\n%s", seed, s.trace.String())
			continue
		}
		for _, command := range s.acked[:acked] {
			if !s.leader().acked[command] {
				t.Errorf("seed %d: the acknowledged %s is missing", seed, command)
			}
		}
	}
}
