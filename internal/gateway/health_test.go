package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Guards against a late duplicate of a response that is taken for the result of a
// health check, and against the reuse of its connection: the next request would get
// the result of the check, and a post that runs would count as lost.
func TestLateDuplicateIsNotAHealthCheck(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var conns atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				previous := ""
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"))
					if req.URL.Path == "/health" {
						if _, err := io.WriteString(c, previous); err != nil {
							return
						}
						time.Sleep(50 * time.Millisecond)
						response = "HTTP/1.1 200 OK\r\nX-Target: raw\r\nContent-Length: 0\r\n\r\n"
					}
					previous = response
					if _, err := io.WriteString(c, response); err != nil {
						return
					}
				}
			}()
		}
	}()
	b := newTestbed(t)
	b.put(fleet.Delta{Targets: []fleet.Target{{
		Incarnation: fleet.Incarnation{ID: "raw", StartMs: 1}, Service: "s", Address: listener.Addr().String(), DataCentre: "d", Slots: 4,
	}}})
	if r := b.serve("/post/x", "1"); r.Err != nil {
		t.Fatal(r.Err)
	}
	e, _ := b.g.view.Load().Endpoint("raw")
	c := choice{endpoint: e, state: b.g.stateOf(e)}
	if _, healthy := b.g.checkHealth(context.Background(), c); healthy {
		t.Error("a duplicate of another response counts as a health check")
	}
	if r := b.serve("/post/x", "2"); r.Err != nil {
		t.Errorf("got %v after a health check", r.Err)
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("%d connections, want a new one after the duplicate", got)
	}
	if _, healthy := b.g.checkHealth(context.Background(), choice{endpoint: e, state: b.g.stateOf(e)}); healthy {
		t.Error("a duplicate of another response counts as a health check")
	}
	if _, healthy := b.g.checkHealth(context.Background(), c); !healthy {
		t.Error("a health check on a new connection fails")
	}
}
