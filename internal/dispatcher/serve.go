package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/relay"
	"github.com/flamingoreel/flamingoreel/internal/target"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

// job is the state of one request while the dispatcher serves it.
type job struct {
	req         *relay.Request
	worker      *worker
	table       *control.Table
	service     *text.Service
	fingerprint uint64
	hash        uint64
	arrived     time.Duration
	// alone is true if the request must run as the only request in flight on
	// its target, because it was in flight when a target crashed.
	alone bool
}

// Serve runs a request on its target and returns the complete response. An error
// with outcome not_run means that no byte of the request reached a target, or
// that the target refused it before running it.
func (d *Dispatcher) Serve(ctx context.Context, req *relay.Request) (*relay.Reply, *errkind.Error) {
	j, err := d.accept(req)
	if err != nil {
		return nil, err
	}
	for {
		slot, err := d.admit(ctx, j)
		if err != nil {
			return nil, err
		}
		if req.Idempotent() {
			return d.runIdempotent(ctx, j, slot)
		}
		reply, err := d.runOnce(ctx, j, slot)
		if err == nil || err.Kind != errkind.StartedElsewhere {
			return reply, err
		}
		stored, err := d.awaitResponse(ctx, j)
		if err != nil || stored != nil {
			return stored, err
		}
	}
}

// admit waits for a slot and adds the request to those in flight. It checks the
// crash suspicions again after the wait, because a target may have crashed in the
// meantime.
func (d *Dispatcher) admit(ctx context.Context, j *job) (*admission.Slot, *errkind.Error) {
	for {
		if d.crashes.Refused(d.cfg.Now(), j.fingerprint) {
			return nil, errkind.New(errkind.KnownCrasher, "this request crashed two targets")
		}
		j.alone = d.crashes.MustRunAlone(d.cfg.Now(), j.fingerprint)
		slot, err := j.worker.gate.Acquire(ctx, d.slotRequest(ctx, j))
		if err != nil {
			return nil, err
		}
		now := d.cfg.Now()
		if d.crashes.Refused(now, j.fingerprint) || d.crashes.MustRunAlone(now, j.fingerprint) != j.alone {
			slot.Release(admission.Result{})
			continue
		}
		d.metrics.observe(d.metrics.queue, j, now-j.arrived)
		if err := j.worker.begin(j.req.Slice, j.req.Fence, j.hash); err != nil {
			slot.Release(admission.Result{})
			return nil, err
		}
		return slot, nil
	}
}

// responseMarginDivisor sets the time reserved for returning the response of
// another attempt: the remaining time divided by responseMarginDivisor.
const responseMarginDivisor = 10

// awaitResponse waits for the response of another attempt without holding a slot.
// Both results are nil if no other attempt can run any more.
func (d *Dispatcher) awaitResponse(ctx context.Context, j *job) (*relay.Reply, *errkind.Error) {
	left := remaining(ctx, j.table)
	ctx, cancel := context.WithTimeout(ctx, left-left/responseMarginDivisor)
	defer cancel()
	answer, err := d.cfg.Records.Await(ctx, j.recordRequest())
	if err != nil || answer == nil {
		return nil, err
	}
	return storedReply(answer), nil
}

// recordRequest returns the request to the record holders to begin a record.
func (j *job) recordRequest() record.BeginRequest {
	return record.BeginRequest{
		ID:          j.req.ID(),
		Fingerprint: j.fingerprint,
		FirstSent:   j.req.FirstSentMs,
		Retention:   j.table.Text().RecordRetention,
		HolderSets:  j.table.HolderSets(j.req.Residency),
		NoWait:      true,
	}
}

