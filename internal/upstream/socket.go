package upstream

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// limitUnacked sets TCP_USER_TIMEOUT on a new socket, so that its connection fails
// when the peer disappears without closing it.
func limitUnacked(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, unackedTimeout) }

// setUserTimeout sets TCP_USER_TIMEOUT; 0 leaves the limit to the kernel.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// limitUnackedFor sets TCP_USER_TIMEOUT for a request. The timeout also ends a
// connection whose peer acknowledges but has no room to receive, such as a frozen
// target, so it is not set for a body that may fill the receive buffer.
func (c *conn) limitUnackedFor(req *Request) error {
	unlimited := len(req.Body) > maxSingleWriteBody
	if unlimited == c.unlimited {
		return nil
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	c.unlimited = unlimited
	if unlimited {
		return setUserTimeout(raw, 0)
	}
	return setUserTimeout(raw, unackedTimeout)
}
