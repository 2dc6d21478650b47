package callers

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against reads that wait behind other reads of their connection, and against
// responses in another order than the requests.
func TestPipelinedReadsRunConcurrently(t *testing.T) {
	h := &gatedHandler{t: t}
	_, addr := startServer(t, h.serve, nil)
	c, r := connect(t, addr)
	paths := []string{"/1", "/2", "/3", "/4", "/5", "/6"}
	for _, path := range paths {
		send(t, c, getOf(path))
	}
	for _, path := range paths {
		h.await(eventTime, "start "+path)
	}
	for _, path := range slices.Backward(paths) {
		h.release(path)
	}
	expect(t, r, paths...)
}

// Guards against a request with effects or a body that runs together with others of its
// connection, and against requests behind it that start before its response.
func TestUnsafeRequestsRunAlone(t *testing.T) {
	for name, unsafe := range map[string]string{
		"post": "POST /3" + host + "Content-Length: 4\r\n\r\nbody", "delete": "DELETE /3" + host + "\r\n",
		"get with a body": "GET /3" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	} {
		h := &gatedHandler{t: t}
		_, addr := startServer(t, h.serve, nil)
		c, r := connect(t, addr)
		send(t, c, getOf("/1"), getOf("/2"), unsafe, getOf("/4"), getOf("/5"))
		h.await(eventTime, "start /1", "start /2")
		h.release("/2")
		h.awaitNot("start /3")
		h.release("/1")
		expect(t, r, "/1", "/2")
		h.await(eventTime, "start /3")
		h.awaitNot("start /4")
		h.release("/3")
		expect(t, r, "/3")
		h.await(eventTime, "start /4", "start /5")
		h.release("/5", "/4")
		expect(t, r, "/4", "/5")
		if t.Failed() {
			t.Error(name)
		}
	}
}

// Guards against requests that run, or responses that are sent, behind a response that
// closes the connection.
func TestNothingRunsBehindAClosingResponse(t *testing.T) {
	for name, respond := range map[string]func(http.ResponseWriter){
		"header":  func(w http.ResponseWriter) { w.Header().Set("Connection", "close"); _, _ = io.WriteString(w, "/2") },
		"panic":   func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"partial": func(w http.ResponseWriter) { w.Header().Set("Content-Length", "5"); _, _ = io.WriteString(w, "/2") },
	} {
		h := &gatedHandler{t: t}
		h.respond = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/2" {
				respond(w)
				return
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}
		_, addr := startServer(t, h.serve, nil)
		c, r := connect(t, addr)
		send(t, c, getOf("/1"), getOf("/2"), getOf("/3"), getOf("/4"), "POST /5"+host+"\r\n")
		h.await(eventTime, "start /1", "start /2", "start /3", "start /4")
		h.release("/2")
		h.await(eventTime, "cancelled /3", "cancelled /4")
		h.awaitNot("cancelled /1")
		h.release("/1")
		expect(t, r, "/1")
		switch name {
		case "header":
			if resp := expect(t, r, "/2"); !resp.Close {
				t.Errorf("%s: the response doesn't close the connection", name)
			}
		case "partial":
			if resp, err := http.ReadResponse(r, nil); err != nil {
				t.Errorf("%s: %v", name, err)
			} else if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("%s: the response %q looks complete", name, body)
			}
		}
		if rest, _ := io.ReadAll(r); len(rest) > 0 {
			t.Errorf("%s: got %q behind the last response", name, rest)
		}
		h.awaitNot("start /5")
	}
	h := &gatedHandler{t: t}
	_, addr := startServer(t, h.serve, nil)
	c, r := connect(t, addr)
	send(t, c, getOf("/1"), "GET /2"+host+"Connection: close\r\n\r\n", getOf("/3"))
	h.release("/2", "/1")
	expect(t, r, "/1", "/2")
	expectEnd(t, r)
	h.awaitNot("start /3")
}

