//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in for a server: it sends heartbeats, runs requests and says
// which ones it ran.
type endpoint struct {
	c       *cluster
	id      string
	service string
	zone    string
	addr    string
	born    int64
	work    time.Duration
	slots   int
	// controls are the machines to which heartbeats go, in turn.
	controls []*vm
	onRun    func(e *endpoint, r *http.Request)

	server  *http.Server
	seq     atomic.Int64
	running atomic.Int64
	stop    chan struct{}
	stopped sync.WaitGroup
}

// startEndpoint starts a stand-in at an address of its own.
func startEndpoint(c *cluster, id, service, zone, ip string, controls []*vm, work time.Duration) (*endpoint, error) {
	return startEndpointAt(c, nil, id, service, zone, ip, controls, work)
}

// startEndpointAt starts a stand-in to which paths may be broken.
func startEndpointAt(c *cluster, p *paths, id, service, zone, ip string, controls []*vm, work time.Duration) (*endpoint, error) {
	listen := func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	if p != nil {
		listen = p.listen
	}
	l, err := listen(ip + ":8367")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		c: c, id: id, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), work: work, slots: 6,
		controls: controls, stop: make(chan struct{}),
	}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	e.stopped.Add(1)
	go e.beat()
	return e, nil
}

// close ends the stand-in at once.
func (e *endpoint) close() {
	close(e.stop)
	e.stopped.Wait()
	_ = e.server.Close()
}

// beat sends a heartbeat every 870 ms. A call without a response within a second
// goes to the next machine.
func (e *endpoint) beat() {
	defer e.stopped.Done()
	next := 0
	for {
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
			"cold_left": "0ms", "seq_no": e.seq.Add(1), "born": e.born, "holds": []any{}, "released": []any{},
		})
		status, _ := e.c.callOnce(e.controls[next%len(e.controls)], "call=instances.heartbeat&of="+e.id, body)
		pause := 870 * time.Millisecond
		if status/100 != 2 {
			next++
			pause = 50 * time.Millisecond
		}
		select {
		case <-e.stop:
			return
		case <-time.After(pause):
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	load := fmt.Sprintf("%d,0,%d,100", e.running.Load(), e.slots)
	w.Header().Set("Flamingoreel-Server-Load", load)
	w.Header().Set("Keep-Alive", "timeout=10")
	id := r.Header.Get("Flamingoreel-Request-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Flamingoreel-Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("Flamingoreel-Request-Id", id)
	if expected := r.Header.Get("Flamingoreel-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Flamingoreel-Instance-Id", e.id)
		w.Header().Set("Flamingoreel-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.onRun != nil {
		e.onRun(e, r)
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	select {
	case <-r.Context().Done():
		return
	case <-time.After(e.work):
	}
	answer := append([]byte(e.id+" "+id+" "), body...)
	w.Header().Set("Flamingoreel-Response-Stamp", e.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// clientResult is what a client saw of one request.
type clientResult struct {
	id     string
	status int
	body   []byte
	stamp  string
	err    error
}

var requestNumber atomic.Int64

// newRequestID returns an id that no other request has.
func newRequestID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1)) }

// request sends one request of a client on a new connection.
func request(m *vm, method, host, path string, body []byte, deadline time.Duration) clientResult {
	id := newRequestID()
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+m.frontAddr()+path, reader)
	if err != nil {
		return clientResult{id: id, err: err}
	}
	req.Host = host
	req.Header.Set("Flamingoreel-Request-Id", id)
	req.Header.Set("Flamingoreel-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	resp, err := client.Do(req)
	if err != nil {
		return clientResult{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return clientResult{id: id, status: resp.StatusCode, body: data, stamp: resp.Header.Get("Flamingoreel-Response-Stamp"), err: err}
}

// routeItem returns a route item of the configuration.
func routeItem(prefix, kind, service, version string) map[string]any {
	return map[string]any{
		"hostname": "ficu95.example", "path_prefix": prefix, "kind": kind, "timeout": "1500ms", "target_latency": "600ms",
		"priority": 1, "service": service, "max_attempts": 2, "allowed_regions": []string{}, "version": version,
	}
}

// firstConfig returns the first call of the operator, which contains all items.
func firstConfig() []byte {
	body, _ := json.Marshal(map[string]any{
		"upsert": map[string]any{
			"routes": map[string]any{"r-view": routeItem("/view/", "safe", "ledger", "00000007"), "r-post": routeItem("/post/", "unsafe", "ledger", "00000007")},
			"services": map[string]any{"ledger": map[string]any{
				"health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 5.8, "version": "00000007",
			}},
			"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms", "version": "00000007"},
		},
		"remove": map[string]any{"routes": []any{}},
	})
	return body
}

// routePatch returns a change of one route.
func routePatch(name string, item map[string]any) []byte {
	body, _ := json.Marshal(map[string]any{
		"upsert": map[string]any{"routes": map[string]any{name: item}}, "remove": map[string]any{"routes": []any{}},
	})
	return body
}
