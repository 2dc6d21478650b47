package vm

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/storage"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Sizes and intervals of the control goroutine.
const (
	// eventQueueLength bounds the events queued for the control goroutine.
	eventQueueLength = 1024
	// eventBatch is the number of events handled before their effects are
	// synced, so that one sync serves several messages.
	eventBatch = 64
	// planInterval is the time between two runs of the planner.
	planInterval = 20 * time.Millisecond
	// membershipInterval is the time between two checks of the log's membership.
	membershipInterval = time.Second
	// recentCommands is the number of commands that a leader keeps for VMs
	// that are behind; a VM further behind gets a snapshot.
	recentCommands = 4096
	// entriesPerSnapshot is the number of log entries between two snapshots.
	entriesPerSnapshot = 4096
)

// loop is the control goroutine of a VM. Only this goroutine accesses the
// replica, its storage, the control state and the planner; other goroutines
// pass functions to it with post.
type loop struct {
	v      *VM
	logger log.Interface
	events chan func()
	ended  chan struct{}

	// replicaID names this VM's replica; it is empty without a data directory.
	replicaID string
	store     *storage.Store
	recovered storage.Recovered
	// hadLog says that storage held a log at the start, so that the membership
	// is known.
	hadLog bool
	// initial is the initial membership of the log, if known.
	initial *consensus.Membership
	replica *consensus.Node
	failed  bool
	// storageFailed is a copy of failed for readers outside the control goroutine.
	storageFailed atomic.Bool
	// leads says whether this VM has a planner, for readers outside the control
	// goroutine.
	leads atomic.Bool
	// reported maps VMs to the configuration numbers that they reported to this
	// leader.
	reported sync.Map

	state         *control.State
	applied       uint64
	snapshotIndex uint64

	planner        *control.Planner
	lastPlan       time.Duration
	lastMembership time.Duration
	replicaOf      map[string]string
	recent         []control.IndexedCommand
	// recentBase is the state version before the first command of recent.
	recentBase uint64
	waiting    map[uint64]proposal
	pending    pendingLease
	dirty      bool
}

// proposal is a proposed configuration change that waits until its entry is
// committed.
type proposal struct {
	term  uint64
	reply chan<- proposalResult
}

type proposalResult struct {
	change *control.ChangeResult
	err    *errkind.Error
}

// pendingLease is a granted lease whose state version is not applied yet.
type pendingLease struct {
	version uint64
	until   time.Duration
}

// buildControl creates the state of the control goroutine and opens the data
// directory if there is one.
func (v *VM) buildControl() error {
	v.loop = &loop{
		v: v, logger: v.cfg.Logger,
		events:    make(chan func(), eventQueueLength),
		ended:     make(chan struct{}),
		state:     control.NewState(),
		replicaOf: make(map[string]string),
		waiting:   make(map[uint64]proposal),
	}
	if v.cfg.DataDir == "" {
		return nil
	}
	return v.loop.openStorage()
}

// post queues an event for the control goroutine. Events are dropped after that
// goroutine has ended.
func (l *loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.ended:
	}
}

// run handles events and ticks until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.ended)
	ticks := make(chan struct{}, 1)
	go l.tickEvery(ctx, ticks)
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			event()
			l.handleBatch()
		case <-ticks:
			l.tick()
		}
		l.process()
	}
}

// tickEvery sends a tick after each interval, unless the previous one is still
// pending. It sleeps instead of using a ticker, because Go 1.26.8 with the race
// detector crashed in a test with virtual time when the control goroutine
// received from the channel of a ticker that was due.
func (l *loop) tickEvery(ctx context.Context, ticks chan<- struct{}) {
	for ctx.Err() == nil {
		time.Sleep(consensus.TickInterval)
		select {
		case ticks <- struct{}{}:
		default:
		}
	}
}

func (l *loop) handleBatch() {
	for range eventBatch {
		select {
		case event := <-l.events:
			event()
		default:
			return
		}
	}
}

// tick advances the replica's time. On the leader it also runs the planner and
// checks the membership when their intervals have passed.
func (l *loop) tick() {
	now := l.v.now()
	if !l.running() {
		return
	}
	l.replica.Tick(now)
	l.watchLeadership(now)
	if l.planner == nil {
		return
	}
	if now-l.lastPlan >= planInterval {
		l.lastPlan = now
		l.plan(now)
	}
	if now-l.lastMembership >= membershipInterval {
		l.lastMembership = now
		l.reconcileMembership(now)
	}
}

