package callers

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// readBufferBytes is the size of the buffer in which heads are read; it grows for longer
// heads. Up to as many bytes behind a head are read ahead.
const readBufferBytes = 4 << 10

// headReader reads heads of requests from a connection.
type headReader struct {
	conn net.Conn
	// unread holds bytes that Read returns before those of the connection.
	unread []byte
	buf    *bufio.Reader
	// inHead is true while a head is read. Each read is then limited, so that a grown
	// buffer doesn't read ahead more than another one.
	inHead bool
	// blanks is the number of CR and LF that may still be skipped before the next
	// request: some clients send them after the body of a POST (RFC 9112, 2.2).
	blanks int
}

func newHeadReader(conn net.Conn) *headReader {
	h := &headReader{conn: conn}
	h.buf = bufio.NewReaderSize(h, readBufferBytes)
	return h
}

// Read implements io.Reader for buf.
func (h *headReader) Read(p []byte) (int, error) {
	if len(h.unread) > 0 {
		n := copy(p, h.unread)
		if h.unread = h.unread[n:]; len(h.unread) == 0 {
			h.unread = nil // an empty slice would keep the previous buffer in memory
		}
		return n, nil
	}
	if h.inHead && len(p) > readBufferBytes {
		p = p[:readBufferBytes]
	}
	return h.conn.Read(p)
}

// resize replaces the buffer by one of another size with the same content.
func (h *headReader) resize(size int) {
	// unread is empty here: all of it was moved into the previous buffer.
	buffered := h.buf.Buffered()
	if buffered > 0 {
		h.unread, _ = h.buf.Peek(buffered)
	}
	h.buf = bufio.NewReaderSize(h, size)
	_, _ = h.buf.Peek(buffered)
}

// refusal is an error of a request that the server itself refuses.
type refusal struct {
	status int
	text   string
}

// Error implements error.
func (r *refusal) Error() string { return r.text }

func badRequest(text string) *refusal { return &refusal{http.StatusBadRequest, text} }

// read returns the next request, a *refusal for one that must be refused, or the error
// of the connection. limit returns the maximum size of a head. Before it waits for more
// of a head, it calls waiting with the part that was received, and before it holds or
// parses one that exceeds the usual size, mayHold, which returns false if the connection
// has ended.
func (h *headReader) read(limit func() int64, waiting func(part head), mayHold func(part head) bool) (*http.Request, error) {
	h.inHead = true
	defer func() { h.inHead = false }()
	if h.buf.Size() > readBufferBytes && h.buf.Buffered() <= readBufferBytes {
		h.resize(readBufferBytes)
	}
	head, err := h.awaitHead(limit, waiting, mayHold)
	if err != nil {
		return nil, err
	}
	fields, err := scanHead(head)
	if err != nil {
		return nil, err
	}
	rest := h.buf.Buffered() - len(head)
	req, err := http.ReadRequest(h.buf)
	if err != nil {
		return nil, parseError(err)
	}
	if h.buf.Buffered() != rest {
		return nil, badRequest("malformed headers")
	}
	if req.Method == http.MethodPost {
		h.blanks = 4
	}
	return req, fields.check(req)
}

// awaitHead reads until the buffer holds a whole head, which it returns.
func (h *headReader) awaitHead(limit func() int64, waiting func(part head), mayHold func(part head) bool) ([]byte, error) {
	var part head
	lineChecked := false
	for {
		h.skipBlanks()
		data, _ := h.buf.Peek(h.buf.Buffered())
		seen := int(part.bytes)
		end := headEnd(data, max(0, seen-3))
		if int64(end) > limit() || end == 0 && int64(len(data)) > limit() {
			return nil, &refusal{http.StatusRequestHeaderFieldsTooLarge, ""}
		}
		if end > 0 {
			data = data[:end]
		}
		part.lines += int64(bytes.Count(data[seen:], []byte{'\n'}))
		part.bytes = int64(len(data))
		if part.memory() > 0 && !mayHold(part) {
			return nil, io.EOF
		}
		if end > 0 {
			h.blanks = 0
			return data, nil
		}
		if line := bytes.IndexByte(data, '\n'); line >= 0 && !lineChecked {
			// A malformed request line is refused before the rest of the head arrives.
			lineChecked = true
			if _, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(data[:line+1]) + "\r\n"))); err != nil {
				return nil, parseError(err)
			}
		}
		if len(data) == h.buf.Size() {
			h.resize(min(2*len(data), int(limit())+1))
		}
		waiting(part)
		if _, err := h.buf.Peek(len(data) + 1); err != nil {
			return nil, err
		}
	}
}

