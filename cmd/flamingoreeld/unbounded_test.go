package main

import (
	"bytes"
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
	"sync"
	"syscall"
	"testing"
	"time"
)

// Load and bounds of TestCallersWithoutLimits. The limits are so low that few
// connections exceed them.
const (
	unboundedNetwork = 25
	// unboundedMemoryMB is the memory in the settings of the process under test, and
	// the bound on its peak memory.
	unboundedMemoryMB = 64
	// unboundedDescriptors is the descriptor limit of the process under test. A quarter
	// of it has to stay free for connections to targets and control VMs.
	unboundedDescriptors = 512
	boundedDescriptors   = unboundedDescriptors * 3 / 4
	// unboundedHeadBytes is the configured limit of a head.
	unboundedHeadBytes = 64 << 10
	// sentBytes is how much a connection sends at most.
	sentBytes = 1 << 20
	// floodConnections is the number of connections that send much, and
	// heldConnections that of connections that hold a short unfinished head.
	floodConnections = 200
	heldConnections  = 600
)

// unboundedItems sets the limits of callers. Late heads and idle connections are not
// closed during the test.
var unboundedItems = strings.Replace(firstItems, `{"upsert":{`, fmt.Sprintf(
	`{"upsert":{"limits":{"max_header_bytes":%d,"max_body_bytes":1048576,"header_timeout":"120s","idle_timeout":"120s","version":"00000001"},`,
	unboundedHeadBytes), 1)

// sender is what each connection of a case sends: a start and then one line, or
// pieces of lines, again and again up to limit bytes.
type sender struct {
	start string
	// piece returns the n-th piece.
	piece func(n int) string
	limit int
}

const (
	unfinishedHead = "GET /pull/x HTTP/1.1\r\nHost: a.example\r\n"
	finishedPost   = "POST /post/x HTTP/1.1\r\nHost: a.example\r\nFlamingoreel-Deadline-Ms: 500\r\nContent-Length: 4\r\n\r\ndues"
)

var (
	letters    = strings.Repeat("x", 4096)
	emptyLines = strings.Repeat("\r\n", 2048)
	same       = func(piece string) func(int) string { return func(int) string { return piece } }
	// shortLines returns header lines with distinct names: they take more memory than
	// bytes on the wire.
	shortLines = func(n int) string {
		var b strings.Builder
		for i := range 500 {
			fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(36*36*36+n*500+i), 36))
		}
		return b.String()
	}
)

// unboundedCase is a load of the callers' address of an entry.
type unboundedCase struct {
	name        string
	connections int
	sender      sender
}

var unboundedCases = []unboundedCase{
	{"one header line", floodConnections, sender{unfinishedHead + "X-Long: ", same(letters), sentBytes}},
	{"request line", floodConnections, sender{"GET /pull/", same(letters), sentBytes}},
	{"many header lines", floodConnections, sender{unfinishedHead, shortLines, sentBytes}},
	{"header lines within the limit", floodConnections, sender{unfinishedHead, shortLines, unboundedHeadBytes * 3 / 4}},
	{"empty lines before a request", floodConnections, sender{"", same(emptyLines), sentBytes}},
	{"empty lines after a post", floodConnections, sender{finishedPost, same(emptyLines), sentBytes}},
	{"unfinished heads", heldConnections, sender{unfinishedHead, nil, 0}},
}

// send sends until the peer closes the connection or all bytes are sent.
func (s sender) send(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(30 * time.Second))
	sent, err := io.WriteString(c, s.start)
	for n := 0; err == nil && sent < s.limit; n++ {
		piece := s.piece(n)
		_, err = io.WriteString(c, piece[:min(len(piece), s.limit-sent)])
		sent += len(piece)
	}
}

// flood opens connections to an address, at which each sends what s says. They stay
// open until the end of the test.
func flood(t *testing.T, addr string, connections int, s sender) {
	t.Helper()
	var senders sync.WaitGroup
	for range connections {
		senders.Go(func() {
			c, err := net.DialTimeout("tcp", addr, 10*time.Second)
			if err != nil {
				return // the process may refuse connections
			}
			t.Cleanup(func() { _ = c.Close() })
			s.send(c)
		})
	}
	senders.Wait()
}

// buildDaemon builds the daemon without the race detector, which multiplies its memory.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "flamingoreeld")
	if output, err := exec.Command("go", "build", "-race=false", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return path
}

// boundedProcess is a process under test.
type boundedProcess struct {
	s      *deployment
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	// descriptors is the largest number of descriptors that were open at a check.
	descriptors int
}

