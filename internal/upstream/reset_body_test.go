package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// resetBodyBytes is the size of a request body that the socket buffers of both ends
// don't hold, so that the write still goes on when the connection is reset.
const resetBodyBytes = 24 << 20

// startResetting starts a target that reads a part of a long request, sends a
// response and resets the connection after a delay, while the request is written.
func startResetting(t *testing.T, response string, delay func() time.Duration) string {
	t.Helper()
	return startPausing(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, response)
		time.Sleep(delay())
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

// newResetPost returns a function that returns requests with the same long body.
func newResetPost() func(addr string) *Request {
	body := make([]byte, resetBodyBytes)
	return func(addr string) *Request {
		req := get(addr)
		req.Method, req.HasBody, req.Body = http.MethodPost, true, body
		return req
	}
}

// delays returns a function that returns 0 to 21 ms in turn.
func delays() func() time.Duration {
	var next atomic.Int64
	return func() time.Duration { return time.Duration((next.Add(1)-1)%22) * time.Millisecond }
}

// Guards against a partial body that counts as complete: the kernel reports a reset
// only once, and the write of a long request receives it, so that the read of the
// response sees an ordinary end.
func TestResetDuringTheRequestCutsTheBody(t *testing.T) {
	resetPost := newResetPost()
	const runs = 66
	addr := startResetting(t, "HTTP/1.1 200 OK\r\n\r\ncut off bodies", delays())
	accepted := 0
	for range runs {
		resp, err := do(NewPool(), resetPost(addr))
		if err == nil {
			accepted++
			resp.Close()
		} else if err.Kind != errkind.TargetLost {
			t.Errorf("got %v, want %s", err, errkind.TargetLost)
		}
	}
	if accepted > 0 {
		t.Errorf("%d of %d responses that were reset count as complete", accepted, runs)
	}
}

// Guards against the same for a body that is streamed to the caller.
func TestResetDuringTheRequestCutsTheStream(t *testing.T) {
	resetPost := newResetPost()
	const runs = 44
	addr := startResetting(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 3000), delays())
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	accepted, streams := 0, 0
	for range runs {
		resp, err := NewPool().Do(ctx, resetPost(addr))
		if err != nil {
			continue
		}
		if resp.Rest == nil {
			t.Fatal("got a buffered body, want a stream")
		}
		streams++
		time.Sleep(50 * time.Millisecond) // The write has received the reset by then.
		if _, err := io.Copy(io.Discard, resp.Rest); err == nil {
			accepted++
		}
		resp.Close()
	}
	if accepted > 0 {
		t.Errorf("%d of %d streams that were reset count as complete", accepted, streams)
	}
	if streams == 0 {
		t.Error("no response was streamed, so the test proves nothing")
	}
}

// Guards against an early response that is lost although its end doesn't depend on
// the connection, which is reset while the request is written.
func TestResetAfterADelimitedResponseIsHarmless(t *testing.T) {
	resetPost := newResetPost()
	for _, response := range []string{
		"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
	} {
		addr := startResetting(t, response, func() time.Duration { return 200 * time.Millisecond })
		resp, err := do(NewPool(), resetPost(addr))
		if err != nil || resp.Status == http.StatusRequestEntityTooLarge && string(resp.Body) != "no" {
			t.Errorf("%q: got %v, %v, want the whole response", response, resp, err)
		}
	}
}

// Guards against a response that is lost although its target ended it in order and
// read the whole request afterwards.
func TestEarlyOrderlyEndIsComplete(t *testing.T) {
	resetPost := newResetPost()
	addr := startPausing(t, func(c net.Conn, req *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, req.Body)
	})
	for range 10 {
		resp, err := do(NewPool(), resetPost(addr))
		if err != nil || string(resp.Body) != "whole" {
			t.Errorf("got %v, %v, want the whole response", resp, err)
		}
	}
}

// Guards against a caller that waits until its deadline for a target that ended its
// response without a length and doesn't read the request, and against a success
// without knowing whether the request can still be written.
func TestUnfinishedRequestBreaksAnUndelimitedResponse(t *testing.T) {
	resetPost := newResetPost()
	ended := make(chan struct{})
	defer close(ended)
	addr := startPausing(t, func(c net.Conn, req *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		<-ended
	})
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	began := time.Now()
	_, err := NewPool().Do(ctx, resetPost(addr))
	wantKind(t, err, errkind.TargetLost)
	if took := time.Since(began); took > endlessTimeout/2 {
		t.Errorf("the response counted as lost after %v, want it well before the deadline", took)
	}
}
