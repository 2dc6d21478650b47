package upstream

import (
	"errors"
	"io"
	"sync"
)

// Stream is the part of a response body that is forwarded as it arrives. It is
// not safe for concurrent use.
type Stream struct {
	body io.Reader
	// remaining is the number of bytes that the target may still send.
	remaining int64
	// readErr is the error of the last read; io.EOF after a complete body.
	readErr error
	// release returns the connection to the pool; discard aborts it.
	release, discard func()
	closeOnce        sync.Once
	onClose          []func()
}

// OnClose registers f to run when the stream is closed, before Close returns.
func (s *Stream) OnClose(f func()) { s.onClose = append(s.onClose, f) }

// Read implements io.Reader. It returns io.EOF only after the complete body, and
// ErrUnbounded if the body exceeds MaxBodyBytes.
func (s *Stream) Read(p []byte) (int, error) {
	if s.readErr != nil {
		return 0, s.readErr
	}
	n, err := s.readBody(p)
	s.remaining -= int64(n)
	if s.remaining < 0 {
		n, err = 0, ErrUnbounded
	}
	s.readErr = err
	return n, err
}

func (s *Stream) readBody(p []byte) (n int, err error) {
	defer errorFromPanic(&err)
	return s.body.Read(p)
}

// Close returns the connection to the pool if the body was read to its end, and
// aborts the connection otherwise.
func (s *Stream) Close() error {
	s.closeOnce.Do(func() {
		if errors.Is(s.readErr, io.EOF) {
			s.release()
		} else {
			s.discard()
		}
		for _, f := range s.onClose {
			f()
		}
	})
	return nil
}