// Guards against work that goes on for a caller that has left, also while nothing is read
// from its connection and requests of it wait unread.
func TestRequestsEndWhenTheCallerLeaves(t *testing.T) {
	const promised = 500 * time.Millisecond
	if 2*pollInterval > promised {
		t.Errorf("a caller that has left is noticed after up to %v, want much less than %v", pollInterval, promised)
	}
	var full []string
	for i := range maxPipelined {
		full = append(full, fmt.Sprint("/", i))
	}
	big := "GET /unread" + host + "X: " + strings.Repeat("x", 20_000) + "\r\n\r\n"
	for name, c := range map[string]struct {
		running []string
		more    string
	}{
		"reading":             {full[:3], ""},
		"bound reached":       {full, big},
		"post":                {nil, "POST /post" + host + "Content-Length: 4\r\n\r\nbody"},
		"post with followers": {nil, "POST /post" + host + "Content-Length: 4\r\n\r\nbody" + big},
		"post behind a read":  {full[:1], "POST /unread" + host + "Content-Length: 4\r\n\r\nbody"},
	} {
		for kind, leave := range map[string]func(*net.TCPConn){
			"close": func(c *net.TCPConn) { _ = c.Close() },
			"reset": func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		} {
			h := &gatedHandler{t: t}
			s, addr := startServer(t, h.serve, nil)
			conn, _ := connect(t, addr)
			running := slices.Clone(c.running)
			for _, path := range running {
				send(t, conn, getOf(path))
			}
			send(t, conn, c.more)
			if strings.HasPrefix(c.more, "POST /post") {
				running = append(running, "/post")
			}
			for _, path := range running {
				h.await(eventTime, "start "+path)
			}
			leave(conn)
			left := time.Now()
			for _, path := range running {
				h.await(eventTime, "cancelled "+path)
			}
			// Five times the promised time allows for a busy machine.
			if took := time.Since(left); took > 5*promised {
				t.Errorf("%s, %s: requests ended %v after the caller had left, want at most %v", name, kind, took, promised)
			}
			if h.has("start /unread") {
				t.Errorf("%s, %s: a request was started for a caller that has left", name, kind)
			}
			awaitNoConns(t, s)
		}
	}
}

// awaitNoConns waits until a server has no connection left.
func awaitNoConns(t *testing.T, s *Server) {
	t.Helper()
	for end := time.Now().Add(eventTime); len(s.openConns()) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection is still served")
		}
	}
}

// Guards against a connection that runs more requests than its bound.
func TestRequestsOfAConnectionAreBounded(t *testing.T) {
	h := &gatedHandler{t: t}
	_, addr := startServer(t, h.serve, nil)
	c, r := connect(t, addr)
	var paths []string
	for i := range 2 * maxPipelined {
		paths = append(paths, fmt.Sprint("/", i))
		send(t, c, getOf(paths[i]))
	}
	for _, path := range paths[:maxPipelined] {
		h.await(eventTime, "start "+path)
	}
	h.awaitNot("start " + paths[maxPipelined])
	h.release(paths...)
	expect(t, r, paths...)
}

// Guards against requests that are read ahead on many connections and exceed the memory
// of the VM, and against a slot that isn't given back.
func TestRequestsReadAheadAreBoundedByMemory(t *testing.T) {
	h := &gatedHandler{t: t}
	s, addr := startServer(t, h.serve, func(cfg *ServerConfig) { cfg.MemoryBytes = 2.1 * readAheadBytes / readAheadMemoryFraction })
	if cap(s.slots) != 2 {
		t.Fatalf("%d slots, want 2", cap(s.slots))
	}
	for round := range 3 {
		path := func(name string) string { return fmt.Sprint("/", round, name) }
		first, r1 := connect(t, addr)
		second, r2 := connect(t, addr)
		send(t, first, getOf(path("a1")), getOf(path("a2")), getOf(path("a3")), getOf(path("a4")))
		h.await(eventTime, "start "+path("a1"), "start "+path("a2"), "start "+path("a3"))
		send(t, second, getOf(path("b1")), getOf(path("b2")))
		h.await(eventTime, "start "+path("b1"))
		h.awaitNot("start " + path("b2"))
		if h.has("start " + path("a4")) {
			t.Error("more requests are read ahead than there are slots")
		}
		h.release(path("b1"))
		expect(t, r2, path("b1"))
		h.await(eventTime, "start "+path("b2")) // the next in line needs no slot
		h.release(path("a1"), path("a2"), path("a3"), path("a4"), path("b2"))
		expect(t, r2, path("b2"))
		expect(t, r1, path("a1"), path("a2"), path("a3"), path("a4"))
		_, _ = first.Close(), second.Close()
	}
	awaitNoConns(t, s)
	if len(s.slots) != 0 {
		t.Errorf("%d slots are held without a request", len(s.slots))
	}
}

