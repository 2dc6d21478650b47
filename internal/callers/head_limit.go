package callers

import (
	"bytes"
	"errors"
	"net"
	"time"
)

// ReadAheadBytes is how much a server may read beyond the end of a head before it
// calls BeginRequest: the buffer of net/http. Bytes that it reads while a request of the
// connection is served don't count; a server that reads further heads meanwhile has to
// bound them itself.
const ReadAheadBytes = 4 << 10

const (
	// lingerTime is how long a connection stays open after a response that closes it, and
	// lingerBytes how much is still read from it: a close with unread bytes resets the
	// connection, which can destroy the response before the caller has read it.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// longHeadBytes is the size of an unfinished head from which the receive buffer of
	// its connection no longer grows, and longHeadBuffer the size in bytes to which it is
	// set (the kernel doubles it). It is the kernel's default size: a smaller buffer
	// delayed later bodies of 64 KiB on loopback by 0.4 s.
	longHeadBytes  = 16 << 10
	longHeadBuffer = 64 << 10
	// refusedBuffer is the receive buffer in bytes after a refusal; the kernel raises it
	// to its least size.
	refusedBuffer = 1
)

// tooLargeResponse is sent when a head exceeds Limits.HeadBytes while it arrives.
const tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var errHeadTooLarge = errors.New("the head of a request exceeds the limit")

// startReading records that a part of the head of the next request was received before
// the connection became idle.
func (c *Connections) startReading(conn net.Conn, part head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tracked := c.conns[conn]; tracked != nil && tracked.phase == idle {
		c.enter(tracked, reading, time.Now())
		c.roster.setHead(tracked, part)
	}
}

// received records that bytes were received. They begin a request if the connection
// was idle, and count towards its head until BeginRequest. It reports whether the head
// is still within the limit.
func (c *Connections) received(conn net.Conn, data []byte) bool {
	c.mu.Lock()
	tracked := c.conns[conn]
	if tracked == nil || tracked.phase == serving || tracked.phase == receiving {
		c.mu.Unlock()
		return true
	}
	if tracked.phase == idle {
		c.enter(tracked, reading, time.Now())
	}
	c.roster.setHead(tracked, head{
		bytes: tracked.head.bytes + int64(len(data)),
		lines: tracked.head.lines + int64(bytes.Count(data, []byte{'\n'})),
	})
	if c.limits != nil && tracked.head.bytes > c.limits().HeadBytes+ReadAheadBytes {
		c.counts.refusedHeads++
		c.mu.Unlock()
		return false
	}
	grewLong := tracked.head.bytes >= longHeadBytes && tracked.head.bytes-int64(len(data)) < longHeadBytes
	closed := c.removeExcess(nil)
	c.mu.Unlock()
	closeExcess(closed)
	if grewLong {
		setReceiveBuffer(conn, longHeadBuffer)
	}
	return true
}

// refuseHead sends tooLargeResponse and returns the error for the server, which then
// closes the connection without a further response. buf is used to read.
func (w *trackedConn) refuseHead(buf []byte) error {
	// Nothing was written on the connection for this request.
	writeNow(w, tooLargeResponse)
	setReceiveBuffer(w, refusedBuffer)
	if half, ok := w.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = w.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	for left := lingerBytes; left > 0; {
		n, err := w.Conn.Read(buf)
		if err != nil {
			break
		}
		left -= n
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: w.RemoteAddr(), Err: errHeadTooLarge}
}