// accept checks a request against the lease and the routing table of this VM and
// returns its job.
func (d *Dispatcher) accept(req *relay.Request) (*job, *errkind.Error) {
	if !d.cfg.LeaseValid() {
		return nil, errkind.New(errkind.NoLease, "this VM has no valid lease")
	}
	if !req.Residency.Allows(d.cfg.Region) {
		return nil, errkind.New(errkind.WrongRegion, "region %s is outside the tenant's home regions", d.cfg.Region)
	}
	table := d.cfg.Table()
	service, ok := table.Service(req.Service)
	if !ok {
		return nil, errkind.New(errkind.UnknownService, "service %s is not configured", req.Service)
	}
	j := &job{req: req, table: table, service: service, fingerprint: req.Fingerprint(), hash: req.KeyHash(), arrived: d.cfg.Now()}
	if service.Ownership == text.Exclusive {
		if err := checkRoute(table, req, j.hash); err != nil {
			return nil, err
		}
	}
	j.worker = d.worker(req.Target)
	if j.worker == nil {
		return nil, errkind.New(errkind.StaleRoute, "this VM does not dispatch target %s", req.Target)
	}
	return j, nil
}

// checkRoute refuses a request that the entry VM routed to another owner, slice or
// fence than this VM's routing table has.
func checkRoute(table *control.Table, req *relay.Request, hash uint64) *errkind.Error {
	route, err := table.Route(req.Service, req.Residency, hash)
	if err != nil {
		return err
	}
	if route.Slice.ID != req.Slice || route.Fence != req.Fence || route.Target.ID != req.Target {
		return errkind.New(errkind.StaleRoute, "the key's owner changed")
	}
	return nil
}

func (d *Dispatcher) slotRequest(ctx context.Context, j *job) admission.Request {
	share := 1
	if t, ok := j.table.Tenant(j.req.Tenant); ok {
		share = t.Share
	}
	class, _ := admission.ParseClass(string(j.req.Class))
	return admission.Request{
		Tenant:      j.req.Tenant,
		Class:       class,
		Share:       share,
		Deadline:    d.cfg.Now() + remaining(ctx, j.table),
		Fingerprint: j.fingerprint,
		Alone:       j.alone,
	}
}

// remaining returns the time until the deadline of ctx.
func remaining(ctx context.Context, table *control.Table) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return table.Text().Limits.DefaultDeadline
}

// runIdempotent sends an idempotent request. The request is cancelled with ctx,
// and fails with target_lost when the target stops answering renewals.
func (d *Dispatcher) runIdempotent(ctx context.Context, j *job, slot *admission.Slot) (*relay.Reply, *errkind.Error) {
	defer j.worker.end(j.req.Slice)
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-j.worker.unreachableSignal():
			cancel()
		case <-sendCtx.Done():
		}
	}()
	reply, err := d.send(sendCtx, j, slot)
	if err != nil && err.Kind == errkind.AnswerTimeout && ctx.Err() == nil {
		return nil, errkind.New(errkind.TargetLost, "target %s stopped answering", j.req.Target)
	}
	return reply, err
}

// runOnce sends a non-idempotent request if its record allows it. Once sent, the
// request is not cancelled: the dispatcher waits for the response beyond the
// deadline, so that a retry gets it from the record.
func (d *Dispatcher) runOnce(ctx context.Context, j *job, slot *admission.Slot) (*relay.Reply, *errkind.Error) {
	running, stored, err := d.cfg.Records.Begin(ctx, j.recordRequest())
	if err == nil && stored == nil {
		err = d.maySend(ctx, j)
		if err != nil {
			running.Abort(context.WithoutCancel(ctx))
		}
	}
	if err != nil || stored != nil {
		j.worker.end(j.req.Slice)
		slot.Release(admission.Result{})
		if err != nil {
			return nil, err
		}
		return storedReply(stored), nil
	}
	type result struct {
		reply *relay.Reply
		err   *errkind.Error
	}
	results := make(chan result, 1)
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		defer j.worker.end(j.req.Slice)
		sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining(ctx, j.table)+LateResponseTimeout)
		defer cancel()
		reply, err := d.send(sendCtx, j, slot)
		d.completeRecord(sendCtx, running, reply, err)
		results <- result{reply, err}
	}()
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, errkind.New(errkind.AnswerTimeout, "the target did not answer before the deadline")
	}
}

// maySend checks again, after the record was started, that the request may be
// sent, because the deadline or the lease of this VM may have expired while the
// record was stored.
func (d *Dispatcher) maySend(ctx context.Context, j *job) *errkind.Error {
	if ctx.Err() != nil {
		return errkind.New(errkind.QueueTimeout, "the deadline passed before the request was sent")
	}
	return j.worker.check(j.req.Slice, j.req.Fence)
}

