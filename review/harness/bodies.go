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
	"time"
)

// peakMemory returns the peak of the resident memory of a process in MB.
func (m *vm) peakMemory() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "VmHWM:") {
			kb, _ := strconv.Atoi(strings.Fields(line)[1])
			return float64(kb) / 1024
		}
	}
	return 0
}

// bodies uploads large bodies to one entry at once.
func bodies(c *cluster) error {
	core, err := c.startCore()
	if err != nil {
		return err
	}
	front := c.add("entry", zones[0])
	if err := front.start(true); err != nil {
		return err
	}
	for i := range 6 {
		e, err := startEndpoint(c, fmt.Sprintf("i-%08x", 0x7f3a9100+i), "ledger", zones[i%3], fmt.Sprintf("%s.%d", c.net, 40+i), core, 300*time.Millisecond)
		if err != nil {
			return err
		}
		defer e.close()
	}
	time.Sleep(3 * time.Second)
	count, _ := strconv.Atoi(os.Getenv("COUNT"))
	size, _ := strconv.Atoi(os.Getenv("MB"))
	body := bytes.Repeat([]byte("x"), size<<20)
	var mu sync.Mutex
	statuses := map[int]int{}
	for range 4 {
		var all sync.WaitGroup
		for range count {
			all.Go(func() {
				// Together the clients send what the machine's link carries, 1,000 Mbit/s.
				var reader io.Reader = &pacedReader{r: bytes.NewReader(body), rate: 125e6 / float64(count), began: time.Now()}
				client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				req, _ := http.NewRequest(http.MethodPost, "http://"+front.frontAddr()+"/post/x", reader)
				req.Host = "ficu95.example"
				req.Header.Set("Flamingoreel-Request-Id", newRequestID())
				req.Header.Set("Flamingoreel-Deadline-Ms", "6000")
				status := 0
				if resp, err := client.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					status = resp.StatusCode
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			})
		}
		all.Wait()
		c.rec.printf("statuses %v, peak %.0f MB", statuses, front.peakMemory())
	}
	fmt.Printf("statuses %v, peak %.0f MB\n", statuses, front.peakMemory())
	return nil
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
