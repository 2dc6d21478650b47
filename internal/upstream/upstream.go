// Package upstream sends requests to targets over pooled HTTP/1.1 connections.
// It never retries a request: the code that calls it decides from the kind of
// the error whether a retry is safe.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Limits of connections.
const (
	// dialTimeout limits the time to establish a connection. A round trip between
	// regions takes 16 ms; a lost packet is retransmitted after a second.
	dialTimeout = 400 * time.Millisecond
	// resetMargin is added to the round trip time for which the pool waits for a
	// reset on a new connection before it sends a request. A target that has too
	// many connections resets a new one as soon as it has accepted it. If the
	// request were already written by then, the entry VM could not tell whether it
	// ran and could not send it to another target.
	resetMargin = 2 * time.Millisecond
	// maxResetWait limits that wait: if the first packet was lost, the time to
	// connect is not the round trip time.
	maxResetWait = 25 * time.Millisecond
	// unackedTimeout is how long sent data may remain unacknowledged before the
	// connection fails. It covers two retransmissions on a lossy link. It is not set
	// while a long body is sent.
	unackedTimeout = 1200 * time.Millisecond
	// defaultIdleTime is how long an idle connection is kept if its target announces
	// no timeout.
	defaultIdleTime = 4 * time.Second
	// idleTimeFraction is the fraction of the announced idle timeout for which a
	// connection is reused, so that no request is sent while the target closes it.
	idleTimeFraction = 0.6
	// maxIdleConns is the maximum number of idle connections to one target.
	maxIdleConns = 8
)

// ErrResetBeforeRequest is the cause of TargetUnreachable when a target accepted a
// connection and reset it before a request was sent, because it has too many
// connections.
var ErrResetBeforeRequest = errors.New("the target reset the new connection")

// ErrWithdrawn is the cause of TargetUnreachable when ctx had ended or Request.Proceed
// stopped a request before it was sent.
var ErrWithdrawn = errors.New("the request was withdrawn before it was sent")

// Request is a request to a target.
type Request struct {
	// Addr is the target's address.
	Addr string
	// URI is the path with the query, exactly as the caller sent it.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// HasBody reports whether the caller sent a body, which may be empty.
	HasBody bool
	// ID identifies the request; it may be empty. A connection that was recently used
	// for an ID is not used for the same ID again: a duplicate of the first response
	// would be taken for the response to the retry.
	ID string
	// Used holds the connections of all attempts of the request, which are not used
	// for it again, however long ago that was; nil for a request that is not retried.
	Used *UsedConns
	// MaxBufferedBytes is the maximum number of bytes of the response body that Do reads before
	// it returns; the rest of a longer body is read from Response.Rest.
	MaxBufferedBytes int
	// Pace delays the reading of the response's body, so that other messages pass the
	// link first: it returns how many of the next n bytes may be read now, at least one,
	// or an error as soon as the request has ended. nil reads all at once.
	Pace func(n int) (int, error)
	// Proceed reports, once there is a connection, whether the request may still be
	// sent; nil always sends it.
	Proceed func() bool
	// Accept reports, from the status and the headers, whether a response belongs
	// to this request; nil accepts any response. The connection of a response that
	// is not accepted is closed.
	Accept func(*Response) bool
}

// Pool keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	mu sync.Mutex
	// idle holds the idle connections by address, the last used one at the end.
	idle map[string][]*conn
	// dials counts the connections that were established.
	dials uint64
	// acceptedAt is when a target last accepted a connection without resetting it.
	acceptedAt time.Time
	dialer     net.Dialer
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle:   make(map[string][]*conn),
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: limitUnacked},
	}
}

