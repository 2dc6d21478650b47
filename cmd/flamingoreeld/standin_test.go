package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// platformTarget is a target that implements the platform's protocol: it sends
// heartbeats, holds the keys that it is granted and counts the requests that it runs.
type platformTarget struct {
	t       *testing.T
	id      string
	service string
	zone    string
	sharded bool
	// serviceTime is how long the target runs a request.
	serviceTime time.Duration
	controls    []string
	// announcedAddr is the address in the target's heartbeats; empty for its own.
	announcedAddr string
	// proxy, if set, forwards connections to the target.
	proxy *faultyProxy
	// paths, if set, knows which VM sent a request.
	paths    *targetPaths
	listener net.Listener
	stop     chan struct{}
	// heartbeatsOff is true while the target sends no heartbeats.
	heartbeatsOff atomic.Bool
	// announcer makes the target say that it is leaving or paused.
	announcer announcer
	// limiter makes the target name a limit, and crashes, if set, lets requests crash it.
	limiter limiter
	crashes *crashLog

	mu sync.Mutex
	// server is the HTTP server, nil while the target is down.
	server  *http.Server
	state   string
	seq     int
	startMs int64
	rows    [][]any
	// rowsEnd is when the grant of rows ends.
	rowsEnd  time.Time
	released [][]any
	// executions counts the runs of each request ID.
	executions map[string]int
	// senders are the VMs that sent a request that ran, by request ID.
	senders map[string][]string
	// lastSent is when each VM last sent a request that ran, and inProgress holds the
	// requests that run now.
	lastSent   map[string]time.Time
	inProgress map[string]bool
}

// slowPath ends the paths of requests that run until their caller leaves.
const slowPath = "/slow"

// heartbeatInterval is shorter than the platform's heartbeat interval, to keep the
// tests short.
const heartbeatInterval = 200 * time.Millisecond

func startPlatformTarget(t *testing.T, p *platformTarget) *platformTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.t, p.listener, p.state, p.startMs = t, listener, "ready", time.Now().UnixMilli()
	p.stop, p.executions, p.senders = make(chan struct{}), make(map[string]int), make(map[string][]string)
	p.lastSent, p.inProgress = make(map[string]time.Time), make(map[string]bool)
	if p.proxy != nil {
		p.proxy.serve(listener.Addr().String())
	}
	p.serve(listener)
	go p.sendHeartbeats()
	t.Cleanup(func() {
		close(p.stop)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.server != nil {
			_ = p.server.Close()
		}
	})
	return p
}

