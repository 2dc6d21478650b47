package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Interval and timeout of the readiness checks.
const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = 300 * time.Millisecond
)

// balancer simulates the load balancer in front of the VMs. It picks only entries
// whose readiness check passes.
type balancer struct {
	entries []string
	checks  []string
	client  *http.Client

	mu    sync.RWMutex
	ready []string
}

// newBalancer returns a balancer that checks the readiness URLs, one per entry,
// until ctx ends. Without checks every entry counts as ready.
func newBalancer(ctx context.Context, entries, checks []string) *balancer {
	b := &balancer{entries: entries, checks: checks, client: &http.Client{Timeout: checkTimeout}, ready: entries}
	if len(checks) == len(entries) {
		go b.run(ctx)
	}
	return b
}

func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.check()
		}
	}
}

// check checks all entries concurrently. If none is ready, the previous set of
// ready entries stays.
func (b *balancer) check() {
	passed := make([]bool, len(b.entries))
	var wait sync.WaitGroup
	for i, url := range b.checks {
		wait.Go(func() { passed[i] = b.passes(url) })
	}
	wait.Wait()
	var ready []string
	for i, entry := range b.entries {
		if passed[i] {
			ready = append(ready, entry)
		}
	}
	if len(ready) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) passes(url string) bool {
	resp, err := b.client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns a ready entry; successive values of n give successive entries.
func (b *balancer) pick(n int) string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.ready[n%len(b.ready)]
}
