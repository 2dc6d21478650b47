package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// simStep is the resolution of virtual time.
const simStep = 2 * time.Millisecond

// simReplica is a replica process with its disk. node is nil while the process
// is stopped.
type simReplica struct {
	id         string
	node       *Node
	diskLost   bool // the replica never starts again under this ID
	paused     bool
	faultEnd   time.Duration // end of the fault, in random runs
	started    time.Duration
	drift      time.Duration // gain of its clock per second
	inbox      []Message
	hs         HardState
	snap       *Snapshot
	entries    []Entry
	ready      *Ready
	finishAt   time.Duration
	applied    uint64
	state      uint64 // hash over all applied entries
	commit     uint64
	tracedRole string // role and lease as last traced
}

type simMessage struct {
	at  time.Duration
	msg Message
}

// sim simulates a network of replicas in virtual time. It checks the invariants
// after every step and keeps the first violation.
type sim struct {
	now          time.Duration
	rng          *rand.Rand
	initial      Membership
	replicas     []*simReplica
	inTransit    []simMessage
	partitioned  map[string]bool          // replicas cut off from the others
	blockedUntil map[string]time.Duration // time until which a "from>to" link loses all messages
	delay        time.Duration            // one-way network delay
	unreliable   bool                     // lose, duplicate, delay and reorder messages; slow disks; clock drift
	compact      uint64                   // entries between snapshots, 0 for none
	leaders      map[uint64]string
	committed    []Entry // every entry delivered anywhere, from index 1
	states       []uint64
	violation    string
	trace        strings.Builder
}

func newSim(seed uint64, ids ...string) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), delay: 3 * time.Millisecond, initial: Membership{Voters: ids},
		partitioned: map[string]bool{}, blockedUntil: map[string]time.Duration{}, leaders: map[uint64]string{}, states: []uint64{0},
	}
	for _, id := range ids {
		s.add(id)
	}
	return s
}

func (s *sim) add(id string) *simReplica {
	r := &simReplica{id: id}
	s.replicas = append(s.replicas, r)
	s.start(r)
	return r
}

