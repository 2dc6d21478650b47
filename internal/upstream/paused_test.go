package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// pausedBodyBytes is the size of a body that fills the socket buffers of both ends.
const pausedBodyBytes = 16 << 20

// pause is how long a target does not read; longer than unackedTimeout.
const pause = 3 * unackedTimeout

// startPausing starts a target that passes each connection and the request, whose
// body was not read, to a function.
func startPausing(t *testing.T, serve func(c net.Conn, req *http.Request)) string {
	t.Helper()
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
			go func() {
				defer func() { _ = c.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c, req)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func longPost(addr string) *Request {
	req := get(addr)
	req.Method, req.HasBody, req.Body = http.MethodPost, true, make([]byte, pausedBodyBytes)
	return req
}

// Guards against a request that counts as lost because its target, frozen for a
// moment, does not read: its kernel still acknowledges, so the target can answer.
func TestPausedTargetCanAnswer(t *testing.T) {
	addr := startPausing(t, func(c net.Conn, req *http.Request) {
		time.Sleep(pause)
		if n, _ := io.Copy(io.Discard, req.Body); n == pausedBodyBytes {
			_ = ok(c, "done")
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*pause)
	defer cancel()
	resp, err := NewPool().Do(ctx, longPost(addr))
	if err != nil || string(resp.Body) != "done" {
		t.Errorf("got %v, %v, want the response after the pause", resp, err)
	}
}

// Guards against a response that is delayed or lost because its target sends it
// before it has read a long body, and against bytes of another request where the
// target expects the rest of that body.
func TestEarlyResponseIsReceived(t *testing.T) {
	received := make(chan int64, 1)
	addr := startPausing(t, func(c net.Conn, req *http.Request) {
		_ = ok(c, "early")
		time.Sleep(pause)
		_ = c.SetReadDeadline(time.Now().Add(pause))
		n, _ := io.Copy(io.Discard, c)
		received <- n
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*pause)
	defer cancel()
	p := NewPool()
	start := time.Now()
	resp, err := p.Do(ctx, longPost(addr))
	if err != nil || string(resp.Body) != "early" {
		t.Fatalf("got %v, %v, want the early response", resp, err)
	}
	if took := time.Since(start); took > pause/2 {
		t.Errorf("the response took %v, want it before the body is read", took)
	}
	if idle := len(p.idle[addr]); idle != 0 {
		t.Errorf("%d idle connections, want none on which a body is incomplete", idle)
	}
	if n := <-received; n >= pausedBodyBytes {
		t.Errorf("the target received %d bytes, want the body to end with its connection", n)
	}
}

// Guards against a new connection after each long body. On a busy machine the
// result of a write may come late, which costs a connection.
func TestLongBodiesKeepTheirConnection(t *testing.T) {
	f := startTarget(t, func(c net.Conn, _ int) bool { return ok(c, "x") })
	p := NewPool()
	const requests = 10
	for range requests {
		if _, err := do(p, longPost(f.addr)); err != nil {
			t.Fatal(err)
		}
	}
	if got := f.conns.Load(); got > requests/2 {
		t.Errorf("%d requests took %d connections", requests, got)
	}
}

// Guards against a user timeout that is left off or on when a connection is used for
// another request.
func TestUserTimeoutFollowsTheRequest(t *testing.T) {
	f := startTarget(t, func(c net.Conn, _ int) bool { return ok(c, "x") })
	p := NewPool()
	nc, err := p.dialer.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	c := newConn(nc)
	for _, req := range []*Request{get(f.addr), longPost(f.addr), get(f.addr)} {
		if _, err := c.exchange(req); err != nil {
			t.Fatal(err)
		}
		want := unackedTimeout
		if len(req.Body) > 0 {
			want = 0
		}
		if got := userTimeout(t, nc); got != want {
			t.Errorf("a body of %d bytes: TCP_USER_TIMEOUT is %v, want %v", len(req.Body), got, want)
		}
	}
}

// userTimeout returns TCP_USER_TIMEOUT of a connection.
func userTimeout(t *testing.T, nc net.Conn) time.Duration {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var ms int
	var sockErr error
	if err := raw.Control(func(fd uintptr) { ms, sockErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); err != nil || sockErr != nil {
		t.Fatal(err, sockErr)
	}
	return time.Duration(ms) * time.Millisecond
}
