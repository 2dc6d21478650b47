// Package upstream sends requests to targets over HTTP/1.1 connections that it
// keeps. It never sends a request twice: whether a failed send may be repeated
// is for the caller to decide, from the kind of the error.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Limits of connections.
const (
	// dialTimeout bounds a new connection: a round trip between regions is 16 ms,
	// and a lost packet is sent again after a second.
	dialTimeout = 400 * time.Millisecond
	// settleTime is how much longer than a round trip a new connection is watched
	// before a request is sent on it. A target that has too many connections resets
	// a new one as soon as it has accepted it; a request that was written by then
	// may have run, for all that the entry knows, and could not go elsewhere.
	settleTime = 2 * time.Millisecond
	// maxSettle bounds the watch: a first packet that was lost says nothing about
	// the round trip.
	maxSettle = 25 * time.Millisecond
	// silentTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken. It covers two retransmissions of a lossy link.
	silentTimeout = 1200 * time.Millisecond
	// idleDefault is how long a connection is kept when its target names no time.
	idleDefault = 4 * time.Second
	// idleShare is the part of the announced idle time for which a connection is
	// used, so that a request does not cross the target's close.
	idleShare = 0.6
	// maxIdle bounds the idle connections to one target.
	maxIdle = 8
	// readBuffer is the buffer of one connection, in bytes.
	readBuffer = 4 << 10
	// MaxBody bounds a response body that is held in memory, in bytes.
	MaxBody = 64 << 20
)

// ErrResetAtOnce is the cause of TargetUnreachable when a target accepted a
// connection and reset it before a request was sent: it has too many.
var ErrResetAtOnce = errors.New("the target reset the new connection")

// Request is one request as it goes to a target.
type Request struct {
	// Addr is the target's address.
	Addr string
	// URI is the path with query, exactly as the caller sent it.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// HasBody says that the caller sent a body, be it empty.
	HasBody bool
	// Accept reports whether a response answers this request; nil accepts any.
	// The connection of a response that is not accepted is closed.
	Accept func(*Response) bool
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Reused says that the connection had carried a request before.
	Reused bool
}

// Pool keeps connections to targets.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// dials counts the connections opened.
	dials  uint64
	dialer net.Dialer
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle:   make(map[string][]*conn),
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout},
	}
}

// setUserTimeout makes a connection fail when its peer is gone without a word.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// conn is one connection.
type conn struct {
	nc     net.Conn
	r      *bufio.Reader
	served int
	// until is when the connection is no longer used.
	until time.Time
}

// Dials returns how many connections were opened.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Do sends a request and returns the whole response. Errors are *errkind.Error:
// TargetUnreachable when no byte was sent, TargetLost when the connection broke
// after that, AnswerTimeout when ctx ended, AnswerTooLarge.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, *errkind.Error) {
	c, err := p.take(ctx, req.Addr)
	if err != nil {
		return nil, errkind.Wrap(errkind.TargetUnreachable, err, "no connection to %s", req.Addr)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	resp, failure := c.exchange(req)
	alive := stop()
	if failure != nil {
		_ = c.nc.Close()
		if ctx.Err() != nil {
			return nil, errkind.Wrap(errkind.AnswerTimeout, ctx.Err(), "no response from %s in time", req.Addr)
		}
		return nil, failure
	}
	if !alive {
		return resp, nil
	}
	p.put(req.Addr, c, resp.Header)
	return resp, nil
}

// take returns a kept connection that is still sound, or a new one.
func (p *Pool) take(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		_ = c.nc.Close()
	}
	began := time.Now()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if errors.Is(err, syscall.ECONNRESET) {
		return nil, ErrResetAtOnce
	}
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	c := &conn{nc: nc, r: bufio.NewReaderSize(nc, readBuffer)}
	if clock.Pause(ctx, min(time.Since(began)+settleTime, maxSettle)); !c.quiet() {
		_ = nc.Close()
		return nil, ErrResetAtOnce
	}
	return c, nil
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put keeps a connection after a complete response. Bytes beyond the response
// belong to no request, so a connection that has any is closed.
func (p *Pool) put(addr string, c *conn, h http.Header) {
	if c.r.Buffered() > 0 || strings.EqualFold(h.Get("Connection"), "close") {
		_ = c.nc.Close()
		return
	}
	c.served++
	c.until = time.Now().Add(idleTime(h))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdle {
		_ = c.nc.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// idleTime returns how long a connection is kept, from the response's
// Keep-Alive header.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(idleShare * float64(seconds) * float64(time.Second))
		}
	}
	return idleDefault
}

// CloseIdle closes the kept connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.nc.Close()
	}
}

// Sweep closes kept connections that are no longer used.
func (p *Pool) Sweep() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
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

// quiet reports whether the connection is open and has no unread bytes. Unread
// bytes are a late or second response of an earlier request.
func (c *conn) quiet() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// exchange writes the request and reads the response.
func (c *conn) exchange(req *Request) (*Response, *errkind.Error) {
	lost := func(err error) *errkind.Error {
		return errkind.Wrap(errkind.TargetLost, err, "connection to %s broke", req.Addr)
	}
	if _, err := c.nc.Write(encode(req)); err != nil {
		return nil, lost(err)
	}
	resp, err := c.readFinal(req)
	if err != nil {
		return nil, lost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	if err != nil {
		return nil, lost(err)
	}
	if len(body) > MaxBody {
		return nil, errkind.New(errkind.AnswerTooLarge, "response of %s is too large", req.Addr)
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	whole := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Reused: c.served > 0}
	if req.Accept != nil && !req.Accept(whole) {
		return nil, errkind.New(errkind.TargetLost, "%s sent a response that does not answer the request", req.Addr)
	}
	return whole, nil
}

// readFinal reads a response, passing over interim ones.
func (c *conn) readFinal(req *Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("target switched the protocol")
		}
	}
}

// encode writes the request with its URI and header values unchanged.
func encode(req *Request) []byte {
	b := make([]byte, 0, 512+len(req.Body))
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if req.HasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, req.Body...)
}
