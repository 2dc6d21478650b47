package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/gateway"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/platform"
)

const (
	routeTimeout = 2 * time.Second
	idHeader     = "Flamingoreel-Request-Id"
	stampHeader  = "Flamingoreel-Response-Stamp"
)

// kinds are the kinds of routes; the entries in these tests have one route of each
// with the kind as its prefix.
var kinds = []items.Kind{items.Safe, items.Unsafe, items.Download}

// entryVM is an entry with its server of callers, and a service without targets.
type entryVM struct {
	t       *testing.T
	gateway *gateway.Gateway
	ingress *platform.Ingress
	server  *http.Server
	addr    string
	mu      sync.Mutex
	index   uint64
}

func startEntry(t *testing.T) *entryVM {
	t.Helper()
	return startEntryOnLink(t, 0)
}

// startEntryOnLink starts an entry that knows the capacity of its link in bytes per
// second.
func startEntryOnLink(t *testing.T, linkBytes float64) *entryVM {
	t.Helper()
	handler := memory.New()
	t.Cleanup(func() {
		if t.Failed() {
			for _, entry := range handler.Entries {
				t.Log(entry.Message, entry.Fields)
			}
		}
	})
	g, err := gateway.New(gateway.Config{
		Addr: "127.0.0.1:0", Region: "r", DataCentre: "d", Regions: map[string]string{"d": "r"},
		Dialect: platform.Dialect{}, ColdFactor: 1, RetryRatio: 10, RetrySlack: 10000, Seed: 1, LinkBytes: linkBytes,
		Logger: &log.Logger{Handler: handler},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	conns := callers.NewConnections()
	ingress := &platform.Ingress{Gateway: g, Connections: conns, Bodies: callers.NewBodies(0), IdleTime: 2 * time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: ingress, ConnState: conns.ConnState, ConnContext: conns.ConnContext}
	go func() { _ = server.Serve(conns.WrapListener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	e := &entryVM{t: t, gateway: g, ingress: ingress, server: server, addr: listener.Addr().String()}
	list := []items.Item{{Key: items.Key{Collection: items.Services, Name: "s"}, Version: 1, Service: &items.Service{HealthPath: "/health"}}}
	for _, kind := range kinds {
		list = append(list, items.Item{Key: items.Key{Collection: items.Routes, Name: string(kind)}, Version: 1, Route: &items.Route{
			Host: "h", Prefix: "/" + string(kind) + "/", Kind: kind, Timeout: routeTimeout, LatencyObjective: time.Second,
			Split: []items.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2,
		}})
	}
	e.apply(fleet.Delta{Items: list})
	return e
}

func (e *entryVM) apply(d fleet.Delta) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d.From = e.index
	e.index++
	d.To = e.index
	e.gateway.Apply(d)
}

// setTarget adds a target or a new incarnation of it.
func (e *entryVM) setTarget(id string, startMs int64, addr string) {
	e.apply(fleet.Delta{Targets: []fleet.Target{{
		Incarnation: fleet.Incarnation{ID: id, StartMs: startMs}, Service: "s", Address: addr, DataCentre: "d", Slots: 4,
	}}})
}

// target is a server that passes each request to a function, which writes the
// response to the connection. The connection is closed if it returns false.
type target struct {
	addr string
	mu   sync.Mutex
	// received counts the requests by ID.
	received map[string]int
}

func startTarget(t *testing.T, respond func(c net.Conn, req *http.Request) bool) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	f := &target{addr: listener.Addr().String(), received: make(map[string]int)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(c, respond)
		}
	}()
	return f
}

func (f *target) serve(c net.Conn, respond func(net.Conn, *http.Request) bool) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		f.mu.Lock()
		f.received[req.Header.Get(idHeader)]++
		f.mu.Unlock()
		if !respond(c, req) {
			return
		}
	}
}

func (f *target) count(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received[id]
}

// responseOf returns a response that the target made for a request.
func responseOf(id string, status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: %d\r\n\r\n%s", status, idHeader, id, stampHeader, headers, len(body), body)
}

// outcome is what a caller received.
type outcome struct {
	status int
	body   string
	// err is the reason for which the response is not complete.
	err error
}

// call sends a request on a new connection and reads the response.
func (e *entryVM) call(method, path, id, body string) outcome {
	c, err := net.Dial("tcp", e.addr)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * routeTimeout))
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, idHeader, id, len(body), body); err != nil {
		return outcome{err: err}
	}
	return readOutcome(bufio.NewReader(c), method)
}

func readOutcome(r *bufio.Reader, method string) outcome {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return outcome{resp.StatusCode, string(body), err}
}
