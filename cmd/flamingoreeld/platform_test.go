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
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// daemonVariable is the environment variable that makes the test binary run as the
// daemon.
const daemonVariable = "FLAMINGOREELD_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// daemonCommand returns a command that runs the daemon.
func daemonCommand(ctx context.Context, settings string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), daemonVariable+"=1", "FLAMINGOREEL_BOOT="+settings)
	return cmd
}

// runDaemon runs the daemon until it exits and returns its exit code and its error
// output.
func runDaemon(t *testing.T, settings string, args ...string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	cmd := daemonCommand(ctx, settings, args...)
	var stderr strings.Builder
	cmd.Stderr = &stderr
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), stderr.String()
}

// Guards against another exit code for invalid settings, at which supervisors would
// restart the daemon.
func TestInvalidSettingsExitCode(t *testing.T) {
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
		code, output := runDaemon(t, path, run...)
		if code != exitSettings || output == "" || strings.Contains(output, "goroutine") {
			t.Errorf("%s: exit code %d with %q, want %d with a reason", name, code, output, exitSettings)
		}
	}
}

// deployment is a small deployment whose VMs are processes on loopback.
type deployment struct {
	t        *testing.T
	dir      string
	controls []string
	seeds    string
	procs    map[string]*exec.Cmd
	entries  []string
	ready    []string
	// links are the link addresses of all VMs.
	links []string
	// started, if set, is called after the start of a process.
	started func(name string, pid int)
	// zones is the content of the table that names the region of each data centre.
	zones string
}

// place is the data centre and the region of a VM.
type place struct{ dataCentre, region string }

// firstPlace is where the control VMs are.
var firstPlace = place{"z1", "r1"}

// loopbackIP returns an address that no test of another run on this machine uses: the
// port of the metrics is fixed.
func loopbackIP(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, network, host)
}

// freePort returns a port that was free when it was chosen.
func freePort(t *testing.T) int {
	t.Helper()
	return freePorts(t, 1)[0]
}

// freePorts returns distinct ports. All listeners stay open until the last port is
// chosen, because the system may choose a closed one again.
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

const settingsTemplate = `
self: {node_name: "%[1]s", ip: "%[2]s", zone: "%[9]s", region: "%[10]s", bootstrap: %[3]t, data_dir: "%[4]s", limits: {memory_mb: 280}}
network:
  listen: {%[5]s}
  internal_ports: [%[6]d, %[7]d]
  seeds: [%[8]s]
  zones: {%[11]s}
terms:
  fault_tolerance: {machines: 1}
  bounds: {grace: "3s", retry_ratio: 0.2, retry_slack: 20, cold_factor: 1.5, cold_slack: 5}
`

// newDeployment starts three control VMs and some entry VMs in one data centre.
func newDeployment(t *testing.T, network, entries int) *deployment {
	return newDeploymentIn(t, network, slices.Repeat([]place{firstPlace}, entries))
}

// newDeploymentIn starts three control VMs, and an entry VM at each place. Each VM has
// its own address in the network of that number, so that all can use the same ports.
func newDeploymentIn(t *testing.T, network int, places []place) *deployment {
	s := &deployment{t: t, dir: t.TempDir(), procs: make(map[string]*exec.Cmd), zones: zoneTable(places)}
	ports := freePorts(t, 4)
	linkPort, controlPort, callerPort, readyPort := ports[0], ports[1], ports[2], ports[3]
	var seeds []string
	for i := range 3 {
		addr := net.JoinHostPort(loopbackIP(network, i+1), strconv.Itoa(controlPort))
		s.controls = append(s.controls, addr)
		seeds = append(seeds, strconv.Quote(addr))
	}
	s.seeds = strings.Join(seeds, ", ")
	for i, addr := range s.controls {
		s.start(fmt.Sprintf("control-%d", i), loopbackIP(network, i+1), linkPort, firstPlace, fmt.Sprintf("control: %q", addr))
	}
	for i, place := range places {
		ip := loopbackIP(network, 11+i)
		s.entries = append(s.entries, net.JoinHostPort(ip, strconv.Itoa(callerPort)))
		s.ready = append(s.ready, net.JoinHostPort(ip, strconv.Itoa(readyPort)))
		s.start(fmt.Sprintf("entry-%d", i), ip, linkPort, place, fmt.Sprintf("front: %q, ready_addr: %q", s.entries[i], s.ready[i]))
	}
	return s
}

