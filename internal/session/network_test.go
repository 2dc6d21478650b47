package session

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// network connects the processes of a session in memory. Every address is
// IP:port; the IP number names the host. Links between two hosts can be cut
// and delayed.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[[2]string]chan struct{}
	delay     func(from, to string) time.Duration
	conns     []*conn
	dead      map[string]bool
}

// kill ends all connections of a host at once, as the end of its process does,
// and lets it open none until revive. Writes of the host fail before any of
// its connections is closed: otherwise the killed process could still answer a
// caller with the error of a link that was closed first.
func (n *network) kill(host string) {
	n.mu.Lock()
	n.dead[host] = true
	conns := n.conns
	n.mu.Unlock()
	var own []*conn
	for _, c := range conns {
		if hostOf(c.local.String()) == host {
			own = append(own, c)
			c.stopWrites()
		}
	}
	for _, c := range own {
		_ = c.Close()
	}
}

func (n *network) revive(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dead, host)
}

// close heals all links and closes all connections.
func (n *network) close() {
	n.mu.Lock()
	conns := n.conns
	for key, c := range n.cuts {
		close(c)
		delete(n.cuts, key)
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*listener),
		cuts:      make(map[[2]string]chan struct{}),
		dead:      make(map[string]bool),
		delay:     func(string, string) time.Duration { return 0 },
	}
}

func hostOf(addr string) string {
	host, _, _ := net.SplitHostPort(addr)
	return host
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// cut stops all bytes between two hosts; heal lets them go on.
func (n *network) cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[pair(a, b)] == nil {
		n.cuts[pair(a, b)] = make(chan struct{})
	}
}

func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.cuts[pair(a, b)]; c != nil {
		close(c)
		delete(n.cuts, pair(a, b))
	}
}

// whole returns nil when the hosts can talk, else a channel that closes when
// they can again.
func (n *network) whole(a, b string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pair(a, b)]
}

type listener struct {
	n      *network
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (n *network) listen(addr string) *listener {
	l := &listener{n: n, addr: addr, conns: make(chan net.Conn, 256), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		if l.n.listeners[l.addr] == l {
			delete(l.n.listeners, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// dialer returns a dial function for a host.
func (n *network) dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return n.dial(ctx, from, addr) }
}

func (n *network) dial(ctx context.Context, from, addr string) (net.Conn, error) {
	to := hostOf(addr)
	if whole := n.whole(from, to); whole != nil {
		select {
		case <-whole:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	n.mu.Lock()
	l := n.listeners[addr]
	dead := n.dead[from] || n.dead[to]
	n.mu.Unlock()
	if l == nil || dead {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	}
	there, back := newQueue(), newQueue()
	local := &conn{in: back, local: address(from + ":0"), remote: address(addr)}
	remote := &conn{in: there, local: address(addr), remote: address(from + ":0")}
	local.out = newWire(n, from, to, there)
	remote.out = newWire(n, to, from, back)
	n.mu.Lock()
	n.conns = append(n.conns, local, remote)
	n.mu.Unlock()
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// queue is the receiving end of one direction.
type queue struct {
	mu     sync.Mutex
	data   []byte
	eof    bool
	signal chan struct{}
}

func newQueue() *queue { return &queue{signal: make(chan struct{}, 1)} }

func (q *queue) wake() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

func (q *queue) put(data []byte, eof bool) {
	q.mu.Lock()
	q.data = append(q.data, data...)
	q.eof = q.eof || eof
	q.mu.Unlock()
	q.wake()
}

// wire carries segments in order with the link's delay.
type wire struct {
	segments chan segment
	once     sync.Once
	closed   chan struct{}
}

type segment struct {
	data []byte
	eof  bool
	at   time.Time
}

func newWire(n *network, from, to string, dst *queue) *wire {
	w := &wire{segments: make(chan segment, 4096), closed: make(chan struct{})}
	go func() {
		for s := range w.segments {
			time.Sleep(time.Until(s.at.Add(n.delay(from, to))))
			for whole := n.whole(from, to); whole != nil; whole = n.whole(from, to) {
				<-whole
			}
			dst.put(s.data, s.eof)
			if s.eof {
				return
			}
		}
	}()
	return w
}

func (w *wire) finish() {
	w.once.Do(func() {
		close(w.closed)
		w.segments <- segment{eof: true, at: time.Now()}
	})
}

type conn struct {
	in            *queue
	out           *wire
	local, remote net.Addr
	mu            sync.Mutex
	deadline      time.Time
	closed        bool
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		c.in.mu.Lock()
		n := copy(p, c.in.data)
		c.in.data = c.in.data[n:]
		eof := c.in.eof
		more := len(c.in.data) > 0
		c.in.mu.Unlock()
		if n > 0 {
			if more || eof {
				c.in.wake()
			}
			return n, nil
		}
		c.mu.Lock()
		closed, deadline := c.closed, c.deadline
		c.mu.Unlock()
		switch {
		case closed:
			return 0, net.ErrClosed
		case eof:
			return 0, io.EOF
		}
		if err := c.wait(deadline); err != nil {
			return 0, err
		}
	}
}

func (c *conn) wait(deadline time.Time) error {
	if deadline.IsZero() {
		<-c.in.signal
		return nil
	}
	left := time.Until(deadline)
	if left <= 0 {
		return os.ErrDeadlineExceeded
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-c.in.signal:
	case <-timer.C:
	}
	return nil
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	select {
	case <-c.out.closed:
		return 0, net.ErrClosed
	case c.out.segments <- segment{data: append([]byte(nil), p...), at: time.Now()}:
		return len(p), nil
	}
}

// stopWrites makes Write fail from now on; neither end is told.
func (c *conn) stopWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

func (c *conn) Close() error {
	c.stopWrites()
	c.out.finish()
	c.in.wake()
	return nil
}

func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.in.wake()
	return nil
}
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
func (c *conn) LocalAddr() net.Addr              { return c.local }
func (c *conn) RemoteAddr() net.Addr             { return c.remote }

// Guards against answers of a process that was already killed: its links close
// before a caller's connection does, and the process reports the lost link.
func TestKilledHostWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 1000 {
			n := newNetwork()
			peer, front := n.listen("10.0.0.2:1"), n.listen("10.0.0.1:1")
			up, err := n.dial(t.Context(), "10.0.0.1", "10.0.0.2:1")
			if err != nil {
				t.Fatal(err)
			}
			caller, err := n.dial(t.Context(), "10.0.0.3", "10.0.0.1:1")
			if err != nil {
				t.Fatal(err)
			}
			served, _ := front.Accept()
			_, _ = peer.Accept()
			go func() {
				_, _ = up.Read(make([]byte, 1))
				_, _ = served.Write([]byte("lost"))
			}()
			synctest.Wait()
			n.kill("10.0.0.1")
			if data, err := io.ReadAll(caller); len(data) > 0 || err != nil {
				t.Fatalf("read %q, %v from a killed host", data, err)
			}
			n.close()
		}
	})
}
