package callers

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"
)

// exchange is a request and its response.
type exchange struct {
	conn *conn
	req  *http.Request
	// refusal, if set, is the response.
	refusal *refusal
	ctx     context.Context
	cancel  context.CancelFunc
	// readAt is when the head had been read.
	readAt time.Time
	// turn is closed when all earlier responses are written.
	turn chan struct{}
	// slot reports that the exchange holds one of the slots for requests that are read
	// ahead.
	slot bool
	body *requestBody
}

// exchangeKey is the context key for the exchange of a request.
type exchangeKey struct{}

// Waited returns how long ago the head of a request was read; 0 if that isn't known.
// A request may have waited since then for earlier ones of its connection.
func Waited(ctx context.Context) time.Duration {
	if e, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		return time.Since(e.readAt)
	}
	return 0
}

// isLast reports whether the caller or the server wants no request after this one.
func (e *exchange) isLast() bool {
	return e.refusal != nil || e.req.Close
}

// concurrent reports whether the request may run together with others of its connection.
func (e *exchange) concurrent() bool {
	return e.refusal != nil || (e.req.Method == http.MethodGet || e.req.Method == http.MethodHead) &&
		e.req.Body == http.NoBody && e.req.ProtoAtLeast(1, 1)
}

// run runs the handler and writes the response.
func (e *exchange) run() {
	defer e.conn.running.Done()
	defer e.cancel()
	if e.slot {
		defer func() { <-e.conn.server.slots }()
	}
	w := newResponse(e)
	if !e.callHandler(w) || !w.finish() {
		e.conn.abort(e, w)
	} else {
		e.conn.complete(e)
	}
	if e.body != nil {
		e.body.closed.Store(true)
	}
}

// callHandler runs the handler. It returns false if the handler panicked.
func (e *exchange) callHandler(w *response) (ok bool) {
	defer func() {
		err := recover()
		if err == nil {
			return
		}
		ok = false
		// The process goes on: a fault of one request must not end the others.
		if logger := e.conn.server.cfg.Logger; err != http.ErrAbortHandler && logger != nil {
			logger.WithFields(log.Fields{"caller": e.req.RemoteAddr, "panic": err, "stack": string(debug.Stack())}).Error("internal fault")
		}
	}()
	e.handler().ServeHTTP(w, e.req)
	return true
}

// handler returns the handler of the request. Those other than the server's own handler
// respond as net/http does.
func (e *exchange) handler() http.Handler {
	expect := e.req.Header.Get("Expect")
	switch {
	case e.refusal != nil:
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { e.refusal.respond(w) })
	case expect != "" && !hasToken(expect, "100-continue"):
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusExpectationFailed)
		})
	case e.req.Method == http.MethodOptions && e.req.RequestURI == "*":
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "0") })
	}
	return e.conn.server.cfg.Handler
}
