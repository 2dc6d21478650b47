//go:build !linux

package link

import "net"

// boundUnsent does nothing where the kernel has no such bound.
func boundUnsent(net.Conn) {}
