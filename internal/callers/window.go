package callers

import (
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

// window sets the buffers of new connections through their listener, from which they inherit
// them: they must hold for what arrives before a connection is accepted.
type window struct {
	listener syscall.Conn
	// size is the receive buffer that was set last; 0 for the kernel's own.
	size int
}

// windowSize returns the receive buffer for the next connection beside a number of others, 0
// for that of the kernel.
func (b Bound) windowSize(connections int) int {
	switch {
	case b.UsualWindows == 0:
		return 0
	case connections < b.UsualWindows:
		return usualWindow
	}
	return smallWindow
}

// adjustWindow sets the buffers for the next connection. c.mu is held.
func (c *Connections) adjustWindow() {
	size := c.roster.bound.windowSize(c.roster.count)
	if size == c.window.size || c.window.listener == nil {
		return
	}
	raw, err := c.window.listener.SyscallConn()
	if err != nil {
		return // closed
	}
	c.window.size = size
	sendBuffer := usualSendBuffer
	if size == smallWindow {
		sendBuffer = smallSendBuffer
	}
	_ = raw.Control(func(fd uintptr) {
		// A failure leaves a buffer as it is.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
	})
}

// widen sets the receive buffer of the connection of a body that is long, unless there are many
// connections. It reports whether narrow must follow.
func (b *BodyReader) widen(body *Body) bool {
	c := b.connections
	if c == nil || body.tracked == nil {
		return false
	}
	c.mu.Lock()
	wide := c.roster.bound.windowSize(c.roster.count) == usualWindow
	c.mu.Unlock()
	if wide {
		setReceiveBuffer(body.tracked.conn, bodyWindow)
	}
	return wide
}

// narrow ends widen.
func (b *BodyReader) narrow(body *Body) { setReceiveBuffer(body.tracked.conn, usualWindow) }
