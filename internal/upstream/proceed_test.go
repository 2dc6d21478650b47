package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Guards against a request that is sent although it was withdrawn, and against a
// connection that is lost with it.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	pool := NewPool()
	req := func(proceed bool) *Request {
		return &Request{
			Addr: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{},
			Proceed: func() bool { return proceed }, MaxBufferedBytes: 1 << 10,
		}
	}
	for i := range 2 {
		_, failure := pool.Do(context.Background(), req(false))
		if !errors.Is(failure, ErrWithdrawn) || failure.Kind != errkind.TargetUnreachable {
			t.Errorf("attempt %d: got %v, want a withdrawn request", i, failure)
		}
	}
	if _, failure := pool.Do(context.Background(), req(true)); failure != nil {
		t.Error(failure)
	}
	if requests.Load() != 1 || pool.Dials() != 1 {
		t.Errorf("%d requests over %d connections, want one over one", requests.Load(), pool.Dials())
	}
}

// Guards against losing what a target says in an interim response.
func TestHeadersOfInterimResponsesAreKept(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Note", "early")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("X-Note")
		_, _ = fmt.Fprint(w, "answer")
	}))
	defer server.Close()
	resp, failure := NewPool().Do(context.Background(), &Request{
		Addr: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, MaxBufferedBytes: 1 << 10,
	})
	if failure != nil {
		t.Fatal(failure)
	}
	if len(resp.Interim) != 1 || resp.Interim[0].Get("X-Note") != "early" || resp.Header.Get("X-Note") != "" {
		t.Errorf("interim headers %v, final headers %v", resp.Interim, resp.Header)
	}
}

// Guards against a request that is written although its context ended while it waited
// for a connection, new or idle.
func TestEndedRequestIsNotWritten(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	const each = 100
	for range each {
		pool := NewPool()
		for range 2 { // on a new connection, then on the same one
			ctx, cancel := context.WithCancel(context.Background())
			_, failure := pool.Do(ctx, &Request{
				Addr: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, MaxBufferedBytes: 1 << 10,
				Proceed: func() bool { cancel(); return true },
			})
			if failure == nil || failure.Outcome() != errkind.NotRun {
				t.Fatalf("got %v, want a failure that says that nothing was sent", failure)
			}
		}
		if pool.Dials() != 1 {
			t.Fatalf("%d connections were opened, want one that is kept", pool.Dials())
		}
	}
	time.Sleep(50 * time.Millisecond) // A request that was sent has arrived by now.
	if n := requests.Load(); n > 0 {
		t.Errorf("%d of %d ended requests were sent", n, 2*each)
	}
}
