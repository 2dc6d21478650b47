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

// Limits for introductions and for the membership of the control log.
const (
	// helloInterval is the time between two introductions to the leader. It bounds
	// how long a new VM waits to be added.
	helloInterval = time.Second
	// leaderlessHelloInterval replaces helloInterval while no leader is known.
	leaderlessHelloInterval = 200 * time.Millisecond
	// helloTimeout bounds the call of one introduction.
	helloTimeout = 500 * time.Millisecond
	// maxContactAge is the maximum age of the last introduction of a control VM or the
	// last watch of an entry VM: three missed introductions.
	maxContactAge = 3 * time.Second
	// voterWaitTimeout is how long changes are refused while there are fewer voters than
	// the tolerated losses require. After that they are confirmed by fewer voters.
	voterWaitTimeout = 3 * time.Second
)

// hello is the introduction of a control VM and its replica.
type hello struct {
	Peer      watch.Peer `msgpack:"p"`
	ReplicaID string     `msgpack:"r"`
	// Watchers are the entry VMs that watch the sender.
	Watchers []fleet.Entry `msgpack:"w"`
	// Level is the level of the sender's state machine; 0 for builds without levels.
	Level int `msgpack:"v,omitempty"`
}

// helloReply is the response to a hello: the leader, "" if none is known, and the
// known control VMs.
type helloReply struct {
	Leader     string       `msgpack:"l"`
	ControlVMs []watch.Peer `msgpack:"k"`
	// Silent is how long members of the control log have been silent, by replica ID. It
	// counts only if the sender leads.
	Silent map[string]time.Duration `msgpack:"q,omitempty"`
}

// watcher is an entry VM that watches this VM, with the time of its last watch.
type watcher struct {
	region, dataCentre string
	at                 time.Duration
}

// introduce periodically introduces this VM to the leader, or to all known control
// VMs while no leader is known. It runs until ctx ends or the VM stops: an
// introduction makes the replica a candidate for a vote. On the leader it records the
// entry VMs instead.
func (c *Controller) introduce(ctx context.Context) {
	for !c.stopping.Load() {
		leader := c.Leader()
		interval := helloInterval
		peers := []watch.Peer{{Addr: leader}}
		if leader == "" {
			interval = leaderlessHelloInterval
			peers = c.ControlVMs()
		}
		if leader == c.cfg.Addr {
			c.loop.post(ctx, routine, c.loop.recordEntries)
			peers = nil
		}
		for _, peer := range peers {
			c.sendHello(ctx, peer.Addr)
		}
		c.forgetVMs(c.now())
		if !clock.Sleep(ctx, interval) {
			return
		}
	}
}

// sendHello introduces this VM to another control VM and evaluates the reply.
func (c *Controller) sendHello(ctx context.Context, addr string) {
	if addr == c.cfg.Addr {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	payload, err := wire.Marshal(&hello{Peer: c.self(), ReplicaID: c.loop.replicaID, Watchers: c.recentWatchers(), Level: fleet.RefreshLevel})
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
		c.cfg.Logger.WithError(err).Warn("reply to an introduction cannot be read")
		return
	}
	c.addPeers(reply.ControlVMs)
	if reply.Leader == addr {
		c.loop.post(ctx, routine, func() { c.loop.roster.reported(c.now(), reply.Silent) })
	}
	c.adoptLeader(addr, reply.Leader)
}

// adoptLeader follows the leader that another control VM named, if this VM knows
// none or follows the VM that named it. A leader known from the local replica takes
// precedence. A VM whose replica knows no leader would otherwise never learn that
// the VM it follows no longer leads.
func (c *Controller) adoptLeader(from, leader string) {
	if leader == "" || leader == c.cfg.Addr {
		return
	}
	if known := c.Leader(); known == "" || known == from {
		c.leader.compareAndSet(known, leader)
	}
}

// forgetLeader drops a leader that does not respond, so that this VM introduces
// itself to all others again. The replica sets the leader again when it receives its
// messages.
func (c *Controller) forgetLeader(addr string) {
	c.leader.compareAndSet(addr, "")
}

func (c *Controller) self() watch.Peer {
	return watch.Peer{
		Addr: c.cfg.Addr, DataCentre: c.cfg.DataCentre, Region: c.cfg.Region, CallAddr: c.cfg.CallAddr, Alive: true,
	}
}

// ControlVMs returns the known control VMs, this one included, sorted by address.
func (c *Controller) ControlVMs() []watch.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []watch.Peer
	for _, addr := range slices.Sorted(maps.Keys(c.known)) {
		peer := c.known[addr]
		if at, ok := c.lastHello[addr]; ok {
			peer.Alive = c.now()-at < maxContactAge
		}
		peers = append(peers, peer)
	}
	return peers
}

// addPeers adds or updates control VMs. A known location is not overwritten by an
// unknown one.
func (c *Controller) addPeers(peers []watch.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range peers {
		if held := c.known[p.Addr]; p.Region == "" && held.Region != "" {
			continue
		}
		if p.Addr != c.cfg.Addr {
			c.known[p.Addr] = p
			c.lastNamed[p.Addr] = c.now()
		}
	}
}

// AddSeeds adds the control VMs that reloaded settings name.
func (c *Controller) AddSeeds(addrs []string) {
	c.mu.Lock()
	c.reloadedSeeds = slices.Clone(addrs)
	c.mu.Unlock()
	for _, addr := range addrs {
		c.addPeers([]watch.Peer{{Addr: addr}})
	}
}

