//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Properties of the endpoints, like those of the sites.
const (
	// slotCount is the number of requests that an endpoint works on at the same time,
	// and maxWaiting that of those that wait.
	slotCount  = 6
	maxWaiting = 24
	// beatInterval is the time between two heartbeats, and quickBeat the one while keys
	// are released.
	beatInterval = 870 * time.Millisecond
	quickBeat    = 100 * time.Millisecond
	// maxBeatResponse is the size of a response, in bytes, above which a heartbeat isn't
	// acknowledged.
	maxBeatResponse = 4096
	// drainTime is how long an endpoint serves after it has reported that it drains.
	drainTime = 2 * time.Second
	handover  = "5c0e7a21d94b36f8"
)

// row is a row of keys that a server holds. Once the server is to release it, it is
// ending: it takes no requests for its keys any more.
type row struct {
	from, to int
	fence    uint64
	until    time.Time
	ending   bool
}

// server is a stand-in for an endpoint.
type server struct {
	s           *system
	id, service string
	at          place
	work        time.Duration
	sharded     bool
	listener    net.Listener
	httpServer  *http.Server
	born        int64
	controls    []string
	next        int
	preferred   string
	// spread is the deviation of the time of work, factor the slowdown in percent.
	spread float64
	factor atomic.Int64
	slots  chan struct{}

	mu       sync.Mutex
	state    string
	seq      int64
	rows     []row
	released [][3]any
	// running counts the requests at work by their keys.
	running map[int]int
	waiting int
	ended   bool
	// acknowledged counts the acknowledged heartbeats, oversized the responses that were
	// too large.
	acknowledged, oversized int
}

func (s *system) startServer(id, service, ip string, at place, work time.Duration, sharded bool, controls ...string) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	srv := &server{
		s: s, id: id, service: service, at: at, work: work, sharded: sharded, listener: l,
		born: time.Now().UnixMilli(), controls: controls, state: "ready", slots: make(chan struct{}, slotCount), running: map[int]int{},
	}
	srv.httpServer = &http.Server{Handler: srv, IdleTimeout: 10 * time.Second}
	go func() { _ = srv.httpServer.Serve(l) }()
	go srv.beats()
	return srv, nil
}

func (srv *server) addr() string { return srv.listener.Addr().String() }

// begin takes a request for a key if the server holds the key.
func (srv *server) begin(key int) bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	now := time.Now()
	held := slices.ContainsFunc(srv.rows, func(r row) bool { return r.from <= key && key <= r.to && now.Before(r.until) && !r.ending })
	if held || !srv.sharded {
		srv.running[key]++
	}
	return held || !srv.sharded
}

func (srv *server) finish(key int) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.running[key]--; srv.running[key] == 0 {
		delete(srv.running, key)
	}
}

