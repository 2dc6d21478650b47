package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// controlPrefix is the path prefix of the control endpoints for tests. They
// respond even while the target is frozen.
const controlPrefix = "/standin/"

// Report holds the state and the counts of a target for tests.
type Report struct {
	ID          string     `json:"id"`
	Incarnation uint64     `json:"incarnation"`
	State       string     `json:"state"`
	InFlight    int        `json:"in_flight"`
	Queued      int        `json:"queued"`
	WarmKeys    int        `json:"warm_keys"`
	Executions  Executions `json:"executions"`
	// RequestsWhileDraining counts requests that arrived while the target was draining.
	RequestsWhileDraining int `json:"while_draining"`
	// PeakConnections is the largest number of connections that were open at
	// the same time. RefusedConnections counts those refused because
	// Config.Connections were open.
	PeakConnections    int `json:"peak_connections"`
	RefusedConnections int `json:"refused_connections"`
}

// Report returns counts of the current incarnation and of the ledger.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	peak, refused := t.run.conns.counts()
	return Report{
		ID:                    t.cfg.ID,
		Incarnation:           t.run.number,
		State:                 t.run.state(),
		InFlight:              t.run.inFlight,
		Queued:                t.run.queued,
		WarmKeys:              len(t.run.warmKeys),
		Executions:            t.cfg.Ledger.Executions(),
		RequestsWhileDraining: t.whileDraining,
		PeakConnections:       peak,
		RefusedConnections:    refused,
	}
}

// control serves the endpoints under controlPrefix:
//
//	POST /standin/freeze?for=2s        POST /standin/crash
//	POST /standin/slow?factor=5        POST /standin/cold?silent=true
//	POST /standin/drain?refuse_after=2s
//	POST /standin/shed?for=1s          POST /standin/load?stopped=true
//	GET  /standin/report               GET  /standin/postings?tenant=T&key=K
func (t *Target) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/freeze", withDuration("for", t.Freeze))
	mux.HandleFunc("POST /standin/shed", withDuration("for", t.Shed))
	mux.HandleFunc("POST /standin/drain", withDuration("refuse_after", t.Drain))
	mux.HandleFunc("POST /standin/cold", withBool("silent", t.BecomeCold))
	mux.HandleFunc("POST /standin/load", withBool("stopped", t.FreezeLoadReport))
	mux.HandleFunc("POST /standin/slow", func(w http.ResponseWriter, r *http.Request) {
		factor, err := strconv.ParseFloat(r.FormValue("factor"), 64)
		if err != nil || factor < 0 {
			http.Error(w, "factor must be a number from 0", http.StatusBadRequest)
			return
		}
		t.SetServiceTimeFactor(factor)
	})
	mux.HandleFunc("POST /standin/crash", func(http.ResponseWriter, *http.Request) {
		go t.Crash()
		<-t.current().crashed
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("GET /standin/report", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Report())
	})
	mux.HandleFunc("GET /standin/postings", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, t.cfg.Ledger.Balance(r.FormValue("tenant"), r.FormValue("key")))
	})
	return mux
}

func withDuration(name string, do func(time.Duration)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d, err := time.ParseDuration(r.FormValue(name))
		if err != nil || d < 0 {
			http.Error(w, fmt.Sprintf("%s must be a duration such as 2s", name), http.StatusBadRequest)
			return
		}
		do(d)
	}
}

func withBool(name string, do func(bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := strconv.ParseBool(r.FormValue(name))
		if err != nil {
			http.Error(w, fmt.Sprintf("%s must be true or false", name), http.StatusBadRequest)
			return
		}
		do(v)
	}
}
