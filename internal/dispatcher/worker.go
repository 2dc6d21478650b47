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

// Timeouts of calls to a target other than requests.
const (
	grantTimeout  = 200 * time.Millisecond
	revokeTimeout = 2 * time.Second
)

// extraConnections is the number of connections that a dispatcher may open to a
// target in addition to one for each slot, for requests that are being cancelled.
const extraConnections = 2

// worker sends the requests of one incarnation of one target under one epoch.
//
// Invariant: a request of a slice is added to inFlight with mu held, only while
// the slice is owned under the request's fence, and stays there until it ends.
type worker struct {
	d              *Dispatcher
	client         *target.Client
	gate           *admission.Gate
	renewRequested chan struct{}
	done           chan struct{}

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
	// renewalSkipped is true if the last renewal was not sent because the VM had
	// no valid lease.
	renewalSkipped bool
	// unreachable is closed and replaced when the target stops answering
	// renewals.
	unreachable chan struct{}
	// clockRead is true once the target has accepted a renewal, and its clock
	// reading is therefore known.
	clockRead bool
	hot       *hotKeyCounter
	// latency is not guarded by mu; it has its own lock.
	latency recentLatency
}

func newWorker(d *Dispatcher, c control.Contract) *worker {
	w := &worker{
		d:              d,
		client:         target.NewClient(c.Target.Address, c.Service.Slots+extraConnections, d.cfg.Dial),
		gate:           admission.NewGateWithClock(gateLimits(c), d.cfg.Now),
		renewRequested: make(chan struct{}, 1),
		done:           make(chan struct{}),
		unreachable:    make(chan struct{}),
		renewer: target.NewRenewer(d.cfg.Now(), target.Contract{
			Target: c.Target.ID, Incarnation: c.Target.Incarnation, VM: d.cfg.VM,
			Epoch: c.Dispatch.Epoch, ChecksGrants: c.Target.ChecksGrants,
		}),
		inFlight: make(map[contract.SliceID]int),
		revoked:  make(map[contract.SliceFence]bool),
		state:    c.Target.State,
		hot:      newHotKeyCounter(),
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

// matches reports whether the worker can continue under a changed contract: the
// incarnation, address and epoch must be unchanged.
func (w *worker) matches(c control.Contract) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.contract.Target.Incarnation == c.Target.Incarnation &&
		w.contract.Target.Address == c.Target.Address &&
		w.contract.Dispatch.Epoch == c.Dispatch.Epoch
}

// update applies a changed contract and requests an immediate renewal, so that a
// new slice is granted without waiting for the next interval.
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
	w.requestRenewal()
}

// requestRenewal makes run renew the grants without waiting for the next interval.
func (w *worker) requestRenewal() {
	select {
	case w.renewRequested <- struct{}{}:
	default:
	}
}

// stop ends renewals and refuses new requests. Requests in flight continue.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopped = true
		close(w.done)
	}
}

// run renews the target's grants and revokes drained slices until the worker is
// stopped or ctx ends.
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
		case <-w.renewRequested:
		}
		w.renew(ctx)
		w.revokeDrained(ctx)
	}
}

// renew sends one grant renewal. Without a valid lease it sends nothing, so that
// the grants of a VM that has lost contact with the control leader expire.
func (w *worker) renew(ctx context.Context) {
	if !w.d.cfg.LeaseValid() {
		w.mu.Lock()
		w.renewalSkipped = true
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
	w.renewalSkipped = false
	if err != nil {
		w.renewer.Failed(receivedAt)
		w.signalUnreachable(receivedAt)
		return
	}
	w.renewer.Reply(sentAt, receivedAt, reply)
	w.updateState(control.TargetState(reply.State))
	if !w.clockRead && reply.Accepted {
		// The first reply only carries a clock reading, so the renewal that
		// grants follows at once. Only the first reply triggers it: a target
		// that grants nothing must not be called in a tight loop.
		w.clockRead = true
		w.requestRenewal()
	}
}

// signalUnreachable cancels the idempotent requests in flight if the target no
// longer answers renewals, so that their entry VMs can send them to the next
// owner instead of waiting for the deadline. The caller holds mu.
func (w *worker) signalUnreachable(now time.Duration) {
	if w.renewer.Reachable(now) {
		return
	}
	close(w.unreachable)
	w.unreachable = make(chan struct{})
}

// unreachableSignal returns a channel that is closed when the target stops
// answering renewals.
func (w *worker) unreachableSignal() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unreachable
}

// updateState stores the state that the target reported, and restarts the
// cold-start ramp if a warm target reports that it became cold. The caller holds
// mu.
func (w *worker) updateState(s control.TargetState) {
	if s == control.Cold && w.state == control.Warm {
		w.gate.Restart(w.d.cfg.Now())
	}
	if s != "" {
		w.state = s
	}
}

// grantSlices returns the slices to grant: all that the target owns, including
// draining ones, except those whose revocation the target has confirmed. The
// caller holds mu.
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

// begin adds a request to inFlight if it may be sent now. Slice 0 stands for a
// service without ownership.
func (w *worker) begin(slice contract.SliceID, fence contract.Fence, hash uint64) *errkind.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkLocked(slice, fence); err != nil {
		return err
	}
	w.inFlight[slice]++
	w.total++
	w.hot.add(hash)
	return nil
}

// check returns an error if a request in flight may not be sent now.
func (w *worker) check(slice contract.SliceID, fence contract.Fence) *errkind.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checkLocked(slice, fence)
}

// checkLocked returns an error if work of the slice may not be sent now. The
// caller holds mu.
func (w *worker) checkLocked(slice contract.SliceID, fence contract.Fence) *errkind.Error {
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

// end removes a request from inFlight. If it was the last one of a draining
// slice, the slice is revoked at once.
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
		w.requestRenewal()
	}
}

// revokeDrained revokes draining slices that have no requests in flight. The
// target replies when none of their work runs any more; until then the slices
// are not reported as stopped.
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

// takeDrained returns the slices to revoke and marks a revocation as running. It
// returns nil while another revocation runs or after the worker was stopped.
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

// report returns the report on the target. It is not known while renewals are
// skipped for lack of a lease: the missing replies and the expired grant are then
// caused by this VM, not by the target.
func (w *worker) report() (report control.TargetReport, known bool) {
	now := w.d.cfg.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.renewalSkipped {
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
		r.StoppedSlices = append(r.StoppedSlices, sf)
	}
	stats := w.gate.Snapshot()
	r.Load = stats.Load
	r.HotHashes, r.HotShares = w.hot.top()
	median, count := w.latency.median(now)
	r.LatencyMicros, r.LatencyCount = median.Microseconds(), count
	return r, true
}
