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

// Intervals of the control goroutine and of the replica. The replica's intervals
// are longer than the defaults of package consensus, because traffic between regions
// is billed: heartbeats to four followers every 200 ms cost about 5 KB/s.
const (
	tickInterval       = 30 * time.Millisecond
	planInterval       = 60 * time.Millisecond
	membershipInterval = 300 * time.Millisecond
	heartbeatInterval  = 200 * time.Millisecond
	electionMin        = 500 * time.Millisecond
	electionMax        = 750 * time.Millisecond
	leaderLease        = 430 * time.Millisecond
	// reopenInterval is the time between two attempts to reopen the data directory
	// after a storage failure.
	reopenInterval = 2 * time.Second
	// compactEvery is the number of applied log entries between two snapshots.
	compactEvery = 1024
)

// loop holds the state of the control goroutine.
type loop struct {
	c         *Controller
	logger    log.Interface
	events    queue
	ended     chan struct{}
	iteration iteration

	store     *storage.Store
	replicaID string
	replica   *consensus.Node
	// failed says that a write or the restore of a snapshot failed. The replica is
	// reopened from the data directory reopenInterval after failedAt, the time of
	// the failure or of the last attempt.
	failed   bool
	failedAt time.Duration

	state *fleet.State
	// applied is the index of the last applied entry, compacted that of the last
	// snapshot.
	applied   uint64
	compacted uint64
	// changed is closed and replaced whenever the state changes.
	changed chan struct{}
	// deltas caches the changes after each requested revision until the state
	// changes.
	deltas map[uint64]*sharedDelta

	// registry is nil while this VM does not lead.
	registry *registry.Registry
	// votersShortSince is when this VM first observed that there are fewer voters
	// than the tolerated losses require; 0 while there are enough. Followers maintain
	// it as well, so that a new leader does not restart the wait.
	votersShortSince    time.Duration
	lastPlan            time.Duration
	lastMembershipCheck time.Duration
	lastRefusalCheck    time.Duration
	// refreshedAt is when a heartbeat of a target that repeats what is known was last
	// forwarded to the leader.
	refreshedAt map[fleet.Incarnation]time.Duration
	// roster holds what is known about the replicas of the other control VMs.
	roster *roster
	// proposals holds the commands whose results are awaited, by log index.
	proposals map[uint64]proposal
	// fresh tracks how far the state lags behind the leader.
	fresh freshness
}

// proposal is a command that waits for its entry to be committed.
type proposal struct {
	term uint64
	done chan<- *errkind.Error
}

func newLoop(c *Controller) *loop {
	return &loop{
		c: c, logger: c.cfg.Logger,
		events: newQueue(), ended: make(chan struct{}),
		state: fleet.NewState(), changed: make(chan struct{}), deltas: make(map[uint64]*sharedDelta),
		roster: newRoster(c.cfg.ToleratedLosses, c.cfg.CatchUp), proposals: make(map[uint64]proposal), refreshedAt: make(map[fleet.Incarnation]time.Duration),
	}
}

// vmAddr returns the address of the VM in a replica ID, which has the form
// "address/identity".
func vmAddr(replicaID string) string {
	addr, _, _ := strings.Cut(replicaID, "/")
	return addr
}