// Guards against responses that are buffered without a bound for a caller that doesn't
// read, against one that is never given up, and against long responses that are altered
// while they wait for their turn.
func TestSlowReadersHoldBoundedMemory(t *testing.T) {
	const parts, partBytes = 400, 16 << 10
	part := strings.Repeat("x", partBytes)
	written := make([]atomic.Int64, maxPipelined+1)
	handler := func(w http.ResponseWriter, r *http.Request) {
		var index int
		_, _ = fmt.Sscanf(r.URL.Path, "/%d", &index)
		control := http.NewResponseController(w)
		for range parts {
			_ = control.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := io.WriteString(w, part); err != nil {
				panic(http.ErrAbortHandler)
			}
			written[index].Add(partBytes)
		}
	}
	s, addr := startServer(t, handler, nil)
	c, r := connect(t, addr)
	for i := range maxPipelined + 1 {
		send(t, c, getOf(fmt.Sprint("/", i)))
	}
	for i := 1; i < maxPipelined; i++ {
		for end := time.Now().Add(eventTime); written[i].Load() < maxBuffered-partBytes && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(50 * time.Millisecond)
	for i := 1; i <= maxPipelined; i++ {
		if got := written[i].Load(); got > maxBuffered || i == maxPipelined && got > 0 {
			t.Errorf("%d bytes of response %d are buffered, want at most %d for %d responses", got, i, maxBuffered, maxPipelined)
		}
	}
	expect(t, r, strings.Repeat(part, parts), strings.Repeat(part, parts))
	awaitNoConns(t, s) // the caller reads no longer
}

// Guards against a handler without a deadline of its own that writes for ever to a caller
// that doesn't read.
func TestWriteTimeoutEndsAResponse(t *testing.T) {
	ended := make(chan error, 1)
	s, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		for part := make([]byte, 64<<10); ; {
			if _, err := w.Write(part); err != nil {
				ended <- err
				return
			}
		}
	}, func(cfg *ServerConfig) { cfg.WriteTimeout = 200 * time.Millisecond })
	c, _ := connect(t, addr)
	send(t, c, getOf("/"))
	select {
	case <-ended:
	case <-time.After(eventTime):
		t.Fatal("the response is written for ever")
	}
	awaitNoConns(t, s)
}

// Guards against a refusal that is sent before the responses to earlier requests.
func TestMalformedRequestIsRefusedInItsTurn(t *testing.T) {
	h := &gatedHandler{t: t}
	s, addr := startServer(t, h.serve, nil)
	c, r := connect(t, addr)
	send(t, c, getOf("/1"), "malformed\r\n\r\n", getOf("/2"))
	h.await(eventTime, "start /1")
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := r.ReadByte(); err == nil {
		t.Fatal("a response is sent before the first one")
	}
	_ = c.SetReadDeadline(time.Now().Add(eventTime))
	h.release("/1")
	expect(t, r, "/1")
	if resp := expect(t, r, "400 Bad Request"); resp.StatusCode != http.StatusBadRequest || !resp.Close {
		t.Errorf("got %v for a malformed request", resp)
	}
	expectEnd(t, r)
	awaitNoConns(t, s)
	h.awaitNot("start /2")
}

// Guards against a refusal of a later request that hides from the response before that
// the connection closes there.
func TestRefusalDoesNotHideAClosingResponse(t *testing.T) {
	h := &gatedHandler{t: t}
	h.respond = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, r.URL.Path)
	}
	_, addr := startServer(t, h.serve, nil)
	c, r := connect(t, addr)
	send(t, c, getOf("/1"), "malformed\r\n\r\n")
	h.await(eventTime, "start /1")
	time.Sleep(50 * time.Millisecond) // in which the refusal is made
	h.release("/1")
	if resp := expect(t, r, "/1"); !resp.Close {
		t.Error("the response doesn't close the connection")
	}
	expectEnd(t, r)
}

