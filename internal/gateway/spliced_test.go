package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// earlierResponses are copies of responses to an earlier request.
var earlierResponses = map[string]string{
	"refusal, ID first":  "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": earlier\r\nFlamingoreel-Not-Executed: full\r\nContent-Length: 0\r\n\r\n",
	"refusal, ID last":   "HTTP/1.1 503 Service Unavailable\r\nFlamingoreel-Not-Executed: full\r\nDate: x\r\n" + idHeader + ": earlier\r\n\r\n",
	"refusal without ID": "HTTP/1.1 429 Too Many Requests\r\nFlamingoreel-Not-Executed: full\r\nContent-Length: 0\r\n\r\n",
	"misdirected":        "HTTP/1.1 421 Misdirected Request\r\nDate: x\r\n\r\n",
	"failure":            "HTTP/1.1 404 Not Found\r\nDate: x\r\n" + idHeader + ": earlier\r\n" + stampHeader + ": 0\r\n\r\n",
	"success":            "HTTP/1.1 201 Created\r\nDate: x\r\n" + stampHeader + ": 0\r\n" + idHeader + ": earlier\r\nContent-Length: 0\r\n\r\n",
	"interim":            "HTTP/1.1 103 Early Hints\r\nFlamingoreel-Not-Executed: full\r\n\r\n",
	"late error":         "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n",
}

// Guards against a copy of an earlier response, whole or cut off at any byte, whose
// status or headers are taken for those of the response that follows it: a post
// that ran would be reported as refused.
func TestCopiesOfEarlierResponsesAreNotMixedIn(t *testing.T) {
	for name, earlier := range earlierResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startTarget(t, func(c net.Conn, req *http.Request) bool {
				n, _ := strconv.Atoi(req.URL.RawQuery)
				id := req.Header.Get(idHeader)
				_, err := io.WriteString(c, earlier[:n]+responseOf(id, http.StatusOK, "", "body of "+id))
				return err == nil
			})
			e := startEntry(t)
			start := int64(0)
			for _, kind := range kinds {
				for n := range len(earlier) + 1 {
					id := fmt.Sprint(kind, "-", n)
					var got outcome
					// On a busy machine a request may be refused because no connection to
					// the target is made in time.
					for deadline := time.Now().Add(reachTimeout); f.count(id) == 0 && time.Now().Before(deadline); {
						start++
						e.setTarget("t", start, f.addr)
						got = e.call(http.MethodPost, fmt.Sprintf("/%s/x?%d", kind, n), id, "x")
					}
					switch {
					case f.count(id) == 0 || got.err != nil:
						t.Errorf("%s after %q: got %+v, want an answer to a request that a target ran", kind, earlier[:n], got)
					case errkind.PromisesNotRun(got.status):
						t.Errorf("%s after %q: the target ran the request, but the caller got %d", kind, earlier[:n], got.status)
					case got.status < http.StatusInternalServerError && (got.status != http.StatusOK || got.body != "body of "+id):
						t.Errorf("%s after %q: the caller got %d, %q", kind, earlier[:n], got.status, strings.TrimSpace(got.body))
					}
				}
			}
		})
	}
}
