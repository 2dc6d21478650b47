//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// frontMemory is memory_mb of the settings of an entry.
	frontMemory = 284
	// cutOff is the number of entries that are cut off from all servers, of six.
	cutOff = 5
	// posts is the number of requests that clients send to each of them at once, and
	// postBytes the length of their bodies.
	posts     = 28
	postBytes = 4000 << 10
	// linkBytes is what the link of a machine carries in a second, 1,000 Mbit/s.
	linkBytes = 125e6
)

// relayedBodies cuts most entries off from all servers while clients send bodies of
// some megabytes. Entries relay the requests to the one that reaches servers.
func relayedBodies(c *cluster) error {
	core, err := c.startCore()
	if err != nil {
		return err
	}
	p, err := newPaths()
	if err != nil {
		return err
	}
	var fronts []*vm
	for _, zone := range zones {
		m := c.add("entry", zone)
		if err := m.start(true); err != nil {
			return err
		}
		fronts = append(fronts, m)
	}
	isolated, intact := fronts[:cutOff], fronts[cutOff]
	var ran sync.Map
	for i := range 12 {
		e, err := startEndpointAt(c, p, fmt.Sprintf("i-%08x", 0x7f3a9100+i), "ledger", zones[i%6], fmt.Sprintf("%s.%d", c.net, 40+i), core, 100*time.Millisecond)
		if err != nil {
			return err
		}
		defer e.close()
		e.onRun = func(e *endpoint, r *http.Request) {
			id := r.Header.Get("Flamingoreel-Request-Id")
			ran.Store(id, e.id)
			c.rec.printf("%s runs %s", e.id, id)
		}
	}
	time.Sleep(4 * time.Second)
	for _, m := range fronts {
		if !m.ready() {
			return fmt.Errorf("%s is not ready", m.name)
		}
		p.pin(m, m != intact)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	// The platform kills a process that uses more than its memory, and starts it again.
	for _, m := range fronts {
		clients.Go(func() { m.enforceMemory(stop) })
	}
	var lost, answered atomic.Int64
	for range 12 {
		clients.Go(func() { c.read(intact, &ran, &answered, &lost, stop) })
	}
	for _, m := range isolated {
		for range 10 {
			if r := request(m, http.MethodGet, "ficu95.example", "/view/2f", nil, 1500*time.Millisecond); r.status != 200 {
				return fmt.Errorf("%s serves nothing: %d %v", m.name, r.status, r.err)
			}
		}
	}
	if trouble {
		c.rec.printf("%d of %d entries are cut off from all servers", cutOff, len(fronts))
		p.cut()
	}
	for range 4 {
		for _, m := range isolated {
			r := request(m, http.MethodGet, "ficu95.example", "/view/2f", nil, 1500*time.Millisecond)
			c.rec.printf("client of %s got %d for %s", m.name, r.status, r.id)
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.rec.printf("%d posts of %d bytes to each of %d entries", posts, postBytes, cutOff)
	body := bytes.Repeat([]byte("x"), postBytes)
	var uploads sync.WaitGroup
	for _, m := range isolated {
		for range posts {
			uploads.Go(func() { c.post(m, body) })
		}
	}
	uploads.Wait()
	time.Sleep(2 * time.Second)
	c.rec.printf("%s: %d reads answered, %d that a server ran ended without an answer", intact.name, answered.Load(), lost.Load())
	for _, m := range fronts {
		c.rec.printf("%s: most memory seen %.0f MB, ended by the platform %d times", m.name, m.mostMemory, m.ended)
	}
	if lost.Load() > 3 {
		return fmt.Errorf("%w: %d requests that %s had passed on ended without an answer", errBroken, lost.Load(), intact.name)
	}
	return nil
}

// read sends requests on kept connections, and counts those that a server ran and
// whose connection ended without an answer.
func (c *cluster) read(m *vm, ran *sync.Map, answered, lost *atomic.Int64, stop <-chan struct{}) {
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := newRequestID()
		req, err := http.NewRequest(http.MethodGet, "http://"+m.frontAddr()+"/view/2f", nil)
		if err != nil {
			return
		}
		req.Host = "ficu95.example"
		req.Header.Set("Flamingoreel-Request-Id", id)
		req.Header.Set("Flamingoreel-Deadline-Ms", "1500")
		sent := time.Now()
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err == nil {
			answered.Add(1)
			continue
		}
		_, wasRun := ran.Load(id)
		c.rec.printf("client of %s got no answer to %s after %v, run by a server %v: %v", m.name, id, time.Since(sent).Round(time.Millisecond), wasRun, err)
		if wasRun && time.Since(sent) < 1300*time.Millisecond {
			lost.Add(1)
		}
	}
}

// post sends a request with a body at the rate of a link that all clients of the
// entry share.
func (c *cluster) post(m *vm, body []byte) {
	id := newRequestID()
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	reader := &pacedReader{r: bytes.NewReader(body), rate: linkBytes / posts, began: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+m.frontAddr()+"/post/2f", reader)
	if err != nil {
		return
	}
	req.ContentLength = int64(len(body))
	req.Host = "ficu95.example"
	req.Header.Set("Flamingoreel-Request-Id", id)
	req.Header.Set("Flamingoreel-Deadline-Ms", "5000")
	resp, err := client.Do(req)
	if err != nil {
		c.rec.printf("client of %s got no answer to the post %s", m.name, id)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	c.rec.printf("client of %s got %d for the post %s", m.name, resp.StatusCode, id)
}

// enforceMemory kills the process once it uses more than its memory, and starts it
// again half a second later.
func (m *vm) enforceMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := m.memory()
		m.mostMemory = max(m.mostMemory, used)
		if used <= frontMemory {
			continue
		}
		m.ended++
		m.c.rec.printf("%s uses %.0f MB of %d, the platform ends it", m.name, used, frontMemory)
		m.kill(false)
		time.Sleep(500 * time.Millisecond)
		select {
		case <-stop:
			return
		default:
		}
		if err := m.start(false); err != nil {
			m.c.rec.printf("%s does not start: %v", m.name, err)
			return
		}
	}
}

// memory returns the resident memory of the process in MB.
func (m *vm) memory() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			kb, _ := strconv.Atoi(strings.Fields(line)[1])
			return float64(kb) / 1024
		}
	}
	return 0
}

// pacedReader reads at a rate of bytes per second.
type pacedReader struct {
	r     io.Reader
	rate  float64
	began time.Time
	read  int
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if ahead := float64(p.read)/p.rate - time.Since(p.began).Seconds(); ahead > 0 {
		time.Sleep(time.Duration(ahead * float64(time.Second)))
	}
	n, err := p.r.Read(b[:min(len(b), 32<<10)])
	p.read += n
	return n, err
}
