package callers

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// LimitUnsent limits how many bytes of responses may wait in the kernel before they are
// sent to a caller. Without it, the kernel takes a long response whole and sends it when
// the caller reads, which is when short messages may be on the link. ctx is that of a
// request; connections that aren't sockets have no limit.
func LimitUnsent(ctx context.Context, bytes int) {
	sc := socketOf(ctx)
	if sc == nil {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			// A failure only means that the limit does not hold.
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
		})
	}
}

// socketOf returns the socket of a request's connection, or nil.
func socketOf(ctx context.Context) syscall.Conn {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	if tracked, ok := conn.(*trackedConn); ok {
		conn = tracked.Conn
	}
	sc, _ := conn.(syscall.Conn)
	return sc
}