// running reports whether this VM has a working replica.
func (l *loop) running() bool { return l.replica != nil && !l.failed }

// leading reports whether this VM may act as control leader at now.
func (l *loop) leading(now time.Duration) bool {
	return l.running() && l.planner != nil && l.replica.LeaseValid(now)
}

// watchLeadership creates a planner when this VM becomes leader. When it loses
// leadership, the planner is removed and all waiting proposals fail.
func (l *loop) watchLeadership(now time.Duration) {
	leads := l.replica.Role() == consensus.Leader && l.replica.CommittedInCurrentTerm()
	switch {
	case leads && l.planner == nil:
		l.logger.WithFields(log.Fields{"vm": l.v.cfg.Name, "term": l.replica.Term()}).Info("control leadership gained")
		l.planner = control.NewPlanner(l.v.cfg.Name)
		l.planner.StartTerm(now)
		l.leads.Store(true)
		l.recent, l.recentBase = nil, l.state.Version()
	case !leads && l.planner != nil:
		l.logger.WithField("vm", l.v.cfg.Name).Warn("control leadership lost")
		l.planner = nil
		l.leads.Store(false)
		for index, p := range l.waiting {
			p.reply <- proposalResult{err: errkind.New(errkind.Internal, "control leadership was lost before the change was confirmed")}
			delete(l.waiting, index)
		}
	}
}

// plan proposes the commands of the planner.
func (l *loop) plan(now time.Duration) {
	if !l.replica.LeaseValid(now) {
		return
	}
	for _, cmd := range l.planner.Plan(now, l.state) {
		data, err := control.Encode(cmd)
		if err != nil {
			l.logger.WithError(err).Error("command cannot be encoded")
			continue
		}
		if _, _, err := l.replica.Propose(now, data); err != nil {
			return
		}
	}
}

// process handles the output of the replica: it syncs entries, sends messages
// and applies committed entries.
func (l *loop) process() {
	for l.running() && l.replica.HasReady() {
		ready := l.replica.Ready()
		if !l.save(ready) {
			return
		}
		l.send(ready.Messages)
		before := l.state.Version()
		commands := l.applyAll(ready.Committed)
		l.replica.Advance(l.v.now(), ready)
		l.push(before, commands)
		l.compactLog()
	}
	l.publish()
}

// save syncs a Ready to storage. After a failed write the replica stops
// permanently, because it must not acknowledge entries that may not be on disk.
func (l *loop) save(r consensus.Ready) bool {
	if err := l.store.SaveReady(r); err != nil {
		l.fail(err, "storage failed, the replica stops acknowledging")
		return false
	}
	if r.Snapshot != nil {
		l.installSnapshot(*r.Snapshot)
	}
	return true
}

// fail stops the replica permanently. The VM continues as one without a replica.
func (l *loop) fail(err error, message string) {
	l.failed = true
	l.storageFailed.Store(true)
	l.planner = nil
	l.leads.Store(false)
	l.logger.WithError(err).WithField("vm", l.v.cfg.Name).Error(message)
}

func (l *loop) installSnapshot(snap consensus.Snapshot) {
	if snap.Index <= l.applied || len(snap.Data) == 0 {
		return
	}
	state, err := control.Restore(snap.Data)
	if err != nil {
		l.fail(err, "snapshot cannot be restored, the replica stops")
		return
	}
	l.state = state
	l.applied, l.snapshotIndex = snap.Index, snap.Index
	l.recent, l.recentBase = nil, state.Version()
	l.dirty = true
}

// applyAll applies committed entries and returns those that are commands.
func (l *loop) applyAll(entries []consensus.Entry) []control.IndexedCommand {
	var commands []control.IndexedCommand
	for _, e := range entries {
		l.applied = e.Index
		if e.Type != consensus.EntryCommand || len(e.Data) == 0 {
			l.completeProposal(e, nil)
			continue
		}
		result := l.apply(control.IndexedCommand{Index: e.Index, Data: e.Data})
		l.completeProposal(e, result)
		commands = append(commands, control.IndexedCommand{Index: e.Index, Data: e.Data})
	}
	return commands
}

// apply applies one committed command to the control state.
func (l *loop) apply(c control.IndexedCommand) any {
	result, err := l.state.Apply(c.Index, c.Data)
	if err != nil {
		l.logger.WithError(err).WithField("index", c.Index).Warn("command refused")
	}
	l.dirty = true
	l.recent = append(l.recent, c)
	if len(l.recent) > recentCommands {
		drop := len(l.recent) - recentCommands/2
		l.recentBase = l.recent[drop-1].Index
		l.recent = append([]control.IndexedCommand(nil), l.recent[drop:]...)
	}
	if l.planner != nil {
		if cmd, err := control.Decode(c.Data); err == nil {
			l.planner.Applied(l.state, cmd)
		}
	}
	return result
}

