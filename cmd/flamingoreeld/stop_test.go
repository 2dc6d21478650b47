package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	// stopNetwork is the third octet of the VMs' addresses.
	stopNetwork = 14
	// stopGrace is the grace time in the settings of the VMs.
	stopGrace = 3 * time.Second
)

// Guards against a caller whose connection ends without an answer because its target
// is still at work at the end of the grace time.
func TestStopAnswersRequestsOfSlowTargets(t *testing.T) {
	s := newDeployment(t, stopNetwork, 1)
	target := startPlatformTarget(t, &platformTarget{id: "ledger-0", service: "ledger", zone: "z1", controls: s.controls})
	s.callAny("config.patch", "", firstItems)
	s.awaitReady()
	s.eventually("a post served", 10*time.Second, func() bool {
		status, _ := s.request(0, "POST", "/post/x", "warm", "")
		return status == http.StatusOK
	})
	target.setServiceTime(2 * stopGrace)
	type outcome struct {
		status int
		at     time.Time
	}
	outcomes := make(chan outcome, 1)
	entry := s.procs["entry-0"]
	stopped := time.Now()
	if err := entry.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// The request comes late in the time in which the entry still accepts requests.
	time.Sleep(stopGrace / 2 * 4 / 5)
	go func() {
		status, _ := s.request(0, "POST", "/post/x", "slow", "")
		outcomes <- outcome{status, time.Now()}
	}()
	got := <-outcomes
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("the request at a slow target got %d, want %d", got.status, http.StatusGatewayTimeout)
	}
	if after := got.at.Sub(stopped); after < stopGrace*5/6 || after > stopGrace {
		t.Errorf("the request at a slow target got its answer %v after the stop signal, want it in the last sixth of %v", after, stopGrace)
	}
	if err := entry.Wait(); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
}
