package link

import (
	"bufio"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// phase is the state of the link that this node dials to a peer.
type phase uint8

const (
	phaseUnused phase = iota
	phaseDialing
	phaseUp
	phaseWaiting
)

// peer is what a node knows of another VM.
type peer struct {
	node     *Node
	name     string
	counters [classes]counters

	mu    sync.Mutex
	addr  string
	phase phase
	// conn is the dialed connection while phaseUp, accepted the newest one
	// that the peer dialed.
	conn, accepted *conn
	// lastErr says why there is no connection. While phaseDialing it is set
	// after a failed dial, so that calls to a lost VM do not wait for the next.
	lastErr error
	// changed is closed and replaced at each change of phase.
	changed chan struct{}
	// handlers counts the running handlers.
	handlers [classes]int
}

func newPeer(n *Node, name, addr string) *peer {
	return &peer{node: n, name: name, addr: addr, changed: make(chan struct{})}
}

// acquire takes room for one handler.
func (p *peer) acquire(class Class, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handlers[class] >= limit {
		return false
	}
	p.handlers[class]++
	return true
}

func (p *peer) releaseHandler(class Class) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[class]--
}

// connection returns the link. It waits for the first dial and for the one that
// follows the end of a connection at once, but not for one after a failed dial.
func (p *peer) connection(ctx context.Context) (*conn, error) {
	for {
		p.mu.Lock()
		p.use()
		phase, c, err, changed := p.phase, p.conn, p.lastErr, p.changed
		p.mu.Unlock()
		if phase == phaseUnused {
			return nil, errNoLink
		}
		if err != nil {
			return nil, err
		}
		if phase == phaseUp && !c.ended() {
			return c, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-p.node.ctx.Done():
			return nil, errClosed
		}
	}
}

// current returns the link, or nil when it is not up.
func (p *peer) current() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.use()
	return p.conn
}

// use starts to keep the link up; the caller holds the mutex.
func (p *peer) use() {
	if p.phase != phaseUnused || !p.node.begin(&p.node.links) {
		return
	}
	p.phase = phaseDialing
	go func() {
		defer p.node.links.Done()
		p.keep()
	}()
}

// set changes the phase and wakes the calls that wait for it.
func (p *peer) set(ph phase, c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.phase, p.conn, p.lastErr = ph, c, err
	close(p.changed)
	p.changed = make(chan struct{})
}

// keep dials the peer again whenever the link is down, until the node closes.
// The first reconnect after a break comes at once, later ones after a pause
// that grows until a connection was stable.
func (p *peer) keep() {
	failures := 0
	var failed error
	for p.node.ctx.Err() == nil {
		p.set(phaseDialing, nil, failed)
		lived, err := p.session()
		failed = nil
		if lived == 0 {
			failed = err
		}
		if lived >= stableAfter {
			failures = 0
		}
		if failures > 0 || lived == 0 {
			p.set(phaseWaiting, nil, err)
			p.node.pause(max(failures-1, 0))
		}
		failures++
	}
	p.set(phaseWaiting, nil, errClosed)
}

// session dials and runs one connection. lived is 0 if there was none.
func (p *peer) session() (lived time.Duration, err error) {
	c, r, err := p.node.dial(p, p.address())
	if err != nil {
		p.node.log.WithField("peer", p.name).WithError(err).Info("link not established")
		return 0, err
	}
	began := time.Now()
	p.counters[Control].connects.Add(1)
	p.set(phaseUp, c, nil)
	p.node.log.WithField("peer", p.name).Info("link established")
	p.run(c, r)
	return max(time.Since(began), 1), c.err
}

// run runs a connection until it or the node ends.
func (p *peer) run(c *conn, r *bufio.Reader) {
	stop := context.AfterFunc(p.node.ctx, func() { c.fail(errClosed) })
	defer stop()
	c.run(r)
}

func (p *peer) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// move changes the address; an open connection to the old one is closed.
func (p *peer) move(addr string) {
	p.mu.Lock()
	c := p.conn
	moved := p.addr != addr
	p.addr = addr
	p.mu.Unlock()
	if moved && c != nil {
		c.fail(errMoved)
	}
}

// adopt makes c the connection that the peer dialed and ends the one before.
func (p *peer) adopt(c *conn) {
	p.mu.Lock()
	old := p.accepted
	p.accepted = c
	p.mu.Unlock()
	if old != nil {
		old.fail(errReplaced)
	}
}

// forget drops the connection that the peer dialed once it has ended.
func (p *peer) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accepted == c {
		p.accepted = nil
	}
}

// pause waits before a reconnect: a random time between one half and the whole
// of a bound that doubles with each pause in a row.
func (n *Node) pause(earlier int) {
	half := min(BackoffMin<<min(earlier, 5), BackoffMax/2)
	n.mu.Lock()
	d := half + time.Duration(n.rng.Int64N(int64(half)))
	n.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	}
}

func newRand(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, 0))
}
