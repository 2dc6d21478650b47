package callers

import (
	"context"
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Gone returns a function that reports whether the caller of a request has closed its
// connection, as far as the kernel knows. The context of the request ends only once the
// server has read the end of the connection, which may be much later while the
// processor is busy. ctx is that of the request.
func Gone(ctx context.Context) func() bool {
	sc := socketOf(ctx)
	if sc == nil {
		return nil
	}
	return func() bool { return closedByPeer(sc) }
}

// closedByPeer looks at the next byte of a connection without reading it.
func closedByPeer(sc syscall.Conn) bool {
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // closed by this process
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, failed := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && failed == nil || failed != nil && !errors.Is(failed, unix.EAGAIN) && !errors.Is(failed, unix.EINTR)
	})
	return closed || err != nil
}
