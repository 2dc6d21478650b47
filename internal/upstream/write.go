package upstream

import (
	"errors"
	"io"
	"time"
)

const (
	// maxSingleWriteBody is the largest request body, in bytes, that is appended to
	// the head and sent with a single write.
	maxSingleWriteBody = 16 << 10
	// writeSettleTime bounds the wait for the result of a write when the response is
	// complete. After a response to the whole request only the goroutine that wrote it
	// is awaited.
	writeSettleTime = 20 * time.Millisecond
	// closeSettleTime bounds the wait for the result of a write when the target has
	// ended a response without a length. The result of a write that failed is late by
	// the time in which the process isn't scheduled: an entry with 0.16 cores is
	// suspended for 84 of 100 ms when it has used its share. A target that ended the
	// response in order may need longer to receive the rest of the request.
	closeSettleTime = time.Second
)

// errWriteUnfinished reports that a request is still being written.
var errWriteUnfinished = errors.New("the request is still being written")

// send sends the request. It returns while a long body is still being written,
// because the target may respond before it reads the whole body.
func (c *conn) send(req *Request) error {
	c.writing = nil
	if len(req.Body) <= maxSingleWriteBody {
		return c.write(req)
	}
	c.writing = startWrite(func() error { return c.write(req) })
	return nil
}

// write writes the request.
func (c *conn) write(req *Request) error {
	head := encodeHead(req)
	if len(req.Body) <= maxSingleWriteBody {
		_, err := c.nc.Write(append(head, req.Body...))
		return err
	}
	if _, err := c.nc.Write(head); err != nil {
		return err
	}
	_, err := c.nc.Write(req.Body)
	return err
}

// requestWrite is the write of a long request body, which may go on while the response is
// read.
type requestWrite struct {
	// done is closed when the write has ended; err is its result.
	done chan struct{}
	err  error
}

// startWrite runs a write in another goroutine.
func startWrite(write func() error) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	go func() {
		w.err = write()
		close(w.done)
	}()
	return w
}

// wait returns the result of the write, or errWriteUnfinished if it doesn't end in
// time. The write of a request that was sent at once has succeeded.
func (w *requestWrite) wait(limit time.Duration) error {
	if w == nil {
		return nil
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err
	case <-timer.C:
		return errWriteUnfinished
	}
}

// writeError returns the error of a write that failed while the response was read.
func (c *conn) writeError() error {
	if c.writing == nil {
		return nil
	}
	select {
	case <-c.writing.done:
		return c.writing.err
	default:
		return nil
	}
}

// requestSent reports whether the whole request was written. If not, the next bytes
// on the connection must be the rest of its body.
func (c *conn) requestSent() bool { return c.writing.wait(writeSettleTime) == nil }

// closeDelimitedBody is a response body without a length, which ends with its
// connection.
type closeDelimitedBody struct {
	r io.Reader
	c *conn
}

// Read implements io.Reader. It returns io.EOF only if the request was written without
// error: the kernel reports a reset of the connection once, and if the write receives
// it, the read sees an ordinary end.
func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := b.c.writing.wait(closeSettleTime); failure != nil {
			err = errors.Join(io.ErrUnexpectedEOF, failure)
		}
	}
	return n, err
}
