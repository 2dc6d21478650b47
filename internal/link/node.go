package link

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// Node is one VM's end of all its links.
type Node struct {
	cfg      Config
	log      log.Interface
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	bad      reasonCounts
	// priority is the set of priority methods.
	priority map[string]bool
	// self carries the counters and the room of calls to the own name.
	self *peer
	// links counts goroutines of connections, handlers those of handlers.
	links, handlers sync.WaitGroup

	mu      sync.Mutex
	methods map[string]Handler
	peers   map[string]*peer
	rng     *rand.Rand
	serving bool
	closed  bool
	// greeting counts accepted connections without a hello.
	greeting int
}

// Listen opens the listener of a node. Serve begins to accept connections.
func Listen(cfg Config) (*Node, error) {
	if cfg.Name == "" || len(cfg.Name) > maxName || len(cfg.Cluster) > maxName {
		return nil, fmt.Errorf("link: cluster %q or VM name %q is not 1 to %d bytes long", cfg.Cluster, cfg.Name, maxName)
	}
	n := &Node{
		cfg: withDefaults(cfg), listener: cfg.Listener,
		methods: map[string]Handler{}, peers: map[string]*peer{}, priority: map[string]bool{},
		rng: newRand(cfg.Seed),
	}
	n.log = n.cfg.Logger
	for _, m := range cfg.Priority {
		n.priority[m] = true
	}
	if n.listener == nil {
		lc := net.ListenConfig{KeepAlive: keepAlive}
		l, err := lc.Listen(context.Background(), "tcp", cfg.Addr)
		if err != nil {
			return nil, fmt.Errorf("link: listen on %s: %w", cfg.Addr, err)
		}
		n.listener = l
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.self = newPeer(n, cfg.Name, "")
	return n, nil
}

func withDefaults(cfg Config) Config {
	if cfg.MaxMessage <= 0 {
		cfg.MaxMessage = DefaultMaxMessage
	}
	if cfg.MaxHandlers <= 0 {
		cfg.MaxHandlers = DefaultMaxHandlers
	}
	if cfg.PingInterval <= 0 {
		cfg.PingInterval = PingInterval
	}
	if cfg.DeadAfter <= 0 {
		cfg.DeadAfter = DeadAfter
	}
	if cfg.Logger == nil {
		cfg.Logger = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	if cfg.Dial == nil {
		d := &net.Dialer{KeepAlive: keepAlive}
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return cfg
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Handle sets the handler of a method. Handlers are set before Serve.
func (n *Node) Handle(method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.methods[method] = h
}

// SetPeer makes a VM known by its name and address. A connection to an earlier
// address is closed. The link is dialed at the first Call or Send.
func (n *Node) SetPeer(name, addr string) {
	n.mu.Lock()
	p := n.peers[name]
	if p == nil && name != n.cfg.Name {
		n.peers[name] = newPeer(n, name, addr)
	}
	n.mu.Unlock()
	if p != nil {
		p.move(addr)
	}
}

// Serve begins to accept connections and returns at once.
func (n *Node) Serve() {
	n.mu.Lock()
	again := n.serving
	n.serving = true
	n.mu.Unlock()
	if again || !n.begin(&n.links) {
		return
	}
	go func() {
		defer n.links.Done()
		n.acceptAll()
	}()
}

// Close ends all connections and waits for the handlers, whose contexts end.
func (n *Node) Close() error {
	n.mu.Lock()
	again := n.closed
	n.closed = true
	n.mu.Unlock()
	if again {
		return nil
	}
	n.cancel()
	err := n.listener.Close()
	n.links.Wait()
	n.handlers.Wait()
	return err
}

// begin counts one more goroutine of a group unless the node is closed.
func (n *Node) begin(group *sync.WaitGroup) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	group.Add(1)
	return true
}

func (n *Node) lookup(name string) *peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers[name]
}

func (n *Node) allPeers() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*peer, 0, len(n.peers)+1)
	for _, p := range n.peers {
		all = append(all, p)
	}
	return append(all, n.self)
}

func (n *Node) handler(method string) Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.methods[method]
}

func (n *Node) class(method string) Class {
	if n.priority[method] {
		return Control
	}
	return Traffic
}

// acceptAll accepts connections until the node closes.
func (n *Node) acceptAll() {
	for {
		nc, err := n.listener.Accept()
		if n.ctx.Err() != nil {
			if err == nil {
				_ = nc.Close()
			}
			return
		}
		if err != nil {
			n.log.WithError(err).Warn("accept failed")
			time.Sleep(acceptPause)
			continue
		}
		n.receive(nc)
	}
}

// receive serves one accepted connection in its own goroutine.
func (n *Node) receive(nc net.Conn) {
	if !n.admit() {
		n.bad.add("too_many")
		_ = nc.Close()
		return
	}
	if !n.begin(&n.links) {
		_ = nc.Close()
		return
	}
	go func() {
		defer n.links.Done()
		n.serve(nc)
	}()
}

// admit bounds the connections that have not sent a hello.
func (n *Node) admit() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.greeting >= maxUnknownConns {
		return false
	}
	n.greeting++
	return true
}

func (n *Node) serve(nc net.Conn) {
	stop := closeOnDone(n.ctx, nc)
	c, r, err := n.accept(nc)
	stop()
	n.mu.Lock()
	n.greeting--
	n.mu.Unlock()
	if err != nil {
		_ = nc.Close()
		n.bad.add(helloReason(err))
		n.log.WithField("address", nc.RemoteAddr().String()).WithError(err).Warn("connection refused")
		return
	}
	c.peer.adopt(c)
	c.peer.run(c, r)
	c.peer.forget(c)
}

// closeOnDone closes nc when ctx ends. The returned function undoes it and
// reports whether nc was left open.
func closeOnDone(ctx context.Context, nc net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = nc.Close() })
}
