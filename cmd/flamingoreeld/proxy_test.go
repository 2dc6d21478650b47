package main

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// proxyMode is what a faultyProxy does with the bytes of its connections.
type proxyMode int

const (
	// proxyForwarding forwards bytes.
	proxyForwarding proxyMode = iota
	// proxyPaused delays bytes in both directions until the mode changes.
	proxyPaused
	// proxyResponsesLost drops bytes from the target: requests run, responses are lost.
	proxyResponsesLost
	// proxySlow forwards bytes after a delay.
	proxySlow
)

const (
	// proxyDelay is the delay before each write in mode proxySlow.
	proxyDelay = 80 * time.Millisecond
	// proxyPollInterval is the interval at which a paused proxy checks its mode.
	proxyPollInterval = 5 * time.Millisecond
)

// faultyProxy is a TCP proxy between entry VMs and a target that can delay and drop
// bytes and reset connections.
type faultyProxy struct {
	listener net.Listener
	target   string
	// paths, if set, breaks the paths of single VMs.
	paths *targetPaths

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
	// faults holds the times at which the mode changed or connections were reset.
	faults []time.Time
}

// newProxy returns a proxy that listens but accepts connections only after serve.
func newProxy(t *testing.T) *faultyProxy {
	t.Helper()
	// Multipath TCP sockets have no packet filters.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultyProxy{listener: listener, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = listener.Close()
		p.reset()
	})
	return p
}

// serve forwards connections to the address target.
func (p *faultyProxy) serve(target string) {
	p.target = target
	if p.paths != nil {
		p.paths.listen(p.listener)
	}
	go p.accept()
}

func (p *faultyProxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.faults = append(p.faults, time.Now())
}

func (p *faultyProxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset ends all connections with a reset.
func (p *faultyProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(p.conns)
	p.faults = append(p.faults, time.Now())
}

// faultBetween reports whether the mode changed or connections were reset in a span.
func (p *faultyProxy) faultBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.faults, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

func (p *faultyProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.paths == nil {
			p.connect(client, "")
			continue
		}
		if p.paths.refuse(client.(*net.TCPConn)) {
			continue
		}
		go func() {
			if name, ok := p.paths.accepted(client.(*net.TCPConn)); ok {
				p.connect(client, name)
			}
		}()
	}
}

// connect forwards a connection of the VM name to the target.
func (p *faultyProxy) connect(client net.Conn, name string) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	if p.paths != nil {
		p.paths.forward(name, upstream)
	}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = true, true
	p.mu.Unlock()
	go p.forward(upstream, client, false, name)
	go p.forward(client, upstream, true, name)
}

// forward copies bytes in one direction until a side ends. Responses is true in the
// direction from the target.
func (p *faultyProxy) forward(to, from net.Conn, responses bool, name string) {
	defer p.closeConns(to, from)
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		mode := p.currentMode()
		for ; mode == proxyPaused || p.paths != nil && p.paths.held(name); mode = p.currentMode() {
			time.Sleep(proxyPollInterval)
		}
		if mode == proxySlow {
			time.Sleep(proxyDelay)
		}
		if n > 0 && !(responses && mode == proxyResponsesLost) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *faultyProxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
		if p.paths != nil {
			p.paths.closed(c.(*net.TCPConn))
		}
	}
}