// zoneTable returns the data centres of z1, z2 and the places with their regions.
func zoneTable(places []place) string {
	var rows []string
	for _, p := range append([]place{firstPlace, {"z2", "r1"}}, places...) {
		if row := fmt.Sprintf("%s: %q", p.dataCentre, p.region); !slices.Contains(rows, row) {
			rows = append(rows, row)
		}
	}
	return strings.Join(rows, ", ")
}

// start writes the settings of a VM and runs it.
func (s *deployment) start(name, ip string, linkPort int, at place, listen string) {
	path := filepath.Join(s.dir, name+".yaml")
	s.links = append(s.links, net.JoinHostPort(ip, strconv.Itoa(linkPort)))
	text := fmt.Sprintf(settingsTemplate, name, ip, true, filepath.Join(s.dir, name), listen, linkPort, linkPort+8, s.seeds,
		at.dataCentre, at.region, s.zones)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.run(name)
}

// run starts a VM with its settings, also after it has ended. It appends to the
// VM's log, which is printed if the test fails.
func (s *deployment) run(name string) {
	role, _, _ := strings.Cut(name, "-")
	cmd := daemonCommand(context.Background(), filepath.Join(s.dir, name+".yaml"), role)
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.procs[name] = cmd
	if s.started != nil {
		s.started(name, cmd.Process.Pid)
	}
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

// log returns the log of a VM since its first start.
func (s *deployment) log(name string) string {
	data, err := os.ReadFile(filepath.Join(s.dir, name+".log"))
	if err != nil {
		s.t.Error(err)
	}
	return string(data)
}

// eventually waits until a condition holds and fails the test after limit.
func (s *deployment) eventually(what string, limit time.Duration, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("%s: not within %v", what, limit)
}

// awaitReady waits until all entry VMs report that they are ready for callers.
func (s *deployment) awaitReady() {
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

// callAny sends a call to the control VMs in turn until one accepts it.
func (s *deployment) callAny(call, of, body string) {
	s.t.Helper()
	s.eventually(call, 10*time.Second, func() bool {
		for _, control := range s.controls {
			if status, _ := callControl(control, call, of, []byte(body)); status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// request sends a caller's request to an entry and returns status and body.
func (s *deployment) request(entry int, method, path, id, key string) (int, string) {
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

// Tests a deployment of separate processes end to end: discovery from seeds, items,
// heartbeats, keys, requests, a data centre taken out, the loss of a control VM and
// planned stops.
func TestPlatformSession(t *testing.T) {
	s := newDeployment(t, 9, 2)
	for i := range 2 {
		startPlatformTarget(t, &platformTarget{id: fmt.Sprint("ledger-", i), service: "ledger", zone: fmt.Sprint("z", i+1), controls: s.controls, serviceTime: 300 * time.Millisecond})
	}
	reports := []*platformTarget{}
	for i := range 2 {
		reports = append(reports, startPlatformTarget(t, &platformTarget{id: fmt.Sprint("reports-", i), service: "reports", zone: "z1", sharded: true, controls: s.controls}))
	}
	s.callAny("config.patch", "", firstItems)
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

// checkKeys sends requests for keys over the whole range; each must run once, at
// the holder of its key.
func (s *deployment) checkKeys(targets []*platformTarget) {
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
		if runs := targets[0].executionsOf(id) + targets[1].executionsOf(id); runs != 1 {
			s.t.Errorf("key %d ran %d times", key, runs)
		}
	}
}

// checkInvalid sends a change with one invalid item; no part of it may be applied.
func (s *deployment) checkInvalid() {
	bad := strings.Replace(laterItems, `"service":"ledger"`, `"service":"nobody"`, 1)
	s.eventually("change refused", 5*time.Second, func() bool {
		status, _ := callControl(s.controls[1], "config.patch", "", []byte(bad))
		return status == http.StatusBadRequest
	})
	if status, _ := s.request(0, "POST", "/post/x", "p2", ""); status != http.StatusOK {
		s.t.Errorf("request after a refused change: status %d", status)
	}
}

// checkEvacuation takes the data centre of one target out and back in.
func (s *deployment) checkEvacuation() {
	s.callAny("evacuations.start", "z2", "")
	s.eventually("the data centre empty", 3*time.Second, func() bool {
		for i := range 6 {
			if status, _ := s.request(i%2, "POST", "/post/x", fmt.Sprint("evac-", i), ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	s.callAny("evacuations.end", "z2", "")
}

// checkLossOfControl kills two control VMs one after the other, changes the
// configuration while each is down, restarts it, and reads the configuration back.
func (s *deployment) checkLossOfControl() {
	for i := range 2 {
		cmd := s.procs[fmt.Sprint("control-", i)]
		if err := cmd.Process.Kill(); err != nil {
			s.t.Fatal(err)
		}
		_ = cmd.Wait()
		s.callAny("config.patch", "", laterItems)
		s.run(fmt.Sprint("control-", i))
	}
	s.eventually("the change in force", 5*time.Second, func() bool {
		added, _ := s.request(0, "GET", "/new/x", "n1", "")
		removed, _ := s.request(1, "POST", "/post/x", "n2", "")
		return added == http.StatusOK && removed == http.StatusNotFound
	})
	s.eventually("the items read back", 5*time.Second, func() bool {
		status, body := callControl(s.controls[0], "config.get", "", nil)
		return status == http.StatusOK && strings.Contains(string(body), `"/new/"`) && !strings.Contains(string(body), `"/post/"`)
	})
}

// checkPlannedStop stops an entry VM while a request is in flight and while a
// connected caller has not sent its request yet.
func (s *deployment) checkPlannedStop() {
	idle, err := net.Dial("tcp", s.entries[0])
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	statuses := make(chan int, 1)
	go func() {
		status, _ := s.request(0, "GET", "/new/x", "last", "")
		statuses <- status
	}()
	time.Sleep(100 * time.Millisecond)
	cmd := s.procs["entry-0"]
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		s.t.Fatal(err)
	}
	if status := <-statuses; status != http.StatusOK {
		s.t.Errorf("the request in flight got %d", status)
	}
	if resp, err := client.Get("http://" + s.ready[0] + "/ready"); err == nil && resp.StatusCode == http.StatusOK {
		s.t.Error("a stopping entry says that it is ready")
	}
	s.checkLateCallers(idle)
	if err := cmd.Wait(); err != nil {
		s.t.Errorf("the stopped entry ended with %v", err)
	}
}

// checkLateCallers guards against a stopping entry VM that resets callers'
// connections: it must refuse their requests with a response while they are connected.
func (s *deployment) checkLateCallers(idle net.Conn) {
	s.eventually("a refusal by the stopping entry", 2*time.Second, func() bool {
		status, body := s.request(0, "GET", "/new/x", "late", "")
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			s.t.Errorf("a new caller of the stopping entry got %d %s", status, body)
		}
		return status != http.StatusOK
	})
	if _, err := fmt.Fprintf(idle, "GET /new/x HTTP/1.1\r\nHost: a.example\r\nFlamingoreel-Request-Id: late-2\r\n\r\n"); err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(idle), nil)
	if err != nil {
		s.t.Errorf("the caller that was connected before the stop got no response: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		s.t.Errorf("the caller that was connected before the stop got %d, want 503 with Retry-After", resp.StatusCode)
	}
}
