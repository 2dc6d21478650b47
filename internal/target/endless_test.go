package target

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against one faulty target whose endless response exhausts the memory of
// its dispatcher or delays its callers until their deadline.
func TestEndlessResponsesAreAborted(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, shape := range map[string]struct{ head, piece string }{
		"status line":   {"HTTP/1.1 200 ", strings.Repeat("O", 4096)},
		"garbage":       {"", strings.Repeat("\x00garbage", 512)},
		"header line":   {ok + "X: ", strings.Repeat("x", 4096)},
		"header lines":  {ok, strings.Repeat("X: y\r\n", 512)},
		"interim":       {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"chunk size":    {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
		"chunks":        {ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"trailer lines": {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: y\r\n", 512)},
		"long body":     {ok + "Content-Length: 9000000000000000000\r\n\r\n", strings.Repeat("x", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			addr, _ := rawTarget(t, func(_ int64, w io.Writer) bool {
				defer close(closed)
				if _, err := io.WriteString(w, shape.head); err != nil {
					return false
				}
				for {
					if _, err := io.WriteString(w, shape.piece); err != nil {
						return false
					}
				}
			})
			c := NewClient(addr, 1, nil)
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if _, err := c.Do(ctx, Request{Method: "GET", Path: "/", MaxResponseBytes: 1 << 20}); err == nil || ctx.Err() != nil {
				t.Errorf("got %v, want a failure before the deadline", err)
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection of the endless response stays open")
			}
		})
	}
}