// restartBounded runs a VM of the deployment again, with a binary and with the low limits.
func (s *deployment) restartBounded(t *testing.T, binary, name string) *boundedProcess {
	t.Helper()
	if cmd := s.procs[name]; cmd.ProcessState == nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	settings, err := os.ReadFile(filepath.Join(s.dir, name+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	low := bytes.Replace(settings, []byte("memory_mb: 280"), []byte(fmt.Sprint("memory_mb: ", unboundedMemoryMB)), 1)
	path := filepath.Join(s.dir, name+"-bounded.yaml")
	if err := os.WriteFile(path, low, 0o600); err != nil {
		t.Fatal(err)
	}
	role, _, _ := strings.Cut(name, "-")
	return s.startBounded(t, name, []string{"FLAMINGOREEL_BOOT=" + path}, binary, role)
}

// check fails the test if the process has ended or exceeds a bound.
func (p *boundedProcess) check(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.Signal(0)); errors.Is(err, os.ErrProcessDone) {
		t.Fatalf("%s has ended: %s", p.name, p.s.log(p.name))
	}
	peak, err := peakMemoryMB(p.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	p.countDescriptors(t)
	t.Logf("%s: %.1f MB at the peak, %d descriptors", p.name, peak, p.descriptors)
	if peak > unboundedMemoryMB {
		t.Errorf("%s took %.1f MB, its settings allow %d", p.name, peak, unboundedMemoryMB)
	}
	if p.descriptors > boundedDescriptors {
		t.Errorf("%s had %d descriptors open, %d are allowed", p.name, p.descriptors, boundedDescriptors)
	}
}

// countDescriptors counts the open descriptors of the process.
func (p *boundedProcess) countDescriptors(t *testing.T) {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("%s has ended: %v", p.name, err)
	}
	p.descriptors = max(p.descriptors, len(open))
}

// peakMemoryMB returns the largest resident memory that a process has had.
func peakMemoryMB(pid int) (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			return float64(kb) / 1024, err
		}
	}
	return 0, errors.New("no VmHWM in the status")
}

// answers reports whether an address answers an ordinary GET with 200, on a
// connection of its own.
func answers(url string) bool {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Guards against callers that exhaust the memory or the descriptors of an entry with
// heads beyond the limit, heads that don't end or many connections, so that it ends or
// serves nobody else.
func TestCallersWithoutLimits(t *testing.T) {
	binary := buildDaemon(t)
	s := newDeployment(t, unboundedNetwork, 1)
	startPlatformTarget(t, &platformTarget{id: "ledger-0", service: "ledger", zone: "z1", controls: s.controls})
	s.callAny("config.patch", "", unboundedItems)
	for _, c := range unboundedCases {
		t.Run(c.name, func(t *testing.T) {
			s.t = t
			p := s.restartBounded(t, binary, "entry-0")
			s.awaitPost(0)
			flood(t, s.entries[0], c.connections, c.sender)
			p.countDescriptors(t)
			s.awaitPost(0)
			p.check(t)
		})
	}
}

// awaitPost waits until an entry answers an ordinary post on a new connection.
func (s *deployment) awaitPost(entry int) {
	s.t.Helper()
	s.eventually("an ordinary post", 20*time.Second, func() bool {
		http.DefaultClient.CloseIdleConnections()
		status, _ := s.request(entry, "POST", "/post/x", nextID(entry), "")
		return status == http.StatusOK
	})
}

// Guards against the same at the other addresses: readiness and metrics of an entry,
// and the control address.
func TestOtherAddressesWithoutLimits(t *testing.T) {
	binary := buildDaemon(t)
	s := newDeployment(t, unboundedNetwork, 1)
	startPlatformTarget(t, &platformTarget{id: "ledger-0", service: "ledger", zone: "z1", controls: s.controls})
	s.callAny("config.patch", "", unboundedItems)
	metrics := func(network, host int) string { return net.JoinHostPort(loopbackIP(network, host), "9464") }
	for _, c := range []struct{ name, vm, addr, path string }{
		{"readiness", "entry-0", s.ready[0], "/ready"},
		{"metrics", "entry-0", metrics(unboundedNetwork, 11), "/metrics"},
		{"control", "control-0", s.controls[0], "/rpc?call=config.get"},
	} {
		for _, load := range []unboundedCase{unboundedCases[0], unboundedCases[2], unboundedCases[6]} {
			t.Run(c.name+", "+load.name, func(t *testing.T) {
				s.t = t
				p := s.restartBounded(t, binary, c.vm)
				answered := func() bool {
					if c.vm == "control-0" {
						client.CloseIdleConnections()
						status, _ := callControl(c.addr, "config.get", "", nil)
						return status == http.StatusOK
					}
					return answers("http://" + c.addr + c.path)
				}
				s.eventually("an ordinary request", 20*time.Second, answered)
				flood(t, c.addr, load.connections, load.sender)
				p.countDescriptors(t)
				s.eventually("an ordinary request after the load", 20*time.Second, answered)
				p.check(t)
			})
		}
	}
}
