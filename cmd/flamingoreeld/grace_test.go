package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
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

// Guards against an entry VM that takes a request so late in the grace time that it may
// have to cut it: requests sent later than acceptLimit after the stop signal must be
// refused, even if the process handles the signal late.
func TestRequestsLateInTheGraceAreRefused(t *testing.T) {
	const (
		acceptLimit = 3 * time.Second
		signalDelay = 100 * time.Millisecond
	)
	s := newDeployment(t, stopNetwork, 1)
	target := startPlatformTarget(t, &platformTarget{id: "ledger-0", service: "ledger", zone: "z1", controls: s.controls})
	s.callAny("config.patch", "", firstItems)
	s.restartWithGrace("entry-0", "6s")
	s.awaitReady()
	s.eventually("a post served", 10*time.Second, func() bool {
		status, _ := s.request(0, "POST", "/post/x", "warm", "")
		return status == http.StatusOK
	})
	entry := s.procs["entry-0"]
	_ = entry.Process.Signal(syscall.SIGSTOP)
	stopped := time.Now()
	_ = entry.Process.Signal(syscall.SIGTERM)
	time.Sleep(signalDelay)
	_ = entry.Process.Signal(syscall.SIGCONT)
	if status, body := s.request(0, "POST", "/post/x", "early", ""); status != http.StatusOK {
		t.Errorf("a request right after the stop signal got %d %s, want it served", status, body)
	}
	time.Sleep(time.Until(stopped.Add(acceptLimit)))
	status, body := s.request(0, "POST", "/post/x", "late", "")
	notAccepted := status == 0 && strings.Contains(body, "connection refused")
	if status != http.StatusServiceUnavailable && !notAccepted || target.executionsOf("late") > 0 {
		t.Errorf("a request %v after the stop signal got %d %s, want a refusal", acceptLimit, status, body)
	}
	if err := entry.Wait(); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
}

// restartWithGrace restarts a VM with another grace time.
func (s *deployment) restartWithGrace(name, grace string) {
	s.t.Helper()
	path := filepath.Join(s.dir, name+".yaml")
	text, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), `grace: "3s"`, `grace: "`+grace+`"`, 1)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	cmd := s.procs[name]
	if err := cmd.Process.Kill(); err != nil {
		s.t.Fatal(err)
	}
	_ = cmd.Wait()
	s.run(name)
}
