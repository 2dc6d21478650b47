package callers

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/clock"
)

// phase says what a connection is doing.
type phase int

const (
	// reading means that the connection is new or that a part of the head of a
	// request was received.
	reading phase = iota
	// receiving means that the body of a request is received, which was not passed on.
	receiving
	// serving means that the head of a request was read completely and the response
	// is not complete.
	serving
	// idle means that the connection waits for another request.
	idle
	// phases is the number of phases.
	phases
)

// connection is the tracked state of a connection.
type connection struct {
	conn  net.Conn
	phase phase
	// since is when the phase began.
	since time.Time
	// head is the size of the head that arrives or whose request is served.
	head head
	// body is the body that is received in the phase of that name.
	body *Body
	// element is the connection's place in the roster.
	element *list.Element
}

// Connections tracks the connections of a server. It closes connections that
// exceed the limits, and tells a stopping process for how long no caller has
// been waiting for a response.
//
// Invariant: no request is served on a connection after Connections has closed
// it. So the response of a request that a target runs is never lost because of
// such a close.
type Connections struct {
	mu    sync.Mutex
	conns map[net.Conn]*connection
	// roster and limits are what Limit sets, and counts what was closed because of them.
	roster roster
	limits func() Limits
	counts counts
	// idleSince is when a connection last became idle or ended.
	idleSince time.Time
	// returning is the memory of refused bodies that is not released yet; returned signals
	// that some was.
	returning int64
	returned  *sync.Cond
}

// NewConnections returns a Connections that tracks no connections yet.
func NewConnections() *Connections {
	c := &Connections{conns: make(map[net.Conn]*connection), idleSince: time.Now()}
	c.returned = sync.NewCond(&c.mu)
	return c
}

// WrapListener wraps a listener, so that the first byte of each request is noticed.
func (c *Connections) WrapListener(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.roster.bound.UsualWindows > 0 {
		limitBuffers(l)
	}
	return &listener{l, c}
}

type listener struct {
	net.Listener
	conns *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{conn, l.conns}, nil
}

// trackedConn reports received bytes to Connections. The server's ConnState hook
// doesn't suffice: it reports a later request of a connection only after the
// whole head.
type trackedConn struct {
	net.Conn
	conns *Connections
}

// Read implements net.Conn.
func (w *trackedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 && !w.conns.received(w, p[:n]) {
		return 0, w.refuseHead(p)
	}
	return n, err
}

// connKey is the context key for the connection of a request.
type connKey struct{}

// ConnContext is the ConnContext hook of the http.Server.
func (c *Connections) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnState is the ConnState hook of the http.Server. A new connection counts as
// active, because its first request may be in transit.
func (c *Connections) ConnState(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		c.add(conn)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch state {
	case http.StateActive:
	case http.StateIdle:
		if tracked := c.conns[conn]; tracked != nil {
			c.enter(tracked, idle, now)
		}
		c.idleSince = now
	default:
		// The end of an idle connection doesn't mean that a caller was active.
		if tracked := c.conns[conn]; tracked != nil && tracked.phase != idle {
			c.idleSince = now
		}
		c.forget(conn)
	}
}

// BeginRequest records that the head of a request was read. It reports whether the
// request may be served, which is not the case if Sweep has closed its
// connection meanwhile.
func (c *Connections) BeginRequest(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.conns[conn]
	if tracked == nil {
		return false
	}
	c.enter(tracked, serving, time.Now())
	return true
}

// IdleFor returns how long all connections have been idle; 0 while one is active.
func (c *Connections) IdleFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tracked := range c.conns {
		if tracked.phase != idle {
			return 0
		}
	}
	return time.Since(c.idleSince)
}

const (
	// minSweepInterval and maxSweepInterval bound the interval at which connections are
	// checked, and so the time by which a connection may exceed a limit.
	minSweepInterval = 250 * time.Millisecond
	maxSweepInterval = time.Second
	// sweepFraction is the interval as a fraction of the shortest time limit.
	sweepFraction = 1.0 / 16
)

// sweepInterval returns the interval at which connections are checked against limits.
func sweepInterval(l Limits) time.Duration {
	interval := time.Duration(sweepFraction * float64(min(l.HeadTimeout, l.IdleTimeout)))
	return min(max(interval, minSweepInterval), maxSweepInterval)
}

// Sweep closes connections that exceed the limits, until ctx ends. If the head
// of a request is late, it first sends timeoutResponse.
func (c *Connections) Sweep(ctx context.Context, limits func() Limits) {
	for clock.Sleep(ctx, sweepInterval(limits())) {
		lateConns, idleConns := c.removeExpired(limits(), time.Now())
		for _, conn := range lateConns {
			// Nothing was written on the connection for this request, so the response
			// can't be mixed up with another one.
			writeNow(conn, timeoutResponse)
			_ = conn.Close()
		}
		for _, conn := range idleConns {
			_ = conn.Close()
		}
	}
}

// timeoutResponse is sent when the head of a request exceeds Limits.HeadTimeout.
const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// removeExpired stops tracking the connections that exceed the limits and returns
// them: those whose request head is late, and those that were idle for too long.
func (c *Connections) removeExpired(limits Limits, now time.Time) (lateConns, idleConns []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.conns {
		switch {
		case tracked.phase == reading && now.Sub(tracked.since) > limits.HeadTimeout:
			lateConns = append(lateConns, conn)
		case tracked.phase == idle && now.Sub(tracked.since) > limits.IdleTimeout:
			idleConns = append(idleConns, conn)
		default:
			continue
		}
		c.forget(conn)
		c.idleSince = now
	}
	return lateConns, idleConns
}
