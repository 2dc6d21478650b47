package upstream

import (
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// pacedReader reads a body as pace allows.
type pacedReader struct {
	io.Reader
	pace    func(n int) (int, error)
	allowed int
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.allowed == 0 {
		n, err := r.pace(len(p))
		if err != nil {
			return 0, err
		}
		r.allowed = n
	}
	n, err := r.Reader.Read(p[:min(len(p), r.allowed)])
	r.allowed -= n
	return n, err
}

// OnClose registers f to run when the response is closed.
func (r *Response) OnClose(f func()) {
	if r.Rest != nil {
		r.Rest.OnClose(f)
		return
	}
	r.onClose = append(r.onClose, f)
}

// LimitWindow limits the receive window of connections that are established from now on
// to about a number of bytes: a target sends as many before they are read. The kernel
// doubles the size of the buffer for its own overhead. It must be called before the pool
// is used.
func (p *Pool) LimitWindow(bytes int) {
	p.dialer.Control = func(network, address string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		})
		return errors.Join(err, sockErr, limitUnacked(network, address, raw))
	}
}
