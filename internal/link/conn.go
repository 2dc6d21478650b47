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
	errChecksum   = errors.New("checksum mismatch")
	errOversized  = errors.New("oversized frame")
	errOverflow   = errors.New("too many control frames queued")
	errReplaced   = errors.New("peer opened a newer connection")
	errClosed     = errors.New("node closed")
	errMoved      = errors.New("address of the peer changed")
	errIdle       = errors.New("link no longer used")
)

// conn is one established connection. The dialing side opens streams; the
// accepting side responds to them.
type conn struct {
	node *Node
	peer *peer
	nc   net.Conn
	// dialed is set on the dialing side.
	dialed bool
	wakeup chan struct{}
	done   chan struct{}

	mu     sync.Mutex
	err    error
	sched  scheduler
	budget receiveBudget
	// lastStream is the highest number of a stream opened so far.
	lastStream    uint64
	calls         map[uint64]*call
	serverStreams map[uint64]*serverStream
	// inFlight counts the calls that have not ended, queuedOneWay the queued
	// one-way messages and queuedOneWayBytes their payload bytes. All three are
	// used on the dialing side only.
	inFlight, queuedOneWay, queuedOneWayBytes int
	// unsent holds the calls without a stream number: no byte of them was sent.
	unsent map[*call]struct{}
	// oneWayStreams holds the one-way messages that have a stream number and are
	// not sent completely.
	oneWayStreams map[uint64]*outgoing
}

func newConn(n *Node, p *peer, nc net.Conn, dialed bool) *conn {
	boundUnsent(nc)
	return &conn{
		node: n, peer: p, nc: nc, dialed: dialed,
		wakeup:        make(chan struct{}, 1),
		done:          make(chan struct{}),
		budget:        receiveBudget{limit: bufferBudget},
		calls:         map[uint64]*call{},
		serverStreams: map[uint64]*serverStream{},
		unsent:        map[*call]struct{}{},
		oneWayStreams: map[uint64]*outgoing{},
	}
}

// run reads and writes frames until the connection ends.
func (c *conn) run(r *bufio.Reader) {
	var writer sync.WaitGroup
	writer.Go(c.writeLoop)
	c.closeWithError(c.readLoop(r))
	writer.Wait()
}

// closeWithError closes the connection and ends its calls and streams. Only the
// first call has an effect.
func (c *conn) closeWithError(err error) { c.close(err, false) }

// closeIfUnused closes the connection unless calls are in flight.
func (c *conn) closeIfUnused(err error) { c.close(err, true) }

func (c *conn) close(err error, ifUnused bool) {
	c.mu.Lock()
	if c.err != nil || ifUnused && c.inFlight > 0 {
		c.mu.Unlock()
		return
	}
	c.err = err
	// done is closed first, so that a caller whose call ended also sees that the
	// connection has ended.
	close(c.done)
	c.failCalls()
	c.cancelServerStreams()
	c.mu.Unlock()
	_ = c.nc.Close()
	if reason := frameErrorReason(err); reason != "" {
		c.node.closedByReason.add(reason)
	}
	c.node.log.WithField("peer", c.peer.name).WithError(err).Info("link closed")
}

// frameErrorReason returns the metric label for an invalid frame or a full
// control queue, or "" if the connection ended for another reason.
func frameErrorReason(err error) string {
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

// wakeWriter wakes the write loop.
func (c *conn) wakeWriter() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// queueControl queues a control frame. The caller holds the mutex.
func (c *conn) queueControl(f frame) error {
	if len(c.sched.control) >= maxControlFrames {
		return errOverflow
	}
	c.sched.control = append(c.sched.control, f)
	c.wakeWriter()
	return nil
}

// writeLoop sends queued frames, and pings when idle, until the connection
// ends.
func (c *conn) writeLoop() {
	e := newEncoder()
	ping := time.NewTicker(c.node.cfg.PingInterval)
	defer ping.Stop()
	// wrote is set if frames were sent since the last tick. They show the peer
	// that this side is alive, so no ping is needed.
	wrote := false
	for {
		if c.collectBatch(e) {
			wrote = true
			if _, err := c.nc.Write(e.buf.Bytes()); err != nil {
				c.closeWithError(err)
				return
			}
			continue
		}
		select {
		case <-c.wakeup:
		case <-ping.C:
			if !wrote {
				c.queuePing()
			}
			wrote = false
			e.shrink()
		case <-c.done:
			return
		}
	}
}

// queuePing queues a ping unless a control frame is still unsent.
func (c *conn) queuePing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sched.control) == 0 {
		_ = c.queueControl(frame{Type: framePing})
	}
}

