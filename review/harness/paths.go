//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// paths breaks the path from some entries to all servers. All processes use the same
// address on loopback, so that a server can recognise an entry only by the processor
// that sends its packets: entries whose path is to be broken run on the upper half of
// the processors, all others on the lower half.
type paths struct {
	lower, upper unix.CPUSet
	firstUpper   int

	mu        sync.Mutex
	broken    bool
	listeners []*net.TCPListener
	conns     map[*net.TCPConn]bool
}

func newPaths() (*paths, error) {
	var allowed unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return nil, err
	}
	var cpus []int
	for cpu := range 1024 {
		if allowed.IsSet(cpu) {
			cpus = append(cpus, cpu)
		}
	}
	if len(cpus) < 2 {
		return nil, fmt.Errorf("two processors are needed")
	}
	p := &paths{firstUpper: cpus[len(cpus)/2], conns: map[*net.TCPConn]bool{}}
	for _, cpu := range cpus {
		if cpu < p.firstUpper {
			p.lower.Set(cpu)
		} else {
			p.upper.Set(cpu)
		}
	}
	return p, nil
}

// pin moves all threads of an entry to one half of the processors.
func (p *paths) pin(m *vm, upper bool) {
	cpus := &p.lower
	if upper {
		cpus = &p.upper
	}
	for range 3 {
		tasks, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", m.cmd.Process.Pid))
		for _, task := range tasks {
			if id, err := strconv.Atoi(task.Name()); err == nil {
				_ = unix.SchedSetaffinity(id, cpus)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// listen returns a listener that takes part in the fault.
func (p *paths) listen(addr string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // Filters need plain TCP.
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := l.(*net.TCPListener)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, tcp)
	return &pathListener{tcp, p}, nil
}

type pathListener struct {
	*net.TCPListener
	p *paths
}

// Accept implements net.Listener.
func (l *pathListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	upper := false
	control(c, func(fd int) {
		cpu, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_INCOMING_CPU)
		upper = err == nil && cpu >= l.p.firstUpper
	})
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	if upper {
		l.p.conns[c] = true
	}
	return c, nil
}

// cut breaks the paths: the packets of new and established connections are dropped.
func (p *paths) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = true
	const cpuOffset = 0xfffff000 + 36 // SKF_AD_OFF + SKF_AD_CPU
	for _, l := range p.listeners {
		attach(l, []unix.SockFilter{
			{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: cpuOffset},
			{Code: unix.BPF_JMP | unix.BPF_JGE | unix.BPF_K, Jf: 1, K: uint32(p.firstUpper)},
			{Code: unix.BPF_RET | unix.BPF_K, K: 0},
			{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
		})
	}
	for c := range p.conns {
		attach(c, []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}})
	}
}

func attach(s syscall.Conn, program []unix.SockFilter) {
	control(s, func(fd int) {
		_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
}

func control(s syscall.Conn, f func(fd int)) {
	if raw, err := s.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}
