package upstream

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// CheckedConn is a connection to a target for an HTTP client that reads less strictly
// than Pool. It passes on the responses that Pool accepts; its Read fails with ErrInvalid,
// ErrMergedHead or ErrUnbounded in other ones. Chunked bodies are passed on without
// their extensions and trailers. Reads must not be concurrent.
type CheckedConn struct {
	net.Conn
	bounded *boundedReader
	r       *bufio.Reader
	// toHEAD reports that the next response is that to a HEAD request.
	toHEAD atomic.Bool
	// ready holds checked bytes that were not passed on yet, in raw or part.
	ready []byte
	// raw and part are the buffers for a head and for a part of a body.
	raw, part []byte
	// begun reports that the first byte of a head was passed on.
	begun bool
	// body is the body of the current response; nil between responses.
	body    io.Reader
	chunked bool
	// err is the error of all further reads.
	err error
}

// NewCheckedConn returns a connection that checks what it reads from nc.
func NewCheckedConn(nc net.Conn) *CheckedConn {
	bounded := &boundedReader{r: nc, remaining: math.MaxInt64}
	return &CheckedConn{Conn: nc, bounded: bounded, r: bufio.NewReaderSize(bounded, readBufferBytes)}
}

// Expect announces the method of the next request. It must be called before the request
// is written.
func (c *CheckedConn) Expect(method string) { c.toHEAD.Store(method == http.MethodHead) }

// Read implements net.Conn.
func (c *CheckedConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	for len(c.ready) == 0 && c.err == nil {
		c.ready, c.err = c.next()
	}
	if len(c.ready) > 0 {
		n = copy(p, c.ready)
		c.ready = c.ready[n:]
		return n, nil
	}
	return 0, c.err
}

// next returns checked bytes, which are valid until the next call.
func (c *CheckedConn) next() (ready []byte, err error) {
	defer errorFromPanic(&err)
	switch {
	case c.body != nil:
		return c.nextOfBody()
	case !c.begun:
		// The first byte is passed on at once: a client closes an idle connection on
		// which anything arrives, and must not wait for the rest of a head.
		first, err := c.r.Peek(1)
		if err != nil {
			return nil, err
		}
		c.begun = true
		return append(c.part[:0], first[0]), nil
	}
	return c.nextHead()
}

// nextHead returns a head without its first byte, which was passed on before.
func (c *CheckedConn) nextHead() ([]byte, error) {
	c.bounded.remaining = maxHeadBytes
	raw, err := readRawHead(c.r, c.raw[:0])
	c.bounded.remaining = math.MaxInt64
	if cap(raw) <= readBufferBytes {
		c.raw = raw
	}
	if err != nil {
		return nil, err
	}
	method := http.MethodGet
	if c.toHEAD.Load() {
		method = http.MethodHead
	}
	h, err := parseHead(raw, method)
	if err != nil {
		return nil, err
	}
	c.begun = false
	if h.status == http.StatusSwitchingProtocols {
		return nil, errors.New("the target switched protocols")
	}
	switch {
	case !h.hasBody:
	case h.chunked:
		c.body, c.chunked = &chunkedBody{r: c.r}, true
	case h.length >= 0:
		c.body, c.chunked = &lengthBody{c.r, h.length}, false
	default:
		// The client decides whether it accepts a body that ends with the connection.
		c.body, c.chunked = c.r, false
	}
	return raw[1:], nil
}

// nextOfBody returns a part of the body.
func (c *CheckedConn) nextOfBody() ([]byte, error) {
	if c.part == nil {
		c.part = make([]byte, readBufferBytes)
	}
	n, err := c.body.Read(c.part[:readBufferBytes])
	ended := errors.Is(err, io.EOF)
	if ended && c.body != io.Reader(c.r) {
		c.body, err = nil, nil
	}
	if !c.chunked {
		return c.part[:n], err
	}
	var encoded []byte
	if n > 0 {
		encoded = strconv.AppendInt(make([]byte, 0, n+32), int64(n), 16)
		encoded = append(encoded, "\r\n"...)
		encoded = append(encoded, c.part[:n]...)
		encoded = append(encoded, "\r\n"...)
	}
	if ended {
		encoded = append(encoded, "0\r\n\r\n"...)
	}
	return encoded, err
}
