package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// conn serves the requests of one connection. One goroutine reads them, and another one
// runs each request and writes its response when the responses before it are complete.
type conn struct {
	server *Server
	rwc    net.Conn
	head   *headReader
	// ctx is the parent of the contexts of the requests; cancel ends it when the caller
	// has left or no further response can be written.
	ctx     context.Context
	cancel  context.CancelFunc
	gone    func() bool
	created time.Time
	// wake tells the reader that the state below has changed.
	wake chan struct{}
	// ended is closed when no further byte will be written.
	ended chan struct{}
	// running counts the goroutines of requests.
	running sync.WaitGroup
	// linger is set if the caller may have sent more than was read when the connection
	// is closed after a response.
	linger atomic.Bool

	mu sync.Mutex
	// queue holds the requests whose responses are not complete, in order. Invariant:
	// the phase of the connection in Connections is serving or receiving while the queue
	// is not empty.
	queue []*exchange
	// served is true once a request was read.
	served bool
	// partial is the part of the next head that was received.
	partial head
	// closer is the request after whose response the connection closes. No later one
	// is started.
	closer *exchange
	// over is true once ended is closed.
	over bool
}

func newConn(s *Server, rwc net.Conn) *conn {
	c := &conn{
		server: s, rwc: rwc, head: newHeadReader(rwc), created: time.Now(),
		wake: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(s.cfg.Connections.ConnContext(context.Background(), rwc))
	c.gone = Gone(c.ctx)
	return c
}

// serve reads and runs requests until the connection ends.
func (c *conn) serve() {
	defer c.finish()
	for c.awaitCapacity() {
		req, err := c.head.read(func() int64 { return c.server.cfg.Limits().HeadBytes }, c.markPartial, c.mayHold)
		refused := asRefusal(err)
		if err != nil && refused == nil {
			c.disconnected(err)
			return
		}
		e := c.enqueue(req, refused)
		if e == nil {
			return
		}
		if !c.awaitStart(e) {
			c.drop(e)
			return
		}
		c.running.Add(1)
		go e.run()
		if e.isLast() {
			return
		}
		if e.concurrent() {
			continue
		}
		if !c.await(func() bool { return len(c.queue) == 0 }) {
			return
		}
		c.clearReadDeadline(e)
	}
}

// enqueue appends a request that was read. It returns nil if the request must not run,
// because the connection closes.
func (c *conn) enqueue(req *http.Request, refused *refusal) *exchange {
	e := &exchange{conn: c, refusal: refused, readAt: time.Now(), turn: make(chan struct{})}
	if refused != nil {
		c.server.metrics.refused.WithLabelValues(strconv.Itoa(refused.status)).Inc()
		req = &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: make(http.Header), Body: http.NoBody}
	}
	e.ctx, e.cancel = context.WithCancel(context.WithValue(c.ctx, exchangeKey{}, e))
	e.req = req.WithContext(e.ctx)
	e.req.RemoteAddr = c.rwc.RemoteAddr().String()
	if req.Body != http.NoBody {
		e.body = &requestBody{inner: req.Body}
		e.req.Body = e.body
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = head{}
	if c.over || c.closer != nil || !c.server.cfg.Connections.BeginRequest(c.ctx) {
		c.server.metrics.dropped.Inc()
		e.cancel()
		return nil
	}
	c.served = true
	c.queue = append(c.queue, e)
	if len(c.queue) == 1 {
		close(e.turn)
	}
	c.server.metrics.inProgress.Observe(float64(len(c.queue)))
	return e
}

// markPartial records which part of a head was received. The time limit of a head
// that was begun behind running requests starts when their responses are complete.
func (c *conn) markPartial(part head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = part
	if part.bytes > 0 && len(c.queue) == 0 && !c.over {
		c.server.cfg.Connections.startReading(c.rwc, part)
	}
}

// mayHold waits until a head that exceeds the usual size may be held and parsed: behind
// running requests, its memory wouldn't count towards the bound. It returns false if the
// connection ends before.
func (c *conn) mayHold(part head) bool {
	c.markPartial(part)
	return c.await(func() bool { return len(c.queue) == 0 })
}

// pollInterval is the interval at which the reader looks whether the caller has left
// while it doesn't read.
const pollInterval = 200 * time.Millisecond

// await waits until condition holds, which is called with c.mu held. It returns false
// if the connection ends before or the caller disconnects.
func (c *conn) await(condition func() bool) bool {
	return c.awaitOr(condition, nil, nil)
}

// awaitOr is like await, but also returns true when it could send to slots, after it has
// called taken.
func (c *conn) awaitOr(condition func() bool, slots chan<- struct{}, taken func()) bool {
	var ticks <-chan time.Time
	for {
		c.mu.Lock()
		over, met := c.over, condition()
		c.mu.Unlock()
		if over || met {
			return !over
		}
		if ticks == nil {
			ticker := time.NewTicker(pollInterval)
			defer ticker.Stop()
			ticks = ticker.C
		}
		select {
		case slots <- struct{}{}:
			taken()
			return true
		case <-c.wake:
		case <-c.ended:
		case <-ticks:
			if c.gone != nil && c.gone() {
				c.disconnected(io.EOF)
				return false
			}
		}
	}
}

// awaitCapacity waits until the next request may be read. A stopping server reads no
// request ahead. It returns false if there will be none.
func (c *conn) awaitCapacity() bool {
	return c.await(func() bool {
		return c.closer != nil || len(c.queue) == 0 || len(c.queue) < maxPipelined && !c.server.stopping()
	}) && !c.isClosing()
}

// awaitStart waits until a request may start. It returns false if it must not.
func (c *conn) awaitStart(e *exchange) bool {
	return c.awaitTurnOrSlot(e) && !c.isClosing()
}

func (c *conn) awaitTurnOrSlot(e *exchange) bool {
	mayStart := func() bool { return c.queue[0] == e || c.closer != nil }
	slots := c.server.slots
	if !e.concurrent() {
		slots = nil
	} else if slots == nil || e.refusal != nil || c.isFirst(e) {
		return true
	}
	select {
	case slots <- struct{}{}:
		e.slot = true
		return true
	default:
	}
	if e.concurrent() {
		c.server.metrics.waited.Inc()
	}
	return c.awaitOr(mayStart, slots, func() { e.slot = true })
}

func (c *conn) isFirst(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue[0] == e
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closer != nil || c.over
}

func (c *conn) notifyReader() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// closesAfter decides whether the connection closes after the response of a request;
// wanted reports that the response or the request says so. Requests behind a response
// that closes are cancelled. A stopping server closes after the last request that was
// read instead of an earlier one.
func (c *conn) closesAfter(e *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.stopping() {
		wanted = len(c.queue) > 0 && c.queue[len(c.queue)-1] == e
	}
	if wanted {
		c.closeBehind(e)
	}
	return wanted || c.closer == e
}

// markBroken records that the response of a request is incomplete.
func (c *conn) markBroken(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeBehind(e)
}

// closeBehind makes the connection close after the response of e or an earlier one, and
// cancels the requests behind it. c.mu is held.
func (c *conn) closeBehind(e *exchange) {
	at := slices.Index(c.queue, e)
	if at < 0 || slices.Contains(c.queue[:at], c.closer) {
		return
	}
	c.closer = e
	for _, later := range c.queue[at+1:] {
		later.cancel()
	}
	c.notifyReader()
}

// complete passes the turn to the next request after a response was written.
func (c *conn) complete(e *exchange) {
	c.mu.Lock()
	c.queue = c.queue[1:]
	closes := c.closer == e || len(c.queue) == 0 && c.partial.bytes == 0 && c.server.draining.Load()
	switch {
	case closes:
	case len(c.queue) > 0:
		close(c.queue[0].turn)
	default:
		c.queue = nil
		c.server.cfg.Connections.ConnState(c.rwc, http.StateIdle)
		if c.partial.bytes > 0 {
			c.server.cfg.Connections.startReading(c.rwc, c.partial)
		}
	}
	if closes {
		c.linger.Store(true)
		c.endLocked()
	}
	c.mu.Unlock()
	c.notifyReader()
}

// abort ends the connection instead of a response that can't be written or completed,
// after the responses before it.
func (c *conn) abort(e *exchange, w *response) {
	c.markBroken(e)
	if w.awaitTurn(nil) != nil {
		c.server.metrics.dropped.Inc()
		return
	}
	c.linger.Store(!w.broken)
	c.end()
}

// end declares that no further byte will be written.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked()
}

