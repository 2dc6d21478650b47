//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// relayed uploads bodies to entries that reach no server.
func relayed(c *cluster) error {
	core, err := c.startCore()
	if err != nil {
		return err
	}
	p, err := newPaths()
	if err != nil {
		return err
	}
	number := func(name string, fallback int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return fallback
	}
	cutOff, others := number("CUT", 1), number("OTHERS", 2)
	var isolated, intact []*vm
	for i := range cutOff + others {
		m := c.add("entry", zones[i%6])
		if err := m.start(true); err != nil {
			return err
		}
		if i < cutOff {
			isolated = append(isolated, m)
		} else {
			intact = append(intact, m)
		}
		p.pin(m, i < cutOff)
	}
	for i := range 6 {
		e, err := startEndpointAt(c, p, fmt.Sprintf("i-%08x", 0x7f3a9100+i), "ledger", zones[i%3], fmt.Sprintf("%s.%d", c.net, 40+i), core, 100*time.Millisecond)
		if err != nil {
			return err
		}
		defer e.close()
	}
	time.Sleep(4 * time.Second)
	for _, m := range append(append([]*vm{}, isolated...), intact...) {
		p.pin(m, m != intact[0] && contains(isolated, m))
	}
	try := func(label string) {
		for _, m := range isolated {
			ok := 0
			for range 10 {
				if r := request(m, http.MethodGet, "ficu95.example", "/view/2f", nil, 1500*time.Millisecond); r.status == 200 {
					ok++
				}
			}
			c.rec.printf("%s: %d of 10 requests at %s served", label, ok, m.name)
		}
	}
	try("before")
	if trouble {
		p.cut()
	}
	for range 4 {
		try("after")
	}
	count, size := number("COUNT", 28), number("KB", 4000)
	body := bytes.Repeat([]byte("x"), size<<10)
	var mu sync.Mutex
	statuses := map[int]int{}
	end := time.Now().Add(time.Duration(number("SECONDS", 10)) * time.Second)
	var all sync.WaitGroup
	for _, m := range isolated {
		for range count {
			all.Go(func() {
				for time.Now().Before(end) {
					client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
					reader := &pacedReader{r: bytes.NewReader(body), rate: float64(number("RATE", 125)) * 1e6 / float64(count), began: time.Now()}
					req, _ := http.NewRequest(http.MethodPost, "http://"+m.frontAddr()+"/post/x", reader)
					req.Host = "ficu95.example"
					req.Header.Set("Flamingoreel-Request-Id", newRequestID())
					req.Header.Set("Flamingoreel-Deadline-Ms", "5000")
					status := 0
					if resp, err := client.Do(req); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
						status = resp.StatusCode
					}
					mu.Lock()
					statuses[status]++
					mu.Unlock()
					if status != 200 {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	all.Wait()
	c.rec.printf("statuses %v", statuses)
	fmt.Printf("statuses %v;", statuses)
	for _, m := range append(append([]*vm{}, isolated...), intact...) {
		fmt.Printf(" %s %.0f MB", m.name, m.peakMemory())
		c.rec.printf("peak of %s: %.0f MB", m.name, m.peakMemory())
	}
	fmt.Println()
	return nil
}

func contains(list []*vm, m *vm) bool {
	for _, other := range list {
		if other == m {
			return true
		}
	}
	return false
}
