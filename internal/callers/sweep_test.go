package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a caller that doesn't read and so delays the end of other connections
// with late heads or takes the response from them.
func TestLateHeadsAreRefusedBesideCallersThatDoNotRead(t *testing.T) {
	const pairs = 4
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conns := NewConnections()
	open := func() (client, server net.Conn) {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		if server, err = conns.WrapListener(listener).Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		conns.ConnState(server, http.StateNew)
		return client, server
	}
	var clients []net.Conn
	for range pairs {
		// Buffers of a fixed size stay full.
		unread, full := open()
		_ = unread.(*net.TCPConn).SetReadBuffer(4 << 10)
		_ = full.(*trackedConn).Conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
		for block, failed := make([]byte, 1<<10), 0; failed < 3; {
			_ = full.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			if n, _ := full.Write(block); n > 0 {
				failed = 0
			} else {
				failed++
			}
		}
		client, _ := open()
		clients = append(clients, client)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go conns.Sweep(ctx, func() Limits { return Limits{HeadTimeout: time.Millisecond, IdleTimeout: time.Hour} })
	for i, client := range clients {
		_ = client.SetReadDeadline(time.Now().Add(eventTime))
		if got, err := io.ReadAll(client); err != nil || string(got) != timeoutResponse {
			t.Errorf("connection %d: got %q, %v", i, got, err)
		}
	}
}
