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
	"testing"
	"time"
)

// platformTarget is a target that speaks the platform's protocol: it announces
// itself, holds the keys that it is granted and counts what it runs.
type platformTarget struct {
	t        *testing.T
	id       string
	service  string
	zone     string
	sharded  bool
	work     time.Duration
	controls []string
	// announced is the address that the target names; its own if empty.
	announced string
	// proxy, if set, passes connections on to the target.
	proxy    *faultyProxy
	listener net.Listener
	stop     chan struct{}
	// muted says that the target's heartbeats do not leave it.
	muted atomic.Bool

	mu       sync.Mutex
	state    string
	seq      int
	born     int64
	rows     [][]any
	until    time.Time
	released [][]any
	runs     map[string]int
}

// standinBeat is the interval of heartbeats; shorter than the platform's, so
// that the session is short.
const standinBeat = 200 * time.Millisecond

func startPlatformTarget(t *testing.T, p *platformTarget) *platformTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.t, p.listener, p.state, p.born = t, listener, "ready", time.Now().UnixMilli()
	p.stop, p.runs = make(chan struct{}), make(map[string]int)
	if p.proxy != nil {
		p.proxy.serve(listener.Addr().String())
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	go p.announce()
	t.Cleanup(func() {
		close(p.stop)
		_ = server.Close()
	})
	return p
}

func (p *platformTarget) announce() {
	for {
		if !p.muted.Load() {
			p.beat()
		}
		select {
		case <-p.stop:
			return
		case <-time.After(standinBeat):
		}
	}
}

// beat sends one heartbeat to the first control VM that answers.
func (p *platformTarget) beat() {
	address := p.announced
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
		"state": p.state, "cold_left": "0ms", "seq_no": p.seq, "born": p.born, "holds": held, "released": p.released,
	})
	reported := len(p.released)
	p.mu.Unlock()
	if err != nil {
		p.t.Error(err)
		return
	}
	sent := time.Now()
	for _, control := range p.controls {
		status, answer := post(control, "instances.heartbeat", p.id, body)
		if status == http.StatusOK {
			p.take(sent, answer, reported)
			return
		}
	}
}

// take puts the answer to a heartbeat in force.
func (p *platformTarget) take(sent time.Time, data []byte, reported int) {
	var answer struct {
		Holds    *[][]any `json:"holds"`
		HoldTime string   `json:"hold_time"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		p.t.Errorf("answer to a heartbeat: %v", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = p.released[reported:]
	if answer.Holds == nil {
		return
	}
	for _, old := range p.rows {
		if !covered(old, *answer.Holds) {
			p.released = append(p.released, []any{old[0], old[1], "handover-" + p.id})
		}
	}
	hold, err := time.ParseDuration(answer.HoldTime)
	if err != nil {
		p.t.Errorf("hold time: %v", err)
	}
	p.rows, p.until = *answer.Holds, sent.Add(hold)
}

func covered(row []any, rows [][]any) bool {
	for _, r := range rows {
		if r[0].(float64) <= row[0].(float64) && r[1].(float64) >= row[1].(float64) {
			return true
		}
	}
	return false
}

func (p *platformTarget) holds(key string) bool {
	n, err := strconv.ParseFloat(key, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || time.Now().After(p.until) {
		return false
	}
	for _, r := range p.rows {
		if r[0].(float64) <= n && n <= r[1].(float64) {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
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
	p.mu.Lock()
	p.runs[id]++
	p.mu.Unlock()
	time.Sleep(p.work)
	w.Header().Set("Flamingoreel-Response-Stamp", "stamp-"+p.id)
	w.Header().Set("Flamingoreel-Server-Load", "1,0,4,100")
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

// held returns the rows that the target holds at a time; the target is locked.
func (p *platformTarget) held(now time.Time) [][2]int {
	var rows [][2]int
	for _, r := range p.rows {
		if now.Before(p.until) {
			rows = append(rows, [2]int{int(r[0].(float64)), int(r[1].(float64))})
		}
	}
	return rows
}

// ran returns how often the request ran.
func (p *platformTarget) ran(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// client is the operator's and the targets' HTTP client.
var client = &http.Client{Timeout: time.Second}

// post makes one call and returns status and body; status 0 stands for none.
func post(control, call, of string, body []byte) (int, []byte) {
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
