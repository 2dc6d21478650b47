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
	// phaseIdle is the phase before the first Call or Send to the peer.
	phaseIdle phase = iota
	phaseDialing
	phaseUp
	phaseBackoff
)

// peer is the state that a node keeps for another VM, or for itself.
type peer struct {
	node     *Node
	name     string
	counters [classes]counters

	mu    sync.Mutex
	addr  string
	phase phase
	// conn is the dialed connection in phaseUp, accepted the newest connection
	// that the peer dialed.
	conn, accepted *conn
	// lastErr is the reason why there is no connection. After a failed dial it
	// stays set in phaseDialing, so that calls to a lost VM fail without waiting
	// for the next dial.
	lastErr error
	// changed is closed and replaced at each change of phase.
	changed chan struct{}
	// disconnecting reports that the link must become idle instead of being dialed
	// again.
	disconnecting bool
	// handlers counts the handlers running for the peer.
	handlers [classes]int
}

func newPeer(n *Node, name, addr string) *peer {
	return &peer{node: n, name: name, addr: addr, changed: make(chan struct{})}
}

// acquireHandler counts one more running handler. It returns false if limit is
// reached.
func (p *peer) acquireHandler(class Class, limit int) bool {
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

// connection returns the dialed connection. It waits for the first dial and for
// an immediate redial after the end of a connection, but not for a dial after a
// failed one.
func (p *peer) connection(ctx context.Context) (*conn, error) {
	for {
		p.mu.Lock()
		p.ensureDialing()
		phase, c, err, changed := p.phase, p.conn, p.lastErr, p.changed
		p.mu.Unlock()
		if phase == phaseIdle {
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

// current returns the dialed connection, or nil if the link is not up.
func (p *peer) current() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ensureDialing()
	return p.conn
}

// ensureDialing starts to maintain the link if it is idle. The caller holds the
// mutex.
func (p *peer) ensureDialing() {
	p.disconnecting = false
	if p.phase != phaseIdle || !p.node.addGoroutine(&p.node.links) {
		return
	}
	p.phase = phaseDialing
	go func() {
		defer p.node.links.Done()
		p.maintain()
	}()
}

// setPhase changes the phase and wakes the calls that wait for a change.
func (p *peer) setPhase(phase phase, c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.phase, p.conn, p.lastErr = phase, c, err
	close(p.changed)
	p.changed = make(chan struct{})
}

// disconnect closes the dialed connection, unless calls are in flight, and leaves
// the link idle. A connection that is being dialed is closed once it is up.
func (p *peer) disconnect() {
	p.mu.Lock()
	p.disconnecting = true
	c := p.conn
	p.mu.Unlock()
	if c != nil {
		c.closeIfUnused(errIdle)
	}
}

// disconnected reports whether disconnect was called since the last Call or Send.
func (p *peer) disconnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disconnecting
}

// becomeIdle makes the link idle if disconnect was called since the last Call or
// Send.
func (p *peer) becomeIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.disconnecting {
		return false
	}
	p.disconnecting = false
	p.phase, p.conn, p.lastErr = phaseIdle, nil, nil
	close(p.changed)
	p.changed = make(chan struct{})
	return true
}

// maintain dials the peer whenever the link is down, until the node closes or the
// link becomes idle. The first reconnect after a lost connection follows immediately, later ones after
// a backoff that grows until a connection lasts for stableAfter.
func (p *peer) maintain() {
	failures := 0
	var dialErr error
	for p.node.ctx.Err() == nil {
		if p.becomeIdle() {
			return
		}
		p.setPhase(phaseDialing, nil, dialErr)
		lived, err := p.dialAndRun()
		dialErr = nil
		if lived == 0 {
			dialErr = err
		}
		if lived >= stableAfter {
			failures = 0
		}
		if failures > 0 || lived == 0 {
			p.setPhase(phaseBackoff, nil, err)
			p.node.backOff(max(failures-1, 0))
		}
		failures++
	}
	p.setPhase(phaseBackoff, nil, errClosed)
}

// dialAndRun dials the peer and runs the connection until it ends. It returns
// how long the connection lasted, or 0 if it was not established.
func (p *peer) dialAndRun() (lived time.Duration, err error) {
	c, r, err := p.node.dial(p, p.address())
	if err != nil {
		p.node.log.WithField("peer", p.name).WithError(err).Info("link not established")
		return 0, err
	}
	began := time.Now()
	p.counters[Control].connects.Add(1)
	p.setPhase(phaseUp, c, nil)
	if p.disconnected() {
		c.closeIfUnused(errIdle)
	}
	p.node.log.WithField("peer", p.name).Info("link established")
	p.run(c, r)
	return max(time.Since(began), 1), c.err
}

// run runs a connection until it ends or the node closes.
func (p *peer) run(c *conn, r *bufio.Reader) {
	stop := context.AfterFunc(p.node.ctx, func() { c.closeWithError(errClosed) })
	defer stop()
	c.run(r)
}

func (p *peer) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// setAddr sets the address. If it changes, the connection to the previous
// address is closed.
func (p *peer) setAddr(addr string) {
	p.mu.Lock()
	c := p.conn
	changed := p.addr != addr
	p.addr = addr
	p.mu.Unlock()
	if changed && c != nil {
		c.closeWithError(errMoved)
	}
}

// setAccepted stores the newest connection that the peer dialed and closes the
// previous one.
func (p *peer) setAccepted(c *conn) {
	p.mu.Lock()
	old := p.accepted
	p.accepted = c
	p.mu.Unlock()
	if old != nil {
		old.closeWithError(errReplaced)
	}
}

// openRequests returns the number of calls of the peer without a complete response.
func (p *peer) openRequests() int {
	p.mu.Lock()
	c := p.accepted
	p.mu.Unlock()
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.serverStreams)
}

// clearAccepted removes a connection that the peer dialed after it has ended,
// unless a newer one replaced it.
func (p *peer) clearAccepted(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accepted == c {
		p.accepted = nil
	}
}

// backOff waits before a reconnect for a random time between half of a bound
// and the whole bound. The bound is twice BackoffMin, doubles with each
// previous consecutive wait and is at most BackoffMax.
func (n *Node) backOff(previous int) {
	half := min(BackoffMin<<min(previous, 5), BackoffMax/2)
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
