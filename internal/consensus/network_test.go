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

// simReplica is a process with its disk. node is nil while it is stopped.
type simReplica struct {
	id       string
	node     *Node
	lost     bool // the disk is gone; the identity never returns
	paused   bool
	backAt   time.Duration // end of the fault, in random runs
	started  time.Duration
	drift    time.Duration // its clock gains this much per second
	inbox    []Message
	hs       HardState
	snap     *Snapshot
	entries  []Entry
	ready    *Ready
	finishAt time.Duration
	applied  uint64
	state    uint64 // hash over everything applied
	commit   uint64
	shown    string // role and lease in the trace
}

type simMessage struct {
	at  time.Duration
	msg Message
}

// sim is a network of replicas in virtual time. It checks the invariants of
// the log after every step; the first violation is kept in fault.
type sim struct {
	now      time.Duration
	rng      *rand.Rand
	initial  Membership
	replicas []*simReplica
	wire     []simMessage
	cut      map[string]bool          // replicas of the minority side
	deaf     map[string]time.Duration // "from>to" links that lose all until then
	delay    time.Duration            // one way
	lossy    bool                     // lose, duplicate, delay and reorder messages; slow disks
	compact  uint64                   // entries between snapshots, 0 for none
	leaders  map[uint64]string
	history  []Entry // every entry delivered anywhere, from index 1
	states   []uint64
	fault    string
	trace    strings.Builder
}

func newSim(seed uint64, ids ...string) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), delay: 3 * time.Millisecond, initial: Membership{Voters: ids},
		cut: map[string]bool{}, deaf: map[string]time.Duration{}, leaders: map[uint64]string{}, states: []uint64{0},
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

func (s *sim) get(id string) *simReplica {
	for _, r := range s.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (s *sim) failf(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) note(format string, args ...any) {
	fmt.Fprintf(&s.trace, "%6dms %s\n", s.now.Milliseconds(), fmt.Sprintf(format, args...))
}

// start begins a process on what its disk holds. Its clock starts at zero.
func (s *sim) start(r *simReplica) {
	initial := Membership{}
	if slices.Contains(s.initial.Voters, r.id) {
		initial = s.initial
	}
	config := Config{ID: r.id, Seed: s.rng.Uint64()}
	if s.lossy {
		config.MaxAppendBytes, config.TrailingEntries = 50, 5
	}
	node, err := New(config, initial, r.hs, r.snap, slices.Clone(r.entries))
	if err != nil {
		s.failf("%s does not start: %v", r.id, err)
		return
	}
	*r = simReplica{id: r.id, node: node, started: s.now, hs: r.hs, snap: r.snap, entries: r.entries, shown: r.shown}
	if s.lossy {
		r.drift = time.Duration(s.rng.IntN(200)-100) * time.Millisecond
	}
	if r.snap != nil {
		r.applied, r.state = r.snap.Index, binary.LittleEndian.Uint64(r.snap.Data)
	}
}

func (s *sim) crash(r *simReplica) { r.node, r.ready, r.inbox, r.paused = nil, nil, nil, false }

// local is the time on a replica's own clock.
func (s *sim) local(r *simReplica) time.Duration {
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
		s.history = append(s.history, e)
		s.states = append(s.states, r.state)
	}
	if s.states[e.Index] != r.state {
		s.failf("%s applies another entry at %d", r.id, e.Index)
	}
}

func (s *sim) post(m Message) {
	copies, delay := 1, s.delay
	if s.lossy {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[s.rng.IntN(8)]
	}
	for range copies {
		if s.lossy {
			delay = time.Duration(1+s.rng.IntN(20)) * time.Millisecond
			if s.rng.IntN(50) == 0 {
				delay += time.Duration(s.rng.IntN(1000)) * time.Millisecond
			}
		}
		s.wire = append(s.wire, simMessage{s.now + delay, m})
	}
}

// deliver hands over due messages. A paused replica finds them on its return.
func (s *sim) deliver() {
	s.wire = slices.DeleteFunc(s.wire, func(m simMessage) bool {
		from, to := m.msg.From, s.get(m.msg.To)
		blocked := to == nil || s.cut[from] != s.cut[to.id] || s.now < s.deaf[from+">"+to.id]
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
			r.node.Tick(s.local(r))
		}
		for _, m := range r.inbox {
			r.node.Step(s.local(r), m)
		}
		r.inbox = nil
		s.handle(r)
	}
	s.check()
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.fault == ""; {
		s.step()
	}
}

// check verifies the invariants that hold at every instant.
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
		if r.node.LeaseValid(s.local(r)) {
			if holder != "" {
				s.failf("%s and %s hold a lease", holder, r.id)
			}
			holder = r.id
			if r.commit < uint64(len(s.history)) {
				s.failf("%s holds a lease at commit %d of %d", r.id, r.commit, len(s.history))
			}
		}
		s.show(r)
	}
	if s.now%(500*time.Millisecond) == 0 {
		s.checkLogs()
	}
}

// checkLogs verifies that logs that share a position share all before it.
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

// show notes leaders and leases as they come and go.
func (s *sim) show(r *simReplica) {
	shown := "follows"
	if r.node.Role() == Leader {
		shown = fmt.Sprintf("leads term %d, lease %v", r.node.Term(), r.node.LeaseValid(s.local(r)))
	}
	if shown != r.shown && (r.node.Role() == Leader || r.shown != "") {
		s.note("%s %s", r.id, shown)
	}
	r.shown = shown
}

// holder returns the replica with a valid lease, waiting up to 5 s for one.
func (s *sim) holder() *simReplica {
	for end := s.now + 5*time.Second; s.now < end && s.fault == ""; s.step() {
		for _, r := range s.replicas {
			if r.node != nil && !r.paused && r.node.LeaseValid(s.local(r)) {
				return r
			}
		}
	}
	s.failf("no leader within 5 s")
	return s.replicas[0]
}

func (s *sim) proposeMany(r *simReplica, count int) {
	for range count {
		_, _, _ = r.node.Propose(s.local(r), fmt.Appendf(nil, "command %d", s.rng.Uint32()))
	}
}

// propose commits count commands through the leader.
func (s *sim) propose(count int) {
	for range count {
		leader := s.holder()
		if s.fault != "" {
			return
		}
		s.proposeMany(leader, 1)
		s.run(simStep)
	}
	s.run(100 * time.Millisecond)
	s.note("%d entries committed", len(s.history))
}

// change proposes a membership change through the leader.
func (s *sim) change(what string, edit func(Membership, string) Membership, id string) {
	leader := s.holder()
	_, _, err := leader.node.ProposeMembership(s.local(leader), edit(leader.node.Membership(), id))
	s.note("%s %s: %v", what, id, err)
}

// envNumber reads a number from the environment.
func envNumber(name string, fallback int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}
