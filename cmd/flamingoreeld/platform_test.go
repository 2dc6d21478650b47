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

// childVariable makes the test binary run as the daemon itself.
const childVariable = "FLAMINGOREELD_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// daemon returns a command that runs the daemon.
func daemon(ctx context.Context, settings string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), childVariable+"=1", "FLAMINGOREEL_BOOT="+settings)
	return cmd
}

// exitOf runs the daemon and returns its exit code and its error output.
func exitOf(t *testing.T, settings string, args ...string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	cmd := daemon(ctx, settings, args...)
	var stderr strings.Builder
	cmd.Stderr = &stderr
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), stderr.String()
}

// Guards against supervisors that restart a daemon whose settings are wrong.
func TestWrongSettingsExitWith2(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte("self: {ip: nowhere}"), 0o600); err != nil {
		t.Fatal(err)
	}
	blocked := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(blocked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	direct := []string{
		"--name=a", "--region=r", "--data-centre=d", "--cluster=c", "--link-addr=127.0.0.1:0", "--caller-addr=127.0.0.1:0",
		"--admin-addr=127.0.0.1:0", "--peers=a=127.0.0.1:1", "--voters=a", "--data-dir=" + filepath.Join(blocked, "d"),
	}
	for name, run := range map[string][]string{
		"unknown flag": {"--no-such-flag"}, "settings of a role": {"entry"}, "log level": {"control", "--log-level", "loud"}, "data directory": direct,
	} {
		code, output := exitOf(t, path, run...)
		if code != exitSettings || output == "" || strings.Contains(output, "goroutine") {
			t.Errorf("%s: exit code %d with %q, want %d with a reason", name, code, output, exitSettings)
		}
	}
}

// site is a small deployment as processes on loopback.
type site struct {
	t        *testing.T
	dir      string
	controls []string
	seeds    string
	procs    map[string]*exec.Cmd
	entries  []string
	ready    []string
	// links are the link addresses of all VMs.
	links []string
}

// freePort returns a port that was free a moment ago.
func freePort(t *testing.T) int {
	t.Helper()
	return freePorts(t, 1)[0]
}

// freePorts returns different ports. They are held until all are drawn: the same
// one may be drawn again once it is free.
func freePorts(t *testing.T, count int) (ports []int) {
	t.Helper()
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

const siteSettings = `
self: {node_name: "%[1]s", ip: "%[2]s", zone: "z1", region: "r1", bootstrap: %[3]t, data_dir: "%[4]s", limits: {memory_mb: 280}}
network:
  listen: {%[5]s}
  internal_ports: [%[6]d, %[7]d]
  seeds: [%[8]s]
  zones: {z1: "r1", z2: "r1"}
terms:
  fault_tolerance: {machines: 1}
  bounds: {grace: "3s", retry_ratio: 0.2, retry_slack: 20, cold_factor: 1.5, cold_slack: 5}
`

// newSite starts three control VMs and some entries. Each VM has its own address
// in 127.0.network.0, so that the ports are the same on all of them.
func newSite(t *testing.T, network, entries int) *site {
	s := &site{t: t, dir: t.TempDir(), procs: make(map[string]*exec.Cmd)}
	ports := freePorts(t, 4)
	link, control, front, ready := ports[0], ports[1], ports[2], ports[3]
	var seeds []string
	for i := range 3 {
		addr := net.JoinHostPort(fmt.Sprintf("127.0.%d.%d", network, i+1), strconv.Itoa(control))
		s.controls = append(s.controls, addr)
		seeds = append(seeds, strconv.Quote(addr))
	}
	s.seeds = strings.Join(seeds, ", ")
	for i, addr := range s.controls {
		s.start(fmt.Sprintf("control-%d", i), fmt.Sprintf("127.0.%d.%d", network, i+1), link, fmt.Sprintf("control: %q", addr))
	}
	for i := range entries {
		ip := fmt.Sprintf("127.0.%d.%d", network, 11+i)
		s.entries = append(s.entries, net.JoinHostPort(ip, strconv.Itoa(front)))
		s.ready = append(s.ready, net.JoinHostPort(ip, strconv.Itoa(ready)))
		s.start(fmt.Sprintf("entry-%d", i), ip, link, fmt.Sprintf("front: %q, ready_addr: %q", s.entries[i], s.ready[i]))
	}
	return s
}

// start writes the settings of a VM and runs it.
func (s *site) start(name, ip string, link int, listen string) {
	path := filepath.Join(s.dir, name+".yaml")
	s.links = append(s.links, net.JoinHostPort(ip, strconv.Itoa(link)))
	text := fmt.Sprintf(siteSettings, name, ip, true, filepath.Join(s.dir, name), listen, link, link+8, s.seeds)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.run(name)
}

// run runs a VM with its settings, again after it has ended. Its log goes on
// where it was and is printed if the test fails.
func (s *site) run(name string) {
	role, _, _ := strings.Cut(name, "-")
	cmd := daemon(context.Background(), filepath.Join(s.dir, name+".yaml"), role)
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.procs[name] = cmd
	s.t.Cleanup(func() {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
		_ = log.Close()
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", name, s.log(name))
		}
	})
}

