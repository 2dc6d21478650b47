package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// Times of the simulated network, control group and requests.
const (
	simStep        = 5 * time.Millisecond
	simLeaderDelay = 8 * time.Millisecond
	simTargetDelay = 2 * time.Millisecond
	simCommitDelay = 20 * time.Millisecond
	// simDeadline is how long a dispatcher waits for a response.
	simDeadline      = time.Second
	simExecutionTime = 10 * time.Millisecond
)

// sim runs State and Planner in virtual time, with fake dispatchers on VMs and
// fake targets. The control group is one log with a commit delay.
type sim struct {
	rng         *rand.Rand
	now         time.Duration
	state       *State
	snapshot    []byte
	log         []IndexedCommand
	index       uint64
	uncommitted []simProposal
	planner     *Planner
	electionAt  time.Duration
	events      []simEvent
	vms         []*simVM
	targets     []*simTarget
	loss        float64
	jitter      time.Duration
	trace       func(format string, args ...any)
	onApply     func(c Command, result any)
	faults      []string
	// unservedSeconds is the total time for which slices were not served.
	unservedSeconds float64
	// unservedFor is how long each slice that is not served has not been.
	unservedFor   map[contract.SliceID]time.Duration
	longestOutage time.Duration
	// moves counts the changes of the owners of slices.
	moves  int
	owners map[contract.SliceID]string
	fences map[uint64]contract.Fence
	epochs map[string]contract.Epoch
}

type simProposal struct {
	at   time.Duration
	data []byte
	done func(any)
}

type simEvent struct {
	at time.Duration
	do func()
}

func newSim(seed uint64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, seed)), state: NewState(),
		unservedFor: map[contract.SliceID]time.Duration{}, owners: map[contract.SliceID]string{},
		fences: map[uint64]contract.Fence{}, epochs: map[string]contract.Epoch{},
		trace: func(string, ...any) {}, onApply: func(Command, any) {},
	}
	return s
}

func (s *sim) after(d time.Duration, fn func()) {
	s.events = append(s.events, simEvent{s.now + d, fn})
}

// send delivers a message between a VM and the leader. The message may be lost,
// delayed or duplicated.
func (s *sim) send(do func()) {
	copies := 1
	if s.loss > 0 {
		if s.rng.Float64() < s.loss {
			return
		}
		if s.rng.Float64() < s.loss {
			copies = 2
		}
	}
	for range copies {
		delay := simLeaderDelay
		if s.jitter > 0 && s.rng.Float64() < 0.1 {
			delay += time.Duration(s.rng.Int64N(int64(s.jitter)))
		}
		s.after(delay, do)
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		due := s.events
		s.events = nil
		for _, e := range due {
			if e.at <= s.now {
				e.do()
			} else {
				s.events = append(s.events, e)
			}
		}
		s.stepLeader()
		for _, v := range s.vms {
			v.step(s)
		}
		for _, t := range s.targets {
			t.step(s)
		}
		s.checkOwners()
		s.countUnserved()
	}
}

func (s *sim) stepLeader() {
	if s.planner == nil {
		if s.now < s.electionAt {
			return
		}
		s.planner = NewPlanner("leader")
		s.planner.StartTerm(s.now)
	}
	for len(s.uncommitted) > 0 && s.uncommitted[0].at <= s.now {
		p := s.uncommitted[0]
		s.uncommitted = s.uncommitted[1:]
		s.commit(p)
	}
	if s.now%(2*simStep) == 0 {
		for _, c := range s.planner.Plan(s.now, s.state) {
			s.propose(c, nil)
		}
	}
}

func (s *sim) propose(c Command, done func(any)) {
	data, err := Encode(c)
	if err != nil {
		panic(err)
	}
	s.uncommitted = append(s.uncommitted, simProposal{s.now + simCommitDelay, data, done})
}

func (s *sim) commit(p simProposal) {
	s.index++
	s.log = append(s.log, IndexedCommand{s.index, p.data})
	c, _ := Decode(p.data)
	before := s.state.revision
	result, _ := s.state.Apply(s.index, p.data)
	if s.planner != nil {
		s.planner.Applied(s.state, c)
	}
	if p.done != nil {
		p.done(result)
	}
	if s.state.revision != before {
		s.trace("%s", describe(c))
	}
	s.checkMonotonic(c)
	s.onApply(c, result)
}

