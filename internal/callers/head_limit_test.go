package callers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/items"
)

// checkRefused fails the test unless the response is 431 and ends the connection.
func checkRefused(t *testing.T, what string, c net.Conn, r *bufio.Reader, request string) {
	t.Helper()
	if got := roundTrip(t, c, r, request); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("%s: got %d, want %d", what, got, http.StatusRequestHeaderFieldsTooLarge)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("%s: got %v, want the end of the connection", what, err)
	}
}

// Guards against a head that is refused only after its end was received, on a new and
// on an open connection, and against a lowered limit that spares heads that arrive.
func TestHeadIsRefusedWhileItArrives(t *testing.T) {
	s := newServer(t, items.Limits{MaxHeaderBytes: 1000}, NewBodies(0))
	for what, unfinished := range map[string]string{
		"header line":  "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 1000+ReadAheadBytes),
		"request line": "GET /" + strings.Repeat("x", 1000+ReadAheadBytes),
		"header lines": "GET / HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", (1000+ReadAheadBytes)/6),
	} {
		c, r := s.dial(t)
		checkRefused(t, what, c, r, unfinished)
		c, r = s.dial(t)
		if got := roundTrip(t, c, r, post(10)); got != http.StatusOK {
			t.Errorf("got %d", got)
		}
		checkRefused(t, what+" on an open connection", c, r, unfinished)
	}
	s.limits.Store(&items.Limits{MaxHeaderBytes: 100_000})
	c, r := s.dial(t)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 20_000)); err != nil {
		t.Fatal(err)
	}
	for s.received() < 20_000 {
		time.Sleep(time.Millisecond)
	}
	s.limits.Store(&items.Limits{MaxHeaderBytes: 1000})
	checkRefused(t, "lowered limit", c, r, "x")
}

// Guards against a receive buffer that grows with a long head, and against one that
// stays as it is for what is discarded after a refusal.
func TestReceiveBufferOfLongHeads(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conns := NewConnections()
	conns.Limit(Bound{}, func() Limits { return Limits{HeadBytes: 2 * longHeadBytes} })
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	server, err := conns.WrapListener(listener).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	conns.ConnState(server, http.StateNew)
	size := func() (size int) {
		withDescriptor(server, func(fd int) { size, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF) })
		if err != nil {
			t.Fatal(err)
		}
		return size
	}
	if _, err := client.Write(make([]byte, longHeadBytes)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, longHeadBytes)); err != nil {
		t.Fatal(err)
	}
	if got := size(); got != 2*longHeadBuffer {
		t.Errorf("the receive buffer has %d bytes with a long head, want %d", got, 2*longHeadBuffer)
	}
	go func() { _, _ = client.Write(make([]byte, 4*longHeadBytes)) }()
	if _, err := io.ReadFull(server, make([]byte, 4*longHeadBytes)); !errors.Is(err, errHeadTooLarge) {
		t.Errorf("got %v, want %v", err, errHeadTooLarge)
	}
	if got := size(); got >= longHeadBytes {
		t.Errorf("the receive buffer has %d bytes after a refusal", got)
	}
}

// received returns the bytes of all heads that have arrived.
func (s *testServer) received() (bytes int64) {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	for _, tracked := range s.conns.conns {
		bytes += tracked.head.bytes
	}
	return bytes
}

// Guards against a limit that counts bodies, requests behind the head or earlier
// heads of the connection.
func TestHeadsWithinTheLimitAreServed(t *testing.T) {
	const limit = 1000
	s := newServer(t, items.Limits{MaxHeaderBytes: limit}, NewBodies(0))
	c, r := s.dial(t)
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\nX: "
	head += strings.Repeat("x", limit-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
	for range 20 {
		if got := roundTrip(t, c, r, head+strings.Repeat("x", 20_000)); got != http.StatusOK {
			t.Fatalf("got %d for a head of the largest size before a body", got)
		}
	}
	pipelined := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", limit/2) + "\r\n\r\n"
	if _, err := io.WriteString(c, strings.Repeat(pipelined, 40)); err != nil {
		t.Fatal(err)
	}
	for i := range 40 {
		if got := roundTrip(t, c, r, ""); got != http.StatusOK {
			t.Fatalf("got %d for pipelined request %d", got, i)
		}
	}
}

// Guards against a bound that closes a connection whose request is served, against
// one that spares those that send nothing, and against callers that are turned away
// while others only hold connections.
func TestConnectionsStayWithinTheBound(t *testing.T) {
	const bound = 4
	conns, block := NewConnections(), make(chan struct{})
	conns.Limit(Bound{Connections: bound}, nil)
	server := &http.Server{ConnState: conns.ConnState, ConnContext: conns.ConnContext}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !conns.BeginRequest(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/slow" {
			<-block
		}
		_, _ = fmt.Fprint(w, "done")
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(conns.WrapListener(listener)) }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	dial := func(request string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		return c, bufio.NewReader(c)
	}
	ended := func(what string, r *bufio.Reader) {
		t.Helper()
		if _, err := r.ReadByte(); err == nil {
			t.Errorf("%s: got more bytes, want the end of the connection", what)
		}
	}
	served, servedReader := dial("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, conns, serving, 1)
	first, firstReader := dial(get)
	if got := roundTrip(t, first, firstReader, ""); got != http.StatusOK {
		t.Fatalf("got %d", got)
	}
	head, headReader := dial("GET / HTT")
	await(t, conns, reading, 1)
	_, silentReader := dial("")
	await(t, conns, reading, 2)
	newest, newestReader := dial(get)
	if got := roundTrip(t, newest, newestReader, ""); got != http.StatusOK {
		t.Errorf("got %d for a new caller at the bound", got)
	}
	if got := roundTrip(t, head, headReader, ""); got != http.StatusServiceUnavailable {
		t.Errorf("got %d for the head that was read for longest, want %d", got, http.StatusServiceUnavailable)
	}
	dial("GET / HTT")
	ended("a connection that sent nothing", silentReader)
	await(t, conns, idle, 2)
	dial("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, conns, serving, 2)
	dial("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, conns, serving, 3)
	ended("the connection that was idle for longest", firstReader)
	dial("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, conns, serving, 4)
	ended("the other idle connection", newestReader)
	_, refusedReader := dial(get)
	ended("a connection while all others are served", refusedReader)
	close(block)
	if got := roundTrip(t, served, servedReader, ""); got != http.StatusOK {
		t.Errorf("got %d for the request that was served at the bound", got)
	}
}

// await waits until a number of connections is in a phase.
func await(t *testing.T, c *Connections, p phase, count int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		got := c.roster.byPhase[p].Len()
		c.mu.Unlock()
		if got == count {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are %v, want %d", got, p, count)
		}
	}
}
