package callers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/items"
)

// startServer starts a Server on loopback. change may change its configuration.
func startServer(t *testing.T, handler http.HandlerFunc, change func(*ServerConfig)) (*Server, string) {
	t.Helper()
	cfg := ServerConfig{
		Handler: handler, Connections: NewConnections(), Limits: func() Limits { return LimitsOf(nil) }, WriteTimeout: 10 * time.Second,
	}
	if change != nil {
		change(&cfg)
	}
	s := NewServer(cfg)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve returned %v, want http.ErrServerClosed", err)
		}
	})
	return s, listener.Addr().String()
}

// connect opens a connection to a server.
func connect(t *testing.T, addr string) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(15 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn), bufio.NewReader(c)
}

// respondVariously responds as the path of a request says.
func respondVariously(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get("n"))
	body := strings.Repeat("0123456789abcdef", n/16+1)[:n]
	h := w.Header()
	switch r.URL.Path {
	case "/length":
		h.Set("Content-Length", strconv.Itoa(n))
		_, _ = io.WriteString(w, body)
	case "/parts":
		for ; len(body) > 1000; body = body[1000:] {
			_, _ = io.WriteString(w, body[:1000])
		}
		_, _ = io.WriteString(w, body)
	case "/flushed":
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, body)
	case "/status":
		w.WriteHeader(n)
		if _, err := io.WriteString(w, "x"); (n == 204 || n == 304) != errors.Is(err, http.ErrBodyNotAllowed) {
			panic("unexpected error of a write")
		}
	case "/typed":
		h.Set("Content-Type", "a/b")
		h["X-Two"] = []string{"1", "2"}
		h.Set("Keep-Alive", "timeout=2")
		http.Error(w, "failed", http.StatusBadGateway)
	case "/plain":
		h["Date"], h["Content-Type"] = nil, nil
		_, _ = io.WriteString(w, "<html>")
	case "/encoded":
		h.Set("Content-Encoding", "gzip")
		_, _ = io.WriteString(w, "<html>")
	case "/close":
		h.Set("Connection", "close")
		_, _ = io.WriteString(w, "closing")
	case "/short":
		h.Set("Content-Length", "10")
		_, _ = io.WriteString(w, "12345")
	case "/long":
		h.Set("Content-Length", "5")
		if _, err := io.WriteString(w, "1234567890"); !errors.Is(err, http.ErrContentLength) {
			panic("unexpected error of a write")
		}
	case "/abort":
		h.Set("Content-Length", "10000")
		_, _ = io.WriteString(w, strings.Repeat("x", 5000))
		panic(http.ErrAbortHandler)
	case "/interim":
		h.Set("Link", "x")
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, "after")
	case "/half":
		_, _ = io.ReadFull(r.Body, make([]byte, 2))
		h.Set("Connection", "close")
		_, _ = io.WriteString(w, "half")
	default:
		body, err := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s %s %d %q %v %v %v", r.Method, r.RequestURI, r.Host, r.Proto, r.ContentLength, body, err, r.Header, r.Trailer)
	}
}

// exchanged sends requests one after the other and returns the responses, up to the one
// after which the server closes the connection.
func exchanged(t *testing.T, addr string, requests []string) (responses []string) {
	t.Helper()
	c, r := connect(t, addr)
	defer func() { _ = c.Close() }()
	for _, request := range requests {
		_, _ = io.WriteString(c, request)
		for interim := true; interim; {
			response, status, closes := readRaw(r, request)
			responses = append(responses, response)
			if closes {
				return responses
			}
			interim = status < 200
		}
	}
	return responses
}

