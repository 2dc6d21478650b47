package upstream

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Limits of a response. A faulty target may send bytes until its connection is
// closed.
const (
	// maxHeadBytes limits the total size of the status line, the headers and all
	// interim responses. Targets send a few hundred bytes.
	maxHeadBytes = 64 << 10
	// maxInterimResponses limits the interim (1xx) responses to one request.
	maxInterimResponses = 8
	// headTimeout limits the time from the first byte of a response to the end of
	// its headers. A lost packet is retransmitted after about a second.
	headTimeout = 2 * time.Second
	// MaxBodyBytes is the maximum size of a response body, in bytes.
	MaxBodyBytes = 64 << 20
)

// ErrUnbounded is the cause of TargetLost when a response exceeds a size limit
// or its headers take longer than headTimeout.
var ErrUnbounded = errors.New("the response exceeds a size limit or the time limit for headers")

// Response is a response of a target. Body holds the whole body unless Rest is
// set.
type Response struct {
	Status int
	Header http.Header
	// Interim holds the headers of the interim (1xx) responses that came before.
	Interim []http.Header
	Body    []byte
	// Rest streams the part of a long body that follows Body; nil if there is none.
	// It must be closed.
	Rest *Stream
	// Length is the length of the whole body in bytes, or -1 if unknown. For a HEAD
	// request, it is the length that the body would have.
	Length int64
	// Pace delays the writing of the body to the caller, so that other messages pass the
	// link first: it returns how many of the next n bytes may be written now, at least
	// one, or an error as soon as ctx ends. nil writes all at once.
	Pace func(ctx context.Context, n int) (int, error)
	// MaxUnsent is how many bytes of a paced body may wait in the kernel before they are
	// sent to the caller, in bytes; 0 means no limit.
	MaxUnsent int
	onClose   []func()
	// Reused reports whether the connection was used for an earlier request.
	Reused bool
}

// Close closes Rest and runs the functions of OnClose. If the body was not read to its end, this closes the
// connection, so that the target stops sending.
func (r *Response) Close() {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
	for _, f := range r.onClose {
		f()
	}
	r.onClose = nil
}

// exchange writes the request and reads the response up to req.MaxBufferedBytes bytes of its
// body.
func (c *conn) exchange(req *Request) (*Response, *errkind.Error) {
	lost := func(err error) *errkind.Error {
		return errkind.Wrap(errkind.TargetLost, err, "connection to %s broke", req.Addr)
	}
	c.remember(req.ID)
	req.Used.add(c)
	if err := c.limitUnackedFor(req); err != nil {
		return nil, lost(err)
	}
	if err := c.send(req); err != nil {
		return nil, lost(err)
	}
	head, interim, err := c.readHead(req)
	if err != nil {
		return nil, lost(errors.Join(err, c.writeError()))
	}
	resp := &Response{Status: head.status, Header: head.header, Interim: interim, Length: head.length, Reused: c.completed > 0}
	if head.close {
		resp.Header.Set("Connection", "close")
	}
	if req.Accept != nil && !req.Accept(resp) {
		return nil, errkind.New(errkind.TargetLost, "%s sent a response that does not belong to the request", req.Addr)
	}
	if resp.Length > MaxBodyBytes {
		return nil, errkind.New(errkind.AnswerTooLarge, "response of %s has %d bytes", req.Addr, resp.Length)
	}
	if head.hasBody {
		body := c.newBody(head)
		if req.Pace != nil {
			body = &pacedReader{Reader: body, pace: req.Pace}
		}
		if err := resp.readBody(body, req.MaxBufferedBytes); err != nil {
			return nil, lost(err)
		}
	}
	return resp, nil
}

// readBody reads up to limit bytes of the body into Body and sets Rest if the
// body is longer.
func (r *Response) readBody(body io.Reader, limit int) (err error) {
	defer errorFromPanic(&err)
	if r.Length >= 0 && r.Length <= int64(limit) {
		r.Body = make([]byte, r.Length)
		n, err := io.ReadFull(body, r.Body)
		if n == len(r.Body) {
			return nil
		}
		return unexpectedEOF(err)
	}
	buffered, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return err
	}
	r.Body = buffered
	if len(buffered) <= limit {
		r.Length = int64(len(buffered))
		return nil
	}
	r.Rest = &Stream{body: body, remaining: MaxBodyBytes - int64(len(buffered))}
	return nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF instead of io.EOF for a body that
// ended too early, and other errors unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readHead reads the status line and headers of the final response, and returns
// the headers of the interim (1xx) responses before it.
func (c *conn) readHead(req *Request) (final *head, interim []http.Header, err error) {
	defer errorFromPanic(&err)
	c.bounded.remaining = maxHeadBytes
	defer func() { c.bounded.remaining = math.MaxInt64 }()
	if _, err := c.r.Peek(1); err != nil {
		return nil, nil, err
	}
	if err := c.nc.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
		return nil, nil, err
	}
	for range maxInterimResponses + 1 {
		raw, err := readRawHead(c.r, c.rawHead[:0])
		if cap(raw) <= readBufferBytes {
			c.rawHead = raw
		}
		if err != nil {
			var timeout interface{ Timeout() bool }
			if errors.As(err, &timeout) && timeout.Timeout() {
				err = errors.Join(ErrUnbounded, err)
			}
			return nil, nil, err
		}
		h, err := parseHead(raw, req.Method)
		if err != nil {
			return nil, nil, err
		}
		if h.status >= http.StatusOK {
			return h, interim, c.nc.SetReadDeadline(time.Time{})
		}
		if h.status == http.StatusSwitchingProtocols {
			return nil, nil, errors.New("the target switched protocols")
		}
		interim = append(interim, h.header)
	}
	return nil, nil, ErrUnbounded
}

// encodeHead returns the request line and the headers, with the URI and the
// header values unchanged.
func encodeHead(req *Request) []byte {
	b := make([]byte, 0, 512+min(len(req.Body), maxSingleWriteBody))
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if req.HasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
