package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// truncatedResponses are responses of a target by kind; ID stands for the ID of the
// request.
var truncatedResponses = map[string]struct{ method, head, body string }{
	"length":        {"GET", "HTTP/1.1 200 OK\r\n" + idHeader + ": ID\r\n" + stampHeader + ": s\r\nContent-Length: 12\r\n\r\n", "0123456789ab"},
	"chunks":        {"GET", "HTTP/1.1 200 OK\r\n" + stampHeader + ": s\r\nTransfer-Encoding: chunked\r\n" + idHeader + ": ID\r\n\r\n", "5\r\n01234\r\n7\r\n56789ab\r\n0\r\n\r\n"},
	"no length":     {"GET", "HTTP/1.1 200 OK\r\n" + idHeader + ": ID\r\n" + stampHeader + ": s\r\nX-A: abc\r\n\r\n", ""},
	"no content":    {"POST", "HTTP/1.1 204 No Content\r\n" + idHeader + ": ID\r\n" + stampHeader + ": s\r\n\r\n", ""},
	"not modified":  {"GET", "HTTP/1.1 304 Not Modified\r\n" + idHeader + ": ID\r\n" + stampHeader + ": s\r\nContent-Length: 12\r\n\r\n", ""},
	"to HEAD":       {"HEAD", "HTTP/1.1 200 OK\r\n" + idHeader + ": ID\r\n" + stampHeader + ": s\r\nContent-Length: 12\r\n\r\n", ""},
	"after interim": {"GET", "HTTP/1.1 103 Hints\r\n" + idHeader + ": ID\r\n\r\nHTTP/1.1 200 OK\r\n" + idHeader + ": ID\r\n" + stampHeader + ": s\r\nContent-Length: 12\r\n\r\n", "0123456789ab"},
	"refusal":       {"POST", "HTTP/1.1 503 Busy\r\n" + idHeader + ": ID\r\nFlamingoreel-Not-Executed: full\r\nContent-Length: 4\r\n\r\n", "busy"},
}

// reachTimeout is how long a request is repeated until it reaches its target.
const reachTimeout = 20 * time.Second

// Guards against a response that its target cut off at any byte and that reaches
// the caller as a complete one, or as a promise that the request did not run.
func TestTruncatedResponsesAreNotForwardedAsWhole(t *testing.T) {
	for name, s := range truncatedResponses {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				whole := s.head + s.body
				f := startTarget(t, func(c net.Conn, req *http.Request) bool {
					n, _ := strconv.Atoi(req.URL.Query().Get("n"))
					_, _ = io.WriteString(c, strings.ReplaceAll(whole, "ID", req.Header.Get(idHeader))[:n])
					if reset {
						time.Sleep(time.Millisecond) // A reset discards what was not received.
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				e := startEntry(t)
				start := int64(0)
				for _, kind := range kinds {
					for n := range len(whole) {
						id := fmt.Sprintf("%02x", n) // As long as its placeholder.
						// Requests with one path that lose target after target would be taken for a crashing one.
						path := fmt.Sprintf("/%s/x%d?", kind, n) + url.Values{"n": {fmt.Sprint(n)}}.Encode()
						before := f.count(id)
						var got outcome
						// On a busy machine a request may be refused because no connection
						// to the target is made in time.
						for deadline := time.Now().Add(reachTimeout); f.count(id) == before && time.Now().Before(deadline); {
							start++
							e.setTarget("t", start, f.addr)
							if got = e.call(s.method, path, id, ""); got.err == nil && got.status < http.StatusBadRequest {
								break
							}
						}
						if got.err == nil && got.status < http.StatusBadRequest {
							t.Fatalf("%s, cut after %q: the caller got a whole response with status %d and the body %q", kind, whole[:n], got.status, got.body)
						}
						if kind != items.Unsafe {
							continue
						}
						if runs := f.count(id) - before; runs != 1 {
							t.Errorf("cut after %q: the post reached targets %d times", whole[:n], runs)
						}
						if got.err == nil && errkind.PromisesNotRun(got.status) {
							t.Errorf("cut after %q: the post may have run, but the caller got %d", whole[:n], got.status)
						}
					}
				}
			})
		}
	}
}
