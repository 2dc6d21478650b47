// Package session tests the whole system in virtual time and compares its sessions
// with golden files: VMs, stand-in targets and callers run in one process and are
// connected in memory.
package session

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/standin"
	"github.com/flamingoreel/flamingoreel/internal/target"
	"github.com/flamingoreel/flamingoreel/internal/vm"
)

// smallVMs lists the VMs of the small cluster with their regions, data centres and IP
// addresses.
var smallVMs = []struct{ name, region, dataCentre, ip string }{
	{"lj-1", "osrednja", "lj-a", "10.0.1.1"},
	{"lj-2", "osrednja", "lj-b", "10.0.1.2"},
	{"mb-1", "stajerska", "mb-a", "10.0.2.1"},
	{"mb-2", "stajerska", "mb-b", "10.0.2.2"},
	{"kp-1", "primorska", "kp-a", "10.0.3.1"},
}

// cluster is the system under test with the log of its session.
type cluster struct {
	t       *testing.T
	net     *network
	ledger  *standin.Ledger
	vms     map[string]*vm.VM
	servers map[string]*http.Server
	targets map[string]*standin.Target
	// registries hold the metrics of each VM.
	registries map[string]*prometheus.Registry
	client     *http.Client
	dir        string
	starts     uint64
	startedAt  time.Time
	// number is the current configuration number.
	number uint64
	// out is the session log, which is compared with the golden file.
	out bytes.Buffer
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, net: newNetwork(), ledger: standin.NewLedger(),
		vms: make(map[string]*vm.VM), servers: make(map[string]*http.Server), targets: make(map[string]*standin.Target),
		registries: make(map[string]*prometheus.Registry),
		dir:        t.TempDir(), startedAt: time.Now(),
	}
	c.client = &http.Client{Transport: &http.Transport{DialContext: c.net.dialer("caller"), DisableKeepAlives: true}}
	for _, v := range smallVMs {
		c.startVM(v.name)
	}
	return c
}

// logf adds a line to the session log.
func (c *cluster) logf(format string, args ...any) {
	fmt.Fprintf(&c.out, format+"\n", args...)
}

// vmAddr returns the address of a VM with a port.
func vmAddr(name string, port int) string {
	for _, v := range smallVMs {
		if v.name == name {
			return fmt.Sprintf("%s:%d", v.ip, port)
		}
	}
	return ""
}

// startVM starts a VM, or restarts it with its data directory.
func (c *cluster) startVM(name string) {
	c.starts++
	peers, voters := make(map[string]string), []string{}
	cfg := vm.Config{Name: name, Cluster: "zdbs", Bootstrap: true, Incarnation: c.starts, Seed: c.starts}
	for _, v := range smallVMs {
		peers[v.name] = v.ip + ":7000"
		voters = append(voters, v.name)
		if v.name == name {
			cfg.Region, cfg.DataCentre = v.region, v.dataCentre
		}
	}
	cfg.Peers, cfg.Voters = peers, voters
	cfg.DataDir = filepath.Join(c.dir, name)
	cfg.LinkAddr, cfg.CallerAddr = vmAddr(name, 7000), vmAddr(name, 8000)
	cfg.Listener = c.net.listen(cfg.LinkAddr)
	host := hostOf(cfg.LinkAddr)
	c.net.revive(host)
	cfg.DialTarget = c.net.dialer(host)
	cfg.DialLink = func(ctx context.Context, addr string) (net.Conn, error) { return c.net.dial(ctx, host, addr) }
	cfg.Logger = &log.Logger{Handler: discard.New()}
	c.registries[name] = prometheus.NewRegistry()
	cfg.Registry = c.registries[name]
	v, err := vm.New(cfg)
	if err != nil {
		c.t.Fatalf("VM %s: %v", name, err)
	}
	server := &http.Server{Handler: v.Entry().Handler()}
	go func() { _ = server.Serve(c.net.listen(cfg.CallerAddr)) }()
	c.vms[name], c.servers[name] = v, server
}

