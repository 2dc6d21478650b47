package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Third octets of the addresses of the VMs.
const (
	leavingNetwork = 14
	pausingNetwork = 15
)

// fillingPosts is how many posts at a time fill a target that is known to be fast,
// so that some go to a target which is not known yet.
const fillingPosts = 24

// startAnnouncing starts a deployment with two targets of each service.
func startAnnouncing(t *testing.T, network int) (s *deployment, ledger, reports []*platformTarget) {
	s = newDeployment(t, network, 2)
	for i := range 2 {
		zone := fmt.Sprint("z", i+1)
		ledger = append(ledger, startPlatformTarget(t, &platformTarget{id: fmt.Sprint("ledger-", i), service: "ledger", zone: zone, controls: s.controls, serviceTime: 20 * time.Millisecond}))
		reports = append(reports, startPlatformTarget(t, &platformTarget{id: fmt.Sprint("reports-", i), service: "reports", zone: zone, sharded: true, controls: s.controls}))
	}
	s.callAny("config.patch", "", firstItems)
	s.awaitReady()
	s.eventually("all targets serve each entry", 10*time.Second, func() bool {
		for entry := range s.entries {
			if s.posts(entry, 8) != 8 || s.pull(entry, 0) != http.StatusOK || s.pull(entry, 65535) != http.StatusOK {
				return false
			}
		}
		return ledger[0].announcer.arrivalsFrom(0) > 0 && ledger[0].announcer.arrivalsFrom(1) > 0
	})
	return s, ledger, reports
}

var requestCount int

// nextID returns a new ID for a request to an entry VM.
func nextID(entry int) string {
	requestCount++
	return entryID(entry, strconv.Itoa(requestCount))
}

// posts sends posts to an entry VM, several at a time, and returns how many were
// served.
func (s *deployment) posts(entry, count int) int {
	var mu sync.Mutex
	var callers sync.WaitGroup
	served := 0
	for range count {
		id := nextID(entry)
		callers.Go(func() {
			if status, _ := s.request(entry, "POST", "/post/x", id, ""); status == http.StatusOK {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return served
}

func (s *deployment) pull(entry, key int) int {
	status, _ := s.request(entry, "GET", "/pull/x", nextID(entry), strconv.Itoa(key))
	return status
}

// signalControls sends a signal to all control VMs.
func (s *deployment) signalControls(sig syscall.Signal) {
	for name, cmd := range s.procs {
		if strings.HasPrefix(name, "control-") {
			if err := cmd.Process.Signal(sig); err != nil {
				s.t.Error(err)
			}
		}
	}
}

// Guards against requests of real processes to a target that says in its responses
// that it is leaving while control has it ready, also without contact to control;
// against a target that stays unused after its next start; and against keys that are
// not served once their holder's hand-over is done.
func TestLeavingTargetsOfADeployment(t *testing.T) {
	s, ledger, reports := startAnnouncing(t, leavingNetwork)
	ledger[0].announcer.leave(true)
	s.eventually("both entries told", 5*time.Second, func() bool {
		return s.posts(0, 8)+s.posts(1, 8) == 16 && ledger[0].announcer.arrivalsFrom(0) > 0 && ledger[0].announcer.arrivalsFrom(1) > 0
	})
	for entry := range s.entries {
		ledger[0].announcer.passedOn(fmt.Sprint("e", entry), "1")
	}
	check := func(when string, rounds int) {
		for range rounds {
			for entry := range s.entries {
				if got := s.posts(entry, 6); got != 6 {
					t.Errorf("%s: %d of 6 posts were served by the other target", when, got)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	check("leaving", 10)
	s.signalControls(syscall.SIGSTOP)
	check("without control", 30)
	s.signalControls(syscall.SIGCONT)
	check("with control again", 5)
	ledger[0].startAgain()
	s.eventually("the target used after its next start", 10*time.Second, func() bool {
		s.posts(0, fillingPosts)
		s.posts(1, fillingPosts)
		return ledger[0].announcer.arrivalsFrom(0) > 0 && ledger[0].announcer.arrivalsFrom(1) > 0
	})
	s.checkHandover(reports)
	checkNoLateArrivals(t, append(ledger, reports...)...)
}

// checkHandover lets a holder of keys say that it is leaving, first to entry VMs and
// then to control.
func (s *deployment) checkHandover(reports []*platformTarget) {
	holder, key := reports[0], 0
	if !holder.holds("0") {
		holder = reports[1]
	}
	holder.announcer.leave(true)
	if status := s.pull(0, key); status != http.StatusOK {
		s.t.Errorf("the request whose response says it got %d", status)
	}
	statuses := make(chan int, 1)
	go func() { statuses <- s.pull(0, key) }()
	time.Sleep(200 * time.Millisecond)
	holder.setState("draining")
	if status := <-statuses; status != http.StatusOK {
		s.t.Errorf("a request that waited for the hand-over got %d", status)
	}
	if got := holder.announcer.arrivalsFrom(0); got != 1 {
		s.t.Errorf("the holder got %d requests, want the one whose response says that it leaves", got)
	}
}

// Guards against requests of real processes to paused targets beyond the bound,
// callers that wait when all are paused, and targets that stay unused after it.
func TestPausedTargetsOfADeployment(t *testing.T) {
	s, ledger, _ := startAnnouncing(t, pausingNetwork)
	const pause = 2 * time.Second
	ledger[0].announcer.pause(pause)
	for end := time.Now().Add(pause); time.Now().Before(end); {
		for entry := range s.entries {
			if got := s.posts(entry, 6); got != 6 {
				t.Errorf("%d of 6 posts were served while one of two targets is paused", got)
			}
		}
	}
	for _, target := range ledger {
		target.announcer.pause(pause)
	}
	ends := time.Now().Add(pause)
	for entry := range s.entries {
		s.posts(entry, 6) // The targets refuse these.
	}
	for time.Until(ends) > pause/4 {
		for entry := range s.entries {
			s.checkRefusedAtOnce(entry, ends)
		}
	}
	time.Sleep(time.Until(ends) + 50*time.Millisecond)
	for entry := range s.entries {
		if got := s.posts(entry, 8); got != 8 {
			t.Errorf("%d of 8 posts were served after the pause", got)
		}
	}
	checkNoLateArrivals(t, ledger...)
}

// checkRefusedAtOnce sends a post while all targets are paused.
func (s *deployment) checkRefusedAtOnce(entry int, ends time.Time) {
	s.t.Helper()
	req, err := http.NewRequest("POST", "http://"+s.entries[entry]+"/post/x", strings.NewReader("dues"))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("Flamingoreel-Request-Id", nextID(entry))
	req.Header.Set("Flamingoreel-Deadline-Ms", "4000")
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		s.t.Error(err)
		return
	}
	_ = resp.Body.Close()
	answered := time.Now()
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if back := answered.Add(time.Duration(seconds * float64(time.Second))); err != nil || resp.StatusCode != http.StatusServiceUnavailable || back.Before(ends.Add(-50*time.Millisecond)) {
		s.t.Errorf("got %d with Retry-After %q, the targets return in %v", resp.StatusCode, resp.Header.Get("Retry-After"), time.Until(ends))
	}
	if took := answered.Sub(began); took > 500*time.Millisecond {
		s.t.Errorf("the refusal took %v", took)
	}
}
