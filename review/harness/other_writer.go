//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// otherWriter sends a heartbeat of a service that no configuration names, from a
// process at the address of a server.
func otherWriter(c *cluster) error {
	core, err := c.startCore()
	if err != nil {
		return err
	}
	config, _ := json.Marshal(map[string]any{
		"upsert": map[string]any{
			"routes": map[string]any{"r-pull": routeItem("/pull/", "safe", "reporting", "00000008")},
			"services": map[string]any{"reporting": map[string]any{
				"health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 5.8,
				"sharded": true, "warmup": "2s", "grants": "heartbeat", "version": "00000008",
			}},
		},
		"remove": map[string]any{"routes": []any{}},
	})
	if status, data := c.order("call=config.patch", config, 4*time.Second, core...); status != 200 {
		return fmt.Errorf("the configuration got %d: %s", status, data)
	}
	var servers []*keyServer
	for i := range 8 {
		s, err := startKeyServer(c, fmt.Sprintf("i-%08x", 0x7f3a9200+i), "reporting", zones[i%6], fmt.Sprintf("%s.%d", c.net, 60+i), core, 30*time.Millisecond)
		if err != nil {
			return err
		}
		defer s.close()
		servers = append(servers, s)
		time.Sleep(110 * time.Millisecond)
	}
	front := c.add("entry", zones[0])
	if err := front.start(true); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for n := range 8 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				r := requestKey(front, "ficu95.example", "/pull/2f", (n*8192+i*997)%65536, 1500*time.Millisecond)
				mu.Lock()
				statuses[r.status]++
				mu.Unlock()
			}
		})
	}
	defer clients.Wait()
	defer close(stop)
	time.Sleep(3 * time.Second)
	before := longestOverlap(servers)
	c.rec.printf("before: %v", before)
	victim := servers[0]
	// Right after a heartbeat of the server.
	seq := func() int64 { victim.mu.Lock(); defer victim.mu.Unlock(); return victim.seq }
	for from := seq(); seq() == from; time.Sleep(2 * time.Millisecond) {
	}
	time.Sleep(20 * time.Millisecond)
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"service": "zq81-admin", "address": victim.addr, "zone": victim.zone, "version": "7", "slots": 2, "state": "ready",
			"cold_left": "0ms", "seq_no": 1, "born": time.Now().UnixMilli(),
		})
		status, data := c.callOnce(core[1], "call=instances.heartbeat&of=adm-1", body)
		c.rec.printf("heartbeat of adm-1, service zq81-admin, at %s got %d %s", victim.addr, status, data)
	}
	time.Sleep(10 * time.Second)
	victim.mu.Lock()
	ran := victim.ran
	victim.mu.Unlock()
	time.Sleep(3 * time.Second)
	victim.mu.Lock()
	c.rec.printf("%s ran %d requests, %d of them in the last 3 s", victim.id, victim.ran, victim.ran-ran)
	victim.mu.Unlock()
	mu.Lock()
	c.rec.printf("answers to clients: %v", statuses)
	mu.Unlock()
	longest := longestOverlap(servers)
	c.rec.printf("longest: %v", longest)
	if longest.length > 500*time.Millisecond {
		return fmt.Errorf("%w: %v", errBroken, longest)
	}
	return nil
}

// requestKey sends a GET for a key on a new connection.
func requestKey(m *vm, host, path string, key int, deadline time.Duration) clientResult {
	id := newRequestID()
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	req, err := http.NewRequest(http.MethodGet, "http://"+m.frontAddr()+path, nil)
	if err != nil {
		return clientResult{id: id, err: err}
	}
	req.Host = host
	req.Header.Set("Flamingoreel-Request-Id", id)
	req.Header.Set("Flamingoreel-Shard-Key", fmt.Sprint(key))
	req.Header.Set("Flamingoreel-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return clientResult{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return clientResult{id: id, status: resp.StatusCode}
}