// completeRecord updates the record with the result of the request: it stores a
// response, aborts the attempt if the request did not run, and otherwise leaves
// the record started.
func (d *Dispatcher) completeRecord(ctx context.Context, running *record.Running, reply *relay.Reply, err *errkind.Error) {
	ctx = context.WithoutCancel(ctx)
	if err == nil {
		running.Finish(ctx, record.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body})
		return
	}
	if err.Outcome() == errkind.NotRun {
		running.Abort(ctx)
	}
}

// storedReply returns the response stored in a record.
func storedReply(a *record.Response) *relay.Reply {
	return &relay.Reply{Status: a.Status, Header: a.Header, Body: a.Body, Stored: true}
}

// send sends the request to the target, waits for the response and releases the
// slot.
func (d *Dispatcher) send(ctx context.Context, j *job, slot *admission.Slot) (*relay.Reply, *errkind.Error) {
	started := d.cfg.Now()
	resp, err := j.worker.client.Do(ctx, j.targetRequest(ctx))
	latency := d.cfg.Now() - started
	if err != nil {
		e := errkind.From(err)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The actual latency is higher. Without these samples a target
			// that answers no request in time would look idle.
			j.worker.latency.add(started+latency, latency)
		}
		if e.Kind == errkind.TargetLost {
			d.recordCrash(j)
		}
		slot.Release(admission.Result{Latency: latency, Crashed: e.Kind == errkind.TargetLost})
		d.metrics.countError(j, e.Kind)
		return nil, e
	}
	j.worker.latency.add(started+latency, latency)
	slot.Release(admission.Result{Latency: latency, OK: resp.Status < http.StatusInternalServerError})
	if j.alone {
		d.crashes.Clear(j.fingerprint)
		d.shareSuspicions()
	}
	d.metrics.observe(d.metrics.service, j, latency)
	return &relay.Reply{Status: resp.Status, Header: resp.Header, Body: resp.Body, Target: j.req.Target}, nil
}

// recordCrash records that the connection to the target was lost during the
// request. It must be called before the request releases its slot, so that all
// requests in flight are recorded.
func (d *Dispatcher) recordCrash(j *job) {
	d.crashes.RecordCrash(d.cfg.Now(), j.req.Target, j.worker.incarnation(), j.worker.gate.InFlight())
	d.shareSuspicions()
	d.cfg.Logger.WithFields(logFields(j)).Warn("target connection lost during request")
}

// shareSuspicions sends the pending crash suspicions to the other VMs.
func (d *Dispatcher) shareSuspicions() {
	if pending := d.crashes.Drain(); len(pending) > 0 && d.cfg.ShareSuspicions != nil {
		d.cfg.ShareSuspicions(pending)
	}
}

// targetRequest returns the request to the target, with headers for the terms of
// the dispatch contract.
func (j *job) targetRequest(ctx context.Context) target.Request {
	header := j.req.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(target.HeaderTenant, j.req.Tenant)
	header.Set(target.HeaderService, j.req.Service)
	header.Set(target.HeaderKey, j.req.Key)
	header.Set(target.HeaderClass, string(j.req.Class))
	header.Set(target.HeaderEpoch, strconv.FormatUint(uint64(j.worker.epoch()), 10))
	header.Set(target.HeaderDeadline, strconv.FormatInt(max(remaining(ctx, j.table).Milliseconds(), 1), 10))
	if j.req.Slice != 0 {
		header.Set(target.HeaderSlice, strconv.FormatUint(uint64(j.req.Slice), 10))
		header.Set(target.HeaderFence, strconv.FormatUint(uint64(j.req.Fence), 10))
	}
	if j.req.IdempotencyKey != "" {
		header.Set(target.HeaderIdemKey, j.req.IdempotencyKey)
	}
	return target.Request{
		Method:           j.req.Method,
		Path:             j.req.Path,
		Header:           header,
		Body:             j.req.Body,
		MaxResponseBytes: j.table.Text().Limits.MaxResponseBytes,
	}
}

func (w *worker) incarnation() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.contract.Target.Incarnation
}
