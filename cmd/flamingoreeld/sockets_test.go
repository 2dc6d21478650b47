package main

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/gateway"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/target"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
	"github.com/flamingoreel/flamingoreel/platform"
)

// socketOptions are the options that decide when a connection to a peer that
// vanished silently fails.
type socketOptions struct {
	userTimeout time.Duration
	keepAlive   bool
	// idle, interval and probes are not compared without keepAlive.
	idle, interval time.Duration
	probes         int
}

// kernelKeepAlive is what all sockets but those to targets of the platform have.
var kernelKeepAlive = socketOptions{keepAlive: true, idle: 15 * time.Second, interval: 15 * time.Second, probes: 9}

// toPlatformTargets are the options of the connections of entries to targets.
var toPlatformTargets = socketOptions{userTimeout: 1200 * time.Millisecond}

// probeTime is how long keep-alive probes go on after an idle connection's peer
// vanished.
func (o socketOptions) probeTime() time.Duration { return o.idle + time.Duration(o.probes)*o.interval }

// optionsOfSocket returns the options of the socket of this process that is
// connected to an address.
func optionsOfSocket(t *testing.T, peer string) socketOptions {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		sa, err := unix.Getpeername(fd)
		if err != nil {
			continue
		}
		if in4, ok := sa.(*unix.SockaddrInet4); ok && fmt.Sprintf("%s:%d", net.IP(in4.Addr[:]), in4.Port) == peer {
			return readOptions(t, fd)
		}
		if in6, ok := sa.(*unix.SockaddrInet6); ok && fmt.Sprintf("%s:%d", net.IP(in6.Addr[:]), in6.Port) == peer {
			return readOptions(t, fd)
		}
	}
	t.Fatalf("no socket is connected to %s", peer)
	return socketOptions{}
}

func readOptions(t *testing.T, fd int) socketOptions {
	t.Helper()
	get := func(level, option int) int {
		value, err := unix.GetsockoptInt(fd, level, option)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	seconds := func(option int) time.Duration {
		return time.Duration(get(unix.IPPROTO_TCP, option)) * time.Second
	}
	o := socketOptions{
		userTimeout: time.Duration(get(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond,
		keepAlive:   get(unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0,
	}
	if o.keepAlive {
		o.idle, o.interval, o.probes = seconds(unix.TCP_KEEPIDLE), seconds(unix.TCP_KEEPINTVL), get(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	}
	return o
}

// dialed returns the options of the socket with which connect connects to a
// listener, once connect has sent something. The listener answers nothing.
func dialed(t *testing.T, connect func(addr string)) socketOptions {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := listener.Accept(); err == nil {
			accepted <- c
		}
	}()
	go connect(listener.Addr().String())
	select {
	case c := <-accepted:
		t.Cleanup(func() { _ = c.Close() })
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		return optionsOfSocket(t, listener.Addr().String())
	case <-time.After(5 * time.Second):
		t.Fatal("no connection")
	}
	return socketOptions{}
}

// accepted returns the options of the socket with which a server at an address
// accepts a connection, once the server has sent or read something there.
func accepted(t *testing.T, addr string) socketOptions {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return optionsOfSocket(t, c.LocalAddr().String())
}

// acceptedLink returns the options of the socket of an accepted link.
func acceptedLink(t *testing.T) socketOptions {
	t.Helper()
	listen := func(name string, dial func(context.Context, string) (net.Conn, error)) *link.Node {
		node, err := link.Listen(link.Config{Name: name, Cluster: "c", Addr: "127.0.0.1:0", Dial: dial})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = node.Close() })
		return node
	}
	server := listen("server", nil)
	server.Handle("echo", func(_ context.Context, _ string, payload []byte) ([]byte, error) { return payload, nil })
	local := make(chan string, 1)
	dialer := listen("dialer", func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err == nil {
			local <- c.LocalAddr().String()
		}
		return c, err
	})
	dialer.SetPeer("server", server.Addr())
	server.SetPeer("dialer", dialer.Addr())
	server.Serve()
	dialer.Serve()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := dialer.Call(ctx, "server", "echo", nil); err != nil {
		t.Fatal(err)
	}
	return optionsOfSocket(t, <-local)
}

func testGateway(t *testing.T, seeds ...string) *gateway.Gateway {
	t.Helper()
	g, err := gateway.New(gateway.Config{
		Addr: "127.0.0.1:0", Dialect: platform.Dialect{}, Seeds: seeds, Logger: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

// Guards against a library or a change that sets a TCP_USER_TIMEOUT or other
// keep-alive probes: requests in flight to a target that is only silent would be
// given up early.
func TestSocketOptions(t *testing.T) {
	p := &process{listeners: newListeners(0, &log.Logger{Handler: discard.New()}, nil)}
	got := make(map[string]socketOptions)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)

	control := fmt.Sprintf("127.0.0.1:%d", freePort(t))
	server, err := p.serveOperators(ctx, controlListener, control, http.NotFoundHandler(), callers.NewConnections())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	got["control, readiness and metrics"] = accepted(t, control)

	entry := fmt.Sprintf("127.0.0.1:%d", freePort(t))
	ingress := &platform.Ingress{Gateway: testGateway(t), Connections: callers.NewConnections(), Bodies: callers.NewBodies(0)}
	server, err = p.listenCallers(ctx, entry, ingress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	got["callers"] = accepted(t, entry)

	got["links, dialed"] = dialed(t, func(addr string) { testGateway(t, addr) })
	got["links, accepted"] = acceptedLink(t)

	got["targets of the platform"] = dialed(t, func(addr string) {
		_, _ = upstream.NewPool().Do(ctx, &upstream.Request{Addr: addr, Method: "GET", URI: "/", Host: "h"})
	})
	got["targets of a deployment"] = dialed(t, func(addr string) {
		_, _ = target.NewClient(addr, 1, nil).Do(ctx, target.Request{Method: "GET", Path: "/"})
	})

	for name, o := range got {
		want := kernelKeepAlive
		if name == "targets of the platform" {
			want = toPlatformTargets
		}
		if o != want {
			t.Errorf("%s: got %+v, want %+v", name, o, want)
		}
		if o.keepAlive && o.userTimeout > 0 && o.userTimeout < o.probeTime() {
			t.Errorf("%s: TCP_USER_TIMEOUT %v ends the keep-alive probes before their %v", name, o.userTimeout, o.probeTime())
		}
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if !strings.Contains(string(page), "| "+name+" |") {
			t.Errorf("docs/OPERATIONS.md has no row for %s", name)
		}
	}
}
