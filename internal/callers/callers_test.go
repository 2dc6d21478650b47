package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// testServer is a server whose limits can be changed while it runs.
type testServer struct {
	*httptest.Server
	limits atomic.Pointer[items.Limits]
	conns  *Connections
	// bodyTimeout is the timeout for reading a request body.
	bodyTimeout time.Duration
}

func newServer(t *testing.T, limits items.Limits, bodies *BodyReader) *testServer {
	t.Helper()
	s := &testServer{conns: NewConnections(), bodyTimeout: 300 * time.Millisecond}
	s.limits.Store(&limits)
	current := func() Limits { return LimitsOf(s.limits.Load()) }
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.conns.BeginRequest(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		body, failure := bodies.Read(w, r, current(), s.bodyTimeout)
		if failure != nil {
			http.Error(w, string(failure.Kind), errkind.ResponseFor(failure.Kind).Status)
			return
		}
		defer body.Release()
		_, _ = fmt.Fprint(w, len(body.Bytes))
	}))
	s.conns.Limit(Bound{}, current)
	s.Config.ConnState, s.Config.ConnContext = s.conns.ConnState, s.conns.ConnContext
	s.Listener = s.conns.WrapListener(s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.conns.Sweep(ctx, current)
	return s
}

// dial opens a connection to the server.
func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(15 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// roundTrip sends a request and returns the status of the response, 0 if there is
// none.
func roundTrip(t *testing.T, c net.Conn, r *bufio.Reader, request string) int {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
}

func chunked(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, strings.Repeat("x", length))
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against limits that are configured but not enforced, and against changed
// limits that apply to new connections only.
func TestChangedLimitsApplyToOpenConnections(t *testing.T) {
	s := newServer(t, items.Limits{MaxBodyBytes: 100, MaxHeaderBytes: 200}, NewBodies(0))
	c, r := s.dial(t)
	long := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 200) + "\r\n\r\n"
	for request, want := range map[string]int{post(100): http.StatusOK, chunked(100): http.StatusOK, get: http.StatusOK, long: http.StatusRequestHeaderFieldsTooLarge} {
		if got := roundTrip(t, c, r, request); got != want {
			t.Errorf("%.40q: got %d, want %d", request, got, want)
		}
	}
	s.limits.Store(&items.Limits{MaxBodyBytes: 50, MaxHeaderBytes: 1000})
	if got := roundTrip(t, c, r, long); got != http.StatusOK {
		t.Errorf("got %d under the raised limit", got)
	}
	if got := roundTrip(t, c, r, post(100)); got != http.StatusRequestEntityTooLarge {
		t.Errorf("got %d, want %d under the lowered limit", got, http.StatusRequestEntityTooLarge)
	}
	c, r = s.dial(t)
	if got := roundTrip(t, c, r, chunked(100)); got != http.StatusRequestEntityTooLarge {
		t.Errorf("got %d for chunks, want %d", got, http.StatusRequestEntityTooLarge)
	}
}

// Guards against callers that occupy a connection by sending headers slowly, and
// against a close without a response that says that the request did not run.
func TestLateHeadIsRefused(t *testing.T) {
	s := newServer(t, items.Limits{HeaderTimeout: 400 * time.Millisecond}, NewBodies(0))
	first, r := s.dial(t)
	began := time.Now()
	if got := roundTrip(t, first, r, "GET / HTTP/1.1\r\nHost"); got != http.StatusRequestTimeout || time.Since(began) > 2*time.Second {
		t.Errorf("got %d after %v for the first head, want %d", got, time.Since(began), http.StatusRequestTimeout)
	}
	later, r := s.dial(t)
	if got := roundTrip(t, later, r, get); got != http.StatusOK {
		t.Fatalf("got %d", got)
	}
	if got := roundTrip(t, later, r, "GET / HTT"); got != http.StatusRequestTimeout {
		t.Errorf("got %d for a later head, want %d", got, http.StatusRequestTimeout)
	}
}

