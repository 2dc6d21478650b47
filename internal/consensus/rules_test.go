package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"
)

var threeVoters = Membership{Voters: []string{"a/0", "b/0", "c/0"}}

// newNode creates the replica a/0 and advances its clock by one second, past the
// election timeout.
func newNode(t *testing.T, m Membership, hs HardState, entries ...Entry) *Node {
	t.Helper()
	n, err := New(Config{ID: "a/0"}, m, hs, nil, entries)
	if err != nil {
		t.Fatal(err)
	}
	n.advanceClock(0)
	n.advanceClock(time.Second)
	return n
}

// drain handles every Ready until none is left and returns the messages.
func drain(n *Node) []Message {
	var sent []Message
	for n.HasReady() {
		r := n.Ready()
		sent = append(sent, r.Messages...)
		n.Advance(n.now, r)
	}
	return sent
}

// newLeader creates the replica a/0 and makes it the leader of a new term. No
// follower has acknowledged its entries.
func newLeader(t *testing.T, m Membership, hs HardState, entries ...Entry) *Node {
	n := newNode(t, m, hs, entries...)
	n.Tick(n.now)
	for _, kind := range []MessageType{MsgPreVoteReply, MsgVoteReply} {
		n.Step(n.now, Message{Type: kind, From: "b/0", To: "a/0", Term: hs.Term + 1})
	}
	if n.Role() != Leader {
		t.Fatal("not elected")
	}
	return n
}

func command(index, term uint64) Entry {
	return Entry{Index: index, Term: term, Data: []byte("x")}
}