// readRaw reads a response and describes it.
func readRaw(r *bufio.Reader, request string) (description string, status int, closes bool) {
	method, _, _ := strings.Cut(request, " ")
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return "no response", 0, true
	}
	body, err := io.ReadAll(resp.Body)
	_, dated := resp.Header["Date"]
	resp.Header.Del("Date")
	if resp.StatusCode >= 400 && resp.Close {
		// The refusals of net/http have no length and date, and other texts.
		resp.Header.Del("Content-Length")
		resp.ContentLength, dated, body = -1, false, nil
	}
	if err != nil {
		body = nil // How much of a truncated response arrives is not defined.
	}
	return fmt.Sprint(resp.StatusCode, resp.Proto, resp.Header, resp.TransferEncoding, resp.ContentLength, string(body), err, resp.Close, dated), resp.StatusCode, resp.Close || err != nil
}

const host = " HTTP/1.1\r\nHost: h\r\n"

// Guards against responses that differ from those that callers get from net/http, apart
// from the order in which pipelined requests run.
func TestResponsesEqualThoseOfNetHTTP(t *testing.T) {
	_, addr := startServer(t, respondVariously, nil)
	reference := httptest.NewServer(http.HandlerFunc(respondVariously))
	defer reference.Close()
	for _, requests := range [][]string{
		{"GET /length?n=0" + host + "\r\n", "GET /length?n=100" + host + "\r\n", "HEAD /length?n=100" + host + "\r\n", "GET /length?n=100000" + host + "\r\n"},
		{"GET /parts?n=0" + host + "\r\n", "GET /parts?n=2048" + host + "\r\n", "GET /parts?n=2049" + host + "\r\n", "GET /parts?n=70000" + host + "\r\n", "HEAD /parts?n=100" + host + "\r\n", "HEAD /parts?n=5000" + host + "\r\n", "HEAD /parts?n=0" + host + "\r\n"},
		{"GET /flushed?n=0" + host + "\r\n", "GET /flushed?n=5000" + host + "\r\n", "HEAD /flushed?n=50" + host + "\r\n"},
		{"GET /status?n=204" + host + "\r\n", "GET /status?n=304" + host + "\r\n", "GET /status?n=299" + host + "\r\n", "GET /status?n=404" + host + "\r\n", "GET /typed" + host + "\r\n"},
		{"GET /plain" + host + "\r\n", "GET /encoded" + host + "\r\n", "GET /interim" + host + "\r\n"},
		{"GET /close" + host + "\r\n"}, {"GET /short" + host + "\r\n"}, {"HEAD /short" + host + "\r\n", "GET /" + host + "\r\n"}, {"GET /long" + host + "\r\n"}, {"GET /abort" + host + "\r\n"},
		{"GET / HTTP/1.0\r\n\r\n"}, {"GET /parts?n=5000 HTTP/1.0\r\n\r\n"}, {"GET /close HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"},
		{"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "HEAD /length?n=9 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "GET /parts?n=5000 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"},
		{"GET /" + host + "Connection: x, close\r\n\r\n"}, {"GET /" + host + "Connection: keep-alive\r\nX-A: 1\r\nX-A: 2\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n", "GET http://a/b HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost:\r\n\r\n", "GET /" + host + "X:  v \t\r\n\r\n"},
		{"POST /" + host + "Content-Length: 4\r\n\r\nbody", "\r\nPOST /" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "GET /" + host + "\r\n"},
		{"POST /" + host + "Transfer-Encoding: Chunked\r\nTrailer: T\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n", "PUT /" + host + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nxx", "GET /" + host + "Content-Length: 2\r\n\r\nxx", "DELETE /" + host + "\r\n"},
		{"POST /" + host + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nxx", "POST /" + host + "Expect: 100-continue\r\nContent-Length: 0\r\n\r\n"}, {"GET /length?n=3" + host + "Expect: 100-Continue\r\n\r\n"},
		{"POST /close" + host + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"}, {"POST /" + host + "Expect: other\r\nContent-Length: 2\r\n\r\nxx"}, {"POST /half" + host + "Content-Length: 6\r\n\r\nxxxxxx"},
		{"POST /" + host + "Transfer-Encoding: chunked\r\n\r\nmalformed\r\n"},
		{"OPTIONS *" + host + "\r\n", "OPTIONS /" + host + "\r\n", "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", "get /" + host + "\r\n", "GET / HTTP/1.9\r\nHost: h\r\n\r\n"},
		{"hello\r\n"}, {"GET /\r\n"}, {"GET / HTTP/2.0\r\nHost: h\r\n\r\n"}, {"GET / HTTP/0.9\r\nHost: h\r\n\r\n"}, {"GET / http/1.1\r\nHost: h\r\n\r\n"}, {"G=T /" + host + "\r\n"}, {"G T / HTTP/1.1\r\n"}, {"GET x HTTP/1.1\r\n"}, {"\r\n"}, {"\n\n"},
		{"GET / HTTP/1.1\r\n\r\n"}, {"GET http://h/ HTTP/1.1\r\n\r\n"}, {"GET /" + host + "Host: h\r\n\r\n"}, {"GET / HTTP/1.1\r\nHost: a b\r\n\r\n"}, {"GET / HTTP/1.0\r\nHost: a b\r\n\r\n"},
		{"GET /" + host + "A B: c\r\n\r\n"}, {"GET /" + host + "A : c\r\n\r\n"}, {"GET /" + host + ": c\r\n\r\n"}, {"GET /" + host + "A\r\n\r\n"}, {"GET /" + host + "A: \x01\r\n\r\n"}, {"GET /" + host + "A: b\rc\r\n\r\n"}, {"GET / HTTP/1.1\r\n Host: h\r\n\r\n"},
		{"POST /" + host + "Content-Length: x\r\n\r\n"}, {"POST /" + host + "Content-Length: -1\r\n\r\n"}, {"POST /" + host + "Content-Length: +1\r\n\r\n"}, {"POST /" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n"}, {"POST /" + host + "Content-Length: \r\n\r\n"},
		{"POST /" + host + "Transfer-Encoding: gzip\r\n\r\n"}, {"POST /" + host + "Transfer-Encoding: chunked, chunked\r\n\r\n"}, {"POST /" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"}, {"POST /" + host + "Transfer-Encoding:\r\n\r\n"},
	} {
		got, want := exchanged(t, addr, requests), exchanged(t, strings.TrimPrefix(reference.URL, "http://"), requests)
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Errorf("%q:\ngot  %q\nwant %q", requests, got, want)
		}
	}
}

// Guards against messages that intermediaries frame differently: a second request could
// be hidden in the body of the first one. net/http accepts the first three.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	_, addr := startServer(t, respondVariously, nil)
	for _, request := range []string{
		"POST /" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /" + host + "A: b\r\n c\r\n\r\n",
		"POST /" + host + "Content-Length : 3\r\n\r\nabc",
	} {
		if got := exchanged(t, addr, []string{request, get}); len(got) != 1 || !strings.HasPrefix(got[0], "400") {
			t.Errorf("%q: got %q, want one response with status 400", request, got)
		}
	}
}

// Guards against a head limit that isn't enforced while the head arrives, or only with a
// value from the start, and against one that counts the requests behind.
func TestHeadLimitIsAskedForEachRequest(t *testing.T) {
	var limit atomic.Int64
	_, addr := startServer(t, func(http.ResponseWriter, *http.Request) { limit.Store(9000) }, func(cfg *ServerConfig) {
		cfg.Limits = func() Limits { return Limits{HeadBytes: limit.Load()} }
	})
	head := func(size int) string {
		return "GET /" + host + "X: " + strings.Repeat("x", size-len("GET /"+host+"X: \r\n\r\n")) + "\r\n\r\n"
	}
	limit.Store(200)
	for i, got := range exchanged(t, addr, []string{head(200), head(9000) + head(5000), "", head(9001)}) {
		if want := []string{"200", "200", "200", "431"}[i]; !strings.HasPrefix(got, want) {
			t.Errorf("got %q for request %d, want %s", got, i, want)
		}
	}
	limit.Store(200)
	for name, start := range map[string]string{"headers": head(500)[:201], "request line": "GET /" + strings.Repeat("x", 200)} {
		if got := exchanged(t, addr, []string{start}); len(got) != 1 || !strings.HasPrefix(got[0], "431") {
			t.Errorf("%s: got %q for an unfinished head over the limit, want 431", name, got)
		}
	}
}

// Guards against a panic that ends the process, and against a connection that stays open
// after it.
func TestPanicsCloseTheConnection(t *testing.T) {
	_, addr := startServer(t, func(http.ResponseWriter, *http.Request) { panic("fault") }, nil)
	for range 2 {
		if got := exchanged(t, addr, []string{get}); len(got) != 1 || got[0] != "no response" {
			t.Errorf("got %q, want no response", got)
		}
	}
}

// Guards against a body that is taken for the next request, and against a caller that
// loses the response because the connection is reset while it sends the body.
func TestUnreadBodiesCloseTheConnection(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 10)); err == nil {
			panic("the limit isn't enforced")
		}
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}, nil)
	for _, request := range []string{post(100_000), chunked(100_000)} {
		if got := exchanged(t, addr, []string{request, get}); len(got) != 1 || !strings.HasPrefix(got[0], "413") {
			t.Errorf("got %q, want one response with status 413", got)
		}
	}
}

