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

// network connects the processes of a session in memory. Every address is IP:port;
// the IP address identifies the host. Traffic between two hosts can be stopped by a
// partition and delayed.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// partitions holds a channel for each partitioned pair of hosts, which is closed
	// when the partition ends.
	partitions map[[2]string]chan struct{}
	delay      func(from, to string) time.Duration
	conns      []*conn
	// killed holds the hosts that can neither open nor accept connections until
	// revive.
	killed map[string]bool
}

// kill closes all connections of a host at once, as when its process is killed, and
// refuses new ones until revive. Writes of the host fail before any of its
// connections is closed: otherwise the killed process could still send a caller the
// error of a link that was closed first.
func (n *network) kill(host string) {
	n.mu.Lock()
	n.killed[host] = true
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

// revive lets a killed host open and accept connections again.
func (n *network) revive(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.killed, host)
}

// close ends all partitions and closes all connections.
func (n *network) close() {
	n.mu.Lock()
	conns := n.conns
	for key, c := range n.partitions {
		close(c)
		delete(n.partitions, key)
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func newNetwork() *network {
	return &network{
		listeners:  make(map[string]*listener),
		partitions: make(map[[2]string]chan struct{}),
		killed:     make(map[string]bool),
		delay:      func(string, string) time.Duration { return 0 },
	}
}

func hostOf(addr string) string {
	host, _, _ := net.SplitHostPort(addr)
	return host
}

// pair returns the key of two hosts in partitions, independent of their order.
func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// partition stops all traffic between two hosts without closing connections; heal
// resumes it and delivers what was delayed.
func (n *network) partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions[pair(a, b)] == nil {
		n.partitions[pair(a, b)] = make(chan struct{})
	}
}

func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.partitions[pair(a, b)]; c != nil {
		close(c)
		delete(n.partitions, pair(a, b))
	}
}

// healed returns nil if the hosts are not partitioned, else a channel that closes
// when the partition ends.
func (n *network) healed(a, b string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[pair(a, b)]
}

// listener accepts the connections that other hosts open to its address.
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
	if healed := n.healed(from, to); healed != nil {
		select {
		case <-healed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	n.mu.Lock()
	l := n.listeners[addr]
	killed := n.killed[from] || n.killed[to]
	n.mu.Unlock()
	if l == nil || killed {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	}
	toRemote, toLocal := newQueue(), newQueue()
	local := &conn{in: toLocal, local: address(from + ":0"), remote: address(addr)}
	remote := &conn{in: toRemote, local: address(addr), remote: address(from + ":0")}
	local.out = newWire(n, from, to, toRemote)
	remote.out = newWire(n, to, from, toLocal)
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

// queue is the receive buffer of one direction of a connection.
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

// wire delivers segments in order with the delay between the two hosts.
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
			for healed := n.healed(from, to); healed != nil; healed = n.healed(from, to) {
				<-healed
			}
			dst.put(s.data, s.eof)
			if s.eof {
				return
			}
		}
	}()
	return w
}

// finish delivers the end of the stream after all segments.
func (w *wire) finish() {
	w.once.Do(func() {
		close(w.closed)
		w.segments <- segment{eof: true, at: time.Now()}
	})
}

// conn is one end of a connection.
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

// wait blocks until the receive buffer changes or the deadline expires.
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

// stopWrites makes Write fail from now on; readers of neither end are notified.
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

// Guards against responses from a process that was already killed: its links close
// before a caller's connection does, and the process responds with an error for the
// lost link.
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
