package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// fakeTarget is a server that calls a function for each request. The function
// writes the response to the connection, which is closed if it returns false.
type fakeTarget struct {
	addr     string
	conns    atomic.Int64
	requests atomic.Int64
}

func startTarget(t *testing.T, answer func(c net.Conn, request int) bool) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	f := &fakeTarget{addr: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			f.conns.Add(1)
			go f.serve(c, answer)
		}
	}()
	return f
}

func (f *fakeTarget) serve(c net.Conn, answer func(net.Conn, int) bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		f.requests.Add(1)
		if !answer(c, n) {
			return
		}
	}
}

func ok(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

func get(addr string) *Request {
	return &Request{Addr: addr, Method: "GET", URI: "/a?b=c", Host: "h", Header: http.Header{}, MaxBufferedBytes: 1 << 10}
}

func do(p *Pool, req *Request) (*Response, *errkind.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return p.Do(ctx, req)
}

func wantKind(t *testing.T, err *errkind.Error, kind errkind.Kind) {
	t.Helper()
	if err == nil || err.Kind != kind {
		t.Errorf("got %v, want %s", err, kind)
	}
}

// Guards against a second response that is taken for the response to the next
// request.
func TestSecondResponseIsNeverUsed(t *testing.T) {
	f := startTarget(t, func(c net.Conn, n int) bool {
		_ = ok(c, "first")
		time.Sleep(20 * time.Millisecond)
		return ok(c, "stray")
	})
	p := NewPool()
	for range 3 {
		resp, err := do(p, get(f.addr))
		if err != nil || string(resp.Body) != "first" {
			t.Fatalf("got %v, %v, want the response to the request", resp, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if got := f.conns.Load(); got != 3 {
		t.Errorf("%d connections, want a new one after each stray response", got)
	}
}

// Guards against a truncated body that counts as complete.
func TestTruncatedResponseFails(t *testing.T) {
	f := startTarget(t, func(c net.Conn, n int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		return false
	})
	_, err := do(NewPool(), get(f.addr))
	wantKind(t, err, errkind.TargetLost)
}

// Guards against a retry by the pool: if a reused connection breaks, the request
// may have run.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	f := startTarget(t, func(c net.Conn, n int) bool { return n == 1 && ok(c, "x") })
	p := NewPool()
	if _, err := do(p, get(f.addr)); err != nil {
		t.Fatal(err)
	}
	_, err := do(p, get(f.addr))
	wantKind(t, err, errkind.TargetLost)
	if got := f.requests.Load(); got != 2 {
		t.Errorf("the target received %d requests, want 2", got)
	}
}

// Guards against the reuse of a connection that its target has closed.
func TestClosedConnectionIsReplaced(t *testing.T) {
	f := startTarget(t, func(c net.Conn, n int) bool { _ = ok(c, "x"); return false })
	p := NewPool()
	for range 3 {
		if _, err := do(p, get(f.addr)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against the reuse of a connection on which a response to another request
// was received.
func TestRejectedResponseClosesItsConnection(t *testing.T) {
	f := startTarget(t, func(c net.Conn, n int) bool { return ok(c, "x") })
	p := NewPool()
	req := get(f.addr)
	req.Accept = func(*Response) bool { return false }
	_, err := do(p, req)
	wantKind(t, err, errkind.TargetLost)
	if _, err := do(p, get(f.addr)); err != nil {
		t.Fatal(err)
	}
	if got := f.conns.Load(); got != 2 {
		t.Errorf("%d connections, want a new one after the rejected response", got)
	}
}

// Guards against a request that counts as lost although it cannot have reached
// its target.
func TestRefusedConnectionIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	_, failure := do(NewPool(), get(addr))
	wantKind(t, failure, errkind.TargetUnreachable)
}

// Guards against a request that counts as lost, and is not retried at another
// target, because a target with too many connections resets new ones.
func TestResetOfANewConnectionIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	// The target of a busy machine may take milliseconds to reset a connection. The
	// pool waits for a round trip, here that of a distant target.
	const roundTrip = 20 * time.Millisecond
	for range 20 {
		p := NewPool()
		p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
			time.Sleep(roundTrip)
			return nil
		}
		_, failure := p.Do(context.Background(), &Request{Addr: listener.Addr().String(), Method: "POST", URI: "/", Host: "h"})
		if failure == nil || failure.Kind != errkind.TargetUnreachable || !errors.Is(failure, ErrResetBeforeRequest) {
			t.Fatalf("got %v, want %s because of a reset", failure, errkind.TargetUnreachable)
		}
	}
}

// Guards against a reset that arrives after the request was sent to a target in
// another region: the reset arrives one round trip after the connection is
// established.
func TestResetIsAwaitedForARoundTrip(t *testing.T) {
	const roundTrip = 10 * time.Millisecond
	target := startTarget(t, func(net.Conn, int) bool { return false })
	p := NewPool()
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		time.Sleep(roundTrip)
		return nil
	}
	began := time.Now()
	_, _ = p.Do(context.Background(), &Request{Addr: target.addr, Method: "GET", URI: "/", Host: "h"})
	if took := time.Since(began); target.requests.Load() != 1 || took < 2*roundTrip {
		t.Errorf("%d requests after %v, want one after two round trips", target.requests.Load(), took)
	}
}

// Guards against a target that continues to work after the caller has left.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	f := startTarget(t, func(c net.Conn, n int) bool {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool().Do(ctx, get(f.addr))
	wantKind(t, err, errkind.AnswerTimeout)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the target's connection stays open")
	}
}

