package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	// signalsNetwork is the third octet of the VMs' addresses.
	signalsNetwork = 13
	// slowServiceTime is how long a target runs a request that is in flight while its
	// entry VM drains. It ends well within the grace time of 3 s.
	slowServiceTime = 1200 * time.Millisecond
	// signalInterval is the time between two signals to a process.
	signalInterval = 100 * time.Millisecond
)

// newSlowDeployment starts a deployment with one entry VM whose target takes
// slowServiceTime for a request, and waits until it serves requests.
func newSlowDeployment(t *testing.T) *deployment {
	s := newDeployment(t, signalsNetwork, 1)
	startPlatformTarget(t, &platformTarget{id: "ledger-0", service: "ledger", zone: "z1", controls: s.controls, serviceTime: slowServiceTime})
	s.callAny("config.patch", "", firstItems)
	s.awaitReady()
	s.eventually("a post served", 10*time.Second, func() bool {
		status, _ := s.request(0, "POST", "/post/x", "warm", "")
		return status == http.StatusOK
	})
	return s
}

// checkSignalsDuringDrain stops an entry VM while a request is in flight and sends it
// more signals while it drains. The request must be served, and the process must end
// by itself.
func (s *deployment) checkSignalsDuringDrain(signals ...syscall.Signal) {
	s.t.Helper()
	statuses := make(chan int, 1)
	go func() {
		status, _ := s.request(0, "POST", "/post/x", "in-flight", "")
		statuses <- status
	}()
	time.Sleep(signalInterval)
	entry := s.procs["entry-0"]
	for _, sig := range append([]syscall.Signal{syscall.SIGTERM}, signals...) {
		// The error of a signal to a process that has ended is left to the checks below.
		_ = entry.Process.Signal(sig)
		time.Sleep(signalInterval)
	}
	if status := <-statuses; status != http.StatusOK {
		s.t.Errorf("the request in flight got %d after signals %v during the drain", status, signals)
	}
	if err := entry.Wait(); err != nil {
		s.t.Errorf("the entry ended with %v after signals %v during the drain", err, signals)
	}
}

// Guards against callers who lose their connection without an answer because a
// request to reload the settings ends an entry VM that drains.
func TestHangupDuringDrainCutsNoRequest(t *testing.T) {
	newSlowDeployment(t).checkSignalsDuringDrain(syscall.SIGHUP, syscall.SIGHUP)
}

// Guards against a repeated stop signal that ends the drain and the requests in
// flight with it.
func TestRepeatedStopSignalCutsNoRequest(t *testing.T) {
	newSlowDeployment(t).checkSignalsDuringDrain(syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM)
}
