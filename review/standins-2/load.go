//go:build review2

package main

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// load is a steady stream of requests of one kind.
type load struct {
	stop         chan struct{}
	clients      sync.WaitGroup
	sent, served atomic.Int64
	refused      atomic.Int64
}

// stream says what requests a load consists of. key, if set, returns the key of the next
// request.
type stream struct {
	method, host, prefix string
	pause, deadline      time.Duration
	// entries is the number of entries that get requests.
	entries int
	key     func() int
}

// startLoad sends requests to each entry until the load is stopped, one each pause,
// whether or not the earlier ones were answered.
func (s *system) startLoad(of stream) *load {
	l := &load{stop: make(chan struct{})}
	for i := range of.entries {
		l.clients.Go(func() {
			ticker := time.NewTicker(of.pause)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-ticker.C:
					l.clients.Go(func() { l.request(s, i, n, of) })
				}
			}
		})
	}
	return l
}

// request sends one request, and once more to the next entry if it is refused or fails, as
// the clients of the sites do. Each attempt has an id of its own and counts as a request.
func (l *load) request(s *system, entry, n int, of stream) {
	key := -1
	if of.key != nil {
		key = of.key()
	}
	end := time.Now().Add(of.deadline)
	for attempt := range 2 {
		left := time.Until(end)
		if left < 50*time.Millisecond {
			return
		}
		l.sent.Add(1)
		a := s.newClient(false).send(of.method, s.frontAddr((entry+attempt)%of.entries), of.host, fmt.Sprintf("%s%d", of.prefix, n), newID(), left, "", key)
		if a.err == nil && a.status == 200 && a.stamp != "" {
			l.served.Add(1)
			return
		}
		if a.status == 429 || a.status == 503 {
			l.refused.Add(1)
		}
		wait, _ := strconv.ParseFloat(a.retryIn, 64)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), time.Until(end)/3))
	}
}

// take returns the numbers of requests sent and served since the last call.
func (l *load) take() (sent, served int64) { return l.sent.Swap(0), l.served.Swap(0) }

func (l *load) end() {
	close(l.stop)
	l.clients.Wait()
}
