package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

// HealthPath is the path of the health endpoint, which returns the state, the
// incarnation and the load of the target. The load lags by Config.LoadLag.
const HealthPath = "/healthz"

var errCrashed = errors.New("the target crashed")

// handler returns the handler of one incarnation.
func (t *Target) handler(run *incarnation) http.Handler {
	protocol := http.NewServeMux()
	protocol.HandleFunc("POST "+target.GrantPath, t.handle(run, t.serveGrant))
	protocol.HandleFunc("POST "+target.RevokePath, t.handle(run, t.serveRevoke))
	protocol.HandleFunc("GET "+HealthPath, t.handle(run, t.serveHealth))
	protocol.HandleFunc("/", t.handle(run, t.serveRequest))
	all := http.NewServeMux()
	all.Handle("/", protocol)
	all.Handle(controlPrefix, t.control())
	return all
}

// handle wraps serve: it waits while the target is frozen and drops the
// connections of a crashed incarnation.
func (t *Target) handle(run *incarnation, serve func(*incarnation, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if t.waitUnfrozen(r.Context(), run) != nil || run.isCrashed() {
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get(target.HeaderRequestID); id != "" {
			w.Header().Set(target.HeaderRequestID, id)
		}
		t.announceLeave(run, w)
		if t.cfg.LimitHeader != "" {
			w.Header().Set(t.cfg.LimitHeader, strconv.FormatFloat(t.cfg.Limit, 'f', -1, 64))
		}
		serve(run, w, r)
	}
}

// announceLeave sets Config.LeavingHeader while the target drains.
func (t *Target) announceLeave(run *incarnation, w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cfg.LeavingHeader != "" && run.draining {
		w.Header().Set(t.cfg.LeavingHeader, "1")
	}
}

func (t *Target) serveGrant(run *incarnation, w http.ResponseWriter, r *http.Request) {
	var req target.GrantRequest
	if !readJSON(w, r, &req) {
		return
	}
	writeJSON(w, http.StatusOK, t.renew(run, req))
}

func (t *Target) renew(run *incarnation, req target.GrantRequest) target.GrantReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	reason := run.grants.renew(run.nowMs(), req)
	return target.GrantReply{
		Accepted:    reason == "",
		Reason:      reason,
		Incarnation: run.number,
		ClockMs:     run.nowMs(),
		Epoch:       run.grants.highestEpoch,
		State:       run.state(),
		Load:        t.reportedLoad(run).load,
	}
}

// serveRevoke responds when no request of the revoked slices runs any more.
func (t *Target) serveRevoke(run *incarnation, w http.ResponseWriter, r *http.Request) {
	var req target.RevokeRequest
	if !readJSON(w, r, &req) {
		return
	}
	if reason := t.revoke(run, req); reason != "" {
		w.Header().Set(target.HeaderErrorKind, reason)
		writeJSON(w, http.StatusConflict, target.RevokeReply{Incarnation: run.number})
		return
	}
	if run.isCrashed() || t.waitUnfrozen(r.Context(), run) != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, target.RevokeReply{Revoked: req.Slices, Incarnation: run.number})
}

// revoke revokes the slices and waits until their running requests have ended,
// or returns the reason of a refusal.
func (t *Target) revoke(run *incarnation, req target.RevokeRequest) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reason := run.grants.revoke(req); reason != "" {
		return reason
	}
	for run.anyRunning(req.Slices) && !run.isCrashed() {
		run.idle.Wait()
	}
	return ""
}

func (r *incarnation) anyRunning(slices []contract.SliceFence) bool {
	for _, sf := range slices {
		if r.running[sf.Slice] > 0 {
			return true
		}
	}
	return false
}

// health is the response body of HealthPath.
type health struct {
	State       string      `json:"state"`
	Incarnation uint64      `json:"incarnation"`
	Load        target.Load `json:"load"`
}

func (t *Target) serveHealth(run *incarnation, w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	h := health{State: run.state(), Incarnation: run.number, Load: t.reportedLoad(run).load}
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, h)
}

// refusal is the response body for a request that did not run.
type refusal struct {
	Kind    string          `json:"kind"`
	Message string          `json:"message"`
	Outcome errkind.Outcome `json:"outcome"`
}

// refuse responds that the request did not run and will not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(target.HeaderOutcome, string(errkind.NotRun))
	w.Header().Set(target.HeaderErrorKind, reason)
	writeJSON(w, http.StatusServiceUnavailable, refusal{
		Kind:    reason,
		Message: "the target refused the request before running it",
		Outcome: errkind.NotRun,
	})
}

// maxControlBodyBytes bounds the request bodies of grants, revocations and
// postings.
const maxControlBodyBytes = 8 << 20

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Kind: ReasonBadRequest, Message: err.Error(), Outcome: errkind.NotRun})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