// collectBatch encodes the next batch of frames and reports whether it contains
// any.
func (c *conn) collectBatch(e *encoder) bool {
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
			c.countSent(e.append(&f), Control)
			continue
		}
		if o := c.sched.next(); o != nil {
			c.encodeTurn(o, now, e)
		}
	}
	return e.buf.Len() > 0
}

func (c *conn) countSent(size int, class Class) { c.peer.counters[class].sent(size) }

// encodeTurn encodes the next frames of one message and queues the message
// again if it is not complete.
func (c *conn) encodeTurn(o *outgoing, now time.Time, e *encoder) {
	if o.stream == 0 {
		c.openStream(o)
	}
	o.encodeTurn(now, func(f frame) { c.countSent(e.append(&f), o.class) })
	if !o.done {
		c.sched.enqueue(o)
		return
	}
	o.payload = nil
	if o.onSent != nil {
		o.onSent()
	}
}

// openStream assigns a stream number to a message of the dialing side. From
// then on its bytes may be sent.
func (c *conn) openStream(o *outgoing) {
	c.lastStream++
	o.stream = c.lastStream
	if o.call == nil {
		c.oneWayStreams[o.stream] = o
		return
	}
	delete(c.unsent, o.call)
	c.calls[o.stream] = o.call
}

// readLoop handles frames until a frame is invalid or the connection ends.
func (c *conn) readLoop(r *bufio.Reader) error {
	d := newDecoder()
	var buf []byte
	for {
		if err := c.nc.SetReadDeadline(time.Now().Add(c.node.cfg.PingTimeout)); err != nil {
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
		if err := c.handleFrame(&f, len(body)+lengthPrefix); err != nil {
			return err
		}
	}
}

// readFrame reads one frame without its length prefix, into buf if it is large
// enough.
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

// handleFrame applies one received frame. After an error the caller closes the
// connection.
func (c *conn) handleFrame(f *frame, size int) error {
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
		class, err = c.handleResponse(f)
	} else {
		class, err = c.handleRequest(f)
	}
	return err
}

// beginMessage starts to receive a message if its length is allowed.
func (c *conn) beginMessage(stream uint64, class Class, total uint64) (*incoming, error) {
	if total > uint64(c.node.cfg.MaxMessage) {
		return nil, fmt.Errorf("%w: message of %d bytes", errOversized, total)
	}
	m := newIncoming(stream, class, total)
	c.budget.enqueue(m)
	return m, c.grantAdmitted()
}

// grantAdmitted queues credit for the messages that the budget now admits.
func (c *conn) grantAdmitted() error {
	for _, m := range c.budget.admit() {
		if err := c.queueCredit(m); err != nil {
			return err
		}
	}
	return nil
}

// queueCredit queues a credit frame for a message if new credit is due.
func (c *conn) queueCredit(m *incoming) error {
	limit := m.nextCredit()
	if limit == 0 {
		return nil
	}
	return c.queueControl(frame{Type: frameCredit, Stream: m.stream, Number: limit})
}

// releaseBudget releases the budget of a message, which may be nil, and admits
// queued messages.
func (c *conn) releaseBudget(m *incoming) error {
	if m == nil {
		return nil
	}
	c.budget.release(m)
	return c.grantAdmitted()
}

// receiveData appends the body of a data frame to a message.
func (c *conn) receiveData(m *incoming, f *frame) error {
	if m == nil {
		return fmt.Errorf("%w: data before the start of its message", errOutOfState)
	}
	if err := m.appendChunk(f.Number, f.Body); err != nil {
		return err
	}
	return c.queueCredit(m)
}

// completeMessage checks a message's close frame and returns its payload.
func (c *conn) completeMessage(m *incoming, f *frame) ([]byte, error) {
	if m == nil {
		return nil, fmt.Errorf("%w: close before the start of its message", errOutOfState)
	}
	if err := m.close(f.Number, f.Sum); err != nil {
		return nil, err
	}
	return m.buf, c.releaseBudget(m)
}

// applyCredit raises the credit limit of a message being sent. It ignores
// credit for messages that are unknown, not begun or complete.
func (c *conn) applyCredit(o *outgoing, limit uint64) error {
	if o == nil || o.done || !o.begun {
		return nil
	}
	if limit > uint64(len(o.payload)) {
		return fmt.Errorf("%w: credit beyond the message length", errOutOfState)
	}
	o.creditLimit = max(o.creditLimit, limit)
	c.sched.enqueue(o)
	c.wakeWriter()
	return nil
}

// linkLost returns the error of a call whose request may have been sent.
func linkLost(peer string, err error) *errkind.Error {
	return errkind.Wrap(errkind.LinkLost, err, "link to %s lost", peer)
}

// linkDown returns the error of a call of which no byte was sent.
func linkDown(peer string, err error) *errkind.Error {
	return errkind.Wrap(errkind.LinkDown, err, "no link to %s", peer)
}
