package callers

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a long response that the kernel takes whole for a caller that doesn't
// read, and sends at any later time.
func TestUnsentBytesAreLimited(t *testing.T) {
	const limit, size = 8 << 10, 4 << 20
	written := func(limited bool) int64 {
		var count atomic.Int64
		conns := NewConnections()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{ConnState: conns.ConnState, ConnContext: conns.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if limited {
				LimitUnsent(r.Context(), limit)
			}
			for range size >> 10 {
				if _, err := io.WriteString(w, strings.Repeat("x", 1<<10)); err != nil {
					return
				}
				count.Add(1 << 10)
			}
		})}
		go func() { _ = server.Serve(conns.WrapListener(listener)) }()
		defer func() { _ = server.Close() }()
		dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		}}
		caller, err := dialer.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = caller.Close() }()
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		// The count is final once it hasn't changed for a while.
		for last := int64(-1); count.Load() == 0 || count.Load() != last; {
			last = count.Load()
			time.Sleep(200 * time.Millisecond)
		}
		return count.Load()
	}
	if without, with := written(false), written(true); with > without/4 || with > 128<<10 {
		t.Errorf("the kernel took %d bytes for a caller that doesn't read, %d without the limit", with, without)
	}
}
