package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// invalidResponses are responses of a target that aren't valid HTTP/1.1; ID stands for
// the header lines of a response that the target made. The first 64 KiB of those with
// LONG are valid, so that they are streamed.
var invalidResponses = map[string]string{
	"status 000":             "HTTP/1.1 000 OK\r\nID\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 2\r\n\r\nok",
	"status 600":             "HTTP/1.1 600 OK\r\nIDContent-Length: 2\r\n\r\nok",
	"version 2.0":            "HTTP/2.0 200 OK\r\nIDContent-Length: 2\r\n\r\nok",
	"blank in a name":        "HTTP/1.1 200 OK\r\nIDX Y: z\r\nContent-Length: 2\r\n\r\nok",
	"blank after a name":     "HTTP/1.1 200 OK\r\nIDContent-Length : 2\r\n\r\nok",
	"control byte in a name": "HTTP/1.1 200 OK\r\nIDX\x01Y: z\r\nContent-Length: 2\r\n\r\nok",
	"control byte":           "HTTP/1.1 200 OK\r\nIDX: a\x01b\r\nContent-Length: 2\r\n\r\nok",
	"folded line":            "HTTP/1.1 200 OK\r\nIDX: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
	"two lengths":            "HTTP/1.1 200 OK\r\nIDContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
	"length and coding":      "HTTP/1.1 200 OK\r\nIDContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"gzip":                   "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"invalid interim":        "HTTP/1.1 103 Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 2\r\n\r\nok",
	"invalid trailer":        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX : y\r\n\r\n",
	"invalid last chunk":     "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\nLONG0 \r\n\r\n",
	"invalid long trailer":   "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\nLONG0\r\nX : y\r\n\r\n",
	"refusal with a blank":   "HTTP/1.1 503 Busy\r\nIDFlamingoreel-Not-Executed: full\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
}

// Guards against a response that isn't valid HTTP and reaches a caller as a complete
// one, or as a promise that the request did not run.
func TestInvalidResponsesAreNotForwardedAsWhole(t *testing.T) {
	long := fmt.Sprintf("%x\r\n%s\r\n", 100<<10, strings.Repeat("x", 100<<10))
	for name, response := range invalidResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startTarget(t, func(c net.Conn, req *http.Request) bool {
				lines := idHeader + ": " + req.Header.Get(idHeader) + "\r\n" + stampHeader + ": s\r\n"
				_, _ = io.WriteString(c, strings.NewReplacer("ID", lines, "LONG", long).Replace(response))
				return false
			})
			e := startEntry(t)
			start := int64(0)
			for _, kind := range kinds {
				id := fmt.Sprint(name, "-", kind)
				var got outcome
				// On a busy machine a request may be refused because no connection to the
				// target is made in time.
				for deadline := time.Now().Add(reachTimeout); f.count(id) == 0 && time.Now().Before(deadline); {
					start++
					e.setTarget("t", start, f.addr)
					got = e.call(http.MethodPost, fmt.Sprintf("/%s/x", kind), id, "x")
				}
				switch runs := f.count(id); {
				case runs == 0:
					t.Errorf("%s: the request reached no target", kind)
				case got.err == nil && (got.status < http.StatusInternalServerError || got.status > 599):
					t.Errorf("%s: the caller got a whole response with status %d and the body %.20q", kind, got.status, got.body)
				case got.err == nil && errkind.PromisesNotRun(got.status):
					t.Errorf("%s: the request may have run, but the caller got %d", kind, got.status)
				case kind == items.Unsafe && runs > 1:
					t.Errorf("the post reached targets %d times", runs)
				}
			}
		})
	}
}

// Guards against a body that broke off while a long request was sent and that reaches
// the caller as a complete one, short or streamed.
func TestResetDuringALongRequestIsVisible(t *testing.T) {
	const bodyBytes = 8 << 20
	body := strings.Repeat("x", bodyBytes)
	for _, size := range []int{14, 100 << 10} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for i := 0; ; i++ {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n%s", idHeader, req.Header.Get(idHeader), stampHeader, strings.Repeat("y", size))
					time.Sleep(time.Duration(i%22) * time.Millisecond)
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
		}()
		e := startEntry(t)
		for i := range 22 {
			e.setTarget("t", int64(i+1), listener.Addr().String())
			if got := e.call(http.MethodPost, fmt.Sprintf("/%s/x%d", items.Unsafe, i), fmt.Sprint(i), body); got.err == nil && got.status < http.StatusBadRequest {
				t.Errorf("run %d: the caller got a whole response with status %d and %d bytes", i, got.status, len(got.body))
			}
		}
	}
}
