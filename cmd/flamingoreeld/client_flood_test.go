package main

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/standin"
)

const (
	floodNetwork = 27
	// floodBodyBytes is the largest body that the configuration of the tests allows.
	floodBodyBytes = 1 << 20
	// floodSendTime limits the time for which a connection of a flood sends to a process
	// that doesn't read.
	floodSendTime = 3 * time.Second
	// sampleInterval is the time between two samples of a process's memory.
	sampleInterval = 10 * time.Millisecond
)

// accessPoint is a path at an address of a process under test.
type accessPoint struct {
	name string
	addr string
	// path and fields are the request target and further lines of the head.
	path, fields string
	// headBytes is the size of a head that is within the limit.
	headBytes int
	// start runs the process with the low limits.
	start func(t *testing.T) *boundedProcess
	// serves reports whether ordinary requests are served there and, if callers have an
	// address of their own, at that one.
	serves func() bool
}

// head returns the head of a request without the empty line. The caller says that it waits
// for a day.
func (a accessPoint) head(method string) string {
	return method + " " + a.path + " HTTP/1.1\r\nHost: a.example\r\nFlamingoreel-Deadline-Ms: 86400000\r\n" + a.fields
}

// clientFlood is a number of connections that all send the same.
type clientFlood struct {
	connections int
	// send sends until all is sent or the connection fails.
	send func(c net.Conn, to accessPoint)
	// after, if set, goes on with the connection until it fails.
	after func(c net.Conn)
}

// test sends a flood to each access point of both ways of running. The process must live
// on within its limits and serve ordinary requests while the connections are open.
func (f clientFlood) test(t *testing.T, points ...func(*floodedSystem) []accessPoint) {
	s := startFloodedSystem(t)
	if len(points) == 0 {
		points = []func(*floodedSystem) []accessPoint{(*floodedSystem).rolePoints, (*floodedSystem).vmPoints}
	}
	for _, list := range points {
		for _, to := range list(s) {
			t.Run(to.name, func(t *testing.T) {
				s.roles.t = t
				p := to.start(t)
				s.roles.eventually("ordinary requests", 20*time.Second, to.serves)
				stop := p.sampleMemory(addrIP(to.addr))
				f.run(t, to)
				s.roles.eventually("ordinary requests beside the flood", 20*time.Second, to.serves)
				peak := stop()
				p.check(t)
				t.Logf("%.1f MB at the peak with unread bytes", float64(peak)/(1<<20))
				if peak > unboundedMemoryMB<<20 {
					t.Errorf("%s took %.1f MB with the bytes that it hadn't read, its settings allow %d", p.name, float64(peak)/(1<<20), unboundedMemoryMB)
				}
			})
		}
	}
}

// run sends what each connection sends. The connections stay open until the end of the test.
func (f clientFlood) run(t *testing.T, to accessPoint) {
	var senders sync.WaitGroup
	for range f.connections {
		senders.Go(func() {
			c, err := net.DialTimeout("tcp", to.addr, 10*time.Second)
			if err != nil {
				return // the process may refuse connections
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetWriteDeadline(time.Now().Add(floodSendTime))
			f.send(c, to)
			if f.after != nil {
				_ = c.SetWriteDeadline(time.Time{})
				go f.after(c)
			}
		})
	}
	senders.Wait()
}

func addrIP(addr string) netip.Addr { return netip.MustParseAddrPort(addr).Addr() }

// sampleMemory samples the memory of a process with the bytes that have arrived at ip and
// were not read. The returned function ends this and returns the largest sum.
func (p *boundedProcess) sampleMemory(ip netip.Addr) (stop func() int64) {
	done, peak := make(chan struct{}), make(chan int64)
	go func() {
		var most int64
		for {
			p.descriptors = max(p.descriptors, openDescriptors(p.cmd.Process.Pid))
			most = max(most, residentBytes(p.cmd.Process.Pid)+unreadBytes(ip))
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() int64 {
		close(done)
		return <-peak
	}
}

func openDescriptors(pid int) int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(open)
}

// residentBytes returns the resident memory of a process; 0 if it has ended.
func residentBytes(pid int) int64 {
	statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if fields := strings.Fields(string(statm)); len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		return pages * int64(os.Getpagesize())
	}
	return 0
}

// unreadBytes returns the number of bytes in the receive queues of all connections at a
// local address.
func unreadBytes(ip netip.Addr) (sum int64) {
	const stateListen = "0A"
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = table.Close() }()
	octets := ip.As4()
	local := strings.ToUpper(hex.EncodeToString([]byte{octets[3], octets[2], octets[1], octets[0]}))
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local+":") || fields[3] == stateListen {
			continue
		}
		_, queued, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queued, 16, 64)
		sum += bytes
	}
	return sum
}

