package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

// Time limits of calls to a target outside requests.
const (
	grantTimeout  = 200 * time.Millisecond
	revokeTimeout = 2 * time.Second
)

// spareConnections is the number of connections beyond the slots that a
// dispatcher may open for requests that are being cancelled.
const spareConnections = 2

// worker sends the work of one incarnation of one target under one epoch.
// Invariant: work of a slice starts only under mu while the slice is owned
// under the same fence, and is counted in inFlight until it ends.
type worker struct {
	d      *Dispatcher
	client *target.Client
	gate   *admission.Gate
	kick   chan struct{}
	done   chan struct{}

	mu       sync.Mutex
	contract control.Contract
	slices   map[contract.SliceID]contract.Assignment
	renewer  *target.Renewer
	inFlight map[contract.SliceID]int
	total    int
	revoked  map[contract.SliceFence]bool
	revoking bool
	stopped  bool
	state    control.TargetState
	// silent says that the last renewal was left out for lack of a lease.
	silent bool
	// unreachable is closed and replaced when the target stops answering.
	unreachable chan struct{}
	// read says that the target answered a renewal.
	read bool
	hot  *hotKeys
	// latency has a lock of its own.
	latency recentLatency
}

func newWorker(d *Dispatcher, c control.Contract) *worker {
	w := &worker{
		d:           d,
		client:      target.NewClient(c.Target.Address, c.Service.Slots+spareConnections, d.cfg.Dial),
		gate:        admission.NewGateWithClock(gateLimits(c), d.cfg.Now),
		kick:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		unreachable: make(chan struct{}),
		renewer: target.NewRenewer(d.cfg.Now(), target.Contract{
			Target: c.Target.ID, Incarnation: c.Target.Incarnation, VM: d.cfg.VM,
			Epoch: c.Dispatch.Epoch, ChecksGrants: c.Target.ChecksGrants,
		}),
		inFlight: make(map[contract.SliceID]int),
		revoked:  make(map[contract.SliceFence]bool),
		state:    c.Target.State,
		hot:      newHotKeys(),
	}
	w.update(c)
	return w
}

func gateLimits(c control.Contract) admission.Limits {
	return admission.Limits{
		Slots:      c.Service.Slots,
		ColdSlots:  c.Service.ColdSlots,
		QueueLimit: c.Service.QueueLimit,
	}
}

// serves reports whether the worker may go on under a changed contract.
func (w *worker) serves(c control.Contract) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.contract.Target.Incarnation == c.Target.Incarnation &&
		w.contract.Target.Address == c.Target.Address &&
		w.contract.Dispatch.Epoch == c.Dispatch.Epoch
}

// update takes in a changed contract and asks for a renewal at once, so that
// a new slice is granted without waiting for the next interval.
func (w *worker) update(c control.Contract) {
	slices := make(map[contract.SliceID]contract.Assignment, len(c.Slices))
	for _, s := range c.Slices {
		slices[s.Slice.ID] = s.Assignment
	}
	w.mu.Lock()
	w.contract = c
	w.slices = slices
	for sf := range w.revoked {
		if slices[sf.Slice].Fence != sf.Fence {
			delete(w.revoked, sf)
		}
	}
	w.mu.Unlock()
	w.gate.SetLimits(gateLimits(c))
	w.renewSoon()
}

func (w *worker) renewSoon() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// stop ends renewals and refuses new work; work in flight goes on.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopped = true
		close(w.done)
	}
}

// run renews the target's grants until the contract ends.
func (w *worker) run(ctx context.Context) {
	ticker := time.NewTicker(contract.RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.done:
			return
		case <-ticker.C:
		case <-w.kick:
		}
		w.renew(ctx)
		w.revokeDrained(ctx)
	}
}

// renew sends one grant renewal. Without a valid lease it sends nothing, so
// that the grants of a VM that lost contact to the control leader run out.
func (w *worker) renew(ctx context.Context) {
	if !w.d.cfg.LeaseValid() {
		w.mu.Lock()
		w.silent = true
		w.mu.Unlock()
		return
	}
	w.mu.Lock()
	w.renewer.SetSlices(w.grantSlices())
	sentAt := w.d.cfg.Now()
	req := w.renewer.Next(sentAt)
	w.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	reply, err := w.client.Grant(ctx, req)
	receivedAt := w.d.cfg.Now()

	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = false
	if err != nil {
		w.renewer.Failed(receivedAt)
		w.noteUnreachable(receivedAt)
		return
	}
	w.renewer.Reply(sentAt, receivedAt, reply)
	w.noteState(control.TargetState(reply.State))
	if !w.read && reply.Accepted {
		// The first reply only carries a clock reading; the grant follows at
		// once, and only this time: a target that grants nothing must not be
		// asked without a pause.
		w.read = true
		w.renewSoon()
	}
}

// noteUnreachable gives up the idempotent requests in flight once the target
// does not answer renewals any more, so that their entries can ask the next
// owner instead of waiting for the deadline. The caller holds mu.
func (w *worker) noteUnreachable(now time.Duration) {
	if w.renewer.Reachable(now) {
		return
	}
	close(w.unreachable)
	w.unreachable = make(chan struct{})
}

// untilUnreachable returns a channel that is closed when the target stops
// answering renewals.
func (w *worker) untilUnreachable() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unreachable
}

