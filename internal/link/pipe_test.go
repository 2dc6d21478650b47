package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// network is an in-memory network of named listeners for use inside synctest
// bubbles. It can delay every write, close connections and drop writes
// silently.
type network struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	conns     []*faultConn
	// delay returns the duration of the next write.
	delay func() time.Duration
}

func newNetwork() *network {
	return &network{listeners: map[string]chan net.Conn{}, delay: func() time.Duration { return 0 }}
}

// faultConn is one end of a connection. Once blackholed is closed, writes
// succeed but are dropped.
type faultConn struct {
	net.Conn
	net        *network
	blackholed chan struct{}
}

func (c *faultConn) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	d := c.net.delay()
	c.net.mu.Unlock()
	time.Sleep(d)
	select {
	case <-c.blackholed:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

type memListener struct {
	name  string
	queue chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *memListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *memListener) Addr() net.Addr { return memAddr(l.name) }

type memAddr string

func (a memAddr) Network() string { return "mem" }
func (a memAddr) String() string  { return string(a) }

func (n *network) listen(name string) net.Listener {
	l := &memListener{name: name, queue: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[name] = l.queue
	return l
}

func (n *network) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	queue := n.listeners[addr]
	n.mu.Unlock()
	if queue == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	blackholed := make(chan struct{})
	near, far := &faultConn{a, n, blackholed}, &faultConn{b, n, blackholed}
	select {
	case queue <- far:
		n.mu.Lock()
		n.conns = append(n.conns, near)
		n.mu.Unlock()
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// forEachConn calls f for every open connection and removes it from the
// network.
func (n *network) forEachConn(f func(*faultConn)) {
	n.mu.Lock()
	conns := n.conns
	n.conns = nil
	n.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

// disconnect closes all open connections.
func (n *network) disconnect() { n.forEachConn(func(c *faultConn) { _ = c.Close() }) }

// blackhole drops all further writes on the open connections.
func (n *network) blackhole() { n.forEachConn(func(c *faultConn) { close(c.blackholed) }) }

// pair starts two nodes, a and b, that are peers of each other.
func (n *network) pair(handlers map[string]Handler) (a, b *Node) {
	node := func(name string) *Node {
		m, err := Listen(Config{
			Cluster: "zdbs", Name: name, Listener: n.listen(name), Dial: n.dial,
			Seed: 1, PriorityMethods: []string{"control"}, MaxHandlers: 8, MaxMessage: 1 << 20,
		})
		if err != nil {
			panic(err)
		}
		for method, h := range handlers {
			m.Handle(method, h)
		}
		m.SetPeer("a", "a")
		m.SetPeer("b", "b")
		m.Serve()
		return m
	}
	return node("a"), node("b")
}