// recentWatchers returns the entry VMs that watched this VM within maxContactAge, and
// drops the others.
func (c *Controller) recentWatchers() []fleet.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []fleet.Entry
	for addr, w := range c.watchers {
		if c.now()-w.at > maxContactAge {
			delete(c.watchers, addr)
			continue
		}
		list = append(list, fleet.Entry{Addr: addr, Region: w.region, DataCentre: w.dataCentre})
	}
	return list
}

// entryGoneAfter is the time after which an entry VM that watches no control VM is
// recorded as gone. It covers a partition of some seconds, during which the entry VM
// continues to serve.
const entryGoneAfter = 20 * time.Second

// recordEntries updates the entry VMs in the replicated state to those that watch
// a control VM. It does nothing unless this VM leads.
func (l *loop) recordEntries() {
	now := l.c.now()
	if !l.leading(now) {
		return
	}
	watching := l.c.recentWatchers()
	for addr, cand := range l.roster.candidates {
		if addr != l.c.cfg.Addr && now-cand.at < maxContactAge {
			watching = append(watching, cand.watchers...)
		}
	}
	if changed := l.roster.entryChanges(now, l.state.Entries(), watching); len(changed) > 0 {
		l.propose(now, fleet.Command{Entries: changed}, nil)
	}
}

// entryChanges returns the entry VMs to record: those that watch and are not known or
// recorded as gone, and those that have watched no control VM for entryGoneAfter.
func (r *roster) entryChanges(now time.Duration, known map[string]fleet.Entry, watching []fleet.Entry) []fleet.Entry {
	var changed []fleet.Entry
	for _, e := range watching {
		r.entrySeen[e.Addr] = now
		if held, ok := known[e.Addr]; !ok || held.Gone {
			changed = append(changed, e)
		}
	}
	for addr, held := range known {
		seen, ok := r.entrySeen[addr]
		if !ok {
			r.entrySeen[addr] = now
		} else if !held.Gone && now-seen > entryGoneAfter {
			held.Gone = true
			changed = append(changed, held)
		}
	}
	return changed
}

// handleHello records a control VM as known and as a candidate.
func (c *Controller) handleHello(ctx context.Context, from string, payload []byte) ([]byte, error) {
	var h hello
	if err := wire.Unmarshal(payload, &h); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "introduction cannot be read")
	}
	if h.Peer.Addr != from || h.ReplicaID == "" {
		// Otherwise the control log could get a member that no VM serves.
		return nil, errkind.New(errkind.BadRequest, "%s introduced %q with the replica %q", from, h.Peer.Addr, h.ReplicaID)
	}
	c.addPeers([]watch.Peer{h.Peer})
	c.mu.Lock()
	c.lastHello[h.Peer.Addr] = c.now()
	c.mu.Unlock()
	reply := helloReply{Leader: c.Leader(), ControlVMs: c.ControlVMs()}
	if silent := c.silent.Load(); silent != nil {
		reply.Silent = *silent
	}
	c.loop.post(ctx, routine, func() {
		c.loop.roster.introduced(h.Peer.Addr, candidate{replicaID: h.ReplicaID, watchers: h.Watchers, level: h.Level, at: c.now()})
	})
	return wire.Marshal(&reply)
}

// handleReplicaMessage delivers a message of the control log to the replica.
func (c *Controller) handleReplicaMessage(ctx context.Context, _ string, payload []byte) ([]byte, error) {
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
			c.loop.fresh.appendReceived(now, m.Commit)
		}
		c.loop.replica.Step(now, m)
	})
	return nil, nil
}

// reconcileMembers changes the membership towards the wanted number of voters. Each
// call proposes at most one change.
func (l *loop) reconcileMembers(now time.Duration) {
	silent := l.roster.silent(l.replica.Status(now).Replicas)
	l.c.silent.Store(&silent)
	l.roster.forget(now, l.replica.Membership())
	l.endSilentTargets(now)
	l.registry.Revives = l.roster.lowestLevel(l.replicaID, l.replica.Membership()) >= fleet.RevivalLevel
	next, reason := nextMembership(l.roster.view(now, l.replica, l.placesOfVMs()))
	if reason == "" {
		return
	}
	if _, _, err := l.replica.ProposeMembership(now, next); err != nil {
		l.logger.WithError(err).Debug("membership change postponed")
		return
	}
	l.logger.WithFields(log.Fields{"reason": reason, "voters": len(next.Voters), "learners": len(next.Learners)}).Info("membership change proposed")
}

// placesOfVMs returns the locations of the known control VMs by link address.
func (l *loop) placesOfVMs() map[string]place {
	places := make(map[string]place)
	for _, peer := range l.c.ControlVMs() {
		places[peer.Addr] = place{region: peer.Region, dataCentre: peer.DataCentre}
	}
	return places
}

// enoughVoters reports whether a membership has enough voters for the tolerated
// losses.
func (l *loop) enoughVoters(m consensus.Membership) bool {
	return len(m.Voters) > 2*l.c.cfg.ToleratedLosses
}

// changesAllowed reports whether changes may be confirmed: there are enough voters
// for the tolerated losses, or there have been too few for longer than
// voterWaitTimeout. It updates votersShortSince.
func (l *loop) changesAllowed(now time.Duration) bool {
	if l.enoughVoters(l.replica.Membership()) {
		l.votersShortSince = 0
		return true
	}
	if l.votersShortSince == 0 {
		l.votersShortSince = now
	}
	return now-l.votersShortSince > voterWaitTimeout
}