// floodedSystem is a deployment of the platform's roles and a VM of the other way of running.
type floodedSystem struct {
	t      *testing.T
	binary string
	roles  *deployment
	// vm holds the log of the VM, which serves callers and operators.
	vm                    *deployment
	callerAddr, adminAddr string
}

func startFloodedSystem(t *testing.T) *floodedSystem {
	s := &floodedSystem{t: t, binary: buildDaemon(t), roles: newDeployment(t, floodNetwork, 1)}
	startPlatformTarget(t, &platformTarget{id: "ledger-0", service: "ledger", zone: "z1", controls: s.roles.controls})
	s.roles.callAny("config.patch", "", unboundedItems)
	return s
}

// rolePoints returns the access points of the platform's roles.
func (s *floodedSystem) rolePoints() []accessPoint {
	metrics := func(host int) string { return net.JoinHostPort(loopbackIP(floodNetwork, host), metricsPort) }
	restart := func(name string) func(*testing.T) *boundedProcess {
		return func(t *testing.T) *boundedProcess { return s.roles.restartBounded(t, s.binary, name) }
	}
	posts := func() bool {
		http.DefaultClient.CloseIdleConnections()
		status, _ := s.roles.request(0, "POST", "/post/x", nextID(0), "")
		return status == http.StatusOK
	}
	calls := func() bool {
		client.CloseIdleConnections()
		status, _ := callControl(s.roles.controls[0], "config.get", "", nil)
		return status == http.StatusOK
	}
	also := func(url string, serves func() bool) func() bool {
		return func() bool { return answers(url) && serves() }
	}
	entry, ready, control := s.roles.entries[0], s.roles.ready[0], s.roles.controls[0]
	const callerHead, operatorHead = unboundedHeadBytes * 3 / 4, maxOperatorHeadBytes * 3 / 4
	return []accessPoint{
		{"entry, route", entry, "/post/x", "", callerHead, restart("entry-0"), posts},
		{"entry, no route", entry, "/nothing", "", callerHead, restart("entry-0"), posts},
		{"entry, readiness", ready, "/ready", "", operatorHead, restart("entry-0"), also("http://"+ready+"/ready", posts)},
		{"entry, metrics", metrics(11), "/metrics", "", operatorHead, restart("entry-0"), also("http://"+metrics(11)+"/metrics", posts)},
		{"control, configuration", control, "/rpc?call=config.patch", "", operatorHead, restart("control-0"), calls},
		{"control, heartbeat", control, "/rpc?call=instances.heartbeat&of=x", "", operatorHead, restart("control-0"), calls},
		{"control, no call", control, "/nothing", "", operatorHead, restart("control-0"), calls},
		{"control, metrics", metrics(1), "/metrics", "", operatorHead, restart("control-0"), also("http://"+metrics(1)+"/metrics", calls)},
	}
}

const metricsPort = "9464"

// vmText is the configuration of the VM.
const vmText = `name: flood
regions: [{name: r1, data_centres: [{name: z1, state: in}]}]
services: [{name: ledger, ownership: exclusive, endpoints: 1, slots: 4, connections: 110}]
tenants: [{name: "*", share: 1}]
limits: {max_body_bytes: 1048576}
`

