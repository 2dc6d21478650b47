package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Health checks of the balancer.
const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = 300 * time.Millisecond
)

// balancer stands for the platform's balancer: it sends callers only to the
// entries whose readiness check passes.
type balancer struct {
	entries []string
	checks  []string
	client  *http.Client

	mu    sync.RWMutex
	ready []string
}

// newBalancer checks the readiness URLs, one per entry, until ctx ends.
// Without checks every entry counts as ready.
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

// check asks all entries at once; with none ready the last set stays.
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

// pick returns the entry for a draw.
func (b *balancer) pick(draw int) string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.ready[draw%len(b.ready)]
}
