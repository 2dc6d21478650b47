package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/relay"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

// Limits of a request at an entry VM.
const (
	// maxDeadline bounds the deadline that a caller may request.
	maxDeadline = 60 * time.Second
	// maxKeyBytes bounds the length of an idempotency key, because records
	// store it.
	maxKeyBytes = 256
	// leaseWait is how long a request waits for this VM to regain its lease.
	leaseWait = time.Second
	// minRetryDelay is the shortest delay before the next attempt.
	minRetryDelay = 5 * time.Millisecond
	// maxRetryDelay bounds the delay, without its jitter, while an owner changes.
	maxRetryDelay = 50 * time.Millisecond
	// defaultRetryBudget is the allowed ratio of retries to requests.
	defaultRetryBudget = 0.1
	// defaultHedgeBudget is the allowed ratio of hedges to requests.
	defaultHedgeBudget = 0.05
	// lookupTimeout bounds the look-up of a record after a refusal.
	lookupTimeout = 500 * time.Millisecond
)

// route relays a request and retries it until it gets a reply, may not be retried
// or its deadline passes.
func (e *Entry) route(ctx context.Context, req *relay.Request) (*relay.Reply, *errkind.Error) {
	e.budget.Earn()
	delay := minRetryDelay
	for {
		reply, err := e.try(ctx, req)
		if err == nil {
			return reply, nil
		}
		if !e.mayRetry(req, err) {
			return nil, err
		}
		if !sleep(ctx, delay+rand.N(delay)) {
			return nil, err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// mayRetry reports whether another attempt is safe and within the retry budget.
// A non-idempotent request is retried only after not_run. Attempts that wait for
// an owner reach no target and cost no retry budget.
func (e *Entry) mayRetry(req *relay.Request, err *errkind.Error) bool {
	switch err.Kind {
	case errkind.NoOwner, errkind.StaleRoute, errkind.NoLease, errkind.LinkDown, errkind.TargetUnreachable:
		return true
	case errkind.TargetRefused, errkind.RecordUnavailable, errkind.Stopping:
		return e.budget.Spend()
	case errkind.LinkLost, errkind.TargetLost:
		return req.Idempotent() && e.budget.Spend()
	}
	return false
}

// try makes one attempt with the current routing table.
func (e *Entry) try(ctx context.Context, req *relay.Request) (*relay.Reply, *errkind.Error) {
	if !e.cfg.Router.LeaseValid() {
		return nil, errkind.New(errkind.NoLease, "this VM is not in contact with the control leader")
	}
	table := e.cfg.Router.Table()
	service, ok := table.Service(req.Service)
	if !ok {
		return nil, errkind.New(errkind.UnknownService, "service %s is not configured", req.Service)
	}
	if err := checkDependencies(table, service, req); err != nil {
		return nil, err
	}
	if service.Ownership == text.AnyTarget {
		return e.tryAny(ctx, table, service, req)
	}
	return e.tryOwner(ctx, table, req)
}

// checkDependencies refuses a request early when a required dependency of its
// service, direct or indirect, has no usable target where the request may go.
func checkDependencies(table *control.Table, service *text.Service, req *relay.Request) *errkind.Error {
	for _, d := range service.DependsOn {
		if !d.Required {
			continue
		}
		if !table.HasUsableTarget(d.Service, req.Residency) {
			return errkind.New(errkind.DependencyDown, "service %s, which %s depends on, cannot be served", d.Service, service.Name)
		}
		next, ok := table.Service(d.Service)
		if !ok {
			continue
		}
		if err := checkDependencies(table, next, req); err != nil {
			return err
		}
	}
	return nil
}

// tryOwner relays a request to the dispatcher of its key's owner.
func (e *Entry) tryOwner(ctx context.Context, table *control.Table, req *relay.Request) (*relay.Reply, *errkind.Error) {
	route, err := table.Route(req.Service, req.Residency, req.KeyHash())
	if err != nil {
		return nil, err
	}
	attempt := *req
	attempt.Target = route.Target.ID
	attempt.Slice = route.Slice.ID
	attempt.Fence = route.Fence
	return e.cfg.Router.Relay(ctx, route.Dispatch.VM, &attempt)
}

// confirmRefusal checks, before a non-idempotent request is refused as
// not_run, that no earlier request with the same key has a record. Without this
// check the retry of a POST that ran would be reported as not run.
func (e *Entry) confirmRefusal(ctx context.Context, table *control.Table, req *relay.Request, err *errkind.Error) (*relay.Reply, *errkind.Error) {
	if req.Idempotent() || err.Outcome() != errkind.NotRun || err.Kind == errkind.IDReused {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	found, lookupErr := e.cfg.Records.Lookup(ctx, record.BeginRequest{
		ID: req.ID(), Fingerprint: req.Fingerprint(), FirstSent: req.FirstSentMs,
		Retention: table.Text().RecordRetention, HolderSets: table.HolderSets(req.Residency),
	})
	switch {
	case lookupErr != nil && lookupErr.Outcome() == errkind.Unknown:
		return nil, lookupErr
	case lookupErr != nil:
		return nil, errkind.Wrap(errkind.EarlierUnknown, lookupErr, "this request did not run (%s); whether an earlier one with the same key ran is not known", err.Kind)
	case found == nil:
		return nil, err
	case found.Response == nil:
		return nil, errkind.New(errkind.StartedElsewhere, "an earlier request with the same key was started; its response is not known")
	}
	return storedReply(found.Response), nil
}

// storedReply returns the response stored in a record as a reply.
func storedReply(a *record.Response) *relay.Reply {
	return &relay.Reply{Status: a.Status, Header: a.Header, Body: a.Body, Stored: true}
}

// sleep waits for d. It returns false if ctx ends or its deadline leaves no time
// for another attempt.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
