package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
)

// Times of the simulated deployment.
const (
	simTick      = 10 * time.Millisecond
	simDelay     = 8 * time.Millisecond
	simCatchUp   = 4 * time.Second
	simTolerated = 2
	simGrace     = 6 * time.Second
	// removalTime is how long a VM that is gone without notice counts as lost although
	// its successor has caught up.
	removalTime = 500 * time.Millisecond
)

// simVM is a control VM with its disk. node is nil while its process is down.
type simVM struct {
	addr      string
	place     place
	replicaID string
	node      *consensus.Node
	roster    *roster

	hs      consensus.HardState
	snap    *consensus.Snapshot
	entries []consensus.Entry
	applied uint64
	acked   map[string]bool

	frozen, isolated bool
	// resigning says that the process got SIGTERM and waits for a successor, until
	// stopBy at the latest.
	resigning bool
	stopBy    time.Duration
	// gone VMs never start again.
	gone bool
	// lostUntil is when the VM stops to count as lost; the zero value means that it
	// doesn't count. It is in the future while the VM is down.
	lostUntil time.Duration

	wasLeading                      bool
	lastHello, lastCheck, lastAsked time.Duration
	shortSince                      time.Duration
}

// membershipSim runs the membership decisions of control VMs over their replicas in
// virtual time.
type membershipSim struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	now     time.Duration
	vms     []*simVM
	transit []simDelivery
	acked   []string
	sent    int
	later   []simEvent
	trace   strings.Builder
}

type simDelivery struct {
	at  time.Duration
	msg consensus.Message
}

type simEvent struct {
	at  time.Duration
	run func()
}

func newMembershipSim(t *testing.T, seed uint64) *membershipSim {
	s := &membershipSim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7))}
	places := []place{{"r0", "a"}, {"r0", "b"}, {"r1", "a"}, {"r1", "b"}, {"r2", "a"}}
	var initial consensus.Membership
	for i := range places {
		vm := &simVM{addr: fmt.Sprintf("vm%d", i), place: places[i]}
		vm.replicaID = vm.addr + "/0"
		s.vms = append(s.vms, vm)
		if i < 3 {
			initial = initial.WithVoter(vm.replicaID)
		}
	}
	for i, vm := range s.vms {
		if i < 3 {
			hs, entries, err := consensus.InitialLog(initial)
			if err != nil {
				t.Fatal(err)
			}
			vm.hs, vm.entries = hs, entries
		}
		s.start(vm)
	}
	s.run(5 * time.Second)
	return s
}

func (s *membershipSim) tracef(format string, args ...any) {
	fmt.Fprintf(&s.trace, "%8.3f %s\n", s.now.Seconds(), fmt.Sprintf(format, args...))
}

// start starts the process of a VM from its disk, unless the VM was removed meanwhile.
func (s *membershipSim) start(vm *simVM) {
	if vm.gone {
		return
	}
	node, err := consensus.New(consensus.Config{
		ID: vm.replicaID, Seed: s.rng.Uint64(), HeartbeatInterval: heartbeatInterval,
		ElectionMin: electionMin, ElectionMax: electionMax, LeaderLease: leaderLease, TrailingEntries: 20,
	}, consensus.Membership{}, vm.hs, vm.snap, slices.Clone(vm.entries))
	if err != nil {
		s.t.Fatalf("seed %d: %s does not start: %v", s.seed, vm.addr, err)
	}
	vm.node, vm.roster = node, newRoster(simTolerated, simCatchUp)
	vm.frozen, vm.isolated, vm.resigning, vm.wasLeading = false, false, false, false
	vm.lastHello, vm.shortSince = 0, 0
	vm.applied, vm.acked = 0, make(map[string]bool)
	if vm.snap != nil {
		vm.restore(*vm.snap)
	}
	s.tracef("%s starts as %s", vm.addr, vm.replicaID)
}

func (vm *simVM) restore(snap consensus.Snapshot) {
	vm.applied, vm.acked = snap.Index, make(map[string]bool)
	for _, command := range strings.Fields(string(snap.Data)) {
		vm.acked[command] = true
	}
}

// kill ends a process; wipe also empties its disk, so that it gets a new identity.
func (s *membershipSim) kill(vm *simVM, wipe bool) {
	vm.node = nil
	if wipe {
		vm.hs, vm.snap, vm.entries = consensus.HardState{}, nil, nil
		vm.replicaID = fmt.Sprintf("%s/%d", vm.addr, s.rng.Uint32())
	}
	s.tracef("%s ends, wipe %t", vm.addr, wipe)
}