// Guards against a request that waits in a full send buffer and reaches its target
// after the caller has left.
func TestCancelledRequestIsNotDelivered(t *testing.T) {
	// The small receive buffer of the target keeps most of the request in the send
	// buffer until the target reads.
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) { sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		return errors.Join(err, sockErr)
	}}
	listener, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	cancelled, delivered := make(chan struct{}), make(chan error, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			delivered <- err
			return
		}
		defer func() { _ = c.Close() }()
		<-cancelled
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		delivered <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, func() {
		cancel()
		time.Sleep(50 * time.Millisecond)
		close(cancelled)
	})
	req := get(listener.Addr().String())
	req.Method, req.HasBody, req.Body = http.MethodPost, true, make([]byte, 14<<10)
	_, failure := NewPool().Do(ctx, req)
	wantKind(t, failure, errkind.AnswerTimeout)
	if err := <-delivered; err == nil {
		t.Error("the whole request was delivered after it was cancelled")
	}
}

// Guards against changes of the path, query, headers or body.
func TestRequestIsSentUnchanged(t *testing.T) {
	for _, body := range []string{"body", strings.Repeat("large", maxSingleWriteBody)} {
		near, far := net.Pipe()
		sent := make(chan string)
		go func() {
			all, _ := io.ReadAll(far)
			sent <- string(all)
		}()
		if err := newConn(near).write(&Request{
			Method: "POST", URI: "/a%2Fb/../c?x=%20&y", Host: "h.example", Header: http.Header{"X-A": {"1", "2"}}, Body: []byte(body), HasBody: true,
		}); err != nil {
			t.Fatal(err)
		}
		_ = near.Close()
		want := fmt.Sprintf("POST /a%%2Fb/../c?x=%%20&y HTTP/1.1\r\nHost: h.example\r\nX-A: 1\r\nX-A: 2\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if got := <-sent; got != want {
			t.Errorf("sent %.200q, want %.200q", got, want)
		}
	}
}

// Guards against the reuse of a connection after the idle timeout that its target
// announced.
func TestIdleTimeFollowsTheTarget(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=10, max=5": 6 * time.Second, "timeout=1": 600 * time.Millisecond, "": defaultIdleTime, "timeout=x": defaultIdleTime,
	} {
		if got := idleTime(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: got %v, want %v", value, got, want)
		}
	}
}

// Guards against a late duplicate of a refusal that is taken for the response to a
// retry, because the connection forgot the request over those of other callers.
func TestRetryAvoidsABusyConnection(t *testing.T) {
	f := startTarget(t, func(c net.Conn, n int) bool { return ok(c, "x") })
	p := NewPool()
	var used UsedConns
	for i := range 3 * maxRecentIDs {
		req := get(f.addr)
		req.ID = fmt.Sprint("other-", i)
		if i == 0 || i == 3*maxRecentIDs-1 {
			req.ID, req.Used = "retried", &used
		}
		if _, err := do(p, req); err != nil {
			t.Fatal(err)
		}
	}
	if got := f.conns.Load(); got != 2 {
		t.Errorf("%d connections, want a second one for the retry", got)
	}
}
