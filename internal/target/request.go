package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// Request is one request to a target.
type Request struct {
	// Path is the escaped path with its query; it begins with a slash.
	Method, Path string
	Header       http.Header
	Body         []byte
	// MaxResponseBytes bounds the body of the response in bytes.
	MaxResponseBytes int
}

// Response is the complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// hopHeaders apply to a single connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

var (
	errTooLarge       = errors.New("response larger than allowed")
	errNoLength       = errors.New("response without length or chunks may be truncated")
	errProtocolSwitch = errors.New("target switched protocols")
	errOtherRequest   = errors.New("response to another request")
)

// Do sends a request to the target and reads the complete response. Its errors are
//
//   - BadRequest when the request cannot be sent at all,
//   - TargetUnreachable when ctx ended or a dial failed before there was a
//     connection, so that no byte of the request was sent,
//   - TargetRefused when the response carries the outcome not_run,
//   - TargetLost when the connection was lost or the response is incomplete or
//     answers another request,
//   - AnswerTimeout when ctx ended once there was a connection, and
//   - AnswerTooLarge when the body exceeds MaxResponseBytes.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	resp, err := c.exchange(ctx, c.requests, req)
	if err != nil {
		return Response{}, err
	}
	if resp.Header.Get(HeaderOutcome) == string(errkind.NotRun) {
		return Response{}, errkind.New(errkind.TargetRefused, "%s refused with status %d, %s",
			c.addr, resp.Status, resp.Header.Get(HeaderErrorKind))
	}
	return resp, nil
}

// exchange sends a request once and reads the complete response.
func (c *Client) exchange(ctx context.Context, t *http.Transport, req Request) (Response, error) {
	var conn atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*upstream.CheckedConn); ok {
			c.Expect(req.Method)
		}
		conn.Store(&info)
	}}
	r, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), req)
	if err != nil {
		return Response{}, errkind.Wrap(errkind.BadRequest, err, "request for %s", c.addr)
	}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return Response{}, c.classify(ctx, err, conn.Load() != nil)
	}
	if !c.matches(resp, *conn.Load()) {
		_ = conn.Load().Conn.Close()
		_ = resp.Body.Close()
		return Response{}, c.classify(ctx, errOtherRequest, true)
	}
	body, err := readAll(resp, req.Method, req.MaxResponseBytes)
	if err != nil {
		return Response{}, c.classify(ctx, err, true)
	}
	header := endToEnd(resp.Header)
	header.Del(HeaderRequestID)
	return Response{Status: resp.StatusCode, Header: header, Body: body}, nil
}

// matches reports whether a response answers its request. A faulty target may
// send a response once more, so one without an ID is accepted only from a
// connection that carried no request before.
func (c *Client) matches(resp *http.Response, conn httptrace.GotConnInfo) bool {
	id := resp.Header.Get(HeaderRequestID)
	if id == "" {
		return !conn.Reused
	}
	if id != resp.Request.Header.Get(HeaderRequestID) {
		return false
	}
	c.echoesIDs.Store(true)
	return true
}

// classify wraps err with its error kind. connected means that bytes of the
// request may have been sent.
func (c *Client) classify(ctx context.Context, err error, connected bool) *errkind.Error {
	switch {
	case !connected:
		return errkind.Wrap(errkind.TargetUnreachable, err, "no connection to %s", c.addr)
	case errors.Is(err, errTooLarge):
		return errkind.Wrap(errkind.AnswerTooLarge, err, "response of %s", c.addr)
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.AnswerTimeout, ctx.Err(), "response of %s", c.addr)
	}
	return errkind.Wrap(errkind.TargetLost, err, "connection to %s", c.addr)
}

func (c *Client) newRequest(ctx context.Context, req Request) (*http.Request, error) {
	if !strings.HasPrefix(req.Path, "/") {
		return nil, fmt.Errorf("path %q does not begin with a slash", req.Path)
	}
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host = "http", c.addr
	r, err := http.NewRequestWithContext(ctx, req.Method, u.String(), nil)
	if err != nil {
		return nil, err
	}
	if r.Method == http.MethodConnect {
		return nil, errors.New("method CONNECT")
	}
	r.Header = endToEnd(req.Header)
	if _, ok := r.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default.
		r.Header["User-Agent"] = []string{""}
	}
	r.Header.Set(HeaderRequestID, strconv.FormatUint(c.lastID.Add(1), 10))
	r.Close = !c.echoesIDs.Load()
	r.Body, r.ContentLength = newSingleUseBody(req.Body)
	return r, nil
}

// singleUseBody is a body that cannot be sent again. net/http retries a request
// on another connection when a reused one was lost and the request is a GET,
// HEAD, OPTIONS or TRACE, or has an Idempotency-Key, and its body is nil or can be
// rewound. A body that is neither prevents this for every method.
type singleUseBody struct{ r *bytes.Reader }

func (b singleUseBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b singleUseBody) Close() error               { return nil }

// newSingleUseBody returns a body and its length. With a length of 0, net/http
// reads the body itself to find that it is empty.
func newSingleUseBody(body []byte) (io.ReadCloser, int64) {
	return singleUseBody{bytes.NewReader(body)}, int64(len(body))
}

// endToEnd returns a copy of h without hop-by-hop headers.
func endToEnd(h http.Header) http.Header {
	copied := h.Clone()
	if copied == nil {
		return http.Header{}
	}
	for _, value := range copied["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		copied.Del(name)
	}
	return copied
}

// readAll reads the complete body. A body whose end cannot be told from a lost
// connection is an error.
func readAll(resp *http.Response, method string, limit int) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errProtocolSwitch
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead {
		return nil, errNoLength
	}
	if resp.ContentLength > int64(limit) && method != http.MethodHead {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, errTooLarge
	}
	return body, nil
}
