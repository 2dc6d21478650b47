package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Time limits of the membership.
const (
	// helloInterval is the time between two introductions to the other control
	// VMs. It bounds how long a new VM waits to be added.
	helloInterval = time.Second
	// firstHello is the interval until a leader is known.
	firstHello = 200 * time.Millisecond
	// helloTimeout bounds one introduction.
	helloTimeout = 500 * time.Millisecond
	// freshCandidate is how old an introduction may be: three missed ones.
	freshCandidate = 3 * time.Second
	// lostVoter is the silence after which a waiting replica takes a voter's
	// place. It is above a restart and a freeze of a few seconds.
	lostVoter = 6 * time.Second
	// formingTime is how long changes wait for the voters that the tolerated losses
	// need before they are confirmed with fewer.
	formingTime = 3 * time.Second
	// maxLearners bounds the replicas that receive the log without a vote.
	maxLearners = 2
)

// hello introduces a control VM and its replica.
type hello struct {
	Peer      watch.Peer `msgpack:"p"`
	ReplicaID string     `msgpack:"r"`
	// Watchers are the entries that follow this VM.
	Watchers []fleet.Entry `msgpack:"w"`
}

// helloReply names the leader, if known, and other control VMs.
type helloReply struct {
	Leader string       `msgpack:"l"`
	Known  []watch.Peer `msgpack:"k"`
}

// candidate is the newest introduction of a control VM.
type candidate struct {
	replicaID string
	watchers  []fleet.Entry
	at        time.Duration
}

// watcher is an entry that follows this VM.
type watcher struct {
	region, dataCentre string
	at                 time.Duration
}

// introduce tells the leader, or while none is known all control VMs, that this
// VM is there.
func (c *Controller) introduce(ctx context.Context) {
	for {
		leader := c.Leader()
		interval := helloInterval
		targets := []watch.Peer{{Addr: leader}}
		if leader == "" {
			interval = firstHello
			targets = c.Known()
		}
		if leader == c.cfg.Addr {
			c.loop.post(ctx, routine, c.loop.recordEntries)
			targets = nil
		}
		for _, peer := range targets {
			c.sayHello(ctx, peer.Addr)
		}
		if !clock.Pause(ctx, interval) {
			return
		}
	}
}

func (c *Controller) sayHello(ctx context.Context, addr string) {
	if addr == c.cfg.Addr {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	payload, err := wire.Marshal(&hello{Peer: c.self(), ReplicaID: c.loop.replicaID, Watchers: c.watching()})
	if err != nil {
		c.cfg.Logger.WithError(err).Error("introduction cannot be encoded")
		return
	}
	c.links.SetPeer(addr, addr)
	data, err := c.links.Call(ctx, addr, methodHello, payload)
	if err != nil {
		c.forgetLeader(addr)
		return
	}
	var reply helloReply
	if err := wire.Unmarshal(data, &reply); err != nil {
		c.cfg.Logger.WithError(err).Warn("answer to an introduction cannot be read")
		return
	}
	c.learn(reply.Known)
	c.learnLeader(addr, reply.Leader)
}

// learnLeader takes in which VM another one takes for the leader. The replica knows
// better where it has one; a VM without one would never learn that the leader
// which it follows no longer leads.
func (c *Controller) learnLeader(from, leader string) {
	if leader == "" || leader == c.cfg.Addr {
		return
	}
	if known := c.Leader(); known == "" || known == from {
		c.leader.replace(known, leader)
	}
}

// forgetLeader drops a leader that does not answer, so that the VM introduces
// itself to all others again. The replica sets it anew when it hears from it.
func (c *Controller) forgetLeader(addr string) {
	c.leader.replace(addr, "")
}

func (c *Controller) self() watch.Peer {
	return watch.Peer{
		Addr: c.cfg.Addr, DataCentre: c.cfg.DataCentre, Region: c.cfg.Region, CallAddr: c.cfg.CallAddr, Alive: true,
	}
}

// Known returns the control VMs by address.
func (c *Controller) Known() []watch.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []watch.Peer
	for _, addr := range slices.Sorted(maps.Keys(c.known)) {
		peer := c.known[addr]
		if at, ok := c.heard[addr]; ok {
			peer.Alive = c.now()-at < freshCandidate
		}
		peers = append(peers, peer)
	}
	return peers
}

// learn remembers control VMs. What a VM said of its place stays known.
func (c *Controller) learn(peers []watch.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range peers {
		if held := c.known[p.Addr]; p.Region == "" && held.Region != "" {
			continue
		}
		if p.Addr != c.cfg.Addr {
			c.known[p.Addr] = p
		}
	}
}

// AddSeeds adds control VMs that changed settings name.
func (c *Controller) AddSeeds(addrs []string) {
	for _, addr := range addrs {
		c.learn([]watch.Peer{{Addr: addr}})
	}
}

// watching returns the entries that followed this VM lately.
func (c *Controller) watching() []fleet.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []fleet.Entry
	for addr, w := range c.watchers {
		if c.now()-w.at > freshCandidate {
			delete(c.watchers, addr)
			continue
		}
		list = append(list, fleet.Entry{Addr: addr, Region: w.region, DataCentre: w.dataCentre})
	}
	return list
}

// entryKept is how long an entry that follows no control VM still counts. It
// covers a partition of some seconds, in which the entry goes on serving.
const entryKept = 20 * time.Second