// Guards against a response that is cut off by the write deadline of an earlier one, or by
// its own while it waits for its turn.
func TestWriteDeadlineCountsFromTheTurn(t *testing.T) {
	const deadline = 100 * time.Millisecond
	h := &gatedHandler{t: t}
	h.respond = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/3" {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(deadline))
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}
	_, addr := startServer(t, h.serve, nil)
	c, r := connect(t, addr)
	send(t, c, getOf("/1"), getOf("/2"), getOf("/3"))
	h.release("/2")
	time.Sleep(2 * deadline)
	h.release("/1")
	expect(t, r, "/1", "/2")
	time.Sleep(2 * deadline)
	h.release("/3")
	expect(t, r, "/3")
}

// Guards against requests of clients that don't know pipelining being run together.
func TestRequestsOfHTTP10RunOneAfterTheOther(t *testing.T) {
	h := &gatedHandler{t: t}
	_, addr := startServer(t, h.serve, nil)
	c, r := connect(t, addr)
	send(t, c, "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "GET /2 HTTP/1.0\r\n\r\n", getOf("/3"))
	h.await(eventTime, "start /1")
	h.awaitNot("start /2")
	h.release("/1", "/2")
	expect(t, r, "/1", "/2")
	expectEnd(t, r)
	h.awaitNot("start /3")
}

// Guards against a planned stop that cuts off a request that was read, or that goes on
// reading requests, and against a stop that doesn't end.
func TestPlannedStopAnswersAllRequestsThatWereRead(t *testing.T) {
	for name, disable := range map[string]bool{"as announced": false, "keep-alives disabled": true} {
		h := &gatedHandler{t: t}
		var stopping atomic.Bool
		h.respond = func(w http.ResponseWriter, r *http.Request) {
			if stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}
		s, addr := startServer(t, h.serve, func(cfg *ServerConfig) { cfg.Stopping = stopping.Load })
		idle, idleReader := connect(t, addr)
		h.release("/0")
		send(t, idle, getOf("/0"))
		expect(t, idleReader, "/0")
		c, r := connect(t, addr)
		send(t, c, getOf("/1"), getOf("/2"), getOf("/3"))
		h.await(eventTime, "start /1", "start /2", "start /3")
		// The reader has begun to read one more request when the stop begins.
		request := getOf("/4")
		send(t, c, request[:5])
		awaitPartialHead(t, s)
		stopping.Store(true)
		if disable {
			s.SetKeepAlivesEnabled(false)
			expectEnd(t, idleReader)
		}
		h.release("/2")
		send(t, c, request[5:])
		h.await(eventTime, "start /4")
		send(t, c, getOf("/5"))
		h.awaitNot("start /5")
		h.release("/3", "/1")
		first := expect(t, r, "/1", "/2", "/3")
		if first.Close {
			t.Errorf("%s: a response closes the connection before the last request", name)
		}
		h.release("/4")
		if last := expect(t, r, "/4"); !last.Close {
			t.Errorf("%s: the last response doesn't close the connection", name)
		}
		ctx, cancel := context.WithTimeout(context.Background(), eventTime)
		if err := s.Shutdown(ctx); err != nil {
			t.Errorf("%s: Shutdown returned %v", name, err)
		}
		cancel()
		expectEnd(t, r)
		h.awaitNot("start /5")
	}
}

// awaitPartialHead waits until a server has read a part of a head.
func awaitPartialHead(t *testing.T, s *Server) {
	t.Helper()
	partial := func(c *conn) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.partial.bytes > 0
	}
	for end := time.Now().Add(eventTime); !slices.ContainsFunc(s.openConns(), partial); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no part of a head was read")
		}
	}
}

// Guards against a request that gets its whole timeout after it has waited for others.
func TestWaitedCountsFromTheHead(t *testing.T) {
	h := &gatedHandler{t: t}
	waited := make(chan time.Duration, 2)
	h.respond = func(_ http.ResponseWriter, r *http.Request) { waited <- Waited(r.Context()) }
	_, addr := startServer(t, h.serve, nil)
	c, r := connect(t, addr)
	h.release("/2")
	send(t, c, getOf("/1"), "POST /2"+host+"\r\n")
	h.await(eventTime, "start /1")
	time.Sleep(100 * time.Millisecond)
	h.release("/1")
	expect(t, r, "", "")
	if first, second := <-waited, <-waited; first < 90*time.Millisecond || second < 90*time.Millisecond {
		t.Errorf("the requests waited for %v and %v, want about 100ms", first, second)
	}
	if got := Waited(context.Background()); got != 0 {
		t.Errorf("got %v without a request", got)
	}
}
