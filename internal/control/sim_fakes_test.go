package control

import (
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// simGrant is what a fake dispatcher knows about one contract.
type simGrant struct {
	epoch       contract.Epoch
	incarnation uint64
	// targetClock is the target's clock in its last reply, which arrived at
	// targetClockAt.
	targetClock   time.Duration
	targetClockAt time.Duration
	// grantedAt is the targetClockAt on which the last grant is based.
	grantedAt time.Duration
	lastReply time.Duration
	nextSend  time.Duration
	// expired says that the dispatcher reported the expiry of the grant.
	expired  bool
	stopped  []contract.SliceFence
	inFlight []*simRequest
	// replied says that the target has replied under this epoch.
	replied bool
}

type simRequest struct {
	hash  uint64
	slice contract.SliceID
	fence contract.Fence
	epoch contract.Epoch
	// deadline is when the dispatcher stops waiting for the response.
	deadline time.Duration
	done     func()
}

// simVM is a fake VM: lease, state and dispatchers.
type simVM struct {
	VM
	state       *State
	leaseUntil  time.Duration
	pausedUntil time.Duration
	dead        bool
	// leaderPartitioned drops messages to and from the leader, partitioned those
	// to and from the targets that it lists.
	leaderPartitioned bool
	partitioned       map[string]bool
	grants            map[string]*simGrant
	nextHeartbeat     time.Duration
	probes            []string
	announcements     []Target
	// renewsAfterExpiry makes the dispatcher grant again under an expired epoch.
	renewsAfterExpiry bool
}

func (s *sim) addVM(name, dc, region string) *simVM {
	v := &simVM{VM: VM{Name: name, DataCentre: dc, Region: region, Incarnation: 1}, partitioned: map[string]bool{}}
	v.restart(s, 0)
	s.vms = append(s.vms, v)
	return v
}

// restart starts the VM with an empty state; its incarnation grows by the
// argument.
func (v *simVM) restart(s *sim, incarnation uint64) {
	v.Incarnation += incarnation
	v.state, v.leaseUntil, v.grants = NewState(), 0, map[string]*simGrant{}
	v.pausedUntil, v.probes, v.dead, v.Stopping = 0, nil, false, false
	v.nextHeartbeat = s.now + time.Duration(s.rng.Int64N(int64(contract.HeartbeatInterval)))
}

func (v *simVM) alive(now time.Duration) bool { return !v.dead && now >= v.pausedUntil }

func (v *simVM) step(s *sim) {
	if !v.alive(s.now) {
		return
	}
	if s.now >= v.nextHeartbeat {
		v.nextHeartbeat = s.now + contract.HeartbeatInterval
		v.heartbeat(s)
	}
	if s.now >= v.leaseUntil {
		return
	}
	current := map[string]bool{}
	for _, c := range v.state.Table().Contracts(v.Name, v.Incarnation) {
		current[c.Target.ID] = true
		v.dispatch(s, c)
	}
	for id := range v.grants {
		if !current[id] {
			delete(v.grants, id)
		}
	}
}

func (v *simVM) heartbeat(s *sim) {
	if v.leaderPartitioned {
		return
	}
	hb := Heartbeat{VM: v.VM, SentAt: s.now, Version: v.state.Version(), Announcements: v.announcements}
	v.announcements = nil
	for _, id := range sortedNames(v.grants) {
		hb.Reports = append(hb.Reports, v.report(s, id, v.grants[id]))
	}
	for _, id := range v.probes {
		hb.Probed = append(hb.Probed, id)
		if t := s.target(id); v.partitioned[id] || !t.up() {
			hb.Unreachable = append(hb.Unreachable, id)
		}
	}
	s.send(func() { s.answer(v, hb) })
}

func (v *simVM) report(s *sim, id string, g *simGrant) TargetReport {
	reachable := g.replied && s.now-g.lastReply < 2*contract.RenewInterval
	over := s.now >= g.grantedAt+contract.GrantExpiryWait && s.now >= g.lastReply+2*contract.RenewInterval
	over = over && s.target(id).ChecksGrants
	if over || g.expired {
		g.expired = !v.renewsAfterExpiry
	}
	state := Warm
	if t := s.target(id); reachable {
		state = t.State
	}
	out := TargetReport{
		Target: id, Incarnation: g.incarnation, Epoch: g.epoch, Reachable: reachable,
		GrantExpired: over || g.expired, State: state, StoppedSlices: slices.Clone(g.stopped),
	}
	// A target without slices gets no requests, so it has no latency.
	if t := s.target(id); t.micros > 0 && slices.ContainsFunc(s.state.Table().Assignments(), func(e ContractSlice) bool { return e.Assignment.Target == id }) {
		out.LatencyMicros, out.LatencyCount = t.micros, minCompletions
	}
	if t := s.target(id); t.hot != 0 {
		out.HotHashes, out.HotShares, out.Load = []uint64{t.hot}, []float64{0.3}, 1
	}
	return out
}

// answer handles a heartbeat on the leader and sends the renewal.
func (s *sim) answer(v *simVM, hb Heartbeat) {
	if s.planner == nil || !s.planner.CurrentIncarnation(s.state, hb.VM) {
		return
	}
	s.planner.Heartbeat(s.now, hb)
	commands := s.log[hb.Version:]
	probes := s.planner.ProbeRequests(hb.VM.Name)
	s.send(func() {
		if !v.alive(s.now) || v.Incarnation != hb.VM.Incarnation || v.leaderPartitioned {
			return
		}
		for _, e := range commands {
			_, _ = v.state.Apply(e.Index, e.Data)
		}
		v.leaseUntil = max(v.leaseUntil, hb.SentAt+contract.VMLease)
		v.probes = probes
	})
}

func (v *simVM) dispatch(s *sim, c Contract) {
	t := s.target(c.Target.ID)
	g := v.grants[t.ID]
	if g == nil || g.epoch != c.Dispatch.Epoch || g.incarnation != c.Target.Incarnation {
		g = &simGrant{epoch: c.Dispatch.Epoch, incarnation: c.Target.Incarnation, grantedAt: s.now, lastReply: s.now}
		v.grants[t.ID] = g
	}
	if s.now >= g.nextSend {
		g.nextSend = s.now + contract.RenewInterval
		v.renew(s, t, g, c)
	}
	v.sendRequest(s, t, g, c)
}

func (v *simVM) renew(s *sim, t *simTarget, g *simGrant, c Contract) {
	until := time.Duration(0)
	if g.replied && !g.expired {
		until = g.targetClock + contract.TargetGrant
		g.grantedAt = g.targetClockAt
	}
	var granted, ending []ContractSlice
	for _, entry := range c.Slices {
		if entry.Assignment.Phase == contract.Owned {
			granted = append(granted, entry)
			continue
		}
		granted = append(granted, entry)
		if !g.busy(entry.Slice.ID) {
			ending = append(ending, entry)
		}
	}
	s.toTarget(v, t, func() {
		if !t.grant(g.epoch, g.incarnation, until, granted) {
			return
		}
		stopped := t.revoke(ending)
		reading := t.clock(s.now)
		s.toVM(v, t, func() {
			g.targetClock, g.targetClockAt, g.lastReply, g.replied = reading, s.now, s.now, true
			for _, f := range stopped {
				if !slices.Contains(g.stopped, f) {
					g.stopped = append(g.stopped, f)
				}
			}
			if until == 0 && !g.expired {
				g.nextSend = s.now
			}
		})
	})
}

func (g *simGrant) busy(id contract.SliceID) bool {
	return slices.ContainsFunc(g.inFlight, func(w *simRequest) bool { return w.slice == id })
}

// sendRequest sends a request for a random owned slice to the target.
func (v *simVM) sendRequest(s *sim, t *simTarget, g *simGrant, c Contract) {
	g.inFlight = slices.DeleteFunc(g.inFlight, func(w *simRequest) bool { return s.now >= w.deadline })
	if len(c.Slices) == 0 || g.expired || !g.replied || c.Target.Lost {
		return
	}
	entry := c.Slices[s.rng.IntN(len(c.Slices))]
	if entry.Assignment.Phase != contract.Owned || len(g.inFlight) > 4 {
		return
	}
	hash := entry.Slice.Lo
	if t.hot != 0 && entry.Slice.Contains(t.hot) {
		hash = t.hot
	} else if width := entry.Slice.Hi - entry.Slice.Lo; width > 0 {
		hash += s.rng.Uint64N(width)
	}
	w := &simRequest{hash: hash, slice: entry.Slice.ID, fence: entry.Assignment.Fence, epoch: g.epoch, deadline: s.now + simDeadline}
	g.inFlight = append(g.inFlight, w)
	w.done = func() {
		s.toVM(v, t, func() {
			g.inFlight = slices.DeleteFunc(g.inFlight, func(o *simRequest) bool { return o == w })
		})
	}
	incarnation := t.Incarnation
	s.toTarget(v, t, func() {
		if t.Incarnation == incarnation {
			t.queue = append(t.queue, w)
		}
	})
}

func (s *sim) toTarget(v *simVM, t *simTarget, do func()) {
	if v.partitioned[t.ID] || t.dead {
		return
	}
	s.after(simTargetDelay, func() { t.receive(do) })
}

func (s *sim) toVM(v *simVM, t *simTarget, do func()) {
	incarnation := v.Incarnation
	s.after(simTargetDelay, func() {
		switch {
		case v.partitioned[t.ID] || v.dead || v.Incarnation != incarnation:
		case v.alive(s.now):
			do()
		default:
			s.events = append(s.events, simEvent{v.pausedUntil, do})
		}
	})
}

// simTarget is a fake target. A paused target buffers what it receives and
// handles it when it resumes; its monotonic clock runs on meanwhile.
type simTarget struct {
	Target
	startedAt time.Duration
	// hot is a hash that is reported with a share of 0.3 of the requests, 0 for
	// none.
	hot uint64
	// micros is the latency in its reports, 0 for none.
	micros   int64
	dead     bool
	paused   bool
	received []func()
	queue    []*simRequest
	epoch    contract.Epoch
	until    time.Duration
	granted  []ContractSlice
	revoked  map[contract.SliceID]contract.Fence
	nextDone time.Duration
	// nextAnnouncement is the time of the next announcement.
	nextAnnouncement time.Duration
}

func (s *sim) addTarget(id, service, dc string, checks bool) *simTarget {
	t := &simTarget{Target: Target{
		ID: id, Service: service, DataCentre: dc, Incarnation: 1, ChecksGrants: checks, Slots: 6, State: Warm,
	}}
	t.restart(s, 0)
	s.targets = append(s.targets, t)
	return t
}

// restart starts the target with an empty state; its incarnation grows by the
// argument.
func (t *simTarget) restart(s *sim, incarnation uint64) {
	t.Incarnation += incarnation
	t.dead, t.paused, t.startedAt = false, false, s.now
	t.queue, t.received, t.granted = nil, nil, nil
	t.epoch, t.until, t.revoked = 0, 0, map[contract.SliceID]contract.Fence{}
}

func (s *sim) announce(t *simTarget) {
	t.nextAnnouncement = s.now + time.Second
	for _, v := range s.vms {
		if v.alive(s.now) && !v.partitioned[t.ID] {
			v.announcements = append(slices.DeleteFunc(slices.Clone(v.announcements), func(o Target) bool { return o.ID == t.ID }), t.Target)
		}
	}
}

func (t *simTarget) up() bool { return !t.dead && !t.paused }

func (t *simTarget) clock(now time.Duration) time.Duration { return now - t.startedAt }

func (t *simTarget) receive(do func()) {
	switch {
	case t.dead:
	case t.paused:
		t.received = append(t.received, do)
	default:
		do()
	}
}

func (t *simTarget) grant(epoch contract.Epoch, incarnation uint64, until time.Duration, granted []ContractSlice) bool {
	if incarnation != t.Incarnation || (t.ChecksGrants && epoch < t.epoch) {
		return false
	}
	t.epoch = max(t.epoch, epoch)
	if until > 0 {
		t.until = until
		t.granted = slices.DeleteFunc(slices.Clone(granted), func(e ContractSlice) bool {
			return e.Assignment.Fence <= t.revoked[e.Slice.ID]
		})
	}
	return true
}

// revoke stops the slices without queued requests.
func (t *simTarget) revoke(ending []ContractSlice) []contract.SliceFence {
	var stopped []contract.SliceFence
	for _, e := range ending {
		if slices.ContainsFunc(t.queue, func(w *simRequest) bool { return e.Slice.ID == w.slice }) {
			continue
		}
		t.revoked[e.Slice.ID] = max(t.revoked[e.Slice.ID], e.Assignment.Fence)
		t.granted = slices.DeleteFunc(t.granted, func(o ContractSlice) bool { return o.Slice.ID == e.Slice.ID })
		stopped = append(stopped, contract.SliceFence{Slice: e.Slice.ID, Fence: e.Assignment.Fence})
	}
	return stopped
}

func (t *simTarget) grants(slice contract.SliceID, fence contract.Fence, now time.Duration) bool {
	return t.clock(now) < t.until && slices.ContainsFunc(t.granted, func(e ContractSlice) bool {
		return e.Slice.ID == slice && e.Assignment.Fence == fence
	})
}

func (t *simTarget) step(s *sim) {
	if !t.up() {
		return
	}
	if s.now >= t.nextAnnouncement {
		s.announce(t)
	}
	for len(t.received) > 0 {
		do := t.received[0]
		t.received = t.received[1:]
		do()
	}
	if s.now >= t.nextDone && len(t.queue) > 0 {
		w := t.queue[0]
		t.queue = t.queue[1:]
		t.nextDone = s.now + simExecutionTime
		w.done()
	}
}

// claims lists the hashes for which the target would execute requests if it ran
// now: those with a valid grant, or, if it does not check grants, those of the
// requests that it received.
func (t *simTarget) claims(now time.Duration) []claim {
	var out []claim
	if t.dead {
		return nil
	}
	if t.ChecksGrants {
		for _, e := range t.granted {
			if t.clock(now) < t.until {
				out = append(out, claim{e.Slice.Lo, e.Slice.Hi, t.ID})
			}
		}
		for _, w := range t.queue {
			if w.epoch == t.epoch && t.grants(w.slice, w.fence, now) {
				out = append(out, claim{w.hash, w.hash, t.ID})
			}
		}
		return out
	}
	for _, w := range t.queue {
		out = append(out, claim{w.hash, w.hash, t.ID})
	}
	return out
}
