package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// startRawTarget starts a target that passes the connection and the ID of each
// request to a function that writes the response bytes.
func startRawTarget(t *testing.T, answer func(c net.Conn, id string)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					answer(c, req.Header.Get("X-Id"))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a post that runs twice, or is reported as refused although it
// ran: a target refuses it, receives it again on the same connection, and a
// second copy of the refusal arrives before the second response.
func TestDuplicateRefusalIsNotTheNextResponse(t *testing.T) {
	var ran atomic.Int64
	b := newTestbed(t)
	for i := range 2 {
		var attempts atomic.Int64
		addr := startRawTarget(t, func(c net.Conn, id string) {
			refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			if attempts.Add(1) == 1 {
				_, _ = io.WriteString(c, refusal)
				// The copy arrives when the connection is in use again.
				time.AfterFunc(sameTargetBackoff+20*time.Millisecond, func() { _, _ = io.WriteString(c, refusal) })
				return
			}
			ran.Add(1)
			time.Sleep(60 * time.Millisecond)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 2\r\n\r\nok", id)
		})
		b.put(fleet.Delta{Targets: []fleet.Target{{
			Incarnation: fleet.Incarnation{ID: fmt.Sprint("raw-", i), StartMs: 1}, Service: "s", Address: addr, DataCentre: "d", Slots: 4,
		}}})
	}
	r := b.serve("/post/x", "1")
	if got := ran.Load(); got != 1 {
		t.Errorf("the post ran %d times, want once", got)
	}
	if r.Err != nil || r.Response.Status != http.StatusOK {
		t.Errorf("got %+v, want the response of the target", r)
	}
}

// addHolder adds a sharded service whose keys are all held by the target at the
// address, with a safe and an unsafe route to it.
func (b *testbed) addHolder(addr string) {
	holder := fleet.Incarnation{ID: "holder", StartMs: 1}
	route := func(name string, kind items.Kind) items.Item {
		return items.Item{Key: items.Key{Collection: items.Routes, Name: name}, Version: 1, Route: &items.Route{
			Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, LatencyObjective: time.Second,
			Split: []items.Share{{Service: "k", Weight: 1}}, MaxAttempts: 2,
		}}
	}
	b.put(fleet.Delta{
		Items: []items.Item{
			{Key: items.Key{Collection: items.Services, Name: "k"}, Version: 1, Service: &items.Service{HealthPath: "/health", Sharded: true}},
			route("keyed-read", items.Safe), route("keyed-post", items.Unsafe),
		},
		Targets:   []fleet.Target{{Incarnation: holder, Service: "k", Address: addr, DataCentre: "d", Slots: 4}},
		ShardMaps: []fleet.ShardMap{{Service: "k", Rows: []fleet.Row{{From: 0, To: 65535, Holder: holder, Fence: 1, Granted: true}}}},
	})
}

func (b *testbed) serveKey(path, id string, key int) Result {
	return b.g.Serve(context.Background(), &Request{
		ID: id, Method: "GET", URI: path, Path: path, Host: "h", RouteHost: "h", Header: http.Header{"X-Id": {id}}, Key: key,
	})
}

// Guards against a keyed read that fails at once because its holder, the only
// target that may run it, reset one connection; and against a second attempt of
// a keyed post.
func TestLostReadIsRetriedAtTheHolder(t *testing.T) {
	var attempts atomic.Int64
	addr := startRawTarget(t, func(c net.Conn, id string) {
		if attempts.Add(1)%3 != 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 2\r\n\r\nok", id)
	})
	b := newTestbed(t)
	b.addHolder(addr)
	if r := b.serveKey("/keyed-read/x", "1", 7); r.Err != nil || r.Response.Status != http.StatusOK {
		t.Errorf("got %+v, want the response of the holder", r)
	}
	wantKind(t, b.serveKey("/keyed-post/x", "2", 7), errkind.TargetLost)
	if got := attempts.Load(); got != 4 {
		t.Errorf("%d attempts, want three of the read and one of the post", got)
	}
}

// Guards against a refusal while the holder of the key is in a short backoff,
// and against a wait for a holder that failed.
func TestRequestWaitsForAFullHolder(t *testing.T) {
	b := newTestbed(t)
	addr := startRawTarget(t, func(c net.Conn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 2\r\n\r\nok", id)
	})
	b.addHolder(addr)
	holder, _ := b.g.view.Load().Endpoint("holder")
	block := func(until time.Duration) {
		b.g.mu.Lock()
		defer b.g.mu.Unlock()
		b.g.stateOf(holder).Block(until)
	}
	block(b.g.now() + fullBackoff)
	if r := b.serveKey("/keyed-post/x", "1", 7); r.Err != nil {
		t.Errorf("got %v while the holder is full, want a wait", r.Err)
	}
	block(forever)
	start := time.Now()
	r := b.serveKey("/keyed-read/x", "2", 7)
	wantKind(t, r, errkind.TargetUnreachable)
	if took := time.Since(start); took > fullBackoff || r.RetryAfter == 0 {
		t.Errorf("refused after %v with Retry-After %v, want an immediate refusal with a Retry-After", took, r.RetryAfter)
	}
}

// Guards against a post that may have run and is reported as refused: the
// status of a failure response may be one that promises callers that the
// request did not run.
func TestFailedPostIsNotReportedAsNotRun(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		f := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "1")
			w.WriteHeader(status)
		})
		r := newTestbed(t, f).serve("/post/x", "1")
		if r.Err == nil || r.Err.Outcome() == errkind.NotRun {
			t.Errorf("got %+v for a target's %d, want a failure that promises nothing", r, status)
		}
		if f.count() != 1 {
			t.Errorf("the post was sent %d times", f.count())
		}
	}
}
