package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
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

// Guards against a repeated stop signal, or one without a meaning, that ends the drain
// and the requests in flight with it.
func TestFurtherSignalsCutNoRequest(t *testing.T) {
	newSlowDeployment(t).checkSignalsDuringDrain(syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGINT, syscall.SIGUSR2, syscall.SIGPIPE, syscall.SIGTERM)
}

// settingsOfLoneEntry returns the settings of an entry VM that reaches no control VM.
func settingsOfLoneEntry(t *testing.T) string {
	ports := freePorts(t, 3)
	ip := fmt.Sprintf("127.0.%d.21", signalsNetwork)
	listen := fmt.Sprintf("front: %q, ready_addr: %q", net.JoinHostPort(ip, strconv.Itoa(ports[0])), net.JoinHostPort(ip, strconv.Itoa(ports[1])))
	return fmt.Sprintf(settingsTemplate, "entry-0", ip, true, t.TempDir(), listen, ports[2], ports[2]+8, strconv.Quote(ip+":9"))
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a process that ends because SIGHUP arrives while it starts: a VM
// would be missing until the process is started again.
func TestHangupDuringStartIsHarmless(t *testing.T) {
	text := settingsOfLoneEntry(t)
	path, final := filepath.Join(t.TempDir(), "settings.yaml"), writeSettings(t, text)
	// The process waits for its settings in a pipe while it gets the signal.
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	entry := daemonCommand(ctx, path, "entry")
	if err := entry.Start(); err != nil {
		t.Fatal(err)
	}
	pipe := openForReader(t, path)
	_ = entry.Process.Signal(syscall.SIGHUP)
	time.Sleep(signalInterval)
	if _, err := pipe.WriteString(text); err != nil {
		t.Errorf("the process does not read its settings any more: %v", err)
	}
	if err := os.Rename(final, path); err != nil {
		t.Fatal(err)
	}
	_ = pipe.Close()
	time.Sleep(signalInterval)
	_ = entry.Process.Signal(syscall.SIGTERM)
	if err := entry.Wait(); err != nil {
		t.Errorf("the entry ended with %v after a hangup during its start", err)
	}
}

// openForReader opens a named pipe for writing as soon as a process reads it.
func openForReader(t *testing.T, path string) *os.File {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		pipe, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return pipe
		}
		if !errors.Is(err, syscall.ENXIO) {
			t.Fatal(err)
		}
	}
	t.Fatal("no process reads its settings")
	return nil
}

// Guards against a daemon outside the platform that ends without a drain because of a
// SIGHUP, for example when its terminal closes.
func TestHangupDoesNotEndTheDaemon(t *testing.T) {
	var addrs []string
	for _, port := range freePorts(t, 3) {
		addrs = append(addrs, fmt.Sprintf("127.0.%d.31:%d", signalsNetwork, port))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	daemon := daemonCommand(ctx, "", "--name=a", "--region=r", "--data-centre=d", "--cluster=c", "--bootstrap",
		"--link-addr="+addrs[0], "--caller-addr="+addrs[1], "--admin-addr="+addrs[2], "--peers=a="+addrs[0], "--voters=a", "--data-dir="+t.TempDir())
	output, err := daemon.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(output)
	var log strings.Builder
	for lines.Scan() && !strings.Contains(lines.Text(), "message=started") {
		log.WriteString(lines.Text() + "\n")
	}
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		_ = daemon.Process.Signal(sig)
		time.Sleep(signalInterval)
	}
	for lines.Scan() {
		log.WriteString(lines.Text() + "\n")
	}
	if err := daemon.Wait(); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
	if !strings.Contains(log.String(), "message=stopped") {
		t.Errorf("the daemon ended without a drain:\n%s", log.String())
	}
}

// startWithOutput starts an entry VM with a pipe for its log and waits until it logs
// its start. The pipe must be closed or read.
func startWithOutput(t *testing.T, settings string) (*exec.Cmd, io.ReadCloser) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	entry := daemonCommand(ctx, settings, "entry")
	output, err := entry.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := entry.Start(); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(output).ReadString('\n'); err != nil || !strings.Contains(line, "message=started") {
		t.Fatalf("the entry logs %q, %v", line, err)
	}
	return entry, output
}

// Guards against a process that ends because the reader of its log has ended.
func TestLostLogReaderDoesNotEndTheProcess(t *testing.T) {
	entry, output := startWithOutput(t, writeSettings(t, settingsOfLoneEntry(t)))
	_ = output.Close()
	// Each reload logs a line, which can't be written any more.
	for range 5 {
		_ = entry.Process.Signal(syscall.SIGHUP)
		time.Sleep(signalInterval)
	}
	_ = entry.Process.Signal(syscall.SIGTERM)
	if err := entry.Wait(); err != nil {
		t.Errorf("the entry ended with %v after its log lost its reader", err)
	}
}

// Guards against a stop that waits for a reload whose file can't be read, until the
// process is killed and its requests are cut.
func TestStopDoesNotWaitForAReload(t *testing.T) {
	path := writeSettings(t, settingsOfLoneEntry(t))
	entry, output := startWithOutput(t, path)
	defer func() { _ = output.Close() }()
	blocked := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(blocked, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(blocked, path); err != nil {
		t.Fatal(err)
	}
	_ = entry.Process.Signal(syscall.SIGHUP)
	time.Sleep(signalInterval)
	_ = entry.Process.Signal(syscall.SIGTERM)
	if err := entry.Wait(); err != nil {
		t.Errorf("the entry ended with %v while a reload waited for its file", err)
	}
}
