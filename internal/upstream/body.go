package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// lengthBody is a response body with an announced length.
type lengthBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left == 0 {
		return n, io.EOF
	}
	return n, unexpectedEOF(err)
}

// newBody returns the reader of a response body, or nil if there is none. It returns
// io.EOF only after the complete body.
func (c *conn) newBody(h *head) io.Reader {
	switch {
	case !h.hasBody:
		return nil
	case h.chunked:
		return &chunkedBody{r: c.r}
	case h.length >= 0:
		return &lengthBody{c.r, h.length}
	}
	return closeDelimitedBody{c.r, c}
}

// readRawHead appends the head of a response to raw, up to and including the empty
// line. Each line ends with CRLF.
func readRawHead(r *bufio.Reader, raw []byte) ([]byte, error) {
	for begin := 0; ; {
		part, err := r.ReadSlice('\n')
		raw = append(raw, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return raw, unexpectedEOF(err)
		}
		line := raw[begin:]
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return raw, invalid("a line doesn't end with CRLF")
		}
		if len(line) == len("\r\n") {
			return raw, nil
		}
		begin = len(raw)
	}
}

// errorFromPanic sets err if the calling function panics, so that a fault in the
// check of one response neither ends the process nor counts as a response.
func errorFromPanic(err *error) {
	if cause := recover(); cause != nil {
		*err = fmt.Errorf("reading the response panicked: %v", cause)
	}
}
