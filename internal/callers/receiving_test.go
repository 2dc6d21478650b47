package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/items"
)

// Guards against incomplete bodies that hold the memory of all bodies, so that all other
// requests are refused.
func TestSlowBodiesGiveWayToLaterRequests(t *testing.T) {
	const capacity = 40_000
	bodies := NewBodies(capacity / requestMemoryFraction * 1.001)
	s := newServer(t, items.Limits{}, bodies)
	bodies.connections, s.bodyTimeout = s.conns, time.Hour
	type caller struct {
		c net.Conn
		r *bufio.Reader
	}
	var stalled []caller
	for _, part := range []string{post(capacity / 2), post(capacity / 4)} {
		c, r := s.dial(t)
		if _, err := io.WriteString(c, part[:len(part)-10]); err != nil {
			t.Fatal(err)
		}
		stalled = append(stalled, caller{c, r})
		await(t, s.conns, receiving, len(stalled))
	}
	time.Sleep(slowBodyTime)
	c, r := s.dial(t)
	if got := roundTrip(t, c, r, post(capacity/2)); got != http.StatusOK {
		t.Errorf("got %d while stalled bodies hold the memory", got)
	}
	if got := roundTrip(t, stalled[0].c, stalled[0].r, ""); got != http.StatusServiceUnavailable {
		t.Errorf("got %d for the body that stalled first, want %d", got, http.StatusServiceUnavailable)
	}
	await(t, s.conns, receiving, 1)
	if got := roundTrip(t, stalled[1].c, stalled[1].r, strings.Repeat("x", 10)); got != http.StatusOK {
		t.Errorf("got %d for a body that ends while there is room for it", got)
	}
	if got := roundTrip(t, c, r, post(capacity)); got != http.StatusOK {
		t.Errorf("got %d for a body that needs all of the memory", got)
	}
	await(t, s.conns, receiving, 0)
	for end := time.Now().Add(eventTime); bodies.memory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still reserved", bodies.memory.Used())
		}
	}
}

// Guards against a bound that is exceeded by callers that send bodies slowly: they must not
// turn others away, and their requests must not be served.
func TestSlowBodiesCountTowardsTheBoundOfConnections(t *testing.T) {
	bodies := NewBodies(0)
	s := newServer(t, items.Limits{}, bodies)
	bodies.connections, s.bodyTimeout = s.conns, time.Hour
	s.conns.Limit(Bound{Connections: 3}, nil)
	for range 10 {
		c, _ := s.dial(t)
		if _, err := io.WriteString(c, post(100)[:100]); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(eventTime); ; time.Sleep(time.Millisecond) {
		c, r := s.dial(t)
		if roundTrip(t, c, r, post(100)) == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no request is served beside callers with slow bodies")
		}
	}
}

// Guards against many connections that fill the memory with bytes that nobody reads, and
// against smaller buffers for all.
func TestBuffersOfManyConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conns := NewConnections()
	conns.Limit(Bound{UsualWindows: 2}, nil)
	accepting := conns.WrapListener(listener)
	open := func() (server net.Conn, receive, send int) {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		if server, err = accepting.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		conns.ConnState(server, http.StateNew)
		withDescriptor(server, func(fd int) {
			receive, _ = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
			send, _ = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF)
		})
		return server, receive, send
	}
	var opened []net.Conn
	check := func(receive, send int) {
		t.Helper()
		server, gotReceive, gotSend := open()
		opened = append(opened, server)
		if gotReceive != 2*receive || gotSend != 2*send {
			t.Errorf("connection %d has buffers of %d and %d bytes, want %d and %d", len(opened), gotReceive, gotSend, 2*receive, 2*send)
		}
	}
	check(usualWindow, usualSendBuffer)
	check(usualWindow, usualSendBuffer)
	check(smallWindow, smallSendBuffer)
	check(smallWindow, smallSendBuffer)
	for _, server := range opened[:3] {
		conns.ConnState(server, http.StateClosed)
	}
	check(usualWindow, usualSendBuffer)
	if (Bound{}).usualBuffers(0) {
		t.Error("without a bound connections get the usual buffers")
	}
}
