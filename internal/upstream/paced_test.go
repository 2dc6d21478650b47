package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startRaw starts a target that passes each connection to serve.
func startRaw(t *testing.T, serve func(c net.Conn)) string {
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
				serve(c)
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a target that fills the link with bytes of a response that are not to
// be read yet, and against a paced response that is altered.
func TestPacedResponse(t *testing.T) {
	const size, window = 200 << 10, 10 << 10
	var written atomic.Int64
	addr := startRaw(t, func(c net.Conn) {
		// The bytes in the send buffer of the target aren't on the link.
		_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		for body := strings.Repeat("0123456789abcdef", size/16); len(body) > 0; body = body[1024:] {
			if _, err := c.Write([]byte(body[:1024])); err != nil {
				return
			}
			written.Add(1024)
		}
	})
	proceed := make(chan struct{})
	var largest atomic.Int64
	p := NewPool()
	p.LimitWindow(window)
	time.AfterFunc(300*time.Millisecond, func() {
		largest.Store(written.Load())
		close(proceed)
	})
	began := time.Now()
	resp, failure := p.Do(context.Background(), &Request{
		Addr: addr, Method: http.MethodGet, URI: "/", Host: "h", MaxBufferedBytes: 2 * size,
		Pace: func(n int) (int, error) { <-proceed; return min(n, 4<<10), nil },
	})
	if failure != nil {
		t.Fatal(failure)
	}
	if string(resp.Body) != strings.Repeat("0123456789abcdef", size/16) {
		t.Errorf("got %d bytes, want the body unchanged", len(resp.Body))
	}
	// Beside the window, the target's own send buffer takes some kilobytes.
	if got := largest.Load(); got > 64<<10 {
		t.Errorf("the target sent %d bytes before any was read", got)
	}
	// A window that isn't opened again in time costs 200 ms each time.
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the response took %v", took)
	}
}

// Guards against a response that waits for its pacer after its request has ended.
func TestPacedResponseEndsWithItsRequest(t *testing.T) {
	addr := startRaw(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
			_, _ = c.Read(make([]byte, 1))
		}
	})
	ended := errors.New("ended")
	_, failure := NewPool().Do(context.Background(), &Request{
		Addr: addr, Method: http.MethodGet, URI: "/", Host: "h", MaxBufferedBytes: 100,
		Pace: func(int) (int, error) { return 0, ended },
	})
	if !errors.Is(failure, ended) {
		t.Errorf("got %v, want the error of the pacer", failure)
	}
}
