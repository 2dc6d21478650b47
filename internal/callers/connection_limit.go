package callers

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limit makes Connections enforce the head limit while heads arrive, and a bound on all
// connections. It must be called before the server starts.
func (c *Connections) Limit(bound Bound, limits func() Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roster.bound, c.limits = bound, limits
}

// add tracks a new connection and closes one if the bound is exceeded.
func (c *Connections) add(conn net.Conn) {
	c.mu.Lock()
	tracked := &connection{conn: conn, phase: reading, since: time.Now()}
	c.conns[conn] = tracked
	usual := c.roster.bound.usualBuffers(c.roster.count)
	c.roster.add(tracked)
	closed := c.removeExcess(tracked)
	c.mu.Unlock()
	if usual {
		setUsualBuffers(conn)
	}
	closeExcess(closed)
}

// enter records that a connection enters a phase.
func (c *Connections) enter(tracked *connection, to phase, now time.Time) {
	tracked.since = now
	c.roster.move(tracked, to)
}

// forget stops tracking a connection.
func (c *Connections) forget(conn net.Conn) {
	if tracked := c.conns[conn]; tracked != nil {
		c.roster.remove(tracked)
		delete(c.conns, conn)
	}
}

// forgetIdle stops tracking a connection and reports true, unless a part of a request
// was received on it. No request of the connection may be served.
func (c *Connections) forgetIdle(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tracked := c.conns[conn]; tracked != nil && tracked.phase == reading && tracked.head.bytes > 0 {
		return false
	}
	c.forget(conn)
	return true
}

// removeExcess stops tracking the connections beyond the bound and returns them.
// BeginRequest refuses their requests from then on.
func (c *Connections) removeExcess(newest *connection) (closed []*connection) {
	for {
		tracked := c.roster.excess(newest)
		if tracked == nil {
			return closed
		}
		closed = append(closed, c.removeForBound(tracked))
	}
}

// removeForBound stops tracking a connection, which the caller closes with closeExcess.
func (c *Connections) removeForBound(tracked *connection) *connection {
	c.counts.closed[tracked.phase]++
	// The size of the head is needed after the removal to choose the response.
	size := tracked.head
	c.forget(tracked.conn)
	tracked.head = size
	if tracked.body != nil {
		c.refuse(tracked.body)
	}
	c.idleSince = time.Now()
	return tracked
}

// excessResponse is sent if a connection is closed because of a bound after a part of a
// request was received.
const excessResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// closeExcess closes connections. It does not wait for callers.
func closeExcess(closed []*connection) {
	for _, tracked := range closed {
		if tracked.phase == receiving || tracked.phase == reading && tracked.head.bytes > 0 {
			// Nothing was written on the connection for this request, but perhaps 100 Continue.
			writeNow(tracked.conn, excessResponse)
		}
		_ = tracked.conn.Close()
	}
}

// writeNow writes to a connection as much as its send buffer takes at once.
func writeNow(conn net.Conn, text string) {
	// The caller may have closed the connection, and gets no response then.
	withDescriptor(conn, func(fd int) { _ = unix.Sendto(fd, []byte(text), unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, nil) })
}

// setReceiveBuffer sets the receive buffer of a connection in bytes, which then no longer
// grows with what is read. A failure leaves it as it is.
func setReceiveBuffer(conn net.Conn, size int) {
	withDescriptor(conn, func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
}

// withDescriptor calls f with the descriptor of a connection, unless it is closed.
func withDescriptor(conn net.Conn, f func(fd int)) {
	if tracked, ok := conn.(*trackedConn); ok {
		conn = tracked.Conn
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}
