package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// responseHeads are the heads of complete responses to a request, by kind. The
// first request of a connection gets a whole response, the second one a cut one.
var responseHeads = map[string]struct{ method, head string }{
	"length":        {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Last: abcdef\r\n\r\n"},
	"length last":   {http.MethodGet, "HTTP/1.1 200 OK\r\nX-First: abcdef\r\nContent-Length: 12\r\n\r\n"},
	"no body":       {http.MethodPost, "HTTP/1.1 200 OK\r\nX-First: a\r\nContent-Length: 0\r\n\r\n"},
	"chunks":        {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
	"no length":     {http.MethodGet, "HTTP/1.1 200 OK\r\nX-First: abcdef\r\nConnection: close\r\n\r\n"},
	"HTTP/1.0":      {http.MethodGet, "HTTP/1.0 200 OK\r\nX-First: abcdef\r\n\r\n"},
	"no content":    {http.MethodPost, "HTTP/1.1 204 No Content\r\nX-First: abcdef\r\n\r\n"},
	"not modified":  {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n"},
	"to HEAD":       {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"},
	"after interim": {http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"},
	"bare newlines": {http.MethodGet, "HTTP/1.1 200 OK\nX-First: a\nContent-Length: 12\n\n"},
}

// startTruncating starts a target that sends the given bytes to each request and
// then closes or resets the connection.
func startTruncating(t *testing.T, response string, reset bool) *fakeTarget {
	return startTarget(t, func(c net.Conn, _ int) bool {
		_, _ = io.WriteString(c, response)
		if reset {
			time.Sleep(time.Millisecond) // A reset discards what was not received.
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
}

// Guards against a response whose head was cut off and that counts as complete,
// with a header line cut shorter or an empty body.
func TestTruncatedHeadsFail(t *testing.T) {
	for name, s := range responseHeads {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				for n := range len(s.head) {
					req := get(startTruncating(t, s.head[:n], reset).addr)
					req.Method = s.method
					if resp, err := do(NewPool(), req); err == nil {
						t.Errorf("cut after %q: got a response with status %d", s.head[:n], resp.Status)
					}
				}
			})
		}
	}
}

// Guards against a body that was cut off and that counts as complete.
func TestTruncatedBodiesFail(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, whole := range map[string]string{
		"length": head + "Content-Length: 12\r\n\r\n0123456789ab",
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n7;x=y\r\n56789ab\r\n0\r\nX-Trailer: z\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				for n := len(head); n < len(whole); n++ {
					if resp, err := do(NewPool(), get(startTruncating(t, whole[:n], reset).addr)); err == nil {
						t.Errorf("cut after %q: got the body %q", whole[:n], resp.Body)
					}
				}
				resp, err := do(NewPool(), get(startTruncating(t, whole, false).addr))
				if err != nil || string(resp.Body) != "0123456789ab" {
					t.Errorf("whole response: got %v, %v", resp, err)
				}
			})
		}
	}
}

// Guards against a short body without a length that counts as complete although
// its connection was reset.
func TestResetBodyWithoutLengthFails(t *testing.T) {
	for _, body := range []string{"", "x", "0123456789ab"} {
		f := startTruncating(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body, true)
		if resp, err := do(NewPool(), get(f.addr)); err == nil {
			t.Errorf("got the body %q, want a failure after the reset", resp.Body)
		}
	}
}
