package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// pathsNetwork is the third octet of the VMs' addresses.
const pathsNetwork = 16

// pathFault is how a VM loses its path to all targets.
type pathFault string

const (
	// pathOpen forwards everything.
	pathOpen pathFault = ""
	// pathSilent drops the packets of established and new connections.
	pathSilent pathFault = "silent"
	// pathReset resets established connections and drops the packets of new ones.
	pathReset pathFault = "reset"
	// pathRefused resets new connections as soon as they are accepted. Established
	// ones live on.
	pathRefused pathFault = "refused"
)

// targetPaths breaks the paths between single VMs and all proxied targets, in one way at
// a time. All VMs dial the same address from the same IP address, and an unprivileged
// process can recognise a VM before it accepts its connection only by the CPU that sends
// the packets: on loopback, the same CPU receives them. Therefore entry VMs with a broken
// path run on half of the CPUs and the other ones on the other half.
type targetPaths struct {
	t *testing.T
	// all are the CPUs of the test. While paths are broken, intact are those of the VMs
	// that reach targets, and broken, from firstBroken on, those of the others.
	all, intact, broken unix.CPUSet
	firstBroken         int

	mu        sync.Mutex
	pids      map[string]int
	fault     pathFault
	isolated  []string
	listeners []*net.TCPListener
	// lateRefusals counts the connections that were reset after their VM had sent a
	// request.
	lateRefusals int
	conns        map[*net.TCPConn]string
	// senders maps the addresses of a proxy's connection to a target to the VM whose
	// requests it forwards.
	senders map[[2]string]string
}

// minPathCPUs is the number of CPUs that targetPaths needs.
const minPathCPUs = 2

// allowedCPUs returns the CPUs on which the test may run.
func allowedCPUs(t *testing.T) (cpus []int) {
	t.Helper()
	var allowed unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		t.Fatal(err)
	}
	for cpu := range len(allowed) * strconv.IntSize {
		if allowed.IsSet(cpu) {
			cpus = append(cpus, cpu)
		}
	}
	return cpus
}

// newTargetPaths returns the intact paths of the VMs of a deployment.
func newTargetPaths(t *testing.T, s *deployment) *targetPaths {
	t.Helper()
	p := &targetPaths{t: t, pids: make(map[string]int), conns: make(map[*net.TCPConn]string), senders: make(map[[2]string]string)}
	cpus := allowedCPUs(t)
	if len(cpus) < minPathCPUs {
		t.Fatal("needs two CPUs to tell the connections of VMs apart")
	}
	p.firstBroken = cpus[len(cpus)/2]
	for _, cpu := range cpus {
		p.all.Set(cpu)
		if cpu < p.firstBroken {
			p.intact.Set(cpu)
		} else {
			p.broken.Set(cpu)
		}
	}
	s.started = func(name string, pid int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if strings.HasPrefix(name, "entry-") {
			p.pids[name] = pid
			p.pin(name)
		}
	}
	for name, cmd := range s.procs {
		s.started(name, cmd.Process.Pid)
	}
	return p
}

// isolate breaks the paths of VMs.
func (p *targetPaths) isolate(fault pathFault, names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.isolated = fault, names
	p.pinAll()
	if fault != pathRefused {
		for _, l := range p.listeners {
			p.dropFromBroken(l)
		}
	}
	for c, name := range p.conns {
		switch {
		case !slices.Contains(names, name):
		case fault == pathSilent:
			p.attach(c, []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}})
		case fault == pathReset:
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

// heal ends the fault. Connections that were silent continue, unless their VM has given
// them up.
func (p *targetPaths) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := p.isolated
	p.fault, p.isolated = pathOpen, nil
	for _, l := range p.listeners {
		p.detach(l)
	}
	for c, name := range p.conns {
		if slices.Contains(names, name) {
			p.detach(c)
		}
	}
	p.pinAll()
}

func (p *targetPaths) pinAll() {
	for name := range p.pids {
		p.pin(name)
	}
}

// isolating reports whether a path is broken.
func (p *targetPaths) isolating() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault != pathOpen
}

// held reports whether bytes to a VM are held back.
func (p *targetPaths) held(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault == pathSilent && slices.Contains(p.isolated, name)
}

