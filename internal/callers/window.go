package callers

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers of connections, in bytes; the kernel doubles them. Twice the size of the receive buffer
// bounds what a client can send to a process that doesn't read: it counts towards the memory of
// the VM.
const (
	// usualWindow is the receive buffer of a connection. It is the kernel's default size.
	usualWindow = 64 << 10
	// smallWindow is that of a new connection while there are many.
	smallWindow = 8 << 10
	// usualSendBuffer and smallSendBuffer are the send buffers in both cases. They bound how many
	// requests are served for a client that sends ahead and reads no response.
	usualSendBuffer = 256 << 10
	smallSendBuffer = 64 << 10
	// bodyWindow is the receive buffer of a connection while it receives a body beyond fullReservation.
	bodyWindow = 256 << 10
	// windowShare is the fraction of a VM's memory that connections with the usual buffer may
	// leave unread.
	windowShare = 0.05
)

// limitBuffers makes new connections inherit the small buffers from their listener: they hold
// for what arrives before a connection is accepted, while any number of others waits.
func limitBuffers(l net.Listener) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // closed
	}
	_ = raw.Control(func(fd uintptr) {
		// A failure leaves the kernel's own sizes.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallWindow)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, smallSendBuffer)
	})
}

// setUsualBuffers gives an accepted connection the usual buffers.
func setUsualBuffers(conn net.Conn) {
	setWindow(conn, usualWindow)
	withDescriptor(conn, func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, usualSendBuffer) })
}

// setWindow sets the receive buffer of an accepted connection. Its window would stay that of
// the listener's buffer otherwise.
func setWindow(conn net.Conn, size int) {
	withDescriptor(conn, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size)
	})
}

// usualBuffers reports whether one more connection may have the usual buffers beside a number
// of others.
func (b Bound) usualBuffers(connections int) bool { return connections < b.UsualWindows }

// widen sets the receive buffer of the connection of a long body, unless there are many
// connections. It reports whether narrow must follow.
func (b *BodyReader) widen(body *Body) bool {
	c := b.connections
	if c == nil || body.tracked == nil {
		return false
	}
	c.mu.Lock()
	wide := c.roster.bound.usualBuffers(c.roster.count)
	c.mu.Unlock()
	if wide {
		setWindow(body.tracked.conn, bodyWindow)
	}
	return wide
}

// narrow ends widen.
func (b *BodyReader) narrow(body *Body) { setWindow(body.tracked.conn, usualWindow) }