// vmPoints returns the access points of a VM that serves callers and operators itself.
func (s *floodedSystem) vmPoints() []accessPoint {
	ip := loopbackIP(floodNetwork, 31)
	ports := freePorts(s.t, 3)
	addr := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[i])) }
	s.callerAddr, s.adminAddr = addr(0), addr(1)
	s.vm = &deployment{t: s.t, dir: s.t.TempDir()}
	start := func(t *testing.T) *boundedProcess { return s.startVM(t, addr(2)) }
	const tenant = "Flamingoreel-Tenant: club\r\nFlamingoreel-Service: ledger\r\nFlamingoreel-Key: k\r\n"
	const callerHead = unboundedHeadBytes * 3 / 4
	posting := tenant + "Idempotency-Key: k\r\nFlamingoreel-First-Sent: " + strconv.FormatInt(time.Now().UnixMilli(), 10) + "\r\n"
	asJSON := "Content-Type: application/json\r\n"
	return []accessPoint{
		{"VM, key", s.callerAddr, "/accounts/k", posting, callerHead, start, s.vmServes},
		{"VM, no key", s.callerAddr, "/nothing", "", callerHead, start, s.vmServes},
		{"VM, announcement", s.callerAddr, "/flamingoreel/v1/targets", asJSON, callerHead, start, s.vmServes},
		{"VM, configuration", s.adminAddr, "/v1/config", asJSON, callerHead, start, s.vmServes},
		{"VM, readiness", s.adminAddr, "/readyz", "", callerHead, start, s.vmServes},
		{"VM, metrics", s.adminAddr, "/metrics", "", callerHead, start, s.vmServes},
		{"VM, no operator's path", s.adminAddr, "/nothing", "", callerHead, start, s.vmServes},
	}
}

// startVM runs the VM with an empty log and a target of its own and with the low limits.
func (s *floodedSystem) startVM(t *testing.T, linkAddr string) *boundedProcess {
	t.Helper()
	target, err := standin.Start(standin.Config{
		ID: "ledger-1", Service: "ledger", DataCentre: "z1", ColdRequests: -1, AnnounceInterval: heartbeatInterval,
		Announce: []string{"http://" + s.callerAddr},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	p := s.vm.startBounded(t, "vm", []string{"FLAMINGOREEL_MEMORY=" + strconv.Itoa(unboundedMemoryMB)}, s.binary,
		"--name=vm", "--region=r1", "--data-centre=z1", "--cluster=flood", "--link-addr="+linkAddr, "--caller-addr="+s.callerAddr,
		"--admin-addr="+s.adminAddr, "--peers=vm="+linkAddr, "--voters=vm", "--bootstrap", "--data-dir="+t.TempDir(), "--record-memory=4")
	change := fmt.Sprintf(`{"base":0,"text":%q}`, vmText)
	s.roles.eventually("the configuration in force", 20*time.Second, func() bool {
		req, err := http.NewRequest(http.MethodPut, "http://"+s.adminAddr+"/v1/config", strings.NewReader(change))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// vmServes reports whether the VM serves a read and the operators.
func (s *floodedSystem) vmServes() bool {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, "http://"+s.callerAddr+"/accounts/k", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	for name, value := range map[string]string{"Flamingoreel-Tenant": "club", "Flamingoreel-Service": "ledger", "Flamingoreel-Key": "k"} {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK && answers("http://"+s.adminAddr+"/readyz") && answers("http://"+s.adminAddr+"/metrics")
}

// startBounded runs a binary with the low descriptor limit and further variables. Its
// output is appended to the log of a name.
func (s *deployment) startBounded(t *testing.T, name string, env []string, binary string, args ...string) *boundedProcess {
	t.Helper()
	command := append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(unboundedDescriptors), binary}, args...)
	cmd := exec.CommandContext(context.Background(), "sh", command...)
	cmd.Env = append(os.Environ(), env...)
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &boundedProcess{s: s, name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.exited
		_ = log.Close()
	})
	return p
}
