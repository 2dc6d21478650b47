package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

var (
	errOutOfState = errors.New("frame out of state")
	errChecksum   = errors.New("checksum differs")
	errOversized  = errors.New("oversized frame")
	errOverflow   = errors.New("too many control frames queued")
	errReplaced   = errors.New("peer opened a newer connection")
	errClosed     = errors.New("node closed")
	errMoved      = errors.New("address of the peer changed")
)

// conn is one established connection. The dialing side opens streams; the
// accepting side answers them.
type conn struct {
	node *Node
	peer *peer
	nc   net.Conn
	// dialed tells the two sides apart.
	dialed bool
	wake   chan struct{}
	done   chan struct{}

	mu     sync.Mutex
	err    error
	sched  scheduler
	budget budget
	// lastStream is the highest stream opened so far.
	lastStream uint64
	calls      map[uint64]*call
	served     map[uint64]*served
	// inFlight counts calls not yet ended, oneWay and oneWayBytes the queued
	// one-way messages; dialing side only.
	inFlight, oneWay, oneWayBytes int
	// waiting holds calls without a stream.
	waiting map[*call]struct{}
	// oneWays holds one-way messages with a stream that are not sent yet.
	oneWays map[uint64]*outgoing
}

func newConn(n *Node, p *peer, nc net.Conn, dialed bool) *conn {
	boundUnsent(nc)
	return &conn{
		node: n, peer: p, nc: nc, dialed: dialed,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		budget:  budget{limit: bufferBudget},
		calls:   map[uint64]*call{},
		served:  map[uint64]*served{},
		waiting: map[*call]struct{}{},
		oneWays: map[uint64]*outgoing{},
	}
}

// run reads and writes frames until the connection ends.
func (c *conn) run(r *bufio.Reader) {
	var writer sync.WaitGroup
	writer.Go(c.write)
	c.fail(c.read(r))
	writer.Wait()
}

// fail ends the connection and everything on it. Only the first call counts.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	// A caller that sees its call end must find the connection ended too.
	close(c.done)
	c.endCalls()
	c.endServed()
	c.mu.Unlock()
	_ = c.nc.Close()
	if reason := badReason(err); reason != "" {
		c.node.bad.add(reason)
	}
	c.node.log.WithField("peer", c.peer.name).WithError(err).Info("link closed")
}

// badReason returns the label under which a bad frame is counted, or "" for
// other ends of a connection.
func badReason(err error) string {
	switch {
	case errors.Is(err, errMalformed):
		return "malformed"
	case errors.Is(err, errOversized):
		return "oversized"
	case errors.Is(err, errChecksum):
		return "checksum"
	case errors.Is(err, errOutOfState):
		return "out_of_state"
	case errors.Is(err, errOverflow):
		return "overflow"
	}
	return ""
}

// ended reports whether the connection has ended.
func (c *conn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// signal wakes the writer.
func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// control queues a control frame; the caller holds the mutex.
func (c *conn) control(f frame) error {
	if len(c.sched.control) >= maxControlFrames {
		return errOverflow
	}
	c.sched.control = append(c.sched.control, f)
	c.signal()
	return nil
}

// write sends what is due until the connection ends.
func (c *conn) write() {
	e := newEncoder()
	ping := time.NewTicker(c.node.cfg.PingInterval)
	defer ping.Stop()
	// wrote says that frames were sent since the last tick; they show as well as
	// a ping that this side is alive.
	wrote := false
	for {
		if c.collect(e) {
			wrote = true
			if _, err := c.nc.Write(e.buf.Bytes()); err != nil {
				c.fail(err)
				return
			}
			continue
		}
		select {
		case <-c.wake:
		case <-ping.C:
			if !wrote {
				c.ping()
			}
			wrote = false
			e.shrink()
		case <-c.done:
			return
		}
	}
}

// ping queues a ping unless one is still unsent.
func (c *conn) ping() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sched.control) == 0 {
		_ = c.control(frame{Type: framePing})
	}
}

// collect encodes the next batch of frames and reports whether there are any.
func (c *conn) collect(e *encoder) bool {
	e.buf.Reset()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false
	}
	now := time.Now()
	for e.buf.Len() < batchSize && !c.sched.empty() {
		if len(c.sched.control) > 0 {
			f := c.sched.control[0]
			c.sched.control = c.sched.control[1:]
			c.count(e.append(&f), Control)
			continue
		}
		if o := c.sched.next(); o != nil {
			c.turn(o, now, e)
		}
	}
	return e.buf.Len() > 0
}

func (c *conn) count(size int, class Class) { c.peer.counters[class].sent(size) }

