package callers

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Sizes of the parts of a response.
const (
	// heldBytes is how many bytes of a body without an announced length are held back
	// before the head is written: a shorter response gets its length announced.
	heldBytes = 2 << 10
	// flushBytes is the size from which buffered bytes are written at once, and
	// joinBytes that up to which a part of a body is joined with them.
	flushBytes = 4 << 10
	joinBytes  = 32 << 10
	// partBytes is the size of the parts for each of which WriteTimeout holds.
	partBytes = 64 << 10
)

// errEnded is the error of a write to a response whose connection has ended.
var errEnded = errors.New("the connection has ended")

// response implements http.ResponseWriter. It is used by the goroutine of its handler.
// Until its turn comes, it buffers the response.
type response struct {
	e      *exchange
	header http.Header
	// sent is the copy of header at WriteHeader.
	sent   http.Header
	status int
	// length is the announced length of the body or -1, and written the number of bytes
	// that the handler has written.
	length, written int64
	// held is the part of the body that was written before the head was.
	held []byte
	// headWritten is true once the head was added to buf; bodyless and chunked then say
	// how the body is written.
	headWritten, bodyless, chunked bool
	buf                            []byte
	// inTurn is true once the response may be written to the connection.
	inTurn bool
	// timeout is the time for writing from when the turn comes, if the handler has set a
	// deadline before; 0 means no limit.
	timeout time.Duration
	// deadlineSet is true once the handler has set a deadline for writing.
	deadlineSet bool
	err         error
	// broken is true if a write to the connection has failed.
	broken bool
}

func newResponse(e *exchange) *response {
	w := &response{e: e, header: make(http.Header), length: -1}
	if e.body != nil && hasToken(e.req.Header.Get("Expect"), "100-continue") && e.req.ProtoAtLeast(1, 1) {
		e.body.onFirstRead = w.sendContinue
	}
	return w
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if status < 100 || status > 999 {
		panic("invalid status " + strconv.Itoa(status))
	}
	if w.status != 0 {
		return
	}
	if status < 200 && status != http.StatusSwitchingProtocols {
		if w.e.req.ProtoAtLeast(1, 1) {
			var head bytes.Buffer
			writeStatusLine(&head, true, status)
			_ = w.header.WriteSubset(&head, map[string]bool{"Content-Length": true, "Transfer-Encoding": true})
			head.WriteString("\r\n")
			if w.push(head.Bytes()) == nil && w.tryTurn() {
				w.flush()
			}
		}
		return
	}
	w.status, w.sent = status, w.header.Clone()
	if value := w.sent.Get("Content-Length"); value != "" {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			w.sent.Del("Content-Length")
		} else {
			w.length = n
		}
	}
}

// sendContinue tells the caller to send the body of its request.
func (w *response) sendContinue() {
	if w.status == 0 && w.push([]byte("HTTP/1.1 100 Continue\r\n\r\n")) == nil && w.tryTurn() {
		w.flush()
	}
}

