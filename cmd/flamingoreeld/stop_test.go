package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const stopItems = `{"upsert":{"services":{` +
	`"ledger":{"health_path":"/health","max_conns":110,"cold_start":"3s","cold_per_s":5.8,"version":"00000001"},` +
	`"slow":{"health_path":"/health","max_conns":110,"cold_start":"3s","cold_per_s":5.8,"version":"00000001"}},"routes":{` +
	`"post":{"hostname":"a.example","path_prefix":"/post/","kind":"unsafe","timeout":"3s","target_latency":"1500ms","service":"ledger","max_attempts":2,"version":"00000001"},` +
	`"slow":{"hostname":"a.example","path_prefix":"/slow/","kind":"unsafe","timeout":"8s","target_latency":"6000ms","service":"slow","max_attempts":2,"version":"00000001"}}}}`

// graceTime is the grace time in the settings of the deployments of these tests, after
// which the platform kills a process.
const graceTime = 3 * time.Second

// stopCaller sends posts to one entry and records what it receives for each.
type stopCaller struct {
	addr    string
	nextID  atomic.Int64
	mu      sync.Mutex
	results map[string]stopResult
}

// stopResult is what a caller received for a post; status 0 stands for none.
type stopResult struct {
	kind   string
	status int
	err    error
	sent   time.Time
}

func (c *stopCaller) record(id string, r stopResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[id] = r
}

// head returns the head of a post.
func (c *stopCaller) head(path string, bodyBytes int) (id, head string) {
	id = fmt.Sprint("stop-", c.nextID.Add(1))
	return id, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nFlamingoreel-Request-Id: %s\r\nFlamingoreel-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", path, id, bodyBytes)
}

// dial opens a connection; nil if the entry accepts none any more.
func (c *stopCaller) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// read reads one response and reports whether the connection stays open.
func (c *stopCaller) read(kind, id string, sent time.Time, r *bufio.Reader) bool {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		c.record(id, stopResult{kind, 0, err, sent})
		return false
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.record(id, stopResult{kind, 0, err, sent})
		return false
	}
	c.record(id, stopResult{kind, resp.StatusCode, nil, sent})
	return !resp.Close
}

// single sends a post on a new connection.
func (c *stopCaller) single(kind, path string) {
	conn := c.dial()
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id, head := c.head(path, 4)
	sent := time.Now()
	_, _ = io.WriteString(conn, head+"dues")
	c.read(kind, id, sent, bufio.NewReader(conn))
}

// kept sends posts on a connection until the entry closes it.
func (c *stopCaller) kept() {
	conn := c.dial()
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for open := true; open; time.Sleep(20 * time.Millisecond) {
		id, head := c.head("/post/kept", 4)
		sent := time.Now()
		_, _ = io.WriteString(conn, head+"dues")
		open = c.read("kept", id, sent, r)
	}
}

// slowBody sends a post whose body takes a time to arrive.
func (c *stopCaller) slowBody(duration time.Duration) {
	conn := c.dial()
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const parts = 10
	id, head := c.head("/post/body", parts)
	sent := time.Now()
	_, _ = io.WriteString(conn, head)
	for range parts {
		time.Sleep(duration / parts)
		_, _ = io.WriteString(conn, "x")
	}
	c.read("slow body", id, sent, bufio.NewReader(conn))
}

// pipelined sends two posts at once.
func (c *stopCaller) pipelined() {
	conn := c.dial()
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	first, firstHead := c.head("/post/pipe", 4)
	second, secondHead := c.head("/post/pipe", 4)
	sent := time.Now()
	_, _ = io.WriteString(conn, firstHead+"dues"+secondHead+"dues")
	r := bufio.NewReader(conn)
	if c.read("pipelined", first, sent, r) {
		c.read("pipelined", second, sent, r)
	} else {
		c.record(second, stopResult{kind: "pipelined", sent: sent})
	}
}

// run calls a function at an interval until stop is closed, and waits for all calls.
func (c *stopCaller) run(stop chan struct{}, all *sync.WaitGroup, interval time.Duration, call func()) {
	all.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				all.Go(call)
			}
		}
	})
}

// Guards against a planned stop that passes posts on late in its grace time and cuts
// them off when the process ends, or that ends connections without an answer to a
// post that a target runs.
func TestPlannedStopCutsOffNoPost(t *testing.T) {
	t.Setenv("GORACE", "atexit_sleep_ms=0") // The race detector delays the exit by 1 s.
	s := newDeployment(t, 13, 1)
	var targets []*platformTarget
	for i := range 4 {
		targets = append(targets,
			startPlatformTarget(t, &platformTarget{id: fmt.Sprint("ledger-", i), service: "ledger", zone: "z1", controls: s.controls, serviceTime: 150 * time.Millisecond}),
			startPlatformTarget(t, &platformTarget{id: fmt.Sprint("slow-", i), service: "slow", zone: "z1", controls: s.controls, serviceTime: 1500 * time.Millisecond}))
	}
	s.callAny("config.patch", "", stopItems)
	s.awaitReady()
	for _, path := range []string{"/post/x", "/slow/x"} {
		s.eventually("a post to "+path, 10*time.Second, func() bool {
			status, _ := s.request(0, "POST", path, "warm"+strings.ReplaceAll(path, "/", "-"), "")
			return status == http.StatusOK
		})
	}
	c := &stopCaller{addr: s.entries[0], results: make(map[string]stopResult)}
	var all sync.WaitGroup
	stop := make(chan struct{})
	c.run(stop, &all, 50*time.Millisecond, func() { c.single("new connection", "/post/new") })
	c.run(stop, &all, 200*time.Millisecond, func() { c.single("slow", "/slow/x") })
	c.run(stop, &all, 100*time.Millisecond, c.kept)
	c.run(stop, &all, 100*time.Millisecond, func() { c.slowBody(700 * time.Millisecond) })
	c.run(stop, &all, 200*time.Millisecond, func() { c.slowBody(2 * time.Second) })
	c.run(stop, &all, 100*time.Millisecond, c.pipelined)
	time.Sleep(2 * time.Second)
	entry := s.procs["entry-0"]
	stopped := time.Now()
	if err := entry.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(graceTime, func() { _ = entry.Process.Kill() })
	_ = entry.Wait() // The log says whether the entry had ended its work.
	kill.Stop()
	if !strings.Contains(s.log("entry-0"), "message=stopped") {
		t.Errorf("the entry had not stopped when it was killed at the end of its grace time of %v", graceTime)
	}
	close(stop)
	all.Wait()
	statuses := make(map[string]int)
	for id, r := range c.results {
		runs := 0
		for _, target := range targets {
			runs += target.executionsOf(id)
		}
		statuses[fmt.Sprint(r.kind, " ", r.status)]++
		refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		if runs > 1 || runs == 1 && r.status != http.StatusOK || runs == 0 && r.status != 0 && !refused {
			t.Errorf("%s %s, sent %v after SIGTERM: status %d (%v), ran %d times", r.kind, id, r.sent.Sub(stopped).Round(time.Millisecond), r.status, r.err, runs)
		}
	}
	t.Log(statuses)
}
