package target

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

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// rawTarget serves connections on loopback: respond writes the response to the
// n-th request, from 1, and the connection is closed when it returns false.
func rawTarget(t *testing.T, respond func(n int64, w io.Writer) bool) (addr string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if !respond(requests.Add(1), c) {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String(), requests
}

func kindOf(err error) errkind.Kind {
	if err == nil {
		return ""
	}
	return errkind.From(err).Kind
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against net/http sending a request again when a reused connection
// is lost after the request arrived: an order would be executed twice.
func TestRequestIsNeverSentTwice(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "DELETE"} {
		for _, body := range []string{"", "x"} {
			addr, requests := rawTarget(t, func(n int64, w io.Writer) bool {
				if n > 1 {
					return false
				}
				_, _ = io.WriteString(w, okResponse)
				return true
			})
			c := NewClient(addr, 1, nil)
			defer c.Close()
			c.echoesIDs.Store(true) // The second request reuses the connection.
			if _, err := c.Do(t.Context(), Request{Method: "POST", Path: "/", MaxResponseBytes: 10}); err != nil {
				t.Fatal(err)
			}
			header := http.Header{HeaderIdemKey: {"order-1"}, "X-Idempotency-Key": {"order-1"}}
			_, err := c.Do(t.Context(), Request{Method: method, Path: "/", Header: header, Body: []byte(body), MaxResponseBytes: 10})
			if kindOf(err) != errkind.TargetLost || requests.Load() != 2 {
				t.Errorf("%s with body %q: %v after %d requests, want target_lost after 2", method, body, err, requests.Load())
			}
		}
	}
}

// Guards against a truncated, unbounded or refused response that looks like a
// success.
func TestResponses(t *testing.T) {
	cases := []struct {
		response string
		want     errkind.Kind
	}{
		{okResponse, ""},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno", ""},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", errkind.TargetLost},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", errkind.TargetLost},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", errkind.TargetLost},
		{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", errkind.TargetLost},
		{"HTTP/1.1 101 Switch\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", errkind.TargetLost},
		{"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n01234567890", errkind.AnswerTooLarge},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n", errkind.AnswerTooLarge},
		{"HTTP/1.1 200 OK\r\nFlamingoreel-Outcome: not_run\r\nContent-Length: 0\r\n\r\n", errkind.TargetRefused},
		{"HTTP/1.1 503 Cold\r\nFlamingoreel-Outcome: not_run\r\nContent-Length: 0\r\n\r\n", errkind.TargetRefused},
		{"", errkind.TargetLost},
	}
	for _, tc := range cases {
		addr, _ := rawTarget(t, func(_ int64, w io.Writer) bool {
			_, _ = io.WriteString(w, tc.response)
			return false
		})
		c := NewClient(addr, 1, nil)
		resp, err := c.Do(t.Context(), Request{Method: "GET", Path: "/a?b=c", MaxResponseBytes: 10})
		if kindOf(err) != tc.want {
			t.Errorf("%q: got %d %q, %v, want kind %q", tc.response, resp.Status, resp.Body, err, tc.want)
		}
		c.Close()
	}
}

// Guards against a request that may have run being reported as not run, and
// against renewals that wait for a connection that requests use.
func TestTimeouts(t *testing.T) {
	stall, arrived := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stall) })
	addr, _ := rawTarget(t, func(n int64, w io.Writer) bool {
		if n == 1 {
			close(arrived)
			<-stall
		}
		reply := `{"accepted":true,"clock_ms":7}`
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(reply), reply)
		return true
	})
	c := NewClient(addr, 1, nil)
	defer c.Close()
	long, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	first := make(chan error, 1)
	go func() {
		_, err := c.Do(long, Request{Method: "POST", Path: "/", MaxResponseBytes: 10})
		first <- err
	}()
	<-arrived
	short, cancelShort := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancelShort()
	if rep, err := c.Grant(t.Context(), GrantRequest{}); err != nil || rep.ClockMs != 7 {
		t.Errorf("grant while the slots are full: %+v, %v", rep, err)
	}
	if _, err := c.Do(short, Request{Method: "POST", Path: "/", MaxResponseBytes: 10}); kindOf(err) != errkind.TargetUnreachable {
		t.Errorf("no free connection: got %v, want target_unreachable", err)
	}
	if err := <-first; kindOf(err) != errkind.AnswerTimeout {
		t.Errorf("stalled target: got %v, want answer_timeout", err)
	}
	unreachable := NewClient("127.0.0.1:1", 1, nil)
	if _, err := unreachable.Do(t.Context(), Request{Method: "GET", Path: "/"}); kindOf(err) != errkind.TargetUnreachable {
		t.Errorf("nothing listens: got %v, want target_unreachable", err)
	}
}