// bodyAllowed reports whether a response with a status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// Write implements http.ResponseWriter. If the response's turn hasn't come and maxBuffered
// is reached, it waits for the turn.
func (w *response) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if !bodyAllowed(w.status) {
		return 0, http.ErrBodyNotAllowed
	}
	if w.written += int64(len(p)); w.length >= 0 && w.written > w.length {
		return 0, http.ErrContentLength
	}
	if !w.headWritten {
		if len(w.held)+len(p) <= heldBytes {
			w.held = append(w.held, p...)
			return len(p), nil
		}
		w.writeHead(false, p)
	}
	if err := w.writeBody(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// writeBody adds a part of the body to the response.
func (w *response) writeBody(p []byte) error {
	switch {
	case w.bodyless || len(p) == 0:
		return w.err
	case !w.chunked:
		return w.push(p)
	}
	framed := make([]byte, 0, len(p)+16)
	framed = append(strconv.AppendInt(framed, int64(len(p)), 16), "\r\n"...)
	return w.push(append(append(framed, p...), "\r\n"...))
}

// push buffers bytes or, once the turn has come, writes them to the connection.
func (w *response) push(p []byte) error {
	if w.err != nil {
		return w.err
	}
	if !w.tryTurn() {
		if len(w.buf)+len(p) <= maxBuffered {
			w.buf = append(w.buf, p...)
			return nil
		}
		if err := w.awaitTurn(w.e.ctx.Done()); err != nil {
			w.err = err
			return err
		}
	}
	if len(w.buf)+len(p) > joinBytes {
		w.flush()
		w.send(p)
		return w.err
	}
	if w.buf = append(w.buf, p...); len(w.buf) >= flushBytes {
		w.flush()
	}
	return w.err
}

// flush writes the buffered bytes to the connection; it must be the response's turn.
func (w *response) flush() {
	w.send(w.buf)
	w.buf = w.buf[:0]
}

func (w *response) send(p []byte) {
	for w.err == nil && len(p) > 0 {
		part := p[:min(len(p), partBytes)]
		if limit := w.e.conn.server.cfg.WriteTimeout; limit > 0 && !w.deadlineSet {
			_ = w.e.conn.rwc.SetWriteDeadline(time.Now().Add(limit))
		}
		if _, err := w.e.conn.rwc.Write(part); err != nil {
			w.err, w.broken = err, true
			w.e.conn.end()
		}
		p = p[len(part):]
	}
}

// tryTurn reports whether the response's turn has come.
func (w *response) tryTurn() bool {
	if w.inTurn {
		return true
	}
	select {
	case <-w.e.turn:
		return w.awaitTurn(nil) == nil
	default:
		return false
	}
}

// awaitTurn waits for the response's turn. It returns an error if the connection ends
// first, or when cancelled is closed.
func (w *response) awaitTurn(cancelled <-chan struct{}) error {
	if w.inTurn {
		return nil
	}
	select {
	case <-w.e.turn:
	case <-w.e.conn.ended:
		return errEnded
	case <-cancelled:
		return w.e.ctx.Err()
	}
	w.inTurn = true
	var deadline time.Time
	if w.timeout > 0 {
		deadline = time.Now().Add(w.timeout)
	}
	_ = w.e.conn.rwc.SetWriteDeadline(deadline)
	return nil
}

// finish completes the response after its handler has returned. It returns false if the
// response is incomplete.
func (w *response) finish() bool {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.headWritten {
		w.writeHead(true, nil)
	}
	if w.chunked {
		_ = w.push([]byte("0\r\n\r\n"))
	}
	short := w.length >= 0 && w.length != w.written && !w.bodyless
	if short {
		w.e.conn.markBroken(w.e)
	}
	if w.err != nil || w.awaitTurn(nil) != nil {
		return false
	}
	w.flush()
	return w.err == nil && !short
}

// writeHead adds the head and the part of the body that was held back to the response.
// done reports that the handler has returned, and next is the next part of the body.
// Default headers are those of net/http.
func (w *response) writeHead(done bool, next []byte) {
	w.headWritten = true
	h, req := w.sent, w.e.req
	h.Del("Transfer-Encoding")
	w.bodyless = req.Method == http.MethodHead || !bodyAllowed(w.status)
	if w.length < 0 && done && bodyAllowed(w.status) && (!w.bodyless || len(w.held) > 0) {
		w.length = int64(len(w.held))
		h.Set("Content-Length", strconv.FormatInt(w.length, 10))
	}
	closes := req.Close || hasToken(h.Get("Connection"), "close")
	if !w.bodyless && w.length < 0 {
		w.chunked = req.ProtoAtLeast(1, 1)
		closes = closes || !w.chunked
	}
	keepAlive10 := wantsKeepAlive(req) && (w.bodyless || w.length >= 0)
	closes = closes || !req.ProtoAtLeast(1, 1) && !keepAlive10
	// What remains of an unread body must not be parsed as another request.
	closes = closes || w.e.body != nil && !w.e.body.sawEnd.Load()
	closes = w.e.conn.closesAfter(w.e, closes)
	saysClose := hasToken(h.Get("Connection"), "close")
	switch {
	case closes && req.ProtoAtLeast(1, 1):
		h.Set("Connection", "close")
	case closes != saysClose:
		h.Del("Connection")
	case !closes && keepAlive10 && h["Connection"] == nil:
		h.Set("Connection", "keep-alive")
	}
	if closes {
		h.Del("Keep-Alive")
	}
	w.writeDefaults(next)
	var head bytes.Buffer
	head.Grow(512)
	writeStatusLine(&head, req.ProtoAtLeast(1, 1), w.status)
	_ = h.Write(&head)
	head.WriteString("\r\n")
	_ = w.push(head.Bytes())
	_ = w.writeBody(w.held)
	w.held = nil
}

// sniffBytes is how many bytes of a body http.DetectContentType considers.
const sniffBytes = 512

// writeDefaults adds the headers that the handler has neither set nor suppressed. next is
// the part of the body after the one that was held back.
func (w *response) writeDefaults(next []byte) {
	h := w.sent
	if w.chunked {
		h.Set("Transfer-Encoding", "chunked")
	}
	if _, set := h["Date"]; !set {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if !bodyAllowed(w.status) {
		h.Del("Content-Length")
		if w.status == http.StatusNotModified {
			h.Del("Content-Type")
		}
		return
	}
	if _, set := h["Content-Type"]; !set && h.Get("Content-Encoding") == "" && len(w.held)+len(next) > 0 {
		h.Set("Content-Type", http.DetectContentType(append(slices.Clip(w.held), next[:min(len(next), sniffBytes)]...)))
	}
}

func writeStatusLine(b *bytes.Buffer, is11 bool, status int) {
	proto := "HTTP/1.0 "
	if is11 {
		proto = "HTTP/1.1 "
	}
	text := http.StatusText(status)
	if text == "" {
		text = "status code " + strconv.Itoa(status)
	}
	b.WriteString(proto + strconv.Itoa(status) + " " + text + "\r\n")
}

// WriteString implements io.StringWriter.
func (w *response) WriteString(s string) (int, error) { return w.Write([]byte(s)) }

// FlushError sends what was written so far, once the response's turn has come.
func (w *response) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.headWritten {
		w.writeHead(false, nil)
	}
	if w.err == nil {
		w.err = w.awaitTurn(w.e.ctx.Done())
	}
	if w.err == nil {
		w.flush()
	}
	return w.err
}

// Flush implements http.Flusher.
func (w *response) Flush() { _ = w.FlushError() }

// SetWriteDeadline sets the deadline for writing the response. Before the response's
// turn, it sets the time that remains from then on.
func (w *response) SetWriteDeadline(t time.Time) error {
	w.deadlineSet = true
	if w.inTurn || w.tryTurn() {
		return w.e.conn.rwc.SetWriteDeadline(t)
	}
	w.timeout = 0
	if !t.IsZero() {
		w.timeout = max(time.Until(t), time.Nanosecond)
	}
	return nil
}

// SetReadDeadline sets the deadline for reading the body of the request. Without a body,
// it has no effect: the server goes on reading the connection.
func (w *response) SetReadDeadline(t time.Time) error {
	if w.e.body == nil {
		return nil
	}
	w.e.body.deadlineSet.Store(true)
	return w.e.conn.rwc.SetReadDeadline(t)
}

// requestBody is the body of a request.
type requestBody struct {
	inner io.Reader
	// onFirstRead, if set, is called before the first read.
	onFirstRead func()
	// sawEnd is true once the body was read to its end, and closed once the request has
	// ended.
	sawEnd, closed atomic.Bool
	// deadlineSet is true once a deadline was set for reading the connection.
	deadlineSet atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.onFirstRead != nil {
		b.onFirstRead()
		b.onFirstRead = nil
	}
	n, err := b.inner.Read(p)
	if err == io.EOF {
		b.sawEnd.Store(true)
	}
	return n, err
}

// Close implements io.Closer. The connection closes after the response unless the body
// was read to its end.
func (b *requestBody) Close() error {
	b.closed.Store(true)
	return nil
}

// hasToken reports whether a list of tokens contains one.
func hasToken(list, token string) bool {
	return httpguts.HeaderValuesContainsToken([]string{list}, token)
}

// wantsKeepAlive reports whether an HTTP/1.0 request asks for a persistent connection.
func wantsKeepAlive(req *http.Request) bool {
	return !req.ProtoAtLeast(1, 1) && httpguts.HeaderValuesContainsToken(req.Header["Connection"], "keep-alive")
}
