package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crashPath ends the paths of requests that crash the targets which run them.
	crashPath = "/crash"
	// crashedFor is how long a target takes to start again after a crash.
	crashedFor = 1200 * time.Millisecond
	// crashStability is the time after the third crash by which the requests must no
	// longer be sent to targets, but for lateCrashes more.
	crashStability = 3 * time.Second
	lateCrashes    = 3
	// crashesToKnow is the number of crashes after which a request is known.
	crashesToKnow = 3

	crashingNetwork = 23
)

// crashLog records the crashes of several targets.
type crashLog struct {
	mu sync.Mutex
	// times holds the time of each arrival of a crashing request at a target, and the
	// entry VM that sent it.
	times   []time.Time
	entries []string
}

// lateArrivals returns how many crashing requests reached targets too late, without
// those that excused reports, and how many did in all.
func (c *crashLog) lateArrivals(excused func(entry string, since, at time.Time) bool) (late, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, at := range c.times {
		if i < crashesToKnow {
			continue
		}
		if third := c.times[crashesToKnow-1]; at.After(third.Add(crashStability)) && !excused(c.entries[i], third, at) {
			late++
		}
	}
	return late, len(c.times)
}

// crashIfAsked ends the target if the request asks for it. The target is back after
// crashedFor as a new start at its address.
func (p *platformTarget) crashIfAsked(r *http.Request) bool {
	if p.crashes == nil || !strings.HasSuffix(r.URL.Path, crashPath) {
		return false
	}
	p.crashes.mu.Lock()
	p.crashes.times = append(p.crashes.times, time.Now())
	p.crashes.entries = append(p.crashes.entries, p.senderOf(r))
	p.crashes.mu.Unlock()
	p.mu.Lock()
	crashed := p.server
	p.server = nil
	p.mu.Unlock()
	if crashed == nil {
		return true
	}
	p.heartbeatsOff.Store(true)
	go func() {
		_ = crashed.Close()
		time.Sleep(crashedFor)
		listener, err := net.Listen("tcp", p.listener.Addr().String())
		if err != nil {
			p.t.Errorf("%s cannot start again: %v", p.id, err)
			return
		}
		p.startAgain()
		p.serve(listener)
		p.heartbeatsOff.Store(false)
	}()
	return true
}

// serve starts the HTTP server of the target.
func (p *platformTarget) serve(listener net.Listener) {
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
	p.mu.Lock()
	p.server = server
	p.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// Guards against a request that is sent on for ever by real processes although it
// crashes each target, and against refusals of other requests.
func TestCrashingRequestsOfADeployment(t *testing.T) {
	s := newDeployment(t, crashingNetwork, 2)
	var crashes crashLog
	for i := range 6 {
		startPlatformTarget(t, &platformTarget{
			id: fmt.Sprint("ledger-", i), service: "ledger", zone: fmt.Sprint("z", i%2+1), controls: s.controls,
			serviceTime: 20 * time.Millisecond, crashes: &crashes,
		})
	}
	startPlatformTarget(t, &platformTarget{id: "reports-0", service: "reports", zone: "z1", sharded: true, controls: s.controls})
	s.callAny("config.patch", "", firstItems)
	s.awaitReady()
	s.eventually("all targets serve each entry", 10*time.Second, func() bool { return s.posts(0, 24) == 24 && s.posts(1, 24) == 24 })
	var copies sync.WaitGroup
	for end, n := time.Now().Add(9*time.Second), 0; time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for entry := range s.entries {
			n++
			path, id := fmt.Sprintf("/post%s?n=%d", crashPath, n), entryID(entry, fmt.Sprint("crash-", n))
			copies.Go(func() { s.request(entry, "POST", path, id, "") })
		}
	}
	copies.Wait()
	if late, all := crashes.lateArrivals(func(string, time.Time, time.Time) bool { return false }); late > lateCrashes || all < crashesToKnow {
		t.Errorf("%d of %d crashing requests reached targets late, want %d at most", late, all, lateCrashes)
	}
	s.eventually("other requests served again", 5*time.Second, func() bool { return s.posts(0, 8) == 8 && s.posts(1, 8) == 8 })
}