func (c *conn) endLocked() {
	if c.over {
		return
	}
	c.over = true
	_ = c.rwc.SetReadDeadline(time.Unix(1, 0)) // ends a read of the reader
	close(c.ended)
	c.cancel()
}

// drop removes the last request of the queue, which hasn't started.
func (c *conn) drop(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.cancel()
	c.queue = slices.DeleteFunc(c.queue, func(queued *exchange) bool { return queued == e })
	if e.slot {
		<-c.server.slots
	}
	c.server.metrics.dropped.Inc()
}

// clearReadDeadline removes the deadline that a handler may have set for a body.
func (c *conn) clearReadDeadline(e *exchange) {
	if e.body == nil || !e.body.deadlineSet.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.over {
		_ = c.rwc.SetReadDeadline(time.Time{})
	}
}

// disconnected cancels all requests, because the caller has left. Responses that are
// already complete can still be written: the caller may have closed one direction only.
func (c *conn) disconnected(err error) {
	c.cancel()
	if err != io.EOF {
		c.end()
	}
}

// closeIfIdle closes the connection unless a request is in progress, a part of one was
// read, or the first one may be in transit.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	mayClose := len(c.queue) == 0 && (c.served || time.Since(c.created) > firstRequestTime)
	if mayClose && c.server.cfg.Connections.forgetIdle(c.rwc) {
		c.endLocked()
	}
}

// firstRequestTime is how long a connection without a request stays open when others are
// closed because they are idle; it is that of net/http.
const firstRequestTime = 5 * time.Second

// finish closes the connection once the requests in progress have ended.
func (c *conn) finish() {
	for waiting := true; waiting; {
		c.mu.Lock()
		waiting = len(c.queue) > 0 && !c.over
		c.mu.Unlock()
		if !waiting {
			break
		}
		if c.ctx.Err() != nil {
			select {
			case <-c.wake:
			case <-c.ended:
			}
			continue
		}
		c.await(func() bool { return len(c.queue) == 0 })
	}
	c.end()
	if c.linger.Load() {
		c.server.cfg.Connections.ConnState(c.rwc, http.StateIdle)
		c.awaitClose()
	}
	_ = c.rwc.Close()
	c.server.cfg.Connections.ConnState(c.rwc, http.StateClosed)
	c.running.Wait()
	c.server.remove(c)
}

// awaitClose closes the sending direction and reads what the caller still sends. If a
// connection is closed with unread bytes, the kernel resets it, and the caller may lose
// the last response.
func (c *conn) awaitClose() {
	raw := c.rwc
	if tracked, ok := raw.(*trackedConn); ok {
		raw = tracked.Conn
	}
	if half, ok := raw.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	_ = raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, raw, lingerBytes)
}