// open opens the data directory and starts the replica from it. If the directory is
// empty, a seed at the first start of the deployment creates the initial log, and
// any other VM gets a new identity, so that a replica that lost its disk never votes
// as the old one.
func (l *loop) open() error {
	store, rec, err := storage.Open(l.c.cfg.DataDir)
	if err != nil {
		return err
	}
	l.store = store
	l.replicaID = rec.ReplicaID
	empty := rec.Snapshot == nil && len(rec.Entries) == 0 && rec.HardState.Term == 0
	initial := l.initialVoters()
	if l.replicaID == "" {
		if l.replicaID, err = l.newReplicaID(initial); err != nil {
			return err
		}
		if err := store.SetReplicaID(l.replicaID); err != nil {
			return err
		}
	}
	if empty && initial.IsVoter(l.replicaID) {
		hs, entries, err := consensus.InitialLog(initial)
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

// initialVoters returns the membership of the initial log: the seeds at the first
// start of the deployment, when all VMs have the same seeds, and otherwise none.
func (l *loop) initialVoters() consensus.Membership {
	if !l.c.cfg.Bootstrap {
		return consensus.Membership{}
	}
	var m consensus.Membership
	for _, seed := range l.c.cfg.Seeds {
		m = m.WithVoter(seed + "/" + storage.BootstrapIdentity)
	}
	return m
}

// newReplicaID returns the identity of a replica without data: the bootstrap
// identity for an initial voter, otherwise a random one.
func (l *loop) newReplicaID(initial consensus.Membership) (string, error) {
	own := l.c.cfg.Addr + "/" + storage.BootstrapIdentity
	if initial.IsVoter(own) {
		return own, nil
	}
	return storage.NewReplicaID(l.c.cfg.Addr)
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
		l.installSnapshot(*rec.Snapshot)
	}
	l.replica = replica
	l.logger.WithFields(log.Fields{
		"replica": l.replicaID, "voters": len(replica.Membership().Voters),
		"entries": len(rec.Entries), "applied": l.applied,
	}).Info("replica started")
	return nil
}

// tick runs the periodic work of the replica and, on the leader, of the registry and
// the membership.
func (l *loop) tick() {
	now := l.c.now()
	if l.failed && now-l.failedAt >= reopenInterval {
		l.reopen(now)
	}
	if l.failed {
		return
	}
	l.replica.Tick(now)
	l.changesAllowed(now) // Called only to update votersShortSince.
	l.updateLeadership(now)
	if !l.leading(now) {
		return
	}
	if now-l.lastPlan >= planInterval {
		l.lastPlan = now
		l.timed(workPlan, func() { l.plan(now) })
	}
	l.checkSilentVoters(now)
	if now-l.lastMembershipCheck >= membershipInterval {
		l.lastMembershipCheck = now
		l.timed(workMembers, func() { l.reconcileMembers(now) })
	}
}

// plan proposes the moves of keys that the registry plans.
func (l *loop) plan(now time.Duration) {
	for _, cmd := range l.registry.Plan(now, l.state) {
		l.logShard(cmd.ShardMapChange)
		l.propose(now, cmd, nil)
	}
}

// leading reports whether this VM may act as the leader at now.
func (l *loop) leading(now time.Duration) bool {
	return !l.failed && l.registry != nil && l.replica.LeaseValid(now)
}

// updateLeadership creates the registry when this VM gains leadership. When it loses
// leadership, it drops the registry and fails all pending proposals.
func (l *loop) updateLeadership(now time.Duration) {
	leads := l.replica.Role() == consensus.Leader && l.replica.CommittedInCurrentTerm()
	switch {
	case leads && l.registry == nil:
		l.logger.WithFields(log.Fields{"replica": l.replicaID, "term": l.replica.Term()}).Info("control leadership gained")
		l.registry = registry.New(now, registry.Deployment{HeartbeatInterval: l.c.cfg.HeartbeatInterval, Regions: l.c.cfg.Regions})
		l.roster.elected(now)
	case !leads && l.registry != nil:
		l.logger.WithFields(log.Fields{"replica": l.replicaID, "term": l.replica.Term()}).Warn("control leadership lost")
		l.registry = nil
		l.c.silent.Store(nil)
		for index, p := range l.proposals {
			p.done <- errkind.New(errkind.Internal, "control leadership was lost before the change was confirmed")
			delete(l.proposals, index)
		}
	}
	l.publishLeader()
}

// publishLeader stores the address of the leader for the goroutines that call it.
func (l *loop) publishLeader() {
	leader := vmAddr(l.replica.Leader())
	if leader == l.c.cfg.Addr && l.registry == nil {
		leader = ""
	}
	// A follower that knows no leader keeps the last known one as a hint, because a
	// replica outside the membership learns the leader only from introductions.
	keepHint := leader == "" && l.replica.Role() == consensus.Follower && l.c.Leader() != l.c.cfg.Addr
	if leader != l.c.Leader() && !keepHint {
		l.c.leader.set(leader)
		l.logger.WithFields(log.Fields{"leader": leader, "term": l.replica.Term()}).Info("control leader changed")
	}
}

// logShard logs the rows that a planned change moves or assigns to a new holder.
func (l *loop) logShard(change *fleet.ShardMapChange) {
	for _, row := range change.ShardMap.Rows {
		if row.Granted && !row.Moving() {
			continue
		}
		l.logger.WithFields(log.Fields{
			"service": change.ShardMap.Service, "from": row.From, "to": row.To, "fence": row.Fence,
			"holder": row.Holder.ID, "next": row.Next.ID, "handover": row.Handover != "",
			"usage": l.registry.Utilisation(change.ShardMap.Service, row.Holder),
		}).Info("row planned")
	}
}

// propose appends a command to the replicated log. done, if not nil, receives the
// result of applying it. Its buffer must have room for one value.
func (l *loop) propose(now time.Duration, cmd fleet.Command, done chan<- *errkind.Error) {
	data, err := wire.Marshal(&cmd)
	if err == nil {
		var index, term uint64
		if index, term, err = l.replica.Propose(now, data); err == nil {
			if done != nil {
				l.proposals[index] = proposal{term: term, done: done}
			}
			return
		}
	}
	l.logger.WithError(err).Warn("command not proposed")
	if done != nil {
		done <- errkind.From(err)
	}
}

// processReady handles the replica's Ready results until none is left: it syncs the
// entries, sends the messages and applies what is committed.
func (l *loop) processReady() {
	for !l.failed && l.replica.HasReady() {
		ready := l.replica.Ready()
		var failure error
		l.timed(workPersist, func() { failure = l.store.SaveReady(ready) })
		if failure != nil {
			l.fail(failure)
			return
		}
		if ready.Snapshot != nil {
			l.installSnapshot(*ready.Snapshot)
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
		l.updateLeadership(l.c.now())
	}
}

// fail stops the replica after a storage failure, because it must not acknowledge
// what may not be on disk. The VM continues to forward calls to the leader.
func (l *loop) fail(err error) {
	l.failed, l.failedAt = true, l.c.now()
	l.registry = nil
	for index, p := range l.proposals {
		p.done <- errkind.Wrap(errkind.DiskFailed, err, "storage failed")
		delete(l.proposals, index)
	}
	l.logger.WithError(err).Error("storage failed, the replica stops acknowledging")
}

// reopen restarts the replica from its data directory, as a restart of the process
// would. A disk that was full or hung may work again.
func (l *loop) reopen(now time.Duration) {
	l.failedAt = now
	if err := l.store.Close(); err != nil {
		l.logger.WithError(err).Warn("data directory not closed")
	}
	l.state, l.applied, l.compacted, l.fresh = fleet.NewState(), 0, 0, freshness{}
	clear(l.deltas)
	if err := l.open(); err != nil {
		l.logger.WithError(err).Warn("data directory cannot be reopened")
		return
	}
	l.failed = false
}

// installSnapshot replaces the state by a snapshot that is ahead of it.
func (l *loop) installSnapshot(snap consensus.Snapshot) {
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
		l.c.links.SetPeer(vmAddr(m.To), vmAddr(m.To))
		l.c.links.Send(vmAddr(m.To), watch.MethodReplica, payload)
	}
}

// applyAll applies committed entries and completes their proposals.
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
		if p, ok := l.proposals[e.Index]; ok {
			delete(l.proposals, e.Index)
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

// membershipChanged handles a committed membership. It makes the leader's next
// membership check due at once, because changes wait until the successor of a
// removed voter has its vote.
func (l *loop) membershipChanged(e consensus.Entry) {
	m, err := consensus.DecodeMembership(e)
	if err != nil {
		return
	}
	l.lastMembershipCheck = 0
	if l.enoughVoters(m) {
		l.votersShortSince = 0
	}
	l.logger.WithFields(log.Fields{
		"index": e.Index, "voters": strings.Join(m.Voters, ","), "learners": strings.Join(m.Learners, ","),
	}).Info("membership changed")
}

// notify wakes the waiting watches after a change of the state.
func (l *loop) notify() {
	clear(l.deltas)
	close(l.changed)
	l.changed = make(chan struct{})
}

// compact replaces the applied log entries by a snapshot.
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
