package main

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxyMode is what a faulty proxy does with the bytes of its connections.
type proxyMode int

const (
	// proxyPassing passes bytes on.
	proxyPassing proxyMode = iota
	// proxySilent holds bytes of both directions until the mode changes.
	proxySilent
	// proxyDeaf drops bytes on their way back: requests run, responses are lost.
	proxyDeaf
	// proxySlow passes bytes on after a delay.
	proxySlow
)

const (
	// proxyDelay is the delay of a slow proxy for each piece of bytes.
	proxyDelay = 80 * time.Millisecond
	// proxyPoll is the time between two looks at the mode of a silent proxy.
	proxyPoll = 5 * time.Millisecond
)

// faultyProxy stands between entries and a target.
type faultyProxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

// newProxy listens; serve names the address to which it passes connections on.
func newProxy(t *testing.T) *faultyProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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

func (p *faultyProxy) serve(to string) {
	p.to = to
	go p.accept()
}

func (p *faultyProxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *faultyProxy) current() proxyMode {
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
}

func (p *faultyProxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns[near], p.conns[far] = true, true
		p.mu.Unlock()
		go p.pump(far, near, false)
		go p.pump(near, far, true)
	}
}

// pump passes bytes of one direction on until a side ends.
func (p *faultyProxy) pump(to, from net.Conn, back bool) {
	defer p.drop(to, from)
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		mode := p.current()
		for ; mode == proxySilent; mode = p.current() {
			time.Sleep(proxyPoll)
		}
		if mode == proxySlow {
			time.Sleep(proxyDelay)
		}
		if n > 0 && !(back && mode == proxyDeaf) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *faultyProxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
