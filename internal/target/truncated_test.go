package target

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// reachTimeout is how long a request is repeated until there is a connection.
const reachTimeout = 20 * time.Second

// Guards against a response that its target cut off at any byte and that counts as
// complete or as a refusal.
func TestTruncatedResponsesFail(t *testing.T) {
	const id = HeaderRequestID + ": 1\r\n"
	for name, s := range map[string]struct{ method, response string }{
		"length":        {"GET", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 12\r\n\r\n0123456789ab"},
		"length last":   {"GET", "HTTP/1.1 200 OK\r\n" + id + "X-A: b\r\nContent-Length: 0\r\n\r\n"},
		"chunks":        {"GET", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n7\r\n56789ab\r\n0\r\n\r\n"},
		"no content":    {"POST", "HTTP/1.1 204 No Content\r\n" + id + "X-A: b\r\n\r\n"},
		"not modified":  {"GET", "HTTP/1.1 304 Not Modified\r\n" + id + "Content-Length: 12\r\n\r\n"},
		"to HEAD":       {"HEAD", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 12\r\n\r\n"},
		"after interim": {"GET", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok"},
		"refusal":       {"POST", "HTTP/1.1 503 Busy\r\n" + HeaderOutcome + ": not_run\r\n" + id + "Content-Length: 2\r\n\r\nno"},
		"no length":     {"GET", "HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\n0123456789ab"},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				for n := range len(s.response) {
					addr, _ := rawTarget(t, func(_ int64, w io.Writer) bool {
						_, _ = io.WriteString(w, s.response[:n])
						if reset {
							time.Sleep(time.Millisecond) // A reset discards what was not received.
							_ = w.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					c := NewClient(addr, 1, nil)
					var resp Response
					err := error(errkind.New(errkind.TargetUnreachable, "not tried"))
					// On a busy machine there may be no connection in time.
					for deadline := time.Now().Add(reachTimeout); kindOf(err) == errkind.TargetUnreachable && time.Now().Before(deadline); {
						resp, err = c.Do(t.Context(), Request{Method: s.method, Path: "/", MaxResponseBytes: 100})
					}
					if kindOf(err) != errkind.TargetLost {
						t.Errorf("cut after %q: got %+v, %v, want target_lost", s.response[:n], resp, err)
					}
					c.Close()
				}
			})
		}
	}
}