// Dials returns the number of connections that were established.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Do sends a request and returns the response, either whole or with a stream of
// the rest of its body. The end of ctx also ends the stream. The kinds of the
// returned errors are:
//   - TargetUnreachable: no byte of the request was sent
//   - TargetLost: the connection broke after that, or the response is invalid;
//     the cause is ErrUnbounded if it exceeds a limit
//   - AnswerTimeout: ctx ended while the request was in progress
//   - AnswerTooLarge: the announced length of the body exceeds MaxBodyBytes
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, *errkind.Error) {
	c, err := p.getConn(ctx, req)
	if err != nil {
		return nil, errkind.Wrap(errkind.TargetUnreachable, err, "no connection to %s", req.Addr)
	}
	// The wait for a connection may have been long, and aborting the connection after
	// the write doesn't take back what the kernel has sent.
	if req.Proceed != nil && !req.Proceed() || ctx.Err() != nil {
		p.keepUnused(req.Addr, c)
		return nil, errkind.Wrap(errkind.TargetUnreachable, ErrWithdrawn, "nothing was sent to %s", req.Addr)
	}
	stopAbort := context.AfterFunc(ctx, c.abort)
	resp, failure := c.exchange(req)
	if failure != nil {
		stopAbort()
		c.abort()
		if ctx.Err() != nil {
			return nil, errkind.Wrap(errkind.AnswerTimeout, ctx.Err(), "no response from %s in time", req.Addr)
		}
		return nil, failure
	}
	release := func() {
		switch sent := c.requestSent(); {
		case !stopAbort():
		case sent:
			c.completed++
			p.putIdle(req.Addr, c, resp.Header)
		default:
			c.abort()
		}
	}
	if resp.Rest == nil {
		release()
		return resp, nil
	}
	resp.Rest.release, resp.Rest.discard = release, func() {
		stopAbort()
		c.abort()
	}
	return resp, nil
}

// getConn returns an idle connection that is still usable, or a new one.
func (p *Pool) getConn(ctx context.Context, req *Request) (*conn, error) {
	addr := req.Addr
	for {
		c := p.popIdle(req)
		if c == nil {
			break
		}
		if time.Now().Before(c.usableUntil) && c.usable() {
			return c, nil
		}
		_ = c.nc.Close()
	}
	return p.dial(ctx, addr)
}

// Connect opens a connection to a target and keeps it for later requests. The
// errors are those that Do wraps in TargetUnreachable.
func (p *Pool) Connect(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err == nil {
		p.putIdle(addr, c, http.Header{})
	}
	return err
}

// dial opens a connection and watches it for a reset before it is used.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	began := time.Now()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if errors.Is(err, syscall.ECONNRESET) {
		return nil, ErrResetBeforeRequest
	}
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	c := newConn(nc)
	if clock.Sleep(ctx, min(time.Since(began)+resetMargin, maxResetWait)); !c.usable() {
		_ = nc.Close()
		return nil, ErrResetBeforeRequest
	}
	p.mu.Lock()
	p.acceptedAt = time.Now()
	p.mu.Unlock()
	return c, nil
}

// AcceptedWithin reports whether a target has accepted a connection within the last
// d.
func (p *Pool) AcceptedWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.acceptedAt) < d
}

// popIdle removes and returns the most recently used idle connection that was not
// used for the request; nil if there is none.
func (p *Pool) popIdle(req *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[req.Addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !c.hasSent(req.ID) && !req.Used.contains(c) {
			p.idle[req.Addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// putIdle puts a connection that is new or has received a complete response into
// the pool. Bytes after the response belong to no request, so a connection with
// such bytes is closed.
func (p *Pool) putIdle(addr string, c *conn, h http.Header) {
	if c.r.Buffered() > 0 || strings.EqualFold(h.Get("Connection"), "close") {
		_ = c.nc.Close()
		return
	}
	c.usableUntil = time.Now().Add(idleTime(h))
	p.addIdle(addr, c)
}

// keepUnused returns a connection to the pool that was taken for a request which
// was not sent.
func (p *Pool) keepUnused(addr string, c *conn) {
	if c.completed == 0 {
		c.usableUntil = time.Now().Add(defaultIdleTime)
	}
	p.addIdle(addr, c)
}

// addIdle adds an idle connection unless there are enough of them.
func (p *Pool) addIdle(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdleConns {
		_ = c.nc.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.nc.Close()
	}
}

// CloseExpired closes idle connections whose idle time is over, that their target has
// closed, or on which it sent bytes that belong to no request. Such bytes wait in the
// kernel, where they count towards the memory of the VM.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) && c.usable() {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.nc.Close()
	}
}