// log returns what a VM has logged.
func (s *site) log(name string) string {
	data, err := os.ReadFile(filepath.Join(s.dir, name+".log"))
	if err != nil {
		s.t.Error(err)
	}
	return string(data)
}

// eventually fails the test when a condition does not come true in time.
func (s *site) eventually(what string, limit time.Duration, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("%s: not within %v", what, limit)
}

// awaitReady waits until all entries take callers.
func (s *site) awaitReady() {
	s.t.Helper()
	s.eventually("entries ready", 5*time.Second, func() bool {
		for _, ready := range s.ready {
			resp, err := client.Get("http://" + ready + "/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// order sends a call to one control VM after the other until one accepts it.
func (s *site) order(call, of, body string) {
	s.t.Helper()
	s.eventually(call, 10*time.Second, func() bool {
		for _, control := range s.controls {
			if status, _ := post(control, call, of, []byte(body)); status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// request sends a caller's request to an entry and returns status and body.
func (s *site) request(entry int, method, path, id, key string) (int, string) {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+s.entries[entry]+path, strings.NewReader("dues"))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("Flamingoreel-Request-Id", id)
	req.Header.Set("Flamingoreel-Deadline-Ms", "4000")
	if key != "" {
		req.Header.Set("Flamingoreel-Shard-Key", key)
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

const firstItems = `{"upsert":{"services":{` +
	`"ledger":{"health_path":"/health","max_conns":110,"cold_start":"3s","cold_per_s":5.8,"version":"00000001"},` +
	`"reports":{"health_path":"/health","max_conns":110,"cold_start":"3s","cold_per_s":5.8,"sharded":true,"version":"00000001"}},"routes":{` +
	`"post":{"hostname":"a.example","path_prefix":"/post/","kind":"unsafe","timeout":"3s","target_latency":"800ms","service":"ledger","max_attempts":2,"version":"00000001"},` +
	`"pull":{"hostname":"a.example","path_prefix":"/pull/","kind":"safe","timeout":"3s","target_latency":"1500ms","service":"reports","max_attempts":2,"version":"00000001"}}}}`

const laterItems = `{"upsert":{"routes":{"new":{"hostname":"a.example","path_prefix":"/new/","kind":"safe","timeout":"3s",` +
	`"target_latency":"800ms","service":"ledger","max_attempts":2,"version":"00000002"}}},"remove":{"routes":[{"name":"post","version":"00000002"}]}}`

// Guards the whole path as processes: discovery from seeds, items, heartbeats,
// keys, requests, a data centre out, the loss of a control VM and planned stops.
func TestPlatformSession(t *testing.T) {
	s := newSite(t, 9, 2)
	for i := range 2 {
		startPlatformTarget(t, &platformTarget{id: fmt.Sprint("ledger-", i), service: "ledger", zone: fmt.Sprint("z", i+1), controls: s.controls, work: 300 * time.Millisecond})
	}
	reports := []*platformTarget{}
	for i := range 2 {
		reports = append(reports, startPlatformTarget(t, &platformTarget{id: fmt.Sprint("reports-", i), service: "reports", zone: "z1", sharded: true, controls: s.controls}))
	}
	s.order("config.patch", "", firstItems)
	s.awaitReady()
	s.eventually("a post at each entry", 5*time.Second, func() bool {
		a, _ := s.request(0, "POST", "/post/x?y=1", "warm-0", "")
		b, _ := s.request(1, "POST", "/post/x?y=1", "warm-1", "")
		return a == http.StatusOK && b == http.StatusOK
	})
	if status, body := s.request(0, "POST", "/post/x?y=1", "p1", ""); status != http.StatusOK || body != "POST /post/x?y=1 dues" {
		t.Errorf("a post got %d %q", status, body)
	}
	s.checkKeys(reports)
	s.checkInvalid()
	s.checkEvacuation()
	s.checkLossOfControl()
	s.checkPlannedStop()
}

// checkKeys asks for keys over the whole range; each must run once at its holder.
func (s *site) checkKeys(targets []*platformTarget) {
	s.eventually("keys held", 10*time.Second, func() bool {
		low, _ := s.request(0, "GET", "/pull/x", "low", "0")
		high, _ := s.request(1, "GET", "/pull/x", "high", "65535")
		return low == http.StatusOK && high == http.StatusOK
	})
	for key := 0; key < 65536; key += 5000 {
		id := fmt.Sprint("key-", key)
		if status, body := s.request(key%2, "GET", "/pull/x", id, fmt.Sprint(key)); status != http.StatusOK {
			s.t.Errorf("key %d: %d %s", key, status, body)
		}
		if runs := targets[0].ran(id) + targets[1].ran(id); runs != 1 {
			s.t.Errorf("key %d ran %d times", key, runs)
		}
	}
}

// checkInvalid sends a change with one bad item; nothing of it may come in force.
func (s *site) checkInvalid() {
	bad := strings.Replace(laterItems, `"service":"ledger"`, `"service":"nobody"`, 1)
	s.eventually("a refusal", 5*time.Second, func() bool {
		status, _ := post(s.controls[1], "config.patch", "", []byte(bad))
		return status == http.StatusBadRequest
	})
	if status, _ := s.request(0, "POST", "/post/x", "p2", ""); status != http.StatusOK {
		s.t.Errorf("a route is gone after a refused change: %d", status)
	}
}

// checkEvacuation takes the data centre of one target out and back in.
func (s *site) checkEvacuation() {
	s.order("evacuations.start", "z2", "")
	s.eventually("the data centre empty", 3*time.Second, func() bool {
		for i := range 6 {
			if status, _ := s.request(i%2, "POST", "/post/x", fmt.Sprint("evac-", i), ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	s.order("evacuations.end", "z2", "")
}

// checkLossOfControl kills one control VM after the other restarts, changes the
// configuration meanwhile and reads it back.
func (s *site) checkLossOfControl() {
	for i := range 2 {
		cmd := s.procs[fmt.Sprint("control-", i)]
		if err := cmd.Process.Kill(); err != nil {
			s.t.Fatal(err)
		}
		_ = cmd.Wait()
		s.order("config.patch", "", laterItems)
		s.run(fmt.Sprint("control-", i))
	}
	s.eventually("the change in force", 5*time.Second, func() bool {
		added, _ := s.request(0, "GET", "/new/x", "n1", "")
		dropped, _ := s.request(1, "POST", "/post/x", "n2", "")
		return added == http.StatusOK && dropped == http.StatusNotFound
	})
	s.eventually("the items read back", 5*time.Second, func() bool {
		status, body := post(s.controls[0], "config.get", "", nil)
		return status == http.StatusOK && strings.Contains(string(body), `"/new/"`) && !strings.Contains(string(body), `"/post/"`)
	})
}

// checkPlannedStop stops an entry while it serves a request and while a caller
// is connected whose request comes late.
func (s *site) checkPlannedStop() {
	early, err := net.Dial("tcp", s.entries[0])
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = early.Close() }()
	answered := make(chan int, 1)
	go func() {
		status, _ := s.request(0, "GET", "/new/x", "last", "")
		answered <- status
	}()
	time.Sleep(100 * time.Millisecond)
	cmd := s.procs["entry-0"]
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		s.t.Fatal(err)
	}
	if status := <-answered; status != http.StatusOK {
		s.t.Errorf("the request in flight got %d", status)
	}
	if resp, err := client.Get("http://" + s.ready[0] + "/ready"); err == nil && resp.StatusCode == http.StatusOK {
		s.t.Error("a stopping entry says that it is ready")
	}
	s.checkLateCallers(early)
	if err := cmd.Wait(); err != nil {
		s.t.Errorf("the stopped entry ended with %v", err)
	}
}

// checkLateCallers guards against callers of a stopping entry whose connections
// are reset: it refuses their requests until none is connected.
func (s *site) checkLateCallers(early net.Conn) {
	s.eventually("a refusal by the stopping entry", 2*time.Second, func() bool {
		status, body := s.request(0, "GET", "/new/x", "late", "")
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			s.t.Errorf("a new caller of the stopping entry got %d %s", status, body)
		}
		return status != http.StatusOK
	})
	if _, err := fmt.Fprintf(early, "GET /new/x HTTP/1.1\r\nHost: a.example\r\nFlamingoreel-Request-Id: late-2\r\n\r\n"); err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(early), nil)
	if err != nil {
		s.t.Errorf("the caller that was connected before the stop got no answer: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		s.t.Errorf("the caller that was connected before the stop got %d without a time to come back", resp.StatusCode)
	}
}
