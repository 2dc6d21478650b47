package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// startRaw starts a target that answers each request with the given bytes and closes
// the connection.
func startRaw(t *testing.T, response string) string {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a target that counts as healthy although its answer to a health
// check is invalid or broke off, in its head or after any part of its body.
func TestInvalidHealthResponsesFail(t *testing.T) {
	const ok, named = "HTTP/1.1 200 OK\r\n", "X-Target: raw\r\n"
	long := strings.Repeat("x", holdBytes+1000)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(long), long)
	for name, s := range map[string]struct {
		response string
		healthy  bool
	}{
		"short":               {ok + named + "Content-Length: 2\r\n\r\nok", true},
		"long":                {ok + named + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long), true},
		"long chunks":         {ok + named + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n", true},
		"long, cut off":       {ok + named + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long)+1, long), false},
		"long chunks cut off": {ok + named + "Transfer-Encoding: chunked\r\n\r\n" + chunk, false},
		"invalid last chunk":  {ok + named + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0 \r\n\r\n", false},
		"invalid trailer":     {ok + named + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\nX : y\r\n\r\n", false},
		"too long":            {ok + named + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 16*len(long), strings.Repeat(long, 16)), false},
		"status 000":          {"HTTP/1.1 000 OK\r\n" + named + "Content-Length: 0\r\n\r\n" + ok + named + "Content-Length: 0\r\n\r\n", false},
		"blank in a name":     {ok + named + "X Y: z\r\nContent-Length: 0\r\n\r\n", false},
		"blank after a name":  {ok + "X-Target : raw\r\n" + named + "Content-Length: 0\r\n\r\n", false},
		"coding and length":   {ok + named + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"folded line":         {ok + named + "X: y\r\n z\r\nContent-Length: 0\r\n\r\n", false},
		"invalid interim":     {"HTTP/1.1 103 Hints\r\nX Y: z\r\n\r\n" + ok + named + "Content-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			b.put(fleet.Delta{Targets: []fleet.Target{{
				Incarnation: fleet.Incarnation{ID: "raw", StartMs: 1}, Service: "s", Address: startRaw(t, s.response), DataCentre: "d", Slots: 4,
			}}})
			e, _ := b.g.view.Load().Endpoint("raw")
			if _, healthy := b.g.checkHealth(context.Background(), choice{endpoint: e, state: b.g.stateOf(e)}); healthy != s.healthy {
				t.Errorf("healthy %v, want %v", healthy, s.healthy)
			}
		})
	}
}
