package upstream

import "time"

const (
	// maxSingleWriteBody is the largest request body, in bytes, that is appended to
	// the head and sent with a single write.
	maxSingleWriteBody = 16 << 10
	// writeSettleTime bounds the wait for the result of a write when the response is
	// complete. After a response to the whole request only the goroutine that wrote it
	// is awaited.
	writeSettleTime = 20 * time.Millisecond
)

// send sends the request. It returns while a long body is still being written,
// because the target may respond before it reads the whole body.
func (c *conn) send(req *Request) error {
	c.written = nil
	if len(req.Body) <= maxSingleWriteBody {
		return c.write(req)
	}
	written := make(chan error, 1)
	c.written = written
	go func() { written <- c.write(req) }()
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

// writeError returns the error of a write that failed while the response was read.
func (c *conn) writeError() error {
	select {
	case err := <-c.written:
		return err
	default:
		return nil
	}
}

// requestSent reports whether the whole request was written. If not, the next bytes
// on the connection must be the rest of its body.
func (c *conn) requestSent() bool {
	if c.written == nil {
		return true
	}
	timer := time.NewTimer(writeSettleTime)
	defer timer.Stop()
	select {
	case err := <-c.written:
		return err == nil
	case <-timer.C:
		return false
	}
}