// Guards against the limits of the other tests of this package, which use net/http, being
// enforced in another way by the server that callers use.
func TestServerKeepsTimeLimits(t *testing.T) {
	limits := LimitsOf(&items.Limits{HeaderTimeout: 400 * time.Millisecond, IdleTimeout: 800 * time.Millisecond})
	s, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Second) // longer than both limits
	}, func(cfg *ServerConfig) { cfg.Limits = func() Limits { return limits } })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.cfg.Connections.Sweep(ctx, s.cfg.Limits)
	for name, requests := range map[string][]string{"first head": {"GET / HT"}, "later head": {get, "GET / HT"}, "head behind a running request": {get + "GET / HT", ""}} {
		got := exchanged(t, addr, requests)
		if len(got) != len(requests) || !strings.HasPrefix(got[len(got)-1], "408") || len(got) == 2 && !strings.HasPrefix(got[0], "200") {
			t.Errorf("%s: got %q, want 408 after the responses", name, got)
		}
	}
	c, r := connect(t, addr)
	if got := roundTrip(t, c, r, get); got != http.StatusOK {
		t.Fatalf("got %d", got)
	}
	began := time.Now()
	if _, err := r.ReadByte(); err != io.EOF || time.Since(began) < limits.IdleTimeout || time.Since(began) > limits.IdleTimeout+2*time.Second {
		t.Errorf("an idle connection ended with %v after %v", err, time.Since(began))
	}
}

// acceptedLate is a listener whose connection is accepted before the listener is closed and
// returned afterwards.
type acceptedLate struct {
	conn   chan net.Conn
	closed chan struct{}
}

func (l *acceptedLate) Accept() (net.Conn, error) {
	<-l.closed
	if conn, ok := <-l.conn; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *acceptedLate) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *acceptedLate) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a request that is cut off because its connection was accepted at the
// moment at which a planned stop closed the listener.
func TestConnectionAcceptedDuringShutdownIsServed(t *testing.T) {
	server := NewServer(ServerConfig{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		Connections: NewConnections(), Limits: func() Limits { return LimitsOf(nil) },
	})
	near, far := net.Pipe()
	l := &acceptedLate{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conn <- far
	close(l.conn)
	go func() { _ = server.Serve(l) }()
	for !server.hasListener() {
		time.Sleep(time.Millisecond)
	}
	server.closeListeners()
	_ = near.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(near), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v, want a response", resp, err)
	}
	_ = server.Close()
}

func (s *Server) hasListener() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.listeners) > 0
}