func (s *sim) replica(id string) *simReplica {
	for _, r := range s.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (s *sim) failf(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) tracef(format string, args ...any) {
	fmt.Fprintf(&s.trace, "%6dms %s\n", s.now.Milliseconds(), fmt.Sprintf(format, args...))
}

// start starts the process of a replica from the content of its disk. Its clock
// starts at zero.
func (s *sim) start(r *simReplica) {
	initial := Membership{}
	if slices.Contains(s.initial.Voters, r.id) {
		initial = s.initial
	}
	config := Config{ID: r.id, Seed: s.rng.Uint64()}
	if s.unreliable {
		config.MaxAppendBytes, config.TrailingEntries = 50, 5
	}
	node, err := New(config, initial, r.hs, r.snap, slices.Clone(r.entries))
	if err != nil {
		s.failf("%s does not start: %v", r.id, err)
		return
	}
	*r = simReplica{id: r.id, node: node, started: s.now, hs: r.hs, snap: r.snap, entries: r.entries, tracedRole: r.tracedRole}
	if s.unreliable {
		r.drift = time.Duration(s.rng.IntN(200)-100) * time.Millisecond
	}
	if r.snap != nil {
		r.applied, r.state = r.snap.Index, binary.LittleEndian.Uint64(r.snap.Data)
	}
}

func (s *sim) crash(r *simReplica) { r.node, r.ready, r.inbox, r.paused = nil, nil, nil, false }

// localTime returns the time of a replica's own clock.
func (s *sim) localTime(r *simReplica) time.Duration {
	elapsed := s.now - r.started
	return elapsed + elapsed/time.Millisecond*r.drift/1000
}

func (s *sim) apply(r *simReplica, e Entry) {
	if e.Index != r.applied+1 {
		s.failf("%s applies %d after %d", r.id, e.Index, r.applied)
		return
	}
	h := fnv.New64a()
	fmt.Fprint(h, r.state, e)
	r.applied, r.state = e.Index, h.Sum64()
	if int(e.Index) == len(s.states) {
		s.committed = append(s.committed, e)
		s.states = append(s.states, r.state)
	}
	if s.states[e.Index] != r.state {
		s.failf("%s applies a different entry at %d", r.id, e.Index)
	}
}

func (s *sim) send(m Message) {
	copies, delay := 1, s.delay
	if s.unreliable {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[s.rng.IntN(8)]
	}
	for range copies {
		if s.unreliable {
			delay = time.Duration(1+s.rng.IntN(20)) * time.Millisecond
			if s.rng.IntN(50) == 0 {
				delay += time.Duration(s.rng.IntN(1000)) * time.Millisecond
			}
		}
		s.inTransit = append(s.inTransit, simMessage{s.now + delay, m})
	}
}

// deliver moves the messages that are due to the inboxes. A paused replica
// processes them when it resumes.
func (s *sim) deliver() {
	s.inTransit = slices.DeleteFunc(s.inTransit, func(m simMessage) bool {
		from, to := m.msg.From, s.replica(m.msg.To)
		blocked := to == nil || s.partitioned[from] != s.partitioned[to.id] || s.now < s.blockedUntil[from+">"+to.id]
		if m.at <= s.now && !blocked && to.node != nil {
			to.inbox = append(to.inbox, m.msg)
		}
		return m.at <= s.now
	})
}

func (s *sim) step() {
	s.now += simStep
	s.deliver()
	for _, r := range s.replicas {
		if r.node == nil || r.paused {
			continue
		}
		if s.now%TickInterval == 0 {
			r.node.Tick(s.localTime(r))
		}
		for _, m := range r.inbox {
			r.node.Step(s.localTime(r), m)
		}
		r.inbox = nil
		s.handleReady(r)
	}
	s.check()
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.violation == ""; {
		s.step()
	}
}

// check verifies the invariants that must hold after every step.
func (s *sim) check() {
	holder := ""
	for _, r := range s.replicas {
		if r.node == nil {
			continue
		}
		if r.node.Role() == Leader {
			if other, ok := s.leaders[r.node.Term()]; ok && other != r.id {
				s.failf("term %d has leaders %s and %s", r.node.Term(), other, r.id)
			}
			s.leaders[r.node.Term()] = r.id
		}
		if r.node.CommitIndex() < r.commit {
			s.failf("commit of %s goes back from %d to %d", r.id, r.commit, r.node.CommitIndex())
		}
		r.commit = r.node.CommitIndex()
		if r.node.LeaseValid(s.localTime(r)) {
			if holder != "" {
				s.failf("%s and %s hold a lease", holder, r.id)
			}
			holder = r.id
			if r.commit < uint64(len(s.committed)) {
				s.failf("%s holds a lease at commit %d of %d", r.id, r.commit, len(s.committed))
			}
		}
		s.traceRole(r)
	}
	if s.now%(500*time.Millisecond) == 0 {
		s.checkLogs()
	}
}

// checkLogs verifies that two logs that hold an entry with the same index and
// term are identical up to that entry.
func (s *sim) checkLogs() {
	for i, a := range s.replicas {
		for _, b := range s.replicas[:i] {
			if a.node == nil || b.node == nil {
				continue
			}
			matched := false
			la, lb := &a.node.log, &b.node.log
			for index := min(la.last(), lb.last()); index > max(la.base, lb.base); index-- {
				ea, eb := la.between(index, index)[0], lb.between(index, index)[0]
				if matched && ea.Term != eb.Term || ea.Term == eb.Term && string(ea.Data) != string(eb.Data) {
					s.failf("logs of %s and %s differ at %d", a.id, b.id, index)
				}
				matched = matched || ea.Term == eb.Term
			}
		}
	}
}

// traceRole traces the changes of leadership and leases.
func (s *sim) traceRole(r *simReplica) {
	role := "follows"
	if r.node.Role() == Leader {
		role = fmt.Sprintf("leads term %d, lease %v", r.node.Term(), r.node.LeaseValid(s.localTime(r)))
	}
	if role != r.tracedRole && (r.node.Role() == Leader || r.tracedRole != "") {
		s.tracef("%s %s", r.id, role)
	}
	r.tracedRole = role
}

// leaseHolder returns the replica with a valid lease; it waits up to 5 s of
// virtual time for one.
func (s *sim) leaseHolder() *simReplica {
	for end := s.now + 5*time.Second; s.now < end && s.violation == ""; s.step() {
		for _, r := range s.replicas {
			if r.node != nil && !r.paused && r.node.LeaseValid(s.localTime(r)) {
				return r
			}
		}
	}
	s.failf("no leader within 5 s")
	return s.replicas[0]
}

func (s *sim) proposeMany(r *simReplica, count int) {
	for range count {
		_, _, _ = r.node.Propose(s.localTime(r), fmt.Appendf(nil, "command %d", s.rng.Uint32()))
	}
}

// propose proposes count commands to the leader, one at a time, and runs long
// enough for them to be committed.
func (s *sim) propose(count int) {
	for range count {
		leader := s.leaseHolder()
		if s.violation != "" {
			return
		}
		s.proposeMany(leader, 1)
		s.run(simStep)
	}
	s.run(100 * time.Millisecond)
	s.tracef("%d entries committed", len(s.committed))
}

// proposeChange proposes a membership change to the leader.
func (s *sim) proposeChange(what string, edit func(Membership, string) Membership, id string) {
	leader := s.leaseHolder()
	_, _, err := leader.node.ProposeMembership(s.localTime(leader), edit(leader.node.Membership(), id))
	s.tracef("%s %s: %v", what, id, err)
}

// envNumber returns the number in an environment variable, or the fallback if
// there is none.
func envNumber(name string, fallback int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}