// noteState keeps the target's own state and restarts the cold-start ramp
// when a warm target reports that it turned cold.
func (w *worker) noteState(s control.TargetState) {
	if s == control.Cold && w.state == control.Warm {
		w.gate.Restart(w.d.cfg.Now())
	}
	if s != "" {
		w.state = s
	}
}

// grantSlices lists the slices to grant: all that the target owns, also
// draining ones whose work still runs, but none that it was asked to revoke.
func (w *worker) grantSlices() []target.GrantSlice {
	slices := make([]target.GrantSlice, 0, len(w.contract.Slices))
	for _, s := range w.contract.Slices {
		a := s.Assignment
		if w.revoked[contract.SliceFence{Slice: a.Slice, Fence: a.Fence}] {
			continue
		}
		if a.Phase == contract.Owned || a.Phase == contract.Draining {
			slices = append(slices, target.GrantSlice{Slice: s.Slice, Fence: a.Fence})
		}
	}
	return slices
}

// begin counts a request in if its slice may be worked on now. Slice 0 stands
// for a service without ownership.
func (w *worker) begin(slice contract.SliceID, fence contract.Fence, hash uint64) *errkind.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.mayWork(slice, fence); err != nil {
		return err
	}
	w.inFlight[slice]++
	w.total++
	w.hot.add(hash)
	return nil
}

// check reports whether a request that was counted in may be sent now.
func (w *worker) check(slice contract.SliceID, fence contract.Fence) *errkind.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mayWork(slice, fence)
}

// mayWork reports whether work of the slice may be sent now. The caller holds
// mu.
func (w *worker) mayWork(slice contract.SliceID, fence contract.Fence) *errkind.Error {
	now := w.d.cfg.Now()
	if w.stopped || !w.d.cfg.LeaseValid() {
		return errkind.New(errkind.StaleRoute, "this VM no longer dispatches target %s", w.contract.Target.ID)
	}
	if !w.renewer.Valid(now) {
		return errkind.New(errkind.TargetUnreachable, "target %s has no valid grant", w.contract.Target.ID)
	}
	if slice == 0 {
		return nil
	}
	a, ok := w.slices[slice]
	if !ok || a.Fence != fence || a.Phase != contract.Owned {
		return errkind.New(errkind.StaleRoute, "slice %d is not owned under fence %d", slice, fence)
	}
	if !w.renewer.Covers(now, slice, fence) {
		return errkind.New(errkind.StaleRoute, "slice %d is not granted yet", slice)
	}
	return nil
}

// end counts a request out and lets a drained slice be revoked at once.
func (w *worker) end(slice contract.SliceID) {
	w.mu.Lock()
	w.total--
	w.inFlight[slice]--
	idle := w.inFlight[slice] == 0
	if idle {
		delete(w.inFlight, slice)
	}
	draining := idle && w.slices[slice].Phase == contract.Draining
	w.mu.Unlock()
	if draining {
		w.renewSoon()
	}
}

// revokeDrained revokes draining slices that have no work in flight. The
// target answers when none of their work runs; until then the slices are not
// reported as stopped.
func (w *worker) revokeDrained(ctx context.Context) {
	drained := w.takeDrained()
	if len(drained) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
		defer cancel()
		reply, err := w.client.Revoke(ctx, target.RevokeRequest{VM: w.d.cfg.VM, Epoch: w.epoch(), Slices: drained})
		w.mu.Lock()
		defer w.mu.Unlock()
		w.revoking = false
		if err != nil || reply.Incarnation != w.contract.Target.Incarnation {
			return
		}
		for _, sf := range reply.Revoked {
			w.revoked[sf] = true
		}
	}()
}

func (w *worker) takeDrained() []contract.SliceFence {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revoking || w.stopped {
		return nil
	}
	var drained []contract.SliceFence
	for id, a := range w.slices {
		sf := contract.SliceFence{Slice: id, Fence: a.Fence}
		if a.Phase == contract.Draining && w.inFlight[id] == 0 && !w.revoked[sf] {
			drained = append(drained, sf)
		}
	}
	w.revoking = len(drained) > 0
	return drained
}

func (w *worker) epoch() contract.Epoch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.contract.Dispatch.Epoch
}

// report says what this dispatcher knows of its target. It knows nothing while
// it left out renewals for lack of a lease: the target's silence and the expired
// grant are then this VM's own doing.
func (w *worker) report() (report control.TargetReport, known bool) {
	now := w.d.cfg.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return control.TargetReport{}, false
	}
	r := control.TargetReport{
		Target:       w.contract.Target.ID,
		Incarnation:  w.contract.Target.Incarnation,
		Epoch:        w.contract.Dispatch.Epoch,
		Reachable:    w.renewer.Reachable(now),
		GrantExpired: w.renewer.Expired(now),
		State:        w.state,
		InFlight:     w.total,
	}
	for sf := range w.revoked {
		r.Stopped = append(r.Stopped, sf)
	}
	stats := w.gate.Snapshot()
	r.Load = stats.Load
	r.HotHashes, r.HotShares = w.hot.top()
	median, count := w.latency.median(now)
	r.LatencyMicros, r.LatencyCount = median.Microseconds(), count
	return r, true
}
