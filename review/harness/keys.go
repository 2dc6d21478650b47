//go:build review

package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heldRow is a range of keys that a server holds under one fence.
type heldRow struct {
	from, to int
	fence    int64
	handover string
	until    time.Time
	since    time.Time
	ended    time.Time
}

// keyServer is a stand-in for a server of a service that is divided by key. It holds
// keys by the answers to its heartbeats.
type keyServer struct {
	c        *cluster
	id       string
	service  string
	zone     string
	addr     string
	born     int64
	controls []*vm
	work     time.Duration

	server  *http.Server
	stop    chan struct{}
	stopped sync.WaitGroup
	wake    chan struct{}

	mu       sync.Mutex
	seq      int64
	rows     []*heldRow
	released []heldRow
	seen     []heldRow // the fences that were seen
	// past holds rows that are no longer held.
	past []heldRow
	ran  int
	last time.Time // when the last heartbeat was sent
}

// holdTimeFactor is how much longer a hold lasts at a server whose clock is exact.
const holdTimeFactor = 1.0

func startKeyServer(c *cluster, id, service, zone, ip string, controls []*vm, work time.Duration) (*keyServer, error) {
	l, err := net.Listen("tcp", ip+":8367")
	if err != nil {
		return nil, err
	}
	s := &keyServer{
		c: c, id: id, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), controls: controls, work: work,
		stop: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	s.server = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	s.stopped.Add(1)
	go s.beat()
	return s, nil
}

func (s *keyServer) close() {
	close(s.stop)
	s.stopped.Wait()
	_ = s.server.Close()
}

// expire drops the rows whose hold has run out. The caller holds the mutex.
func (s *keyServer) expire(now time.Time) {
	var kept []*heldRow
	for _, r := range s.rows {
		if now.Before(r.until) {
			kept = append(kept, r)
			continue
		}
		r.ended = r.until
		s.past = append(s.past, *r)
		s.c.rec.printf("%s: hold of %d-%d fence %d ran out", s.id, r.from, r.to, r.fence)
	}
	s.rows = kept
}

// beat sends heartbeats: every 870 ms, and within 100 ms after rows were released.
func (s *keyServer) beat() {
	defer s.stopped.Done()
	next := 0
	for {
		pause := 870 * time.Millisecond
		switch again, ok := s.beatOnce(s.controls[next%len(s.controls)]); {
		case !ok:
			next++
			pause = 50 * time.Millisecond
		case again:
			pause = 60 * time.Millisecond
		}
		select {
		case <-s.stop:
			return
		case <-time.After(pause):
		}
	}
}

// beatOnce sends a heartbeat. It reports whether rows were released by the answer,
// and whether the heartbeat was acknowledged.
func (s *keyServer) beatOnce(to *vm) (again, ok bool) {
	s.mu.Lock()
	sent := time.Now()
	s.expire(sent)
	s.seq++
	s.last = sent
	holds, released := [][3]any{}, [][3]any{}
	for _, r := range s.rows {
		holds = append(holds, [3]any{r.from, r.to, r.fence})
	}
	reported := len(s.released)
	for _, r := range s.released {
		released = append(released, [3]any{r.from, r.to, r.handover})
	}
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_left": "0ms", "seq_no": s.seq, "born": s.born, "holds": holds, "released": released,
	})
	s.mu.Unlock()
	status, data := s.c.callOnce(to, "call=instances.heartbeat&of="+s.id, body)
	if status/100 != 2 || len(data) > 4<<10 {
		return false, false
	}
	var answer struct {
		Holds    *[][]json.RawMessage `json:"holds"`
		HoldTime string               `json:"hold_time"`
	}
	if json.Unmarshal(data, &answer) != nil {
		return false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = s.released[reported:]
	now := time.Now()
	s.expire(now)
	if answer.Holds == nil {
		return false, true
	}
	hold, err := time.ParseDuration(answer.HoldTime)
	if err != nil {
		return false, true
	}
	return s.take(*answer.Holds, sent.Add(time.Duration(holdTimeFactor*float64(hold))), now), true
}