// recordEntries brings the recorded entries in line with those that follow a
// control VM. It runs on the leader.
func (l *loop) recordEntries() {
	now := l.c.now()
	if !l.leading(now) {
		return
	}
	following := l.c.watching()
	for addr, cand := range l.candidates {
		if addr != l.c.cfg.Addr && now-cand.at < freshCandidate {
			following = append(following, cand.watchers...)
		}
	}
	var changed []fleet.Entry
	known := l.state.Entries()
	for _, e := range following {
		l.entrySeen[e.Addr] = now
		if held, ok := known[e.Addr]; !ok || held.Gone {
			changed = append(changed, e)
		}
	}
	for addr, held := range known {
		seen, ok := l.entrySeen[addr]
		if !ok {
			l.entrySeen[addr] = now
		} else if !held.Gone && now-seen > entryKept {
			held.Gone = true
			changed = append(changed, held)
		}
	}
	if len(changed) > 0 {
		l.propose(now, fleet.Command{Entries: changed}, nil)
	}
}

// helloReceived records a control VM as a candidate.
func (c *Controller) helloReceived(ctx context.Context, from string, payload []byte) ([]byte, error) {
	var h hello
	if err := wire.Unmarshal(payload, &h); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "introduction cannot be read")
	}
	if h.Peer.Addr != from || h.ReplicaID == "" {
		// It would become a member of the control log that nobody answers for.
		return nil, errkind.New(errkind.BadRequest, "%s introduced %q with the replica %q", from, h.Peer.Addr, h.ReplicaID)
	}
	c.learn([]watch.Peer{h.Peer})
	c.mu.Lock()
	c.heard[h.Peer.Addr] = c.now()
	c.mu.Unlock()
	c.loop.post(ctx, routine, func() {
		c.loop.candidates[h.Peer.Addr] = candidate{replicaID: h.ReplicaID, watchers: h.Watchers, at: c.now()}
	})
	return wire.Marshal(&helloReply{Leader: c.Leader(), Known: c.Known()})
}

// replicaMessage hands a message to the replica.
func (c *Controller) replicaMessage(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	m, err := consensus.DecodeMessage(payload)
	if err != nil {
		return nil, err
	}
	c.loop.post(ctx, urgent, func() {
		if c.loop.failed {
			return
		}
		now := c.now()
		if m.Type == consensus.MsgAppend {
			c.loop.fresh.heard(now, m.Commit)
		}
		c.loop.replica.Step(now, m)
	})
	return nil, nil
}

// reconcileMembers brings the members towards the wanted number of voters, one
// change at a time.
func (l *loop) reconcileMembers(now time.Duration) {
	status := l.replica.Status(now)
	next, reason := nextMembership(memberView{
		current: l.replica.Membership(), self: l.replicaID, wanted: 2*l.c.cfg.Tolerated + 1,
		candidates: l.freshCandidates(now), replicas: status.Replicas,
	})
	if reason == "" {
		return
	}
	if _, _, err := l.replica.ProposeMembership(now, next); err != nil {
		l.logger.WithError(err).Debug("membership change postponed")
		return
	}
	l.logger.WithFields(log.Fields{"reason": reason, "voters": len(next.Voters), "learners": len(next.Learners)}).Info("membership change proposed")
}

func (l *loop) freshCandidates(now time.Duration) []string {
	var ids []string
	for _, addr := range slices.Sorted(maps.Keys(l.candidates)) {
		if c := l.candidates[addr]; now-c.at < freshCandidate {
			ids = append(ids, c.replicaID)
		}
	}
	return ids
}

// memberView is what decides the next change of the membership.
type memberView struct {
	current consensus.Membership
	self    string
	wanted  int
	// candidates are the replicas that introduced themselves lately, by address.
	candidates []string
	replicas   []consensus.ReplicaStatus
}

// nextMembership returns the next membership and why, or no reason when nothing
// is to change. A new replica catches up as a learner before an old one leaves
// for it, so that at most one vote is missing at a time: first the earlier
// replica of its own VM, else a voter that is silent for long.
func nextMembership(v memberView) (consensus.Membership, string) {
	m := v.current
	for _, r := range v.replicas {
		if !r.Voter && r.Silence > lostVoter {
			return m.Without(r.ID), "learner is silent"
		}
	}
	if spare := caughtUp(v.replicas); spare != "" {
		return v.admit(spare)
	}
	for _, id := range v.candidates {
		if !m.IsVoter(id) && !m.IsLearner(id) && len(m.Learners) < maxLearners {
			return m.WithLearner(id), "replica introduced itself"
		}
	}
	return m, ""
}

// caughtUp returns a learner that may vote, or "".
func caughtUp(replicas []consensus.ReplicaStatus) string {
	for _, r := range replicas {
		if !r.Voter && r.CaughtUp {
			return r.ID
		}
	}
	return ""
}

// admit gives a learner a vote, or makes room for it.
func (v memberView) admit(spare string) (consensus.Membership, string) {
	m := v.current
	if len(m.Voters) < v.wanted {
		return m.WithVoter(spare), "replica caught up"
	}
	for _, old := range m.Voters {
		if vmOf(old) == vmOf(spare) && old != v.self {
			return m.Without(old), "identity replaced"
		}
	}
	for _, r := range v.replicas {
		if r.Voter && r.ID != v.self && r.Silence > lostVoter {
			return m.Without(r.ID), "voter is silent"
		}
	}
	return m, ""
}

// enough reports whether as many replicas vote as the tolerated losses need.
func (l *loop) enough(m consensus.Membership) bool {
	return len(m.Voters) > 2*l.c.cfg.Tolerated
}

// enoughVoters reports whether changes may be confirmed: as many replicas as
// the tolerated losses need vote, or they were missing for long enough.
func (l *loop) enoughVoters(now time.Duration) bool {
	if l.enough(l.replica.Membership()) {
		l.shortSince = 0
		return true
	}
	if l.shortSince == 0 {
		l.shortSince = now
	}
	return now-l.shortSince > formingTime
}
