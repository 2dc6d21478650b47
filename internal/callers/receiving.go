package callers

import (
	"net"
	"net/http"
	"time"
)

// begin returns the body of a request, which is received from now on. If the connection is
// tracked, it may be closed until end.
func (b *BodyReader) begin(r *http.Request) *Body {
	body := &Body{reader: b}
	c := b.connections
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if c == nil || !ok {
		return body
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if tracked := c.conns[conn]; tracked != nil {
		c.enter(tracked, receiving, time.Now())
		tracked.body, body.tracked = body, tracked
	}
	return body
}

// end records that a body is no longer received. It reports whether its request may be
// served.
func (b *BodyReader) end(body *Body) bool {
	c := b.connections
	if body.tracked == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	body.tracked.body = nil
	if body.refused || c.conns[body.tracked.conn] != body.tracked {
		return false
	}
	c.enter(body.tracked, serving, time.Now())
	return true
}

// slowBodyTime is how long a body must have been arriving before it may be refused in favour
// of later requests.
const slowBodyTime = time.Second

// reserve reserves n more bytes for a body. If the memory is exhausted, it refuses bodies that
// arrive slowly and waits for their memory. It reports whether the memory was available.
func (b *BodyReader) reserve(body *Body, n int64) bool {
	c := b.connections
	if c == nil || body.tracked == nil {
		if !b.memory.Reserve(n) {
			return false
		}
		body.reserved += n
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for !body.refused {
		if b.memory.Reserve(n) {
			body.reserved += n
			return true
		}
		switch slow := c.roster.oldestBody(body.tracked); {
		case c.returning > 0:
			c.returned.Wait()
		case slow == nil || time.Since(slow.since) < slowBodyTime:
			return false
		default:
			closeExcess([]*connection{c.removeForBound(slow)})
		}
	}
	return false
}

// release returns the memory of a body.
func (b *BodyReader) release(body *Body) {
	if c := b.connections; c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if body.refused {
			c.returning -= body.reserved
		}
		defer c.returned.Broadcast()
	}
	b.memory.Release(body.reserved)
	body.reserved = 0
}

// refused reports whether a body was refused because of later requests.
func (b *BodyReader) refused(body *Body) bool {
	if c := b.connections; c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
	}
	return body.refused
}

// refuse makes the reader of a body release its memory. c.mu is held.
func (c *Connections) refuse(b *Body) {
	b.refused = true
	c.returning += b.reserved
	c.returned.Broadcast()
}
