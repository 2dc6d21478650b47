package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// maxRecentIDs is the number of request IDs that a connection remembers, for
	// callers that reuse an ID. UsedConns covers the retries of one request.
	maxRecentIDs = 32
)

// conn is a connection to a target. It sends one request at a time.
type conn struct {
	nc      net.Conn
	bounded *boundedReader
	r       *bufio.Reader
	// rawHead is reused for the heads of responses.
	rawHead []byte
	// writing is the write of a long request; nil if the write ended before the
	// response was read.
	writing *requestWrite
	// completed counts the complete responses.
	completed int
	// usableUntil is the time after which the idle connection is no longer used.
	usableUntil time.Time
	// unlimited reports that TCP_USER_TIMEOUT is not set.
	unlimited bool
	// recentIDs holds the IDs of the last requests, oldest first.
	recentIDs []string
}

func newConn(nc net.Conn) *conn {
	bounded := &boundedReader{r: nc}
	return &conn{nc: nc, bounded: bounded, r: bufio.NewReaderSize(bounded, readBufferBytes)}
}

// abort resets the connection. A plain close would still deliver the data in
// the send buffer, so a request could reach its target long after its caller has
// left.
func (c *conn) abort() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		// SetLinger fails only if the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.nc.Close()
}

func (c *conn) hasSent(id string) bool { return id != "" && slices.Contains(c.recentIDs, id) }

// remember adds a request ID to recentIDs and drops the oldest one when full.
func (c *conn) remember(id string) {
	if id == "" {
		return
	}
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
}

// boundedReader reads from r and fails with ErrUnbounded after remaining bytes.
type boundedReader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, ErrUnbounded
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

// idleTime returns how long an idle connection may be reused: idleTimeFraction
// of the timeout in the Keep-Alive header of a response, or defaultIdleTime.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(idleTimeFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdleTime
}

// usable reports whether the connection is open and has no unread bytes. Unread
// bytes are a late or duplicate response to an earlier request.
func (c *conn) usable() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && usable
}
