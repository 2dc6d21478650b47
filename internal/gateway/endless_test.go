package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// maxEndlessHeapBytes is the heap that endless responses may take together: a third of
// the memory of the smallest entry VMs, which have 184 MB.
const maxEndlessHeapBytes = 60 << 20

// endless sends a body without end, or without a head if headers is false.
func endless(w http.ResponseWriter, headers bool) {
	w.Header().Set("X-Signed", "1")
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if headers {
		_, err = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Signed: 1\r\n\r\n")
	}
	for part := []byte(strings.Repeat("x", 16<<10)); err == nil; {
		_, err = c.Write(part)
	}
}

// Guards against several faulty targets at once whose responses to requests and to
// health checks don't end: the entry VM must neither keep their bytes nor stop serving
// the callers of sound targets.
func TestSeveralEndlessTargetsTakeLittleMemory(t *testing.T) {
	var targets []*testTarget
	for i := range 8 {
		f := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { endless(w, i%2 == 0) })
		healthy := f.server.Config.Handler
		f.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				endless(w, i%2 == 1)
				return
			}
			healthy.ServeHTTP(w, r)
		})
		targets = append(targets, f)
	}
	sound := newTarget(t, signed)
	b := newTestbed(t, append(targets, sound)...)
	highest := make(chan uint64)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		var peak uint64
		var m runtime.MemStats
		for ctx.Err() == nil {
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			time.Sleep(2 * time.Millisecond)
		}
		highest <- peak
	}()
	answered := make(chan bool, 400)
	for i := range 10 {
		var all sync.WaitGroup
		for j := range 40 {
			all.Go(func() {
				r := b.serve("/download/x", fmt.Sprint(i, "-", j))
				if r.Response != nil {
					r.Response.Close()
				}
				answered <- r.Err == nil && r.Response.Status == http.StatusOK
			})
		}
		all.Wait()
	}
	for _, e := range b.g.view.Load().Endpoints("s") {
		b.g.mu.Lock()
		c := choice{endpoint: e, state: b.g.stateOf(e)}
		b.g.mu.Unlock()
		began := time.Now()
		if _, healthy := b.g.checkHealth(ctx, c); healthy && e.ID != "t8" {
			t.Errorf("%s counts as healthy", e.ID)
		}
		if took := time.Since(began); took > checkTimeout+100*time.Millisecond {
			t.Errorf("the health check of %s took %v", e.ID, took)
		}
	}
	close(answered)
	served := 0
	for ok := range answered {
		if ok {
			served++
		}
	}
	cancel()
	if peak := <-highest; peak > maxEndlessHeapBytes {
		t.Errorf("the heap took %d bytes, want %d at most", peak, maxEndlessHeapBytes)
	}
	if served < 200 {
		t.Errorf("%d of 400 requests were answered, want at least half", served)
	}
	if sound.count() == 0 {
		t.Error("the sound target got no request, so the test proves nothing")
	}
}
