package link

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// Node manages all links of one VM.
type Node struct {
	cfg            Config
	log            log.Interface
	listener       net.Listener
	ctx            context.Context
	cancel         context.CancelFunc
	closedByReason reasonCounts
	// receiving is the size of the requests that count towards Config.MaxReceiving.
	receiving atomic.Int64
	// priority is the set of priority methods.
	priority map[string]bool
	// self holds the counters and the running handlers of calls to the node's own
	// name.
	self *peer
	// links counts the goroutines that run connections, handlers those that run
	// handlers.
	links, handlers sync.WaitGroup

	mu      sync.Mutex
	methods map[string]Handler
	peers   map[string]*peer
	rng     *rand.Rand
	serving bool
	closed  bool
	// pendingHandshakes counts the accepted connections in the handshake.
	pendingHandshakes int
}

// Listen returns a node with an open listener. The node accepts connections
// after Serve.
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
	for _, m := range cfg.PriorityMethods {
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
	if cfg.PingTimeout <= 0 {
		cfg.PingTimeout = PingTimeout
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

// reserveReceiving reserves room for a request. It reports false if there is none.
func (n *Node) reserveReceiving(size int64) bool {
	if n.receiving.Add(size) > n.cfg.MaxReceiving && n.cfg.MaxReceiving > 0 {
		n.receiving.Add(-size)
		return false
	}
	return true
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Handle sets the handler of a method. It must be called before Serve.
func (n *Node) Handle(method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.methods[method] = h
}

// SetPeer adds a peer or changes its address. If the address changes, the
// connection to the previous one is closed. The link is dialed at the first
// Call or Send.
func (n *Node) SetPeer(name, addr string) {
	n.mu.Lock()
	p := n.peers[name]
	if p == nil && name != n.cfg.Name {
		n.peers[name] = newPeer(n, name, addr)
	}
	n.mu.Unlock()
	if p != nil {
		p.setAddr(addr)
	}
}

// Disconnect closes the link that this node dialed to a peer, unless calls are in
// flight. The next Call or Send dials it again.
func (n *Node) Disconnect(name string) {
	if p := n.lookup(name); p != nil {
		p.disconnect()
	}
}

// OpenRequests returns the number of calls of peers whose response is not yet handed
// to the connection as a whole.
func (n *Node) OpenRequests() int {
	open := 0
	for _, p := range n.allPeers() {
		open += p.openRequests()
	}
	return open
}

// Serve starts to accept connections in the background.
func (n *Node) Serve() {
	n.mu.Lock()
	alreadyServing := n.serving
	n.serving = true
	n.mu.Unlock()
	if alreadyServing || !n.addGoroutine(&n.links) {
		return
	}
	go func() {
		defer n.links.Done()
		n.acceptLoop()
	}()
}

// Close closes all connections, cancels the contexts of the handlers and waits
// for them to return.
func (n *Node) Close() error {
	n.mu.Lock()
	alreadyClosed := n.closed
	n.closed = true
	n.mu.Unlock()
	if alreadyClosed {
		return nil
	}
	n.cancel()
	err := n.listener.Close()
	n.links.Wait()
	n.handlers.Wait()
	return err
}

// addGoroutine adds one goroutine to a group. It returns false if the node is
// closed.
func (n *Node) addGoroutine(group *sync.WaitGroup) bool {
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

// acceptLoop accepts connections until the node closes.
func (n *Node) acceptLoop() {
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.handleAccepted(nc)
	}
}

// handleAccepted serves one accepted connection in its own goroutine.
func (n *Node) handleAccepted(nc net.Conn) {
	if !n.beginHandshake() {
		n.closedByReason.add("too_many")
		_ = nc.Close()
		return
	}
	if !n.addGoroutine(&n.links) {
		_ = nc.Close()
		return
	}
	go func() {
		defer n.links.Done()
		n.serveAccepted(nc)
	}()
}

// beginHandshake counts a connection in the handshake. It returns false if
// there are already maxPendingHandshakes.
func (n *Node) beginHandshake() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pendingHandshakes >= maxPendingHandshakes {
		return false
	}
	n.pendingHandshakes++
	return true
}

// serveAccepted performs the handshake and runs the connection until it ends.
func (n *Node) serveAccepted(nc net.Conn) {
	stop := closeOnDone(n.ctx, nc)
	c, r, err := n.acceptHandshake(nc)
	stop()
	n.mu.Lock()
	n.pendingHandshakes--
	n.mu.Unlock()
	if err != nil {
		_ = nc.Close()
		n.closedByReason.add(helloReason(err))
		n.log.WithField("address", nc.RemoteAddr().String()).WithError(err).Warn("incoming connection rejected")
		return
	}
	c.peer.setAccepted(c)
	c.peer.run(c, r)
	c.peer.clearAccepted(c)
}

// closeOnDone closes nc when ctx ends. The returned function cancels that and
// reports whether it did so before nc was closed.
func closeOnDone(ctx context.Context, nc net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = nc.Close() })
}
