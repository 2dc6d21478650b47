package callers

import (
	"context"
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

// closedByPeer asks the kernel whether the peer has closed its direction of a connection
// or reset it. Bytes that were received before and not read don't hide that, as they
// would if the next byte was looked at.
func closedByPeer(sc syscall.Conn) bool {
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // closed by this process
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, failed := unix.Poll(polled, 0)
		closed = failed == nil && n > 0
	})
	return closed || err != nil
}