// completeProposal sends the result to the proposal that waits for the entry,
// if any. An entry of another term means that another leader's entry replaced
// the proposed one.
func (l *loop) completeProposal(e consensus.Entry, result any) {
	p, ok := l.waiting[e.Index]
	if !ok {
		return
	}
	delete(l.waiting, e.Index)
	if p.term != e.Term {
		p.reply <- proposalResult{err: errkind.New(errkind.Internal, "control leadership was lost before the change was confirmed")}
		return
	}
	change, _ := result.(*control.ChangeResult)
	p.reply <- proposalResult{change: change}
}

// push sends commands to the VMs without a replica, so that they apply a change
// before their next heartbeat.
func (l *loop) push(before uint64, commands []control.IndexedCommand) {
	if len(commands) == 0 || l.planner == nil {
		return
	}
	payload, err := wire.Marshal(pushed{Before: before, Commands: commands})
	if err != nil {
		return
	}
	for _, vm := range l.state.Table().VMs() {
		if vm.Name != l.v.cfg.Name && l.replicaOf[vm.Name] == "" {
			l.v.links.Send(vm.Name, methodPush, payload)
		}
	}
}

// publish makes a changed state visible to request processing. A granted lease
// takes effect only after the state version that came with it is published.
func (l *loop) publish() {
	if l.dirty {
		l.dirty = false
		table := l.state.Table()
		if l.v.table.Swap(table) != table {
			l.connectVMs(table)
			l.v.dispatcher.Update(table)
		}
		// A heartbeat that reports the version tells the leader that this VM
		// uses it, so it is stored last.
		l.v.version.Store(l.state.Version())
	}
	if l.pending.until > 0 && l.state.Version() >= l.pending.version {
		l.v.lease.extend(l.pending.until)
		l.pending = pendingLease{}
	}
}

func (l *loop) connectVMs(table *control.Table) {
	for _, vm := range table.VMs() {
		if vm.Name != l.v.cfg.Name {
			l.v.links.SetPeer(vm.Name, vm.LinkAddr)
		}
	}
}

// compactLog replaces applied entries by a snapshot every entriesPerSnapshot
// entries.
func (l *loop) compactLog() {
	if l.applied-l.snapshotIndex < entriesPerSnapshot {
		return
	}
	data, err := l.state.Snapshot()
	if err != nil {
		l.logger.WithError(err).Error("snapshot cannot be written")
		return
	}
	l.snapshotIndex = l.applied
	l.replica.Compact(l.applied, data)
}

func (l *loop) send(messages []consensus.Message) {
	for _, m := range messages {
		payload, err := consensus.EncodeMessage(m)
		if err != nil {
			l.logger.WithError(err).Error("message cannot be encoded")
			continue
		}
		l.v.links.Send(vmOf(m.To), methodReplica, payload)
	}
}

// renewalReceived handles the response to a heartbeat.
func (l *loop) renewalReceived(r control.LeaseRenewal) {
	if !l.running() {
		l.catchUp(r)
	}
	if r.Granted {
		l.pending = pendingLease{version: r.Version, until: r.SentAt + contract.VMLease}
	}
}

// catchUp applies the commands that came with a renewal on a VM without a
// working replica.
func (l *loop) catchUp(r control.LeaseRenewal) {
	if len(r.Snapshot) > 0 {
		if state, err := control.Restore(r.Snapshot); err == nil && state.Version() > l.state.Version() {
			l.state = state
			l.dirty = true
		}
	}
	l.applyNew(r.Commands)
}

func (l *loop) applyNew(commands []control.IndexedCommand) {
	for _, c := range commands {
		if c.Index > l.state.Version() {
			l.apply(c)
		}
	}
}

// pushed is the payload of a push: commands that follow state version Before.
type pushed struct {
	Before   uint64                   `msgpack:"b"`
	Commands []control.IndexedCommand `msgpack:"c"`
}

// pushReceived applies pushed commands if no earlier command is missing.
func (l *loop) pushReceived(p pushed) {
	if !l.running() && l.state.Version() >= p.Before {
		l.applyNew(p.Commands)
	}
}

// close releases the data directory.
func (l *loop) close() {
	if l.store != nil {
		_ = l.store.Close()
	}
}