// pin moves all threads of a VM to the CPUs that stand for its fault. The caller holds
// the mutex.
func (p *targetPaths) pin(name string) {
	cpus := p.intact
	switch {
	case p.fault == pathOpen:
		cpus = p.all
	case slices.Contains(p.isolated, name):
		cpus = p.broken
	}
	// A thread that starts meanwhile may have inherited the earlier CPUs.
	for p.pinThreads(name, cpus) {
	}
}

// pinThreads moves the threads of a VM that run elsewhere to some CPUs and reports
// whether there were any.
func (p *targetPaths) pinThreads(name string, cpus unix.CPUSet) (moved bool) {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", p.pids[name]))
	if err != nil {
		return false // The process has ended.
	}
	for _, task := range tasks {
		id, err := strconv.Atoi(task.Name())
		var now unix.CPUSet
		if err != nil || unix.SchedGetaffinity(id, &now) != nil || now == cpus {
			continue
		}
		err = unix.SchedSetaffinity(id, &cpus)
		if err != nil && !errors.Is(err, syscall.ESRCH) {
			p.t.Errorf("CPUs of %s: %v", name, err)
		}
		moved = moved || err == nil
	}
	return moved
}

// listen makes the paths break for connections to a listener.
func (p *targetPaths) listen(listener net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, listener.(*net.TCPListener))
}

// dropFromBroken drops the packets that arrive at a listener from isolated VMs, so that
// they are not acknowledged and no connection is opened.
func (p *targetPaths) dropFromBroken(listener *net.TCPListener) {
	const cpuOffset = 0xfffff000 + 36 // SKF_AD_OFF + SKF_AD_CPU
	p.attach(listener, []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: cpuOffset},
		{Code: unix.BPF_JMP | unix.BPF_JGE | unix.BPF_K, Jf: 1, K: uint32(p.firstBroken)},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
	})
}

func (p *targetPaths) attach(s syscall.Conn, program []unix.SockFilter) {
	control(p.t, s, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
}

func (p *targetPaths) detach(s syscall.Conn) {
	control(p.t, s, func(fd int) error {
		err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		if errors.Is(err, syscall.ENOENT) {
			return nil
		}
		return err
	})
}

// control calls f with the descriptor of a socket that may be closed already.
func control(t *testing.T, s syscall.Conn, f func(fd int) error) {
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = f(int(fd)) }); err == nil && failure != nil {
		t.Errorf("socket option: %v", failure)
	}
}

// refuse resets a connection if it is one to be refused. It is called at once: a VM waits
// for a few milliseconds before it uses a new connection.
func (p *targetPaths) refuse(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault != pathRefused {
		return false
	}
	cpu, unread := -1, 0
	control(p.t, c, func(fd int) (err error) {
		if cpu, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_INCOMING_CPU); err == nil {
			unread, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		}
		return err
	})
	if cpu < p.firstBroken {
		return false
	}
	if unread > 0 {
		p.lateRefusals++
	}
	_ = c.SetLinger(0)
	_ = c.Close()
	return true
}

// refusedLate returns the number of connections that were reset after their VM had sent
// a request.
func (p *targetPaths) refusedLate() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lateRefusals
}

