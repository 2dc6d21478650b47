package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

// Headers and paths of requests.
const (
	// HeaderCrash makes the target crash while it runs the request.
	HeaderCrash = "X-Standin-Crash"
	// HeaderTarget carries the ID of the target that responded.
	HeaderTarget = "X-Standin-Target"
	// StatementPath is the path of a statement; the query parameter bytes of
	// the GET sets its size.
	StatementPath = "/statement"
	// maxStatementBytes is the largest size of a statement.
	maxStatementBytes = 256 << 20
)

// request is a parsed request.
type request struct {
	contractRef
	id     RequestID
	key    string
	method string
	amount int64
	// statementBytes is the size of the requested statement, or -1 if the
	// request is for a balance.
	statementBytes int
	// deadline is zero if the request has none.
	deadline time.Time
	crash    bool
}

// posting is the body of a POST. An empty body means an amount of 1.
type posting struct {
	Amount int64 `json:"amount"`
}

// serveRequest runs a request or refuses it with the reason.
func (t *Target) serveRequest(run *incarnation, w http.ResponseWriter, r *http.Request) {
	req, err := t.readRequest(w, r)
	if err != nil {
		w.Header().Set(target.HeaderErrorKind, ReasonBadRequest)
		w.Header().Set(target.HeaderOutcome, string(errkind.NotRun))
		writeJSON(w, http.StatusBadRequest, refusal{Kind: ReasonBadRequest, Message: err.Error(), Outcome: errkind.NotRun})
		return
	}
	ctx := r.Context()
	if !req.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.deadline)
		defer cancel()
	}
	balance, reason := t.execute(ctx, run, &req)
	if run.isCrashed() || t.waitUnfrozen(context.Background(), run) != nil {
		panic(http.ErrAbortHandler)
	}
	if reason == ReasonShedding && t.cfg.Pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(t.cfg.Pause.Seconds(), 'f', -1, 64))
	}
	if reason != "" {
		refuse(w, reason)
		return
	}
	w.Header().Set(HeaderTarget, t.cfg.ID)
	if req.statementBytes >= 0 {
		writeStatement(w, req.statementBytes)
		return
	}
	writeJSON(w, http.StatusOK, balance)
}

// execute runs a request and returns the balance, or the reason why the request
// did not run.
func (t *Target) execute(ctx context.Context, run *incarnation, req *request) (Balance, string) {
	if reason := t.admit(ctx, run, req); reason != "" {
		return Balance{}, reason
	}
	defer t.finish(run, req)
	if req.crash {
		go t.Crash()
		<-run.crashed
		return Balance{}, ReasonCrashed
	}
	if err := sleep(ctx, run, t.serviceTime(run, req)); err != nil {
		return Balance{}, reasonOf(err)
	}
	if err := t.waitUnfrozen(ctx, run); err != nil {
		return Balance{}, reasonOf(err)
	}
	return t.commit(ctx, run, req)
}

// admit checks the grant, waits for a slot, checks the grant again and counts
// the request as running. It returns the reason of a refusal, or "".
func (t *Target) admit(ctx context.Context, run *incarnation, req *request) string {
	if reason := t.enqueue(run, req); reason != "" {
		return reason
	}
	var err error
	select {
	case run.slots <- struct{}{}:
	case <-ctx.Done():
		err = ctx.Err()
	case <-run.crashed:
		err = errCrashed
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	run.queued--
	defer t.recordLoad(run)
	if err != nil {
		return reasonOf(err)
	}
	if reason := t.checkStart(run, req); reason != "" {
		<-run.slots
		return reason
	}
	run.inFlight++
	run.running[req.slice]++
	return ""
}

// enqueue counts a request as queued. It refuses a request that may not start or
// that finds all slots and the queue full.
func (t *Target) enqueue(run *incarnation, req *request) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run.draining {
		t.whileDraining++
		if !time.Now().Before(run.refuseAfter) {
			return ReasonDraining
		}
	}
	waiting := run.inFlight + run.queued
	if time.Now().Before(t.shedUntil) || waiting >= t.cfg.Slots+max(t.cfg.QueueLimit, 0) {
		return ReasonShedding
	}
	if reason := t.checkStart(run, req); reason != "" {
		return reason
	}
	run.queued++
	t.recordLoad(run)
	return ""
}

// checkStart checks the grant of a request unless the target ignores grants.
func (t *Target) checkStart(run *incarnation, req *request) string {
	if t.cfg.IgnoreGrants {
		return ""
	}
	return run.grants.checkStart(run.nowMs(), &req.contractRef)
}

