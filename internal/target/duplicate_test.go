package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// repeatingTarget is a faulty target: before its response to a request, it sends
// its response to the previous request on the connection once more.
type repeatingTarget struct {
	addr        string
	conns, runs atomic.Int64
	// echo makes responses carry the ID of their request.
	echo bool
}

func newRepeatingTarget(t *testing.T, echo bool) *repeatingTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	f := &repeatingTarget{addr: l.Addr().String(), echo: echo}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.conns.Add(1)
			go f.serve(c)
		}
	}()
	return f
}

func (f *repeatingTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	previous := ""
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		response := f.respond(req, string(body))
		if _, err := io.WriteString(c, previous+response); err != nil {
			return
		}
		previous = response
	}
}

// respond refuses the requests to /refused and runs all others.
func (f *repeatingTarget) respond(req *http.Request, body string) string {
	head := "HTTP/1.1 200 OK\r\n"
	if f.echo {
		head += fmt.Sprintf("%s: %s\r\n", HeaderRequestID, req.Header.Get(HeaderRequestID))
	}
	reply := body
	switch {
	case req.URL.Path == "/refused":
		head += fmt.Sprintf("%s: %s\r\n", HeaderOutcome, errkind.NotRun)
	case req.URL.Path == GrantPath:
		reply = fmt.Sprintf(`{"accepted":true,"epoch":%d}`, strings.Count(body, "fence"))
	case req.URL.Path == RevokePath:
		_, slices, _ := strings.Cut(strings.TrimSuffix(body, "}"), `"slices":`)
		reply = `{"revoked":` + slices + `}`
	default:
		f.runs.Add(1)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(reply), reply)
}

// Guards against an order that is reported as refused, and is sent to a second
// target, because a late duplicate of an earlier refusal is taken for its response.
func TestDuplicateRefusalIsNotTheNextResponse(t *testing.T) {
	for _, echo := range []bool{true, false} {
		f := newRepeatingTarget(t, echo)
		c := NewClient(f.addr, 1, nil)
		defer c.Close()
		for i := range 10 {
			path := []string{"/refused", "/order"}[i%2]
			before := f.runs.Load()
			_, err := c.Do(t.Context(), Request{Method: "POST", Path: path, Body: []byte("x"), MaxResponseBytes: 10})
			if ran := f.runs.Load() > before; ran && kindOf(err) == errkind.TargetRefused {
				t.Errorf("echo %v, request %d: the target ran the request, but it is reported as refused", echo, i)
			}
		}
	}
}

// Guards against a caller that gets the response to the request of another one.
func TestDuplicateResponseIsNotTheNextResponse(t *testing.T) {
	for _, echo := range []bool{true, false} {
		f := newRepeatingTarget(t, echo)
		c := NewClient(f.addr, 1, nil)
		defer c.Close()
		for i := range 10 {
			want := fmt.Sprint(i)
			resp, err := c.Do(t.Context(), Request{Method: "POST", Path: "/order", Body: []byte(want), MaxResponseBytes: 10})
			if err == nil && string(resp.Body) != want {
				t.Errorf("echo %v: got %q, want %q", echo, resp.Body, want)
			}
		}
	}
}

// Guards against a revocation or a grant that counts as confirmed because of the
// reply to an earlier one: a slice could have two owners.
func TestDuplicateReplyConfirmsNothing(t *testing.T) {
	for _, echo := range []bool{true, false} {
		f := newRepeatingTarget(t, echo)
		c := NewClient(f.addr, 1, nil)
		defer c.Close()
		for i := range 10 {
			req := RevokeRequest{Slices: sliceFences(i)}
			if rep, err := c.Revoke(t.Context(), req); err == nil && (len(rep.Revoked) != 1 || rep.Revoked[0] != req.Slices[0]) {
				t.Errorf("echo %v: %v counts as the reply to the revocation of %v", echo, rep.Revoked, req.Slices)
			}
			grant := GrantRequest{Slices: make([]GrantSlice, i)}
			if rep, err := c.Grant(t.Context(), grant); err == nil && int(rep.Epoch) != i {
				t.Errorf("echo %v: the reply to a grant of %d slices counts for one of %d", echo, rep.Epoch, i)
			}
		}
	}
}

// Guards against a part of an earlier refusal whose headers are taken for those of
// the response that follows it: an order that ran would count as refused.
func TestPartOfARefusalIsNotMixedIn(t *testing.T) {
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nDate: x\r\nContent-Length: 0\r\n\r\n", HeaderOutcome, errkind.NotRun)
	for n := range len(refusal) {
		addr, _ := rawTarget(t, func(request int64, w io.Writer) bool {
			_, err := fmt.Fprintf(w, "%sHTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: 2\r\n\r\nok", refusal[:n], HeaderRequestID, request)
			return err == nil
		})
		c := NewClient(addr, 1, nil)
		resp, err := c.Do(t.Context(), Request{Method: "POST", Path: "/", MaxResponseBytes: 10})
		if n > 0 && kindOf(err) != errkind.TargetLost || n == 0 && (err != nil || string(resp.Body) != "ok") {
			t.Errorf("after %q: got %+v, %v", refusal[:n], resp, err)
		}
		c.Close()
	}
}

// Guards against a new connection for each request to a target whose responses
// carry the ID of their request.
func TestConnectionsAreReusedWhenResponsesAreIdentified(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns atomic.Int64
	server := &http.Server{
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				conns.Add(1)
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		}),
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	c := NewClient(l.Addr().String(), 1, nil)
	defer c.Close()
	for range 20 {
		resp, err := c.Do(t.Context(), Request{Method: "POST", Path: "/", MaxResponseBytes: 10})
		if err != nil {
			t.Fatal(err)
		}
		if id := resp.Header.Get(HeaderRequestID); id != "" {
			t.Errorf("the response is forwarded with %s %q, which names one attempt only", HeaderRequestID, id)
		}
	}
	if got := conns.Load(); got > 2 {
		t.Errorf("20 requests took %d connections, want 2 at most", got)
	}
}

func sliceFences(i int) []contract.SliceFence {
	return []contract.SliceFence{{Slice: contract.SliceID(i + 1), Fence: contract.Fence(i + 1)}}
}