// turn lets one message send its next frames.
func (c *conn) turn(o *outgoing, now time.Time, e *encoder) {
	if o.stream == 0 {
		c.openStream(o)
	}
	o.turn(now, func(f frame) { c.count(e.append(&f), o.class) })
	if !o.done {
		c.sched.enqueue(o)
		return
	}
	o.payload = nil
	if o.finished != nil {
		o.finished()
	}
}

// openStream gives a message of the dialing side its stream number. From here
// on its bytes may leave the process.
func (c *conn) openStream(o *outgoing) {
	c.lastStream++
	o.stream = c.lastStream
	if o.call == nil {
		c.oneWays[o.stream] = o
		return
	}
	delete(c.waiting, o.call)
	c.calls[o.stream] = o.call
}

// read handles frames until one is bad or the connection ends.
func (c *conn) read(r *bufio.Reader) error {
	d := newDecoder()
	var buf []byte
	for {
		if err := c.nc.SetReadDeadline(time.Now().Add(c.node.cfg.DeadAfter)); err != nil {
			return err
		}
		body, err := readFrame(r, buf)
		if err != nil {
			return err
		}
		buf = body
		f, err := d.decode(body)
		if err != nil {
			return err
		}
		if err := c.handle(&f, len(body)+lengthPrefix); err != nil {
			return err
		}
	}
}

// readFrame reads the bytes of one frame, into buf if it is large enough.
func readFrame(r io.Reader, buf []byte) ([]byte, error) {
	var prefix [lengthPrefix]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size == 0 || size > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes", errOversized, size)
	}
	buf = slices.Grow(buf[:0], int(size))[:size]
	if _, err := io.ReadFull(r, buf); err != nil {
		return nil, err
	}
	return buf, nil
}

// handle applies one frame. An error closes the connection.
func (c *conn) handle(f *frame, size int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	class := Control
	defer func() { c.peer.counters[class].received(size) }()
	if f.Type == framePing {
		return nil
	}
	if f.Type != frameOpen && (f.Stream == 0 || f.Stream > c.lastStream) {
		return fmt.Errorf("%w: stream %d was not opened", errOutOfState, f.Stream)
	}
	var err error
	if c.dialed {
		class, err = c.handleAnswer(f)
	} else {
		class, err = c.handleRequest(f)
	}
	return err
}

// receive begins a message if its length is allowed.
func (c *conn) receive(stream uint64, class Class, total uint64) (*incoming, error) {
	if total > uint64(c.node.cfg.MaxMessage) {
		return nil, fmt.Errorf("%w: message of %d bytes", errOversized, total)
	}
	m := newIncoming(stream, class, total)
	c.budget.begin(m)
	return m, c.grantAll()
}

// grantAll gives credit to the messages that now have room.
func (c *conn) grantAll() error {
	for _, m := range c.budget.admit() {
		if err := c.grant(m); err != nil {
			return err
		}
	}
	return nil
}

func (c *conn) grant(m *incoming) error {
	limit := m.credit()
	if limit == 0 {
		return nil
	}
	return c.control(frame{Type: frameCredit, Stream: m.stream, Number: limit})
}

// release gives back the room of a message.
func (c *conn) release(m *incoming) error {
	if m == nil {
		return nil
	}
	c.budget.end(m)
	return c.grantAll()
}

// chunk adds a data frame to a message.
func (c *conn) chunk(m *incoming, f *frame) error {
	if m == nil {
		return fmt.Errorf("%w: data before its message", errOutOfState)
	}
	if err := m.data(f.Number, f.Body); err != nil {
		return err
	}
	return c.grant(m)
}

// complete checks a message's closing frame and returns its payload.
func (c *conn) complete(m *incoming, f *frame) ([]byte, error) {
	if m == nil {
		return nil, fmt.Errorf("%w: close before its message", errOutOfState)
	}
	if err := m.close(f.Number, f.Sum); err != nil {
		return nil, err
	}
	return m.buf, c.release(m)
}

// raise applies a credit frame to the message that the peer receives.
func (c *conn) raise(o *outgoing, limit uint64) error {
	if o == nil || o.done || !o.begun {
		return nil
	}
	if limit > uint64(len(o.payload)) {
		return fmt.Errorf("%w: credit beyond the message", errOutOfState)
	}
	o.limit = max(o.limit, limit)
	c.sched.enqueue(o)
	c.signal()
	return nil
}

// linkLost is the error of a call whose request may have left.
func linkLost(peer string, err error) *errkind.Error {
	return errkind.Wrap(errkind.LinkLost, err, "link to %s broke", peer)
}

// linkDown is the error of a call of which no byte left.
func linkDown(peer string, err error) *errkind.Error {
	return errkind.Wrap(errkind.LinkDown, err, "no link to %s", peer)
}