// killVM stops a VM abruptly; its peers see closed connections.
func (c *cluster) killVM(name string) {
	c.net.kill(hostOf(vmAddr(name, 0)))
	_ = c.servers[name].Close()
	c.vms[name].Close()
	delete(c.vms, name)
	delete(c.servers, name)
}

// isolateVM partitions a VM from all other VMs, or ends the partition. Connections
// stay open.
func (c *cluster) isolateVM(name string, partitioned bool) {
	for _, other := range smallVMs {
		if other.name == name {
			continue
		}
		c.setPartition(hostOf(vmAddr(name, 0)), other.ip, partitioned)
	}
}

// setPartition starts or ends a partition between two hosts.
func (c *cluster) setPartition(a, b string, partitioned bool) {
	if partitioned {
		c.net.partition(a, b)
	} else {
		c.net.heal(a, b)
	}
}

// startTarget starts a stand-in target in a data centre. The function change may
// adjust its configuration.
func (c *cluster) startTarget(id, service, dataCentre string, change func(*standin.Config)) {
	addr := fmt.Sprintf("10.1.0.%d:6000", len(c.targets)+1)
	cfg := standin.Config{
		ID: id, Service: service, DataCentre: dataCentre, Addr: addr,
		Listen:   func() (net.Listener, error) { return c.net.listen(addr), nil },
		Announce: c.callerURLs(), Incarnation: 1, Slots: 6, ServiceTime: 2 * time.Millisecond,
		ColdRequests: 4, Seed: 1, Ledger: c.ledger,
		Client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: c.net.dialer(hostOf(addr)), DisableKeepAlives: true}},
	}
	if change != nil {
		change(&cfg)
	}
	t, err := standin.Start(cfg)
	if err != nil {
		c.t.Fatalf("target %s: %v", id, err)
	}
	c.targets[id] = t
}

// callerURLs returns the callers' URLs of all VMs.
func (c *cluster) callerURLs() []string {
	var urls []string
	for _, v := range smallVMs {
		urls = append(urls, "http://"+v.ip+":8000")
	}
	return urls
}

// apply applies a configuration text through a VM and waits until all VMs use it.
func (c *cluster) apply(name, content string) {
	result, faults, err := c.vms[name].ChangeConfig(context.Background(), c.number, []byte(content))
	if err != nil || len(faults) > 0 || !result.Accepted {
		c.t.Fatalf("apply through %s: %+v %v %v", name, result, faults, err)
	}
	c.number = result.Number
	c.eventually(5*time.Second, "configuration in force on all VMs", func() bool {
		for _, v := range c.vms {
			if v.Table().ConfigNumber() < c.number {
				return false
			}
		}
		return true
	})
	c.logf("operator applies text %d", c.number)
}