// accepted returns the VM that opened a connection, and whether it may be used.
func (p *targetPaths) accepted(c *net.TCPConn) (string, bool) {
	name := p.owner(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault != pathOpen && slices.Contains(p.isolated, name) {
		_ = c.SetLinger(0) // It was opened just before the fault began.
		_ = c.Close()
		return "", false
	}
	p.conns[c] = name
	p.detach(c) // It may have the filter of the listener.
	return name, true
}

// forward records the connection over which a proxy forwards the requests of a VM.
func (p *targetPaths) forward(name string, upstream net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.senders[[2]string{upstream.LocalAddr().String(), upstream.RemoteAddr().String()}] = name
}

// sender returns the VM whose request arrives at a target's address from another one.
func (p *targetPaths) sender(from, target string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.senders[[2]string{from, target}]
}

func (p *targetPaths) closed(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// closeAll closes all connections of a VM.
func (p *targetPaths) closeAll(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, owner := range p.conns {
		if owner == name {
			_ = c.Close()
		}
	}
}

// owner returns the name of the VM that opened a connection, or "" if it has closed it.
func (p *targetPaths) owner(c *net.TCPConn) string {
	inode := socketInode(p.t, c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	if inode == 0 {
		return ""
	}
	p.mu.Lock()
	pids := maps.Clone(p.pids)
	p.mu.Unlock()
	for name, pid := range pids {
		if hasSocket(pid, inode) {
			return name
		}
	}
	return ""
}

// Sizes and offsets of messages of the kernel's socket diagnostics (linux/inet_diag.h).
const (
	diagHeaderBytes  = 16
	diagRequestBytes = diagHeaderBytes + 56
	diagIDOffset     = diagHeaderBytes + 8
	diagInodeOffset  = diagHeaderBytes + 68
)

// socketInode returns the inode of the loopback socket with the given ports, or 0. It
// asks for this one socket, because /proc/net/tcp lists those of the whole machine.
func socketInode(t *testing.T, local, remote int) uint32 {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		t.Errorf("socket diagnostics: %v", err)
		return 0
	}
	defer func() { _ = unix.Close(fd) }()
	loopback := []byte{127, 0, 0, 1}
	m := make([]byte, diagRequestBytes)
	order := binary.NativeEndian
	order.PutUint32(m, diagRequestBytes)
	order.PutUint16(m[4:], unix.SOCK_DIAG_BY_FAMILY)
	order.PutUint16(m[6:], unix.NLM_F_REQUEST)
	m[diagHeaderBytes], m[diagHeaderBytes+1] = unix.AF_INET, unix.IPPROTO_TCP
	order.PutUint32(m[diagHeaderBytes+4:], math.MaxUint32) // all states
	id := m[diagIDOffset:]
	binary.BigEndian.PutUint16(id, uint16(local))
	binary.BigEndian.PutUint16(id[2:], uint16(remote))
	copy(id[4:], loopback)
	copy(id[20:], loopback)
	order.PutUint64(id[40:], math.MaxUint64) // any cookie
	if err := unix.Sendto(fd, m, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		t.Errorf("socket diagnostics: %v", err)
		return 0
	}
	reply := make([]byte, 4<<10)
	n, _, err := unix.Recvfrom(fd, reply, 0)
	if err != nil || n < diagInodeOffset+4 || order.Uint16(reply[4:]) != unix.SOCK_DIAG_BY_FAMILY {
		return 0 // The socket is closed.
	}
	return order.Uint32(reply[diagInodeOffset:])
}

// hasSocket reports whether a process has a socket open.
func hasSocket(pid int, inode uint32) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	want := fmt.Sprintf("socket:[%d]", inode)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, file := range files {
		if link, err := os.Readlink(filepath.Join(dir, file.Name())); err == nil && link == want {
			return true
		}
	}
	return false
}

// Guards against a test of isolated VMs that proves nothing: each fault must cut the
// one process off as it says, and no other one.
func TestTargetPathsBreakAsStated(t *testing.T) {
	s := newDeployment(t, pathsNetwork, 2)
	paths := newTargetPaths(t, s)
	proxy := newProxy(t)
	proxy.paths = paths
	target := startPlatformTarget(t, &platformTarget{
		id: "ledger-0", service: "ledger", zone: "z1", controls: s.controls, announcedAddr: proxy.listener.Addr().String(), proxy: proxy,
		paths: paths, serviceTime: 10 * time.Millisecond,
	})
	s.callAny("config.patch", "", firstItems)
	s.awaitReady()
	for round, fault := range []pathFault{pathSilent, pathReset, pathRefused} {
		for _, entry := range []string{"entry-0", "entry-1"} {
			s.eventually("a post sent by "+entry, 10*time.Second, func() bool {
				id := fmt.Sprintf("open-%d-%s-%d", round, entry, time.Now().UnixNano())
				status, _ := s.request(int(entry[len(entry)-1]-'0'), "POST", "/post/x", id, "")
				return status == http.StatusOK && slices.Contains(target.sendersOf(id), entry)
			})
		}
		paths.isolate(fault, "entry-0")
		if fault == pathRefused {
			paths.closeAll("entry-0")
		}
		time.Sleep(200 * time.Millisecond)
		var requests sync.WaitGroup
		for i := range 10 {
			requests.Go(func() {
				id := fmt.Sprintf("cut-%d-%d", round, i)
				s.request(0, "POST", "/post/x", id, "")
				if senders := target.sendersOf(id); slices.Contains(senders, "entry-0") {
					t.Errorf("%s: entry-0 sent %s to the target", fault, id)
				}
			})
			if status, body := s.request(1, "POST", "/post/x", fmt.Sprintf("cut-%d-%d-other", round, i), ""); status != http.StatusOK {
				t.Errorf("%s: entry-1 got %d %s", fault, status, body)
			}
		}
		requests.Wait()
		paths.heal()
	}
}