// commit makes the request take effect, atomically with the last checks.
func (t *Target) commit(ctx context.Context, run *incarnation, req *request) (Balance, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run.isCrashed() {
		return Balance{}, ReasonCrashed
	}
	if err := ctx.Err(); err != nil {
		return Balance{}, reasonOf(err)
	}
	if !t.cfg.IgnoreGrants {
		if reason := run.grants.checkCommit(run.nowMs(), req.contractRef); reason != "" {
			return Balance{}, reason
		}
	}
	run.warmKeys[accountID{req.id.Tenant, req.key}] = true
	if run.cold > 0 {
		run.cold--
		if run.cold == 0 {
			t.triggerAnnouncement()
		}
	}
	if req.method == http.MethodPost {
		return t.cfg.Ledger.post(req.id, req.key, req.amount), ""
	}
	return t.cfg.Ledger.read(req.id, req.key), ""
}

// finish ends a request that was admitted.
func (t *Target) finish(run *incarnation, req *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	<-run.slots
	run.inFlight--
	run.running[req.slice]--
	if run.running[req.slice] == 0 {
		delete(run.running, req.slice)
	}
	t.recordLoad(run)
	run.idle.Broadcast()
}

// serviceTime returns how long a request takes in the current state.
func (t *Target) serviceTime(run *incarnation, req *request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := float64(t.cfg.ServiceTime) * t.slowFactor
	d *= 1 + t.cfg.Jitter*t.rng.Float64()
	if run.cold > 0 || !run.warmKeys[accountID{req.id.Tenant, req.key}] {
		d *= t.cfg.ColdFactor
	}
	return time.Duration(d)
}

func reasonOf(err error) string {
	switch err {
	case errCrashed:
		return ReasonCrashed
	case context.DeadlineExceeded:
		return ReasonDeadline
	}
	return ReasonCanceled
}

// readRequest reads headers and body. The deadline header is the time that
// remains, in ms.
func (t *Target) readRequest(w http.ResponseWriter, r *http.Request) (request, error) {
	h := r.Header
	req := request{
		id:             RequestID{Tenant: h.Get(target.HeaderTenant), Key: h.Get(target.HeaderIdemKey)},
		key:            h.Get(target.HeaderKey),
		method:         r.Method,
		statementBytes: -1,
		crash:          h.Get(HeaderCrash) == "1",
	}
	if service := h.Get(target.HeaderService); service != "" && service != t.cfg.Service {
		return req, fmt.Errorf("service %q is not %q", service, t.cfg.Service)
	}
	if err := t.readContract(&req, h); err != nil {
		return req, err
	}
	if v := h.Get(target.HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return req, fmt.Errorf("%s: %w", target.HeaderDeadline, err)
		}
		req.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if r.Method == http.MethodPost {
		return req, readPosting(w, r, &req)
	}
	if r.URL.Path == StatementPath {
		return req, readStatement(r, &req)
	}
	return req, nil
}

// readContract reads the headers with slice, fence and epoch.
func (t *Target) readContract(req *request, h http.Header) error {
	if t.cfg.IgnoreGrants && h.Get(target.HeaderEpoch) == "" {
		return nil
	}
	slice, err := parseUintHeader(h, target.HeaderSlice, 32, t.cfg.AnyOwner)
	if err != nil {
		return err
	}
	fence, err := parseUintHeader(h, target.HeaderFence, 64, t.cfg.AnyOwner)
	if err != nil {
		return err
	}
	epoch, err := parseUintHeader(h, target.HeaderEpoch, 64, false)
	if err != nil {
		return err
	}
	req.contractRef = contractRef{
		slice:    contract.SliceID(slice),
		fence:    contract.Fence(fence),
		epoch:    contract.Epoch(epoch),
		hash:     contract.KeyHash(req.id.Tenant, req.key),
		anyOwner: t.cfg.AnyOwner,
	}
	return nil
}

// parseUintHeader parses a header. An absent optional header is 0.
func parseUintHeader(h http.Header, name string, bits int, optional bool) (uint64, error) {
	v := h.Get(name)
	if v == "" && optional {
		return 0, nil
	}
	n, err := strconv.ParseUint(v, 10, bits)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return n, nil
}

func readPosting(w http.ResponseWriter, r *http.Request, req *request) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	if err != nil {
		return err
	}
	p := posting{Amount: 1}
	if len(bytes.TrimSpace(body)) > 0 {
		if err := json.Unmarshal(body, &p); err != nil {
			return fmt.Errorf("posting: %w", err)
		}
	}
	req.amount = p.Amount
	return nil
}

func readStatement(r *http.Request, req *request) error {
	n, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || n < 0 || n > maxStatementBytes {
		return fmt.Errorf("bytes must be from 0 to %d", maxStatementBytes)
	}
	req.statementBytes = n
	return nil
}

// writeStatement writes n bytes of numbered lines, the same for equal n.
func writeStatement(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(n))
	for line := 0; n > 0; line++ {
		text := fmt.Sprintf("line %010d of the statement\n", line)
		text = text[:min(len(text), n)]
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		n -= len(text)
	}
}