// take applies the rows of an answer. It reports whether rows were released. The
// caller holds the mutex.
func (s *keyServer) take(rows [][]json.RawMessage, until, now time.Time) bool {
	var next []*heldRow
	for _, raw := range rows {
		r := heldRow{until: until, since: now}
		if len(raw) < 3 || json.Unmarshal(raw[0], &r.from) != nil || json.Unmarshal(raw[1], &r.to) != nil || json.Unmarshal(raw[2], &r.fence) != nil {
			continue
		}
		if !until.After(now) || s.seenHigher(r) {
			continue
		}
		next = append(next, &r)
	}
	changed := false
	for _, old := range s.rows {
		kept := false
		for _, r := range next {
			if r.from >= old.from && r.to <= old.to && r.fence == old.fence {
				r.since = old.since
				kept = kept || r.from == old.from && r.to == old.to
			}
		}
		if kept {
			continue
		}
		// What is left out of the row is released.
		for from := old.from; from <= old.to; {
			to, covered := old.to, false
			for _, r := range next {
				if r.fence == old.fence && r.from <= from && from <= r.to {
					to, covered = min(r.to, old.to), true
					break
				}
				if r.fence == old.fence && r.from > from && r.from <= to {
					to = r.from - 1
				}
			}
			if !covered {
				gone := heldRow{from: from, to: to, fence: old.fence, handover: newHandover(), since: old.since, ended: now}
				s.released, s.past = append(s.released, gone), append(s.past, gone)
				s.c.rec.printf("%s releases %d-%d fence %d", s.id, from, to, old.fence)
				changed = true
			}
			from = to + 1
		}
	}
	for _, r := range next {
		if r.since.Equal(now) {
			s.c.rec.printf("%s takes %d-%d fence %d", s.id, r.from, r.to, r.fence)
		}
		s.seen = append(s.seen, *r)
	}
	if len(s.seen) > 4096 {
		s.seen = s.seen[len(s.seen)-2048:]
	}
	s.rows = next
	return changed
}

// seenHigher reports whether a higher fence was seen on a key of the row. The caller
// holds the mutex.
func (s *keyServer) seenHigher(r heldRow) bool {
	for _, o := range s.seen {
		if o.from <= r.to && r.from <= o.to && o.fence > r.fence {
			return true
		}
	}
	return false
}

func newHandover() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// holds reports whether the server holds a key now. The caller holds the mutex.
func (s *keyServer) holds(key int) bool {
	s.expire(time.Now())
	for _, r := range s.rows {
		if r.from <= key && key <= r.to {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (s *keyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Flamingoreel-Server-Load", "0,0,6,100")
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set("Flamingoreel-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Flamingoreel-Request-Id")
	w.Header().Set("Flamingoreel-Request-Id", id)
	key, err := strconv.Atoi(r.Header.Get("Flamingoreel-Shard-Key"))
	expected := r.Header.Get("Flamingoreel-Expect-Instance")
	s.mu.Lock()
	held := err == nil && s.holds(key)
	if held && (expected == "" || expected == s.id) {
		s.ran++
	}
	s.mu.Unlock()
	if !held || expected != "" && expected != s.id {
		w.Header().Set("Flamingoreel-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.c.rec.printf("%s runs %s key %d", s.id, id, key)
	time.Sleep(s.work)
	answer := []byte(s.id + " " + id)
	w.Header().Set("Flamingoreel-Response-Stamp", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// history returns all rows that were and are held.
func (s *keyServer) history() []heldRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	all := append([]heldRow{}, s.past...)
	for _, r := range s.rows {
		held := *r
		held.ended = now
		all = append(all, held)
	}
	return all
}

// overlap is a time in which two servers held the same keys.
type overlap struct {
	a, b     string
	from, to int
	length   time.Duration
}

// longestOverlap returns the longest time in which two servers held the same keys.
func longestOverlap(servers []*keyServer) overlap {
	var longest overlap
	for i, a := range servers {
		for _, b := range servers[i+1:] {
			for _, x := range a.history() {
				for _, y := range b.history() {
					if x.from > y.to || y.from > x.to {
						continue
					}
					start, end := x.since, x.ended
					if y.since.After(start) {
						start = y.since
					}
					if y.ended.Before(end) {
						end = y.ended
					}
					if d := end.Sub(start); d > longest.length {
						longest = overlap{a.id, b.id, max(x.from, y.from), min(x.to, y.to), d}
					}
				}
			}
		}
	}
	return longest
}

func (o overlap) String() string {
	return fmt.Sprintf("%s and %s both held %d-%d for %v", o.a, o.b, o.from, o.to, o.length.Round(time.Millisecond))
}
