package link

import (
	"net"
	"syscall"
)

const (
	// tcpNotSentLowat is TCP_NOTSENT_LOWAT of linux/tcp.h.
	tcpNotSentLowat = 25
	// maxUnsent bounds the unsent bytes in the kernel's send buffer. Small
	// messages cannot overtake frames that are queued there.
	maxUnsent = 8 * ChunkSize
)

// boundUnsent bounds the unsent bytes that the kernel queues for a TCP
// connection, so that small messages wait less behind large ones. Errors are
// ignored, because the connection works without the bound.
func boundUnsent(nc net.Conn) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpNotSentLowat, maxUnsent)
	})
}
