package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// gatedHandler runs each request until the test releases it or its context ends, and
// records what happens. Requests are named by their paths.
type gatedHandler struct {
	t      *testing.T
	mu     sync.Mutex
	gates  map[string]chan struct{}
	events []string
	// respond writes the response; nil writes the path.
	respond func(w http.ResponseWriter, r *http.Request)
}

func (h *gatedHandler) gate(path string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates == nil {
		h.gates = make(map[string]chan struct{})
	}
	if h.gates[path] == nil {
		h.gates[path] = make(chan struct{})
	}
	return h.gates[path]
}

func (h *gatedHandler) record(event string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

func (h *gatedHandler) has(event string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.events, event)
}

func (h *gatedHandler) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h.record("start " + r.URL.Path)
	select {
	case <-h.gate(r.URL.Path):
	case <-r.Context().Done():
		h.record("cancelled " + r.URL.Path)
		panic(http.ErrAbortHandler)
	}
	if h.respond != nil {
		h.respond(w, r)
		return
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// release lets requests go on.
func (h *gatedHandler) release(paths ...string) {
	for _, path := range paths {
		close(h.gate(path))
	}
}

// await waits for events, at most for the given time in total.
func (h *gatedHandler) await(limit time.Duration, events ...string) {
	h.t.Helper()
	end := time.Now().Add(limit)
	for _, event := range events {
		for !h.has(event) {
			if time.Now().After(end) {
				h.t.Fatalf("no %q within %v; events: %q", event, limit, h.events)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// awaitNot waits for a time in which an event that must not happen could happen.
func (h *gatedHandler) awaitNot(event string) {
	h.t.Helper()
	time.Sleep(50 * time.Millisecond)
	if h.has(event) {
		h.t.Fatalf("unexpected event %q; events: %q", event, h.events)
	}
}

// expect reads responses and compares their bodies.
func expect(t *testing.T, r *bufio.Reader, bodies ...string) (last *http.Response) {
	t.Helper()
	for _, want := range bodies {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("no response %q: %v", want, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != want {
			t.Fatalf("got the response %.50q (%d bytes), %v, want %.50q", body, len(body), err, want)
		}
		last = resp
	}
	return last
}

// expectEnd checks that no further response comes.
func expectEnd(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("got %q, %v, want the end of the connection", rest, err)
	}
}

func getOf(path string) string { return "GET " + path + host + "\r\n" }

func send(t *testing.T, c net.Conn, requests ...string) {
	t.Helper()
	if _, err := io.WriteString(c, strings.Join(requests, "")); err != nil {
		t.Fatal(err)
	}
}

// eventTime bounds the time for an event that must happen. Limits that the product
// promises are checked separately.
const eventTime = 10 * time.Second