// ServeHTTP runs a request.
func (srv *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	srv.mu.Lock()
	ready := srv.state == "ready"
	srv.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Flamingoreel-Instance-Id", srv.id)
		srv.reportLoad(w)
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if !ready {
		w.Header().Set("Connection", "close")
	}
	id := r.Header.Get("Flamingoreel-Request-Id")
	w.Header().Set("Flamingoreel-Request-Id", id)
	if want := r.Header.Get("Flamingoreel-Expect-Instance"); want != "" && want != srv.id {
		w.Header().Set("Flamingoreel-Instance-Id", srv.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	key := -1
	_, _ = fmt.Sscan(r.Header.Get("Flamingoreel-Shard-Key"), &key)
	if !srv.begin(key) {
		w.Header().Set("Flamingoreel-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer srv.finish(key)
	deadline := time.Now().Add(30 * time.Second)
	if ms, err := strconv.Atoi(r.Header.Get("Flamingoreel-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if !srv.acquire(ctx) {
		srv.reportLoad(w)
		w.Header().Set("Flamingoreel-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-srv.slots }()
	srv.s.note(srv.id, "runs %s", id)
	select {
	case <-time.After(srv.duration()):
	case <-ctx.Done():
		// The deadline has come, or the caller has left.
		srv.reportLoad(w)
		w.Header().Set("Flamingoreel-Response-Stamp", "3e1b.07.5a2.504.0."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	srv.reportLoad(w)
	w.Header().Set("Flamingoreel-Response-Stamp", "3e1b.07.5a2.600.0."+id)
	_, _ = io.WriteString(w, "done "+id+" by "+srv.id+"\n")
}

// duration returns how long the next request takes.
func (srv *server) duration() time.Duration {
	d := float64(srv.work)
	if srv.spread > 0 {
		d *= math.Exp(srv.spread*rand.NormFloat64() - srv.spread*srv.spread/2)
	}
	if f := srv.factor.Load(); f > 0 {
		d *= float64(f) / 100
	}
	return time.Duration(d)
}

// acquire waits for a slot. It returns false if too many requests wait, or if the
// deadline comes first.
func (srv *server) acquire(ctx context.Context) bool {
	srv.mu.Lock()
	if srv.waiting >= maxWaiting {
		srv.mu.Unlock()
		return false
	}
	srv.waiting++
	srv.mu.Unlock()
	defer func() {
		srv.mu.Lock()
		srv.waiting--
		srv.mu.Unlock()
	}()
	select {
	case srv.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// reportLoad sets the header with the load. Its fourth figure says how long work takes
// now, in percent of the usual time.
func (srv *server) reportLoad(w http.ResponseWriter) {
	percent := srv.factor.Load()
	if percent == 0 {
		percent = 100
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	w.Header().Set("Flamingoreel-Server-Load", fmt.Sprintf("%d,%d,%d,%d", len(srv.slots), srv.waiting, slotCount, percent))
}

// rowCount returns the number of rows that the server was last given.
func (srv *server) rowCount() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return len(srv.rows)
}

// beats sends heartbeats until the server ends.
func (srv *server) beats() {
	for {
		srv.mu.Lock()
		ended := srv.ended
		srv.mu.Unlock()
		if ended {
			return
		}
		pause := beatInterval
		if srv.beat() {
			pause = quickBeat
		}
		time.Sleep(pause)
	}
}

// beat sends a heartbeat, to the next nodes if one doesn't acknowledge it. It reports
// whether another one is due soon, because keys are being released.
func (srv *server) beat() bool {
	for range len(srv.controls) {
		addr := srv.preferred
		if addr == "" {
			addr = srv.controls[srv.next%len(srv.controls)]
			srv.next++
		}
		body, reported := srv.beatBody()
		sent := time.Now()
		status, data, err := srv.s.call(addr, "call=instances.heartbeat&of="+srv.id, body)
		if err == nil && status == http.StatusOK && len(data) <= maxBeatResponse {
			return srv.beatAcknowledged(sent, data, reported)
		}
		srv.mu.Lock()
		if len(data) > maxBeatResponse {
			srv.oversized++
		}
		srv.mu.Unlock()
		srv.s.note(srv.id, "heartbeat to %s not acknowledged: status %d, %d bytes, error %v", addr, status, len(data), err)
		srv.preferred = ""
	}
	return false
}

// beatBody returns the body of the next heartbeat and the number of releases in it.
func (srv *server) beatBody() ([]byte, int) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.seq++
	body := map[string]any{
		"service": srv.service, "address": srv.addr(), "zone": srv.at.zone, "version": "v1", "slots": slotCount,
		"state": srv.state, "cold_left": "0ms", "seq_no": srv.seq, "born": srv.born,
	}
	if srv.sharded {
		srv.endRows()
		holds := [][3]any{}
		for _, r := range srv.rows {
			holds = append(holds, [3]any{r.from, r.to, r.fence})
		}
		body["holds"], body["released"] = holds, append([][3]any{}, srv.released...)
	}
	data, _ := json.Marshal(body)
	return data, len(srv.released)
}

// endRows drops rows that have expired, and releases ending ones without work.
func (srv *server) endRows() {
	now := time.Now()
	srv.rows = slices.DeleteFunc(srv.rows, func(r row) bool {
		busy := false
		for key := range srv.running {
			busy = busy || r.from <= key && key <= r.to
		}
		if !now.Before(r.until) {
			return !busy
		}
		if r.ending && !busy {
			srv.released = append(srv.released, [3]any{r.from, r.to, handover})
			return true
		}
		return false
	})
}

// beatAcknowledged takes over the response to a heartbeat that was sent at a time and
// reported some releases.
func (srv *server) beatAcknowledged(sent time.Time, data []byte, reported int) (soon bool) {
	var answer struct {
		Next     string   `json:"heartbeat_addr"`
		Holds    *[][]any `json:"holds"`
		HoldTime string   `json:"hold_time"`
	}
	if json.Unmarshal(data, &answer) != nil {
		return false
	}
	if answer.Next != "" {
		srv.preferred = answer.Next
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.acknowledged++
	srv.released = srv.released[reported:]
	if !srv.sharded || answer.Holds == nil {
		return false
	}
	hold, _ := time.ParseDuration(answer.HoldTime)
	var rows []row
	for _, h := range *answer.Holds {
		rows = append(rows, row{from: int(h[0].(float64)), to: int(h[1].(float64)), fence: uint64(h[2].(float64)), until: sent.Add(hold)})
	}
	kept := len(rows)
	for _, old := range srv.rows {
		rows = append(rows, without(old, rows[:kept])...)
	}
	srv.rows = rows
	return len(rows) > kept
}

// without returns the parts of a row that no other row covers, as ending rows.
func without(r row, others []row) []row {
	parts := []row{{from: r.from, to: r.to, fence: r.fence, until: r.until, ending: true}}
	for _, o := range others {
		var left []row
		for _, p := range parts {
			if o.to < p.from || p.to < o.from {
				left = append(left, p)
				continue
			}
			if p.from < o.from {
				before := p
				before.to = o.from - 1
				left = append(left, before)
			}
			if o.to < p.to {
				after := p
				after.from = o.to + 1
				left = append(left, after)
			}
		}
		parts = left
	}
	return parts
}

// leave takes the server away as planned: it reports that it drains, serves for a while
// after the acknowledgement, and leaves.
func (srv *server) leave() {
	srv.s.note(srv.id, "drains")
	srv.mu.Lock()
	srv.state = "draining"
	before := srv.acknowledged
	srv.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		srv.mu.Lock()
		done := srv.acknowledged > before+1
		srv.mu.Unlock()
		if done {
			break
		}
	}
	time.Sleep(drainTime + 300*time.Millisecond)
	srv.mu.Lock()
	srv.ended = true
	srv.mu.Unlock()
	_, _, err := srv.s.call(srv.controls[srv.next%len(srv.controls)], "call=instances.leave&of="+srv.id, []byte(fmt.Sprintf(`{"born":%d}`, srv.born)))
	srv.s.note(srv.id, "leaves, error %v", err)
	_ = srv.httpServer.Close()
}