// skipBlanks skips the CR and LF that may precede a request.
func (h *headReader) skipBlanks() {
	for h.blanks > 0 && h.buf.Buffered() > 0 {
		next, _ := h.buf.Peek(1)
		if next[0] != '\r' && next[0] != '\n' {
			h.blanks = 0
			return
		}
		_, _ = h.buf.Discard(1)
		h.blanks--
	}
}

// headEnd returns the length of the head at the start of data, or 0 if data doesn't hold
// its end. Lines end with LF or CRLF, as in net/textproto. The search begins at from. An
// empty first line is a head of its own, which isn't valid.
func headEnd(data []byte, from int) int {
	if len(data) > 0 && data[0] == '\n' {
		return 1
	}
	if bytes.HasPrefix(data, []byte("\r\n")) {
		return 2
	}
	for {
		at := bytes.IndexByte(data[from:], '\n')
		if at < 0 {
			return 0
		}
		from += at + 1
		switch rest := data[from:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + 2
		}
	}
}

// headFields are the fields of a head that http.ReadRequest changes or removes.
type headFields struct {
	hosts                     []string
	transferEncoding, lengths int
}

// scanHead returns the fields of a head. It refuses folded lines, which intermediaries
// interpret differently.
func scanHead(head []byte) (headFields, error) {
	var f headFields
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(fields) {
		if line[0] == ' ' || line[0] == '\t' {
			return f, badRequest("folded header line")
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Host")):
			f.hosts = append(f.hosts, string(bytes.TrimSpace(value)))
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.transferEncoding++
		case bytes.EqualFold(name, []byte("Content-Length")):
			f.lengths++
		}
	}
	return f, nil
}

// check returns the reason for which a request must be refused; nil if there is none.
// Apart from those on Transfer-Encoding, the rules are those of net/http.
func (f headFields) check(req *http.Request) error {
	switch {
	case req.ProtoMajor != 1:
		return &refusal{http.StatusHTTPVersionNotSupported, "unsupported protocol version"}
	case len(f.hosts) == 0 && req.ProtoAtLeast(1, 1) && req.Method != http.MethodConnect:
		return badRequest("missing required Host header")
	case len(f.hosts) == 1 && !httpguts.ValidHostHeader(f.hosts[0]):
		return badRequest("malformed Host header")
	case f.transferEncoding > 0 && f.lengths > 0:
		return badRequest("both Transfer-Encoding and Content-Length")
	case f.transferEncoding > 0 && !req.ProtoAtLeast(1, 1):
		return badRequest("Transfer-Encoding in HTTP/1.0")
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return badRequest("invalid header name")
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return badRequest("invalid header value")
			}
		}
	}
	return nil
}

// parseError converts an error of http.ReadRequest for a whole head.
func parseError(err error) error {
	// The type of this error is not exported.
	for _, text := range []string{"unsupported transfer encoding", "too many transfer encodings"} {
		if strings.HasPrefix(err.Error(), text) {
			return &refusal{http.StatusNotImplemented, "unsupported transfer encoding"}
		}
	}
	return badRequest("")
}

// respond writes the refusal as the last response of its connection.
func (r *refusal) respond(w http.ResponseWriter) {
	text := strconv.Itoa(r.status) + " " + http.StatusText(r.status)
	if r.text != "" {
		text += ": " + r.text
	}
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(text))
}

// asRefusal returns err as a refusal, or nil if it is an error of the connection.
func asRefusal(err error) *refusal {
	var r *refusal
	errors.As(err, &r)
	return r
}
