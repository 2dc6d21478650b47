package controller

import (
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/registry"
	"github.com/flamingoreel/flamingoreel/internal/storage"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Intervals of the control goroutine and of the replica. They are longer than
// the defaults of consensus, because bytes between regions are priced: four
// followers at 200 ms cost about 5 KB/s.
const (
	tickInterval      = 30 * time.Millisecond
	planInterval      = 60 * time.Millisecond
	memberInterval    = 300 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	electionMin       = 500 * time.Millisecond
	electionMax       = 750 * time.Millisecond
	leaderLease       = 430 * time.Millisecond
	// reopenInterval is the time between two attempts to use a failed disk again.
	reopenInterval = 2 * time.Second
	// compactEvery is the number of entries between two snapshots.
	compactEvery = 1024
)

// loop is the control goroutine.
type loop struct {
	c      *Controller
	logger log.Interface
	events queue
	ended  chan struct{}
	turn   turn

	store     *storage.Store
	replicaID string
	replica   *consensus.Node
	// failed says that a write failed, at failedAt. The replica is then opened
	// again from what is on disk.
	failed   bool
	failedAt time.Duration

	state     *fleet.State
	applied   uint64
	compacted uint64
	// changed is closed and replaced whenever the state changes.
	changed chan struct{}
	// deltas holds what changed after each revision that was asked for.
	deltas map[uint64]*sharedDelta

	registry *registry.Registry
	// shortSince is when this VM saw first that fewer replicas vote than the
	// tolerated losses need; 0 while there are enough. Followers keep it as well, so
	// that the next leader does not begin anew.
	shortSince time.Duration
	lastPlan   time.Duration
	lastMember time.Duration
	candidates map[string]candidate
	waiting    map[uint64]proposal
	// fresh is when the state last held all that the leader had committed then.
	fresh freshness
	// entrySeen is when each entry was last known to follow a control VM.
	entrySeen map[string]time.Duration
}

// proposal waits for its entry to be committed.
type proposal struct {
	term uint64
	done chan<- *errkind.Error
}

func newLoop(c *Controller) *loop {
	return &loop{
		c: c, logger: c.cfg.Logger,
		events: newQueue(), ended: make(chan struct{}),
		state: fleet.NewState(), changed: make(chan struct{}), deltas: make(map[uint64]*sharedDelta),
		candidates: make(map[string]candidate), waiting: make(map[uint64]proposal), entrySeen: make(map[string]time.Duration),
	}
}

// vmOf returns the VM of a replica ID, which is "address/identity".
func vmOf(replicaID string) string {
	addr, _, _ := strings.Cut(replicaID, "/")
	return addr
}

// open opens the data directory and starts the replica from it. An empty one
// begins the first log on a seed at the first start and otherwise gets a new
// identity, so that a replica that lost its disk never votes as the old one.
func (l *loop) open() error {
	store, rec, err := storage.Open(l.c.cfg.DataDir)
	if err != nil {
		return err
	}
	l.store = store
	l.replicaID = rec.ReplicaID
	empty := rec.Snapshot == nil && len(rec.Entries) == 0 && rec.HardState.Term == 0
	first := l.firstVoters()
	if l.replicaID == "" {
		if l.replicaID, err = l.drawIdentity(first); err != nil {
			return err
		}
		if err := store.SetReplicaID(l.replicaID); err != nil {
			return err
		}
	}
	if empty && first.IsVoter(l.replicaID) {
		hs, entries, err := consensus.InitialLog(first)
		if err != nil {
			return err
		}
		if err := store.Save(&hs, entries); err != nil {
			return err
		}
		rec.HardState, rec.Entries = hs, entries
	}
	return l.startReplica(rec)
}

// firstVoters returns the membership with which the log begins: the seeds, at
// the first start of the deployment. All VMs have the same seeds then.
func (l *loop) firstVoters() consensus.Membership {
	if !l.c.cfg.Bootstrap {
		return consensus.Membership{}
	}
	var m consensus.Membership
	for _, seed := range l.c.cfg.Seeds {
		m = m.WithVoter(seed + "/" + storage.BootstrapIdentity)
	}
	return m
}

func (l *loop) drawIdentity(first consensus.Membership) (string, error) {
	own := l.c.cfg.Addr + "/" + storage.BootstrapIdentity
	if first.IsVoter(own) {
		return own, nil
	}
	return storage.DrawReplicaID(l.c.cfg.Addr)
}

func (l *loop) startReplica(rec storage.Recovered) error {
	replica, err := consensus.New(consensus.Config{
		ID: l.replicaID, Seed: l.c.cfg.Seed,
		HeartbeatInterval: heartbeatInterval, ElectionMin: electionMin, ElectionMax: electionMax,
		LeaderLease: leaderLease,
	}, consensus.Membership{}, rec.HardState, rec.Snapshot, rec.Entries)
	if err != nil {
		return err
	}
	if rec.Snapshot != nil {
		l.install(*rec.Snapshot)
	}
	l.replica = replica
	l.logger.WithFields(log.Fields{
		"replica": l.replicaID, "voters": len(replica.Membership().Voters),
		"entries": len(rec.Entries), "applied": l.applied,
	}).Info("replica started")
	return nil
}

func (l *loop) tick() {
	now := l.c.now()
	if l.failed && now-l.failedAt >= reopenInterval {
		l.reopen(now)
	}
	if l.failed {
		return
	}
	l.replica.Tick(now)
	l.enoughVoters(now) // notes since when votes are missing
	l.watchLeadership(now)
	if !l.leading(now) {
		return
	}
	if now-l.lastPlan >= planInterval {
		l.lastPlan = now
		l.timed(workPlan, func() { l.plan(now) })
	}
	if now-l.lastMember >= memberInterval {
		l.lastMember = now
		l.timed(workMembers, func() { l.reconcileMembers(now) })
	}
}

// plan proposes the moves of keys that are due.
func (l *loop) plan(now time.Duration) {
	for _, cmd := range l.registry.Plan(now, l.state) {
		l.logShard(cmd.Shard)
		l.propose(now, cmd, nil)
	}
}

// leading reports whether this VM may act as leader now.
func (l *loop) leading(now time.Duration) bool {
	return !l.failed && l.registry != nil && l.replica.LeaseValid(now)
}

// watchLeadership begins a registry when leadership begins and drops it, with
// all waiting proposals, when leadership ends.
func (l *loop) watchLeadership(now time.Duration) {
	leads := l.replica.Role() == consensus.Leader && l.replica.ReadIndexReady()
	switch {
	case leads && l.registry == nil:
		l.logger.WithFields(log.Fields{"replica": l.replicaID, "term": l.replica.Term()}).Info("control leadership gained")
		l.registry = registry.New(now)
	case !leads && l.registry != nil:
		l.logger.WithFields(log.Fields{"replica": l.replicaID, "term": l.replica.Term()}).Warn("control leadership lost")
		l.registry = nil
		for index, p := range l.waiting {
			p.done <- errkind.New(errkind.Internal, "control leadership was lost before the change was confirmed")
			delete(l.waiting, index)
		}
	}
	l.publishLeader()
}

// publishLeader makes the leader known to the goroutines that pass calls on.
func (l *loop) publishLeader() {
	leader := vmOf(l.replica.Leader())
	if leader == l.c.cfg.Addr && l.registry == nil {
		leader = ""
	}
	// A follower that hears from no leader keeps the last one as a hint: a replica
	// outside the membership learns it from introductions only.
	hint := leader == "" && l.replica.Role() == consensus.Follower && l.c.Leader() != l.c.cfg.Addr
	if leader != l.c.Leader() && !hint {
		l.c.leader.set(leader)
		l.logger.WithFields(log.Fields{"leader": leader, "term": l.replica.Term()}).Info("control leader changed")
	}
}

// logShard records which rows a plan moves or gives to a new holder.
func (l *loop) logShard(change *fleet.ShardChange) {
	for _, row := range change.Shard.Rows {
		if row.Granted && !row.Moving() {
			continue
		}
		l.logger.WithFields(log.Fields{
			"service": change.Shard.Service, "from": row.From, "to": row.To, "fence": row.Fence,
			"holder": row.Holder.ID, "next": row.Next.ID, "handover": row.Handover != "",
			"usage": l.registry.Usage(change.Shard.Service, row.Holder),
		}).Info("row planned")
	}
}

// propose replicates a command. done, if not nil, gets the result of applying
// it; it needs room for one value.
func (l *loop) propose(now time.Duration, cmd fleet.Command, done chan<- *errkind.Error) {
	data, err := wire.Marshal(&cmd)
	if err == nil {
		var index, term uint64
		if index, term, err = l.replica.Propose(now, data); err == nil {
			if done != nil {
				l.waiting[index] = proposal{term: term, done: done}
			}
			return
		}
	}
	l.logger.WithError(err).Warn("command not proposed")
	if done != nil {
		done <- errkind.From(err)
	}
}

// process carries out what the replica asks for: sync, send, apply.
func (l *loop) process() {
	for !l.failed && l.replica.HasReady() {
		ready := l.replica.Ready()
		var failure error
		l.timed(workPersist, func() { failure = l.store.SaveReady(ready) })
		if failure != nil {
			l.fail(failure)
			return
		}
		if ready.Snapshot != nil {
			l.install(*ready.Snapshot)
		}
		l.timed(workSend, func() { l.send(ready.Messages) })
		l.timed(workApply, func() { l.applyAll(ready.Committed) })
		l.replica.Advance(l.c.now(), ready)
		if l.applied-l.compacted >= compactEvery {
			l.timed(workCompact, l.compact)
		}
	}
	l.fresh.applied(l.applied)
	if !l.failed {
		l.watchLeadership(l.c.now())
	}
}

// fail silences the replica: it must not acknowledge what may not be on disk.
// The VM goes on passing calls to the leader.
func (l *loop) fail(err error) {
	l.failed, l.failedAt = true, l.c.now()
	l.registry = nil
	for index, p := range l.waiting {
		p.done <- errkind.Wrap(errkind.DiskFailed, err, "storage failed")
		delete(l.waiting, index)
	}
	l.logger.WithError(err).Error("storage failed, the replica stops acknowledging")
}

// reopen starts the replica again from its data directory, as a restart of the
// process would: a disk that was full or hung may work again.
func (l *loop) reopen(now time.Duration) {
	l.failedAt = now
	if err := l.store.Close(); err != nil {
		l.logger.WithError(err).Warn("data directory not closed")
	}
	l.state, l.applied, l.compacted, l.fresh = fleet.NewState(), 0, 0, freshness{}
	clear(l.deltas)
	if err := l.open(); err != nil {
		l.logger.WithError(err).Warn("storage still fails")
		return
	}
	l.failed = false
}

func (l *loop) install(snap consensus.Snapshot) {
	if snap.Index <= l.applied || len(snap.Data) == 0 {
		return
	}
	state, err := fleet.Restore(snap.Data)
	if err != nil {
		l.fail(err)
		return
	}
	l.state, l.applied, l.compacted = state, snap.Index, snap.Index
	l.notify()
}

func (l *loop) send(messages []consensus.Message) {
	for _, m := range messages {
		payload, err := consensus.EncodeMessage(m)
		if err != nil {
			l.logger.WithError(err).Error("message cannot be encoded")
			continue
		}
		l.c.links.SetPeer(vmOf(m.To), vmOf(m.To))
		l.c.links.Send(vmOf(m.To), watch.MethodReplica, payload)
	}
}

func (l *loop) applyAll(entries []consensus.Entry) {
	changed := false
	for _, e := range entries {
		l.applied = e.Index
		if e.Type != consensus.EntryCommand {
			l.membershipChanged(e)
			continue
		}
		result := l.state.Apply(e.Index, e.Data)
		changed = changed || len(e.Data) > 0
		if p, ok := l.waiting[e.Index]; ok {
			delete(l.waiting, e.Index)
			if p.term != e.Term {
				result = errkind.New(errkind.Internal, "the change was replaced by one of another leader")
			}
			p.done <- result
		}
	}
	if changed {
		l.notify()
	}
}

// membershipChanged notes a committed membership and lets the leader go on to the
// next one at once: until a replaced replica's successor votes, changes wait.
func (l *loop) membershipChanged(e consensus.Entry) {
	m, err := consensus.DecodeMembership(e)
	if err != nil {
		return
	}
	l.lastMember = 0
	if l.enough(m) {
		l.shortSince = 0
	}
	l.logger.WithFields(log.Fields{
		"index": e.Index, "voters": strings.Join(m.Voters, ","), "learners": strings.Join(m.Learners, ","),
	}).Info("membership changed")
}

// notify wakes the watches.
func (l *loop) notify() {
	clear(l.deltas)
	close(l.changed)
	l.changed = make(chan struct{})
}

// compact replaces applied entries by a snapshot.
func (l *loop) compact() {
	data, err := l.state.Snapshot()
	if err != nil {
		l.logger.WithError(err).Error("snapshot cannot be written")
		return
	}
	l.compacted = l.applied
	l.replica.Compact(l.applied, data)
}

func (l *loop) close() {
	if l.store != nil {
		_ = l.store.Close()
	}
}
