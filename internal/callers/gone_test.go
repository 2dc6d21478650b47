package callers

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a caller that has left and counts as waiting, or the reverse, whatever
// the server has read of its connection.
func TestGoneFollowsTheConnection(t *testing.T) {
	for name, leaves := range map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { _ = c.Close() },
		"reset":      func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"half close": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"pipelining": func(c *net.TCPConn) { _, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
	} {
		served, results := make(chan struct{}), make(chan [2]bool, 2)
		conns := NewConnections()
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			gone := Gone(r.Context())
			before := gone()
			served <- struct{}{}
			after := false
			for end := time.Now().Add(200 * time.Millisecond); !after && time.Now().Before(end); time.Sleep(time.Millisecond) {
				after = gone()
			}
			results <- [2]bool{before, after}
		}))
		server.Listener = conns.WrapListener(server.Listener)
		server.Config.ConnContext, server.Config.ConnState = conns.ConnContext, conns.ConnState
		server.Start()
		client, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		<-served
		leaves(client.(*net.TCPConn))
		if got, want := <-results, [2]bool{false, name != "pipelining"}; got != want {
			t.Errorf("%s: the caller had left before and after it: %v, want %v", name, got, want)
		}
		go func() {
			for range served { // a pipelined request
			}
		}()
		_ = client.Close()
		server.Close()
		close(served)
	}
}