// eventually waits until the condition holds and returns how long it took. It fails
// the test after limit.
func (c *cluster) eventually(limit time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			c.t.Fatalf("%s: not within %v\nsession so far:\n%s", what, limit, c.out.String())
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// waitReady waits until every VM has a lease.
func (c *cluster) waitReady() {
	c.eventually(5*time.Second, "all VMs have a lease", func() bool {
		for _, v := range c.vms {
			if !v.LeaseValid() {
				return false
			}
		}
		return true
	})
}

// leader returns the control leader according to the first VM that has a lease and
// names a running leader, or an empty string if there is none.
func (c *cluster) leader() string {
	for _, v := range smallVMs {
		node := c.vms[v.name]
		if node == nil {
			continue
		}
		s, err := node.Status(context.Background())
		if err == nil && s.LeaseValid && c.vms[s.Leader] != nil {
			return s.Leader
		}
	}
	return ""
}

// follower returns a running VM that is not the leader.
func (c *cluster) follower() string {
	leader := c.leader()
	names := make([]string, 0, len(c.vms))
	for name := range c.vms {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if name != leader {
			return name
		}
	}
	return ""
}

// waitAssigned waits until every slice is owned and returns how long it took.
func (c *cluster) waitAssigned(through string) time.Duration {
	return c.eventually(10*time.Second, "all slices owned", func() bool {
		s, err := c.vms[through].Status(context.Background())
		if err != nil || len(s.Slices) == 0 {
			return false
		}
		for _, slice := range s.Slices {
			if slice.Phase != "owned" {
				return false
			}
		}
		return true
	})
}

// call is one request of a caller.
type call struct {
	via, method, service, tenant, key, idem, body string
	path                                          string
	firstSent                                     int64
	deadline                                      time.Duration
	header                                        map[string]string
}

// response is what a caller received.
type response struct {
	status                    int
	outcome, kind, from, body string
}

func (r response) String() string {
	s := fmt.Sprintf("%d %s", r.status, r.outcome)
	if r.kind != "" {
		return s + " " + r.kind
	}
	return s + " " + strings.TrimSpace(r.body)
}

// do sends a call and returns the response; status 0 means that the connection was
// lost.
func (c *cluster) do(q call) response {
	path := q.path
	if path == "" {
		path = "/accounts/" + q.key
	}
	req, err := http.NewRequest(q.method, "http://"+vmAddr(q.via, 8000)+path, strings.NewReader(q.body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set(target.HeaderTenant, q.tenant)
	req.Header.Set(target.HeaderService, q.service)
	req.Header.Set(target.HeaderKey, q.key)
	if q.deadline > 0 {
		req.Header.Set(target.HeaderDeadline, fmt.Sprint(q.deadline.Milliseconds()))
	}
	if q.idem != "" {
		req.Header.Set(target.HeaderIdemKey, q.idem)
		req.Header.Set(target.HeaderFirstSent, fmt.Sprint(q.firstSent))
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{kind: "connection error"}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{kind: "truncated"}
	}
	a := response{
		status: resp.StatusCode, outcome: resp.Header.Get(target.HeaderOutcome),
		kind: resp.Header.Get(target.HeaderErrorKind), from: resp.Header.Get(target.HeaderServedFrom), body: string(body),
	}
	return a
}

// get reads a balance, logs the response and returns it.
func (c *cluster) get(via, service, tenant, key string) response {
	a := c.do(call{via: via, method: http.MethodGet, service: service, tenant: tenant, key: key})
	c.logf("GET %s/%s key=%s via %s -> %s", service, tenant, key, via, a)
	return a
}

// post sends a POST, logs the response and returns it.
func (c *cluster) post(via, service, tenant, key, idem string, firstSent time.Time) response {
	a := c.do(c.postCall(via, service, tenant, key, idem, firstSent))
	c.logf("POST %s/%s key=%s id=%s via %s -> %s", service, tenant, key, idem, via, a)
	return a
}

// postCall returns the call of a POST with an idempotency key.
func (c *cluster) postCall(via, service, tenant, key, idem string, firstSent time.Time) call {
	return call{
		via: via, method: http.MethodPost, service: service, tenant: tenant, key: key,
		idem: idem, firstSent: firstSent.UnixMilli(), body: `{"amount": 25}`,
	}
}

// owner returns the target that serves a read of a key through a VM.
func (c *cluster) owner(via, service, tenant, key string) string {
	a := c.do(call{via: via, method: http.MethodGet, service: service, tenant: tenant, key: key})
	return a.from
}

// close stops all VMs and targets, so that no goroutine of the session is left.
func (c *cluster) close() {
	for name := range c.vms {
		c.killVM(name)
	}
	for _, t := range c.targets {
		t.Close()
	}
	c.client.CloseIdleConnections()
	c.net.close()
	// Virtual time stops when the session returns, so background retries must end
	// before.
	time.Sleep(time.Minute)
}