// depose ends the leader's term. The first keep of its uncommitted proposals
// still commit. The new leader's state comes from the last snapshot and the log.
func (s *sim) depose(keep int, election time.Duration) {
	for i, p := range s.uncommitted {
		if i < keep {
			s.commit(p)
		}
	}
	s.uncommitted = nil
	s.planner = nil
	s.electionAt = s.now + election
	restored := NewState()
	if s.snapshot != nil {
		restored, _ = Restore(s.snapshot)
	}
	for _, e := range s.log {
		_, _ = restored.Apply(e.Index, e.Data)
	}
	want, _ := s.state.Snapshot()
	got, _ := restored.Snapshot()
	if string(want) != string(got) {
		s.fault("state from snapshot and log differs")
	}
	s.state, s.snapshot = restored, got
}

func (s *sim) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// checkMonotonic reports fences and epochs that a commit decreased. It also
// counts the moves of slices between owners.
func (s *sim) checkMonotonic(c Command) {
	for _, key := range s.state.groupKeys() {
		for _, id := range s.state.groups[key].ids {
			entry := s.state.slices[id]
			a := entry.Assignment
			for _, hash := range []uint64{entry.Slice.Lo, entry.Slice.Hi} {
				if a.Fence < s.fences[hash] {
					s.fault("fence of hash %d decreased to %d", hash, a.Fence)
				}
				s.fences[hash] = a.Fence
			}
			if a.Phase == contract.Owned && s.owners[id] != a.Target {
				if s.owners[id] != "" {
					s.moves++
				}
				s.owners[id] = a.Target
			}
		}
	}
	if c.SetDispatch != nil {
		id := c.SetDispatch.Dispatch.Target
		epoch := s.state.dispatches[id].Dispatch.Epoch
		if epoch < s.epochs[id] {
			s.fault("epoch of %s decreased to %d", id, epoch)
		}
		s.epochs[id] = epoch
	}
}

// claim is a range of hashes for which a target would execute requests.
type claim struct {
	lo, hi uint64
	target string
}

// checkOwners reports hashes for which two targets would execute requests, now
// or when paused targets resume.
func (s *sim) checkOwners() {
	var claims []claim
	for _, t := range s.targets {
		claims = append(claims, t.claims(s.now)...)
	}
	slices.SortFunc(claims, func(a, b claim) int {
		if a.lo < b.lo {
			return -1
		}
		return 1
	})
	var last claim
	for i, c := range claims {
		if i > 0 && c.lo <= last.hi && c.target != last.target {
			s.fault("%s and %s both execute requests of hash %x", last.target, c.target, c.lo)
		}
		if i == 0 || c.hi >= last.hi {
			last = c
		}
	}
}

func (s *sim) countUnserved() {
	for _, entry := range s.state.Table().Assignments() {
		if s.served(entry) {
			delete(s.unservedFor, entry.Slice.ID)
			continue
		}
		s.unservedSeconds += simStep.Seconds()
		s.unservedFor[entry.Slice.ID] += simStep
		s.longestOutage = max(s.longestOutage, s.unservedFor[entry.Slice.ID])
	}
}

// served reports whether a request for the slice would reach its owner.
func (s *sim) served(entry ContractSlice) bool {
	route, err := s.state.Table().Route(entry.Slice.Service, entry.Slice.Residency, entry.Slice.Lo)
	if err != nil {
		return false
	}
	v, t := s.vm(route.Dispatch.VM), s.target(route.Target.ID)
	if !v.alive(s.now) || s.now >= v.leaseUntil || !t.up() || v.partitioned[t.ID] || t.Incarnation != route.Target.Incarnation {
		return false
	}
	g := v.grants[t.ID]
	return g != nil && g.epoch == route.Dispatch.Epoch && !g.expired && t.grants(route.Slice.ID, route.Fence, s.now)
}

func (s *sim) vm(name string) *simVM {
	for _, v := range s.vms {
		if v.VM.Name == name {
			return v
		}
	}
	return nil
}

func (s *sim) target(id string) *simTarget {
	for _, t := range s.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}
