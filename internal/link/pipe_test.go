package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// network is an in-memory network of named listeners with a delay on every
// write, cuts and silent partitions, for use inside synctest bubbles.
type network struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	conns     []*wire
	// delay returns the time that the next write takes.
	delay func() time.Duration
}

func newNetwork() *network {
	return &network{listeners: map[string]chan net.Conn{}, delay: func() time.Duration { return 0 }}
}

// wire is one end of a connection.
type wire struct {
	net.Conn
	net    *network
	silent chan struct{}
}

func (w *wire) Write(b []byte) (int, error) {
	w.net.mu.Lock()
	d := w.net.delay()
	w.net.mu.Unlock()
	time.Sleep(d)
	select {
	case <-w.silent:
		return len(b), nil
	default:
		return w.Conn.Write(b)
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
	silent := make(chan struct{})
	near, far := &wire{a, n, silent}, &wire{b, n, silent}
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

// each applies f to the open connections and forgets them.
func (n *network) each(f func(*wire)) {
	n.mu.Lock()
	conns := n.conns
	n.conns = nil
	n.mu.Unlock()
	for _, w := range conns {
		f(w)
	}
}

func (n *network) cut()     { n.each(func(w *wire) { _ = w.Close() }) }
func (n *network) silence() { n.each(func(w *wire) { close(w.silent) }) }

// pair starts two nodes a and b that know each other.
func (n *network) pair(handlers map[string]Handler) (a, b *Node) {
	node := func(name string) *Node {
		m, err := Listen(Config{
			Cluster: "zdbs", Name: name, Listener: n.listen(name), Dial: n.dial,
			Seed: 1, Priority: []string{"control"}, MaxHandlers: 8, MaxMessage: 1 << 20,
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