// Guards against votes that could elect a second leader: votes while a lease may
// be valid, right after a restart, for a candidate with a shorter log, for a
// second candidate in a term, before the vote is saved, or on behalf of another
// ID.
func TestVotes(t *testing.T) {
	hs := HardState{Term: 4, Vote: "c/0"}
	vote := func(term, index, logTerm uint64) Message {
		return Message{Type: MsgVote, From: "b/0", To: "a/0", Term: term, Index: index, LogTerm: logTerm}
	}
	leaderContact := func(n *Node) {
		n.Step(n.now, Message{Type: MsgAppend, From: "c/0", To: "a/0", Term: 4, Index: 2, LogTerm: 4})
	}
	cases := []struct {
		name   string
		before func(*Node)
		m      Message
		want   string
	}{
		{"longer log", nil, vote(5, 3, 4), "grant 5"},
		{"shorter log", nil, vote(5, 1, 4), "reject 5"},
		{"older term in the log", nil, vote(5, 9, 3), "reject 5"},
		{"voted for another", nil, vote(4, 9, 9), "reject 4"},
		{"earlier term", nil, vote(3, 9, 9), "reject 4"},
		{"other ID", nil, Message{Type: MsgVote, From: "b/0", To: "a/9", Term: 5, Index: 9, LogTerm: 9}, "no reply"},
		{"recent leader contact", leaderContact, vote(5, 9, 9), "no reply"},
		{"recent leader contact, higher term since", func(n *Node) {
			leaderContact(n)
			n.Step(n.now, Message{Type: MsgPreVoteReply, From: "b/0", To: "a/0", Term: 5, Reject: true})
		}, vote(5, 9, 9), "no reply"},
		{"leader contact ElectionMin ago", func(n *Node) { leaderContact(n); n.advanceClock(n.now + DefaultElectionMin) }, vote(5, 9, 9), "grant 5"},
		{"just restarted", func(n *Node) { n.lastLeaderContact = 0; n.now = 0; n.started = false; n.advanceClock(time.Second) }, vote(5, 9, 9), "no reply"},
	}
	for _, c := range cases {
		n := newNode(t, threeVoters, hs, command(1, 1), command(2, 4))
		if c.before != nil {
			c.before(n)
		}
		drain(n)
		n.Step(n.now, c.m)
		got, r := "no reply", n.Ready()
		for _, m := range r.Messages {
			got = fmt.Sprintf("%s %d", map[bool]string{true: "reject", false: "grant"}[m.Reject], m.Term)
			if !m.Reject && (r.HardState == nil || r.HardState.Vote != m.To || r.HardState.Term != m.Term) {
				t.Errorf("%s: granted without saving %+v", c.name, r.HardState)
			}
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against committing an entry of an earlier term, or one that the
// leader itself has not synced, by counting replicas: both can be lost. Guards
// also against a lease that is counted from the arrival of a reply, against
// settings that change the voters after the first term, and against a snapshot
// of entries that were not delivered.
func TestCommitRule(t *testing.T) {
	n := newLeader(t, threeVoters, HardState{Term: 2}, command(1, 1), command(2, 2))
	ack := func(index uint64) {
		n.Step(n.now, Message{Type: MsgAppendReply, From: "b/0", To: "a/0", Term: 3, Index: index, Stamp: n.now})
	}
	unsynced := n.Ready()
	ack(2)
	var refusal *MembershipError
	_, _, err := n.ProposeMembership(n.now, threeVoters.Without("c/0"))
	if n.CommitIndex() != 0 || !errors.As(err, &refusal) || refusal.Fault != TermNotReady {
		t.Fatalf("commit %d by an earlier term, change: %v", n.CommitIndex(), err)
	}
	ack(3)
	if n.CommitIndex() != 0 || n.LeaseValid(n.now) {
		t.Fatalf("commit %d before the leader synced", n.CommitIndex())
	}
	n.Advance(n.now, unsynced)
	if n.CommitIndex() != 3 || !n.LeaseValid(n.now) {
		t.Fatalf("commit %d after the leader synced", n.CommitIndex())
	}
	late := n.now + DefaultLeaderLease
	n.Step(late, Message{Type: MsgAppendReply, From: "b/0", To: "a/0", Term: 3, Index: 4, Stamp: n.now})
	if n.LeaseValid(late) {
		t.Fatal("a late reply extended the lease")
	}
	restarted, err := New(n.cfg, Membership{Voters: []string{"a/0"}}, HardState{Term: 3}, nil, n.log.entries)
	if err != nil || len(restarted.Membership().Voters) != 3 {
		t.Fatalf("settings replaced the logged membership: %v %v", restarted.Membership(), err)
	}
	if n.Compact(3, nil); n.snapshot != nil {
		t.Fatal("a snapshot covers entries that were not delivered")
	}
}

// Guards against entries that are taken as synced although they replaced the
// ones that were being saved, and against a membership that stays in force after
// its entry was replaced.
func TestOverwriteWhileSaving(t *testing.T) {
	n := newNode(t, threeVoters, HardState{Term: 1}, command(1, 1))
	data, _ := encodeMembership(Membership{Voters: threeVoters.Voters[:2]})
	change := Entry{Index: 2, Term: 1, Type: EntryMembership, Data: data}
	n.Step(n.now, Message{Type: MsgAppend, From: "b/0", To: "a/0", Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{change}})
	saving := n.Ready()
	n.Step(n.now, Message{Type: MsgAppend, From: "c/0", To: "a/0", Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{command(2, 2)}})
	n.Advance(n.now, saving)
	if r := n.Ready(); len(r.Entries) != 1 || r.Entries[0].Term != 2 || len(n.Membership().Voters) != 3 {
		t.Fatalf("entries to save %v, membership %v", r.Entries, n.Membership())
	}
}

// Guards against learners that campaign or whose votes are counted, against a
// removed replica that deposes the leader, and against a term below that of the
// last entry after a crash.
func TestNonVoters(t *testing.T) {
	withLearner := Membership{Voters: []string{"b/0"}, Learners: []string{"a/0"}}
	n := newNode(t, withLearner, HardState{Term: 1}, command(1, 3))
	if n.Tick(n.now); n.Role() != Follower || n.Term() != 3 {
		t.Fatalf("learner is %v in term %d", n.Role(), n.Term())
	}
	two := Membership{Voters: []string{"a/0", "b/0"}, Learners: []string{"c/0"}}
	n = newNode(t, two, HardState{})
	n.Tick(n.now)
	if n.Step(n.now, Message{Type: MsgPreVoteReply, From: "c/0", To: "a/0", Term: 1}); n.Role() != PreCandidate {
		t.Fatalf("a learner's vote made a/0 %v", n.Role())
	}
	n = newLeader(t, two, HardState{})
	n.Step(n.now, Message{Type: MsgAppendReply, From: "removed/0", To: "a/0", Term: 9, Reject: true})
	if n.Role() != Leader {
		t.Fatal("a removed replica deposed the leader")
	}
}

// Guards against unbounded traffic to an unresponsive follower, unbounded
// appends, and unbounded proposals without a quorum.
func TestBoundedAppends(t *testing.T) {
	n := newLeader(t, threeVoters, HardState{})
	n.Step(n.now, Message{Type: MsgAppendReply, From: "b/0", To: "a/0", Term: 1, Index: 1, Stamp: n.now})
	for range maxUncommittedEntries {
		_, _, _ = n.Propose(n.now, make([]byte, 1000))
	}
	if _, _, err := n.Propose(n.now, []byte("x")); err == nil {
		t.Fatal("proposals without a quorum are unbounded")
	}
	sent := map[string]int{}
	for range 10 {
		n.Tick(n.now + DefaultHeartbeatInterval)
		for _, m := range drain(n) {
			bytes := 0
			for _, e := range m.Entries {
				bytes += len(e.Data)
			}
			if sent[m.To] += bytes; bytes > DefaultMaxAppendBytes {
				t.Fatalf("an append of %d bytes", bytes)
			}
		}
	}
	limit := maxInflightAppends * DefaultMaxAppendBytes
	if b, c := sent["b/0"], sent["c/0"]; b > limit || b < limit/2 || c > DefaultMaxAppendBytes {
		t.Fatalf("%d bytes to an unresponsive follower, %d to one that never replied", b, c)
	}
}

// BenchmarkPropose measures the time from a proposal to its commit by three
// replicas, without disk or network.
func BenchmarkPropose(b *testing.B) {
	s := newSim(1, threeVoters.Voters...)
	leader := s.leaseHolder().node
	nodes := map[string]*Node{}
	for _, r := range s.replicas {
		nodes[r.id] = r.node
	}
	data := make([]byte, 128)
	for b.Loop() {
		if _, _, err := leader.Propose(s.now, data); err != nil {
			b.Fatal(err)
		}
		for queue := drain(leader); len(queue) > 0; queue = queue[1:] {
			to := nodes[queue[0].To]
			to.Step(s.now, queue[0])
			queue = append(queue, drain(to)...)
		}
	}
	if leader.CommitIndex() != leader.log.last() {
		b.Fatalf("commit %d of %d", leader.CommitIndex(), leader.log.last())
	}
}

// Guards against a message whose encoding declares more entries than it contains
// or nests too deeply, and so makes the decoder use unbounded memory.
func TestDecodeMessage(t *testing.T) {
	m := Message{Type: MsgAppend, From: "a/0", To: "b/0", Entries: []Entry{command(1, 1)}, Snapshot: &Snapshot{Membership: threeVoters}}
	data, err := EncodeMessage(m)
	if back, err2 := DecodeMessage(data); err != nil || err2 != nil || fmt.Sprint(back.Entries, *back.Snapshot) != fmt.Sprint(m.Entries, *m.Snapshot) {
		t.Fatalf("%+v became %+v: %v %v", m, back, err, err2)
	}
	deep := append([]byte("\x81\xa1x"), bytes.Repeat([]byte{0x91}, 1<<20)...)
	for _, bad := range [][]byte{nil, data[:len(data)-1], append(data, 0), []byte("\x81\xa1e\xdd\xff\xff\xff\xff"), deep} {
		if _, err := DecodeMessage(bad); err == nil {
			t.Errorf("accepted %.20x", bad)
		}
	}
}

// Guards against a leader that takes others for silent after it was suspended itself:
// their replies wait until after its first tick.
func TestSuspendedLeaderDoesNotCountItsPause(t *testing.T) {
	s := newSim(1, "a/0", "b/0", "c/0")
	leader := s.leaseHolder()
	s.run(time.Second)
	leader.node.Tick(s.localTime(leader) + 10*time.Second)
	for _, r := range leader.node.Status(s.localTime(leader) + 10*time.Second).Replicas {
		if r.SinceLastReply > 2*DefaultHeartbeatInterval {
			t.Errorf("%s counts as silent for %v", r.ID, r.SinceLastReply)
		}
	}
}

// Guards against a silent replica that a leader doesn't notice.
func TestSilentReplicaIsNoticed(t *testing.T) {
	s := newSim(1, "a/0", "b/0", "c/0")
	leader := s.leaseHolder()
	silent := s.replicas[0]
	if silent == leader {
		silent = s.replicas[1]
	}
	s.run(time.Second)
	s.crash(silent)
	s.run(time.Second)
	for _, r := range leader.node.Status(s.localTime(leader)).Replicas {
		if want := r.ID == silent.id; want != (r.SinceLastReply > 900*time.Millisecond) {
			t.Errorf("%s was silent for %v", r.ID, r.SinceLastReply)
		}
	}
}