// Guards against connections that stay idle forever, and against a connection
// that is closed before its idle timeout.
func TestIdleConnectionsAreClosedInTime(t *testing.T) {
	const idle = 3 * time.Second
	s := newServer(t, items.Limits{IdleTimeout: idle}, NewBodies(0))
	c, r := s.dial(t)
	if got := roundTrip(t, c, r, get); got != http.StatusOK {
		t.Fatalf("got %d", got)
	}
	time.Sleep(idle * 4 / 5)
	if got := roundTrip(t, c, r, get); got != http.StatusOK {
		t.Errorf("got %d after four fifths of the idle time", got)
	}
	began := time.Now()
	if _, err := r.ReadByte(); err != io.EOF || time.Since(began) > idle+time.Second {
		t.Errorf("got %v after %v, want the end of the connection", err, time.Since(began))
	}
}

// Guards against a body that never arrives and blocks its request forever.
func TestLateBodyIsRefused(t *testing.T) {
	s := newServer(t, items.Limits{}, NewBodies(0))
	c, r := s.dial(t)
	if got := roundTrip(t, c, r, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf"); got != http.StatusRequestTimeout {
		t.Errorf("got %d, want %d", got, http.StatusRequestTimeout)
	}
}

// Guards against bodies that together exceed the memory of a VM, and against
// reserved memory that is not released.
func TestBodiesStayWithinTheMemory(t *testing.T) {
	const capacity = 40_000
	bodies := NewBodies(capacity / requestMemoryFraction * 1.001)
	s := newServer(t, items.Limits{}, bodies)
	s.bodyTimeout = 5 * time.Second
	for range 3 {
		c, r := s.dial(t)
		if got := roundTrip(t, c, r, post(capacity)); got != http.StatusOK {
			t.Fatalf("got %d for a body that fits", got)
		}
		if got := roundTrip(t, c, r, chunked(30_000)); got != http.StatusOK {
			t.Fatalf("got %d for chunks that fit", got)
		}
		if got := roundTrip(t, c, r, post(capacity+100)); got != http.StatusTooManyRequests {
			t.Errorf("got %d, want %d for a body that does not fit", got, http.StatusTooManyRequests)
		}
	}
	partial, _ := s.dial(t)
	if _, err := io.WriteString(partial, post(capacity)[:capacity/2]); err != nil {
		t.Fatal(err)
	}
	available := func() int64 { return bodies.memory.limit - bodies.memory.Used() }
	// A request before the unfinished body has its memory could take it away from it.
	for end := time.Now().Add(5 * time.Second); available() >= capacity/2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no memory is reserved for an unfinished body")
		}
	}
	c, r := s.dial(t)
	if got := roundTrip(t, c, r, post(capacity/2)); got != http.StatusTooManyRequests {
		t.Fatalf("got %d, want %d for a body that exceeds the memory together with an unfinished one", got, http.StatusTooManyRequests)
	}
	_ = partial.Close()
	for end := time.Now().Add(2 * time.Second); ; {
		c, r = s.dial(t)
		if roundTrip(t, c, r, post(capacity)) == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the memory of an aborted request is not released")
		}
	}
}

// Guards against a request that is served although its connection was closed
// because its head was late: its response would be lost.
func TestClosedConnectionsServeNothing(t *testing.T) {
	first, second := net.Pipe()
	defer func() { _, _ = first.Close(), second.Close() }()
	c := NewConnections()
	ctx := c.ConnContext(context.Background(), first)
	c.ConnState(first, http.StateNew)
	if lateConns, _ := c.removeExpired(Limits{HeadTimeout: time.Second, IdleTimeout: time.Hour}, time.Now().Add(2*time.Second)); len(lateConns) != 1 {
		t.Fatalf("%d connections are late, want 1", len(lateConns))
	}
	if c.BeginRequest(ctx) {
		t.Error("a request may be served on a closed connection")
	}
	c.ConnState(second, http.StateNew)
	if !c.BeginRequest(c.ConnContext(context.Background(), second)) {
		t.Error("a request may not be served on an open connection")
	}
	if lateConns, idleConns := c.removeExpired(Limits{}, time.Now().Add(time.Hour)); len(lateConns)+len(idleConns) != 0 {
		t.Error("a connection is closed while its request is served")
	}
	if c.IdleFor() != 0 {
		t.Error("no connection counts as active while one serves a request")
	}
}
