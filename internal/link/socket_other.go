//go:build !linux

package link

import "net"

// boundUnsent does nothing on systems other than Linux.
func boundUnsent(net.Conn) {}