// after runs an event later.
func (s *membershipSim) after(d time.Duration, run func()) {
	s.later = append(s.later, simEvent{at: s.now + d, run: run})
}

// lost counts the lost VMs as a deployment does: a VM counts while its fault lasts and
// for the catch-up time after it. One that is removed as planned counts until it ends.
func (s *membershipSim) lost() int {
	count := 0
	for _, vm := range s.vms {
		if vm.lostUntil > s.now || vm.resigning && vm.node != nil {
			count++
		}
	}
	return count
}

// loseFor counts a VM as lost for a fault of the given duration.
func (s *membershipSim) loseFor(vm *simVM, d time.Duration) {
	vm.lostUntil = max(vm.lostUntil, s.now+d+simCatchUp)
}

// run advances the time.
func (s *membershipSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

func (s *membershipSim) step() {
	s.now += simTick
	for _, e := range s.later {
		if e.at <= s.now {
			e.run()
		}
	}
	s.later = slices.DeleteFunc(s.later, func(e simEvent) bool { return e.at <= s.now })
	due := s.transit
	s.transit = nil
	for _, d := range due {
		to, from := s.vm(d.msg.To), s.vm(d.msg.From)
		switch {
		case d.at > s.now || to != nil && to.frozen && to.node != nil:
			s.transit = append(s.transit, d)
		case to != nil && to.node != nil && from != nil && from.isolated == to.isolated:
			to.node.Step(s.now, d.msg)
			s.process(to)
		}
	}
	for _, vm := range s.vms {
		if vm.node != nil && !vm.frozen {
			s.tick(vm)
		}
	}
}

func (s *membershipSim) vm(replicaID string) *simVM {
	i := slices.IndexFunc(s.vms, func(vm *simVM) bool { return vm.replicaID == replicaID })
	if i < 0 {
		return nil
	}
	return s.vms[i]
}

// tick does what the control goroutine and the introductions of a VM do.
func (s *membershipSim) tick(vm *simVM) {
	vm.node.Tick(s.now)
	s.process(vm)
	leads := vm.node.Role() == consensus.Leader && vm.node.CommittedInCurrentTerm()
	if leads && !vm.wasLeading {
		vm.roster.elected(s.now)
		s.tracef("%s leads term %d", vm.addr, vm.node.Term())
	}
	vm.wasLeading = leads
	if !s.leading(vm) {
		s.introduce(vm)
		s.resign(vm)
		return
	}
	for _, id := range vm.roster.view(s.now, vm.node, nil).silentVoters() {
		if other := s.vm(id); other == nil || other.node == nil {
			vm.roster.refusals[id] = s.now
			vm.lastCheck = 0
		}
	}
	if s.now-vm.lastCheck >= membershipInterval {
		vm.lastCheck = s.now
		places := make(map[string]place)
		for _, other := range s.vms {
			places[other.addr] = other.place
		}
		next, reason := nextMembership(vm.roster.view(s.now, vm.node, places))
		if reason != "" {
			if _, _, err := vm.node.ProposeMembership(s.now, next); err == nil {
				s.tracef("%s: %s: voters %v learners %v", vm.addr, reason, next.Voters, next.Learners)
			}
		}
	}
	if len(vm.node.Membership().Voters) > 2*simTolerated {
		vm.shortSince = 0
	} else if vm.shortSince == 0 {
		vm.shortSince = s.now
	}
	if allowed := vm.shortSince == 0 || s.now-vm.shortSince > voterWaitTimeout; allowed && s.rng.IntN(20) == 0 {
		s.sent++
		_, _, _ = vm.node.Propose(s.now, fmt.Appendf(nil, "c%d", s.sent))
	}
	s.process(vm)
	s.resign(vm)
}

func (s *membershipSim) leading(vm *simVM) bool {
	return vm.node != nil && !vm.frozen && vm.wasLeading && vm.node.Role() == consensus.Leader && vm.node.LeaseValid(s.now)
}

// introduce exchanges introductions with the leader, or with all VMs if none is known.
func (s *membershipSim) introduce(vm *simVM) {
	if vm.resigning || s.now-vm.lastHello < helloInterval {
		return
	}
	for _, other := range s.vms {
		if other == vm || !s.leading(other) || other.isolated != vm.isolated {
			continue
		}
		vm.lastHello = s.now
		other.roster.introduced(vm.addr, candidate{replicaID: vm.replicaID, at: s.now})
		vm.roster.reported(s.now, other.roster.silent(other.node.Status(s.now).Replicas))
	}
}

// resign does what a stopping VM does until it ends.
func (s *membershipSim) resign(vm *simVM) {
	if vm.node == nil || !vm.resigning || s.now-vm.lastAsked < resignInterval {
		return
	}
	vm.lastAsked = s.now
	done := !vm.node.CommittedMembership().IsVoter(vm.replicaID) || s.now >= vm.stopBy
	for _, leader := range s.vms {
		if done || !s.leading(leader) || leader.isolated != vm.isolated {
			continue
		}
		reply := resign(s.now, leader.roster, leader.node, vm.replicaID)
		leader.lastCheck = 0
		done = !reply.Pending
	}
	if done {
		s.kill(vm, false)
	}
}

// process saves, sends and applies what a replica has ready. Disks are synced at once.
func (s *membershipSim) process(vm *simVM) {
	for vm.node.HasReady() {
		ready := vm.node.Ready()
		if ready.HardState != nil {
			vm.hs = *ready.HardState
		}
		if ready.Snapshot != nil {
			snap := *ready.Snapshot
			vm.snap = &snap
			vm.entries = slices.DeleteFunc(vm.entries, func(e consensus.Entry) bool { return e.Index <= snap.Index })
			if snap.Index > vm.applied {
				vm.restore(snap)
			}
		}
		for _, e := range ready.Entries {
			vm.entries = slices.DeleteFunc(vm.entries, func(old consensus.Entry) bool { return old.Index >= e.Index })
			vm.entries = append(vm.entries, e)
		}
		for _, m := range ready.Messages {
			s.transit = append(s.transit, simDelivery{at: s.now + simDelay, msg: m})
		}
		for _, e := range ready.Committed {
			s.apply(vm, e)
		}
		vm.node.Advance(s.now, ready)
	}
}

func (s *membershipSim) apply(vm *simVM, e consensus.Entry) {
	vm.applied = e.Index
	switch {
	case e.Type != consensus.EntryCommand:
		vm.lastCheck = 0
	case len(e.Data) > 0:
		vm.acked[string(e.Data)] = true
		if vm.node.Role() == consensus.Leader {
			s.acked = append(s.acked, string(e.Data))
		}
		if e.Index%50 == 0 {
			var held []string
			for command := range vm.acked {
				held = append(held, command)
			}
			vm.node.Compact(vm.applied, []byte(strings.Join(held, " ")))
		}
	}
}

// leader returns the VM that leads, or nil.
func (s *membershipSim) leader() *simVM {
	for _, vm := range s.vms {
		if s.leading(vm) {
			return vm
		}
	}
	return nil
}

// add adds an empty VM in the place of another.
func (s *membershipSim) add(at *simVM) *simVM {
	vm := &simVM{addr: fmt.Sprintf("vm%d", len(s.vms)), place: at.place}
	vm.replicaID = vm.addr + "/0"
	s.vms = append(s.vms, vm)
	s.start(vm)
	return vm
}

// running returns a random VM that runs without a fault, or nil.
func (s *membershipSim) running() *simVM {
	var sound []*simVM
	for _, vm := range s.vms {
		if vm.node != nil && !vm.frozen && !vm.isolated && !vm.resigning && vm.lostUntil <= s.now {
			sound = append(sound, vm)
		}
	}
	if len(sound) == 0 {
		return nil
	}
	return sound[s.rng.IntN(len(sound))]
}

// stop sends SIGTERM to a VM.
func (s *membershipSim) stop(vm *simVM) {
	if vm.node == nil || vm.frozen || vm.resigning {
		return
	}
	s.tracef("%s is told to stop", vm.addr)
	vm.resigning, vm.stopBy = true, s.now+resignTimeout
}

// act performs a random action within the tolerated losses.
func (s *membershipSim) act() {
	vm := s.running()
	if s.rng.IntN(3) == 0 && s.leader() != nil {
		vm = s.leader()
	}
	if vm == nil || vm.lostUntil > s.now || vm.resigning || vm.isolated {
		return
	}
	serving := 0
	for _, other := range s.vms {
		if !other.gone {
			serving++
		}
	}
	brief := time.Duration(200+s.rng.IntN(2800)) * time.Millisecond
	restart := func(wipe bool) {
		s.loseFor(vm, brief)
		s.kill(vm, wipe)
		s.after(brief, func() { s.start(vm) })
	}
	switch kind := s.rng.IntN(9); {
	case kind == 0 && serving < 8: // planned replacement of some VMs, the new ones first
		s.replacePlanned(1 + s.rng.IntN(3))
	case s.lost() >= simTolerated:
	case kind == 1: // gone for good, replaced after a second
		s.loseFor(vm, time.Second)
		vm.gone = true
		s.kill(vm, false)
		s.after(time.Second, func() { s.add(vm) })
	case kind == 8 && serving < 8: // gone without notice, after its successor stood by
		s.add(vm)
		s.after(2*simCatchUp, func() {
			if vm.gone || vm.node == nil || vm.lostUntil > s.now || vm.resigning || vm == s.leader() || s.lost() >= simTolerated {
				return
			}
			s.loseFor(vm, removalTime)
			vm.gone = true
			s.kill(vm, false)
		})
	case kind == 2:
		restart(false)
	case kind == 3:
		restart(true)
	case kind == 4:
		s.loseFor(vm, brief)
		s.tracef("%s is frozen for %v", vm.addr, brief)
		vm.frozen = true
		s.after(brief, func() { vm.frozen = false })
	case kind == 5:
		s.loseFor(vm, brief)
		s.tracef("%s is cut off for %v", vm.addr, brief)
		vm.isolated = true
		s.after(brief, func() { vm.isolated = false })
	case kind == 6: // planned restart
		s.loseFor(vm, brief+resignTimeout)
		s.stop(vm)
		s.after(brief+resignTimeout, func() { s.kill(vm, false); s.start(vm) })
	case kind == 7: // killed while it stops
		s.loseFor(vm, brief+resignTimeout)
		s.stop(vm)
		s.after(time.Duration(s.rng.IntN(150))*time.Millisecond, func() { s.kill(vm, false) })
		s.after(brief+resignTimeout, func() { s.kill(vm, false); s.start(vm) })
	}
}

// replacePlanned adds successors, waits for the catch-up time and stops their
// predecessors, all at once or one after the other.
func (s *membershipSim) replacePlanned(count int) {
	var olds []*simVM
	for _, vm := range s.vms {
		if len(olds) < count && !vm.gone && vm.node != nil && vm.lostUntil <= s.now && !vm.resigning && !vm.isolated {
			olds = append(olds, vm)
		}
	}
	gap := time.Duration(s.rng.IntN(2)*(50+s.rng.IntN(2200))) * time.Millisecond
	for i, old := range olds {
		s.add(old)
		s.after(simCatchUp+time.Duration(i)*gap, func() {
			old.gone = true
			s.stop(old)
		})
		s.after(simCatchUp+time.Duration(i)*gap+simGrace, func() { s.kill(old, false) })
	}
}

// finalFault wipes as many VMs as may still be lost, kills all others, starts all
// again and checks that everything acknowledged can be read.
func (s *membershipSim) finalFault() string {
	for left := simTolerated - s.lost(); left > 0; left-- {
		if vm := s.running(); vm != nil {
			s.loseFor(vm, time.Second)
			s.kill(vm, true)
		}
	}
	for _, vm := range s.vms {
		if vm.node != nil {
			s.kill(vm, false)
		}
	}
	s.later = nil
	s.now += time.Second
	for _, vm := range s.vms {
		if !vm.gone {
			s.start(vm)
		}
	}
	s.run(15 * time.Second)
	leader := s.leader()
	if leader == nil {
		return "no leader 15 s after the final fault"
	}
	for _, command := range s.acked {
		if !leader.acked[command] {
			return fmt.Sprintf("the acknowledged %s is missing at %s", command, leader.addr)
		}
	}
	return ""
}

// runMembership simulates a random sequence of faults and planned work and returns
// the first violation, or "" if there is none.
func runMembership(t *testing.T, seed uint64) (violation, trace string) {
	s := newMembershipSim(t, seed)
	for range 12 {
		s.act()
		s.run(time.Duration(s.rng.IntN(3500)) * time.Millisecond)
	}
	violation = s.finalFault()
	return violation, s.trace.String()
}

// Guards against votes that stay with VMs that are gone: a quorum with everything
// acknowledged must remain as long as no more VMs count as lost than are tolerated,
// whatever order VMs are replaced, stopped, suspended, cut off or wiped in.
// FLAMINGOREEL_SOAK_SEEDS is the number of seeds, from FLAMINGOREEL_TEST_SEED on.
func TestVotesSurviveToleratedLosses(t *testing.T) {
	number := func(name string, fallback uint64) uint64 {
		if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
			return n
		}
		return fallback
	}
	first := number("FLAMINGOREEL_TEST_SEED", 1)
	for seed := first; seed < first+number("FLAMINGOREEL_SOAK_SEEDS", 60); seed++ {
		if violation, trace := runMembership(t, seed); violation != "" {
			t.Errorf("%s\nrepeat with: FLAMINGOREEL_TEST_SEED=%d FLAMINGOREEL_SOAK_SEEDS=1 go test ./internal/controller -run '^%s$'\n%s",
				violation, seed, t.Name(), trace)
			return
		}
	}
}
