package target

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Guards against a response that isn't valid HTTP/1.1 and counts as a response, on a
// new or a reused connection, and against the refusal of valid ones.
func TestInvalidResponsesAreLost(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n"
	many := fmt.Sprintf("%x\r\n%s\r\n", 9000, strings.Repeat("x", 9000))
	for name, s := range map[string]struct {
		response string
		want     errkind.Kind
	}{
		"whole":                     {ok + "Content-Length: 2\r\n\r\nok", ""},
		"empty":                     {ok + "Content-Length: 0\r\n\r\n", ""},
		"chunks":                    {chunked + "\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\nX: y\r\n\r\n", ""},
		"long chunks":               {chunked + "\r\n" + many + many + "0\r\n\r\n", ""},
		"long body":                 {ok + "Content-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000), ""},
		"no content":                {"HTTP/1.1 204 No Content\r\n\r\n", ""},
		"after interim":             {"HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", ""},
		"refusal":                   {"HTTP/1.1 503 Cold\r\n" + HeaderOutcome + ": not_run\r\nContent-Length: 0\r\n\r\n", errkind.TargetRefused},
		"status 000":                {"HTTP/1.1 000 OK\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", errkind.TargetLost},
		"status 600":                {"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok", errkind.TargetLost},
		"version 2.0":               {"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", errkind.TargetLost},
		"control byte":              {"HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok", errkind.TargetLost},
		"control byte in a value":   {ok + "X: a\x01b\r\nContent-Length: 2\r\n\r\nok", errkind.TargetLost},
		"control byte in a name":    {ok + "X\x01Y: z\r\nContent-Length: 2\r\n\r\nok", errkind.TargetLost},
		"blank in a name":           {ok + "X Y: z\r\nContent-Length: 2\r\n\r\nok", errkind.TargetLost},
		"blank after a name":        {ok + "Transfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nok", errkind.TargetLost},
		"folded line":               {ok + "X: a\r\n b\r\nContent-Length: 2\r\n\r\nok", errkind.TargetLost},
		"bare LF":                   {ok + "X: a\nContent-Length: 2\r\n\r\nok", errkind.TargetLost},
		"two lengths":               {ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!", errkind.TargetLost},
		"malformed length":          {ok + "Content-Length: +2\r\n\r\nok", errkind.TargetLost},
		"length and coding":         {chunked + "Content-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n", errkind.TargetLost},
		"gzip":                      {ok + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", errkind.TargetLost},
		"coding in HTTP/1.0":        {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok", errkind.TargetLost},
		"coding of no content":      {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errkind.TargetLost},
		"invalid interim":           {"HTTP/1.1 103 Hints\r\nX Y: z\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", errkind.TargetLost},
		"blank after a size":        {chunked + "\r\n2 \r\nok\r\n0\r\n\r\n", errkind.TargetLost},
		"control byte in extension": {chunked + "\r\n2;\x01\r\nok\r\n0\r\n\r\n", errkind.TargetLost},
		"blank after trailer name":  {chunked + "\r\n2\r\nok\r\n0\r\nX : y\r\n\r\n", errkind.TargetLost},
		"length in the trailer":     {chunked + "\r\n2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n", errkind.TargetLost},
		"invalid end of many":       {chunked + "\r\n" + many + many + "0 \r\n\r\n", errkind.TargetLost},
		"refusal with a blank":      {"HTTP/1.1 503 Cold\r\nX Y: z\r\n" + HeaderOutcome + ": not_run\r\nContent-Length: 0\r\n\r\n", errkind.TargetLost},
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %v", name, reused), func(t *testing.T) {
				t.Parallel()
				addr, requests := rawTarget(t, func(n int64, w io.Writer) bool {
					id := fmt.Sprintf("%s: %d\r\n", HeaderRequestID, n)
					response := s.response
					if reused && n == 1 {
						response = okResponse
					}
					// The ID goes into the last head.
					i := strings.LastIndex(response, "HTTP/")
					i += strings.Index(response[i:], "\r\n") + 2
					_, _ = io.WriteString(w, response[:i]+id+response[i:])
					return reused && n == 1
				})
				c := NewClient(addr, 1, nil)
				defer c.Close()
				c.echoesIDs.Store(true)
				sent := int64(1)
				if reused {
					sent++
					if _, err := c.Do(t.Context(), Request{Method: "POST", Path: "/", MaxResponseBytes: 10}); err != nil {
						t.Fatal(err)
					}
				}
				resp, err := c.Do(t.Context(), Request{Method: "GET", Path: "/", MaxResponseBytes: 20000})
				if kindOf(err) != s.want || requests.Load() != sent {
					t.Errorf("got %d %.20q, %v after %d requests, want kind %q after %d", resp.Status, resp.Body, err, requests.Load(), s.want, sent)
				}
				if s.want == "" && (resp.Status == http.StatusOK && name != "empty") != (len(resp.Body) > 0) {
					t.Errorf("got %d with %d bytes", resp.Status, len(resp.Body))
				}
			})
		}
	}
}

// Guards against a response to HEAD whose announced length is awaited as a body, and
// against a connection that is not reused after it.
func TestResponsesToHEADHaveNoBody(t *testing.T) {
	addr, _ := rawTarget(t, func(n int64, w io.Writer) bool {
		body := "ok"
		if n%2 == 1 {
			body = ""
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: 2\r\n\r\n%s", HeaderRequestID, n, body)
		return true
	})
	c := NewClient(addr, 1, nil)
	defer c.Close()
	c.echoesIDs.Store(true)
	for i := range 10 {
		method := []string{"HEAD", "GET"}[i%2]
		resp, err := c.Do(t.Context(), Request{Method: method, Path: "/", MaxResponseBytes: 10})
		if err != nil || len(resp.Body) != []int{0, 2}[i%2] {
			t.Errorf("%s: got %+v, %v", method, resp, err)
		}
	}
}

// Guards against a request that is sent on an idle connection on which a part of a head
// has arrived: its response would be taken for the rest of that head.
func TestBytesOnAnIdleConnectionCloseIt(t *testing.T) {
	for _, stray := range []string{"H", "HTTP/1.1 200", "x", "\r\n", okResponse} {
		addr, requests := rawTarget(t, func(n int64, w io.Writer) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: 2\r\n\r\nok", HeaderRequestID, n)
			time.Sleep(20 * time.Millisecond) // The connection is idle by then.
			_, err := io.WriteString(w, stray)
			return err == nil
		})
		c := NewClient(addr, 1, nil)
		defer c.Close()
		c.echoesIDs.Store(true)
		for range 3 {
			resp, err := c.Do(t.Context(), Request{Method: "POST", Path: "/", MaxResponseBytes: 10})
			if err != nil || string(resp.Body) != "ok" {
				t.Errorf("%q: got %+v, %v", stray, resp, err)
			}
			time.Sleep(60 * time.Millisecond)
		}
		if got := requests.Load(); got != 3 {
			t.Errorf("%q: the target received %d requests, want 3", stray, got)
		}
	}
}