// sendHeartbeats sends heartbeats until the target stops.
func (p *platformTarget) sendHeartbeats() {
	for {
		if !p.heartbeatsOff.Load() {
			p.sendHeartbeat()
		}
		select {
		case <-p.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat sends one heartbeat to the control VMs in turn until one accepts it.
func (p *platformTarget) sendHeartbeat() {
	address := p.announcedAddr
	if address == "" {
		address = p.listener.Addr().String()
	}
	p.mu.Lock()
	p.seq++
	held := make([][]any, 0, len(p.rows))
	for _, r := range p.rows {
		held = append(held, r[:3])
	}
	body, err := json.Marshal(map[string]any{
		"service": p.service, "address": address, "zone": p.zone, "version": "v1", "slots": 4,
		"state": p.state, "cold_left": "0ms", "seq_no": p.seq, "born": p.startMs, "holds": held, "released": p.released,
	})
	releasedSent, start := len(p.released), p.startMs
	p.mu.Unlock()
	if err != nil {
		p.t.Error(err)
		return
	}
	sent := time.Now()
	for _, control := range p.controls {
		status, response := callControl(control, "instances.heartbeat", p.id, body)
		if status == http.StatusOK {
			p.applyResponse(sent, start, response, releasedSent)
			return
		}
	}
}

// applyResponse applies the response to a heartbeat that was sent at a time by the
// given start and reported the first releasedSent released rows. A later start never
// receives it.
func (p *platformTarget) applyResponse(sent time.Time, start int64, data []byte, releasedSent int) {
	var response struct {
		Holds    *[][]any `json:"holds"`
		HoldTime string   `json:"hold_time"`
	}
	if err := json.Unmarshal(data, &response); err != nil {
		p.t.Errorf("response to a heartbeat: %v", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.startMs != start {
		return
	}
	p.released = p.released[releasedSent:]
	if response.Holds == nil {
		return
	}
	for _, old := range p.rows {
		if !covered(old, *response.Holds) {
			p.released = append(p.released, []any{old[0], old[1], "handover-" + p.id})
		}
	}
	holdTime, err := time.ParseDuration(response.HoldTime)
	if err != nil {
		p.t.Errorf("hold time: %v", err)
	}
	p.rows, p.rowsEnd = *response.Holds, sent.Add(holdTime)
}

// covered reports whether one of rows contains the whole key range of row.
func covered(row []any, rows [][]any) bool {
	for _, r := range rows {
		if r[0].(float64) <= row[0].(float64) && r[1].(float64) >= row[1].(float64) {
			return true
		}
	}
	return false
}

// holds reports whether the target currently holds a key.
func (p *platformTarget) holds(key string) bool {
	n, err := strconv.ParseFloat(key, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || time.Now().After(p.rowsEnd) {
		return false
	}
	for _, r := range p.rows {
		if r[0].(float64) <= n && n <= r[1].(float64) {
			return true
		}
	}
	return false
}

// ServeHTTP answers health checks, refuses misdirected requests and runs all others.
func (p *platformTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Flamingoreel-Request-Id")
	w.Header().Set("Flamingoreel-Request-Id", id)
	w.Header().Set("Flamingoreel-Instance-Id", p.id)
	if r.URL.Path == "/health" {
		return
	}
	misdirected := r.Header.Get("Flamingoreel-Expect-Instance") != p.id || p.sharded && !p.holds(r.Header.Get("Flamingoreel-Shard-Key"))
	if misdirected {
		w.Header().Set("Flamingoreel-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.limiter.name(w, p.senderOf(r))
	if p.announcer.announce(w, p.senderOf(r)) {
		return
	}
	if p.crashIfAsked(r) {
		panic(http.ErrAbortHandler)
	}
	p.execute(r, id)
	w.Header().Set("Flamingoreel-Response-Stamp", "stamp-"+p.id)
	w.Header().Set("Flamingoreel-Server-Load", "1,0,4,100")
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

// execute runs a request.
func (p *platformTarget) execute(r *http.Request, id string) {
	p.mu.Lock()
	p.executions[id]++
	if p.paths != nil {
		sender := p.paths.sender(r.RemoteAddr, p.listener.Addr().String())
		p.senders[id] = append(p.senders[id], sender)
		p.lastSent[sender] = time.Now()
	}
	p.inProgress[id] = true
	work := p.serviceTime
	p.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, slowPath) {
		<-r.Context().Done()
	}
	time.Sleep(work)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress, id)
}

// setServiceTime changes how long the target runs a request.
func (p *platformTarget) setServiceTime(work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serviceTime = work
}

// held returns the key ranges that the target holds at now. The caller holds mu.
func (p *platformTarget) held(now time.Time) [][2]int {
	var rows [][2]int
	for _, r := range p.rows {
		if now.Before(p.rowsEnd) {
			rows = append(rows, [2]int{int(r[0].(float64)), int(r[1].(float64))})
		}
	}
	return rows
}

// executionsOf returns how often a request ran.
func (p *platformTarget) executionsOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.executions[id]
}

// sendersOf returns the VMs from which a request came that ran.
func (p *platformTarget) sendersOf(id string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.senders[id])
}

// lastFrom returns when a VM last sent a request that ran.
func (p *platformTarget) lastFrom(name string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSent[name]
}

// working reports whether a request is in progress.
func (p *platformTarget) working(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inProgress[id]
}

// client is the HTTP client of operators and targets.
var client = &http.Client{Timeout: time.Second}

// callControl sends one call to a control VM and returns the status and body of its
// response; status 0 means that there was none.
func callControl(control, call, of string, body []byte) (int, []byte) {
	resp, err := client.Post(fmt.Sprintf("http://%s/rpc?call=%s&of=%s", control, call, of), "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}
