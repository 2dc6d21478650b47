package link

import (
	"net"
	"syscall"
)

const (
	// tcpNotSentLowat is TCP_NOTSENT_LOWAT of linux/tcp.h.
	tcpNotSentLowat = 25
	// maxUnsent bounds the bytes that wait in the kernel before they are sent.
	// Frames queued there can no longer be overtaken by small messages.
	maxUnsent = 8 * ChunkSize
)

// boundUnsent bounds what the kernel queues for a TCP connection. Without it
// everything works, but small messages wait longer behind large ones.
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
