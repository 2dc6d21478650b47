package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Times of the session in which entry VMs stop while others are isolated.
const (
	isolationStopNetwork = isolationNetwork + 3
	// stopServiceTime is how long targets work on a request, so that many are in
	// progress at any time.
	stopServiceTime = 250 * time.Millisecond
	// restartTime is the time that a restarted entry VM gets before the next one stops.
	restartTime = 2 * time.Second
)

// Guards against requests of an isolated entry VM that end without a response because
// an entry VM in between, or that VM itself, is stopped as planned.
func TestPlannedStopsLoseNoRequestOfAnIsolatedEntry(t *testing.T) {
	s := newIsolation(t, isolationStopNetwork)
	for _, target := range s.targets {
		target.setServiceTime(stopServiceTime)
	}
	s.awaitService()
	s.paths.isolate(pathSilent, "entry-0")
	time.Sleep(stabilityWindow)
	from := time.Now()
	callers, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	t.Cleanup(func() {
		stop()
		background.Wait()
	})
	background.Go(func() { s.post(callers) })
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		time.Sleep(restartTime / 2)
		s.stopAndRestart(name)
		time.Sleep(restartTime / 2)
	}
	stop()
	time.Sleep(stopServiceTime / 2)
	s.stopProcess("entry-0")
	background.Wait()
	s.checkTries()
	served, lost := 0, 0
	for _, r := range s.tries {
		switch {
		case r.served():
			served++
		case !refusals[r.status]:
			lost++
			t.Errorf("post %s, sent %v after the first, got status %d %s", r.id, r.sent.Sub(from).Round(time.Millisecond), r.status, r.body)
		}
	}
	t.Logf("%d posts: %d served, %d lost", len(s.tries), served, lost)
	if 3*served < 2*len(s.tries) {
		t.Errorf("%d of %d posts were served", served, len(s.tries))
	}
}

// post sends POST requests to the isolated entry VM until ctx ends.
func (s *isolation) post(ctx context.Context) {
	rng := rand.New(rand.NewPCG(1, 17))
	client := &http.Client{Timeout: 2 * soakDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		requests.Go(func() {
			r := s.send(client, 0, "stop-"+strconv.Itoa(n), "POST", "/post/"+strconv.Itoa(n), "", "dues")
			s.mu.Lock()
			defer s.mu.Unlock()
			s.tries = append(s.tries, r)
		})
		time.Sleep(isolationInterval/2 + time.Duration(rng.Int64N(int64(isolationInterval))))
	}
}

// stopProcess stops an entry VM as planned and waits until it has ended.
func (s *isolation) stopProcess(name string) {
	s.t.Helper()
	cmd := s.procs[name]
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		s.t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		s.t.Errorf("%s ended with %v", name, err)
	}
}

// stopAndRestart stops an entry VM as planned and starts it again.
func (s *isolation) stopAndRestart(name string) {
	s.t.Helper()
	s.stopProcess(name)
	s.deployment.run(name)
}
