package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// ErrInvalid is the cause of TargetLost when a response is not valid HTTP/1.1.
var ErrInvalid = errors.New("the response is not valid HTTP/1.1")

// invalid returns ErrInvalid with a reason. The reason names the rule and contains no
// bytes of the response.
func invalid(reason string) error { return fmt.Errorf("%w: %s", ErrInvalid, reason) }

// Status codes of valid responses.
const (
	minStatus = 100
	maxStatus = 599
)

// Byte classes of RFC 9110, section 5.
const (
	tokenByte = 1 << iota
	// textByte is allowed in values and reason phrases: blank, tab, visible characters
	// and bytes beyond ASCII.
	textByte
)

// byteClasses holds the classes of each byte.
var byteClasses = func() (classes [256]uint8) {
	for b := range classes {
		if b == '\t' || b >= ' ' && b != 0x7f {
			classes[b] |= textByte
		}
		if b >= '0' && b <= '9' || b >= 'A' && b <= 'Z' || b >= 'a' && b <= 'z' || b < 0x80 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(b)) >= 0 {
			classes[b] |= tokenByte
		}
	}
	return classes
}()

// isText reports whether s has only bytes that are allowed in values.
func isText(s string) bool {
	for i := range len(s) {
		if byteClasses[s[i]]&textByte == 0 {
			return false
		}
	}
	return true
}

// head is the valid head of a response.
type head struct {
	status int
	header http.Header
	// length is the length of the body: 0 if the status allows none, -1 if it is chunked
	// or ends with the connection. For HEAD, it is the announced length, or -1 without.
	length int64
	// chunked reports that the body is chunked.
	chunked bool
	// hasBody reports whether a body follows.
	hasBody bool
	// close reports that the connection ends after the response.
	close bool
}

// statusLineBytes is the length of a status line up to the blank before the reason.
const statusLineBytes = len("HTTP/1.1 200 ")

// parseHead parses the head of the response to a request with the given method. Each
// line of raw ends with CRLF, and the last one is empty. The error is ErrInvalid or
// ErrMergedHead.
func parseHead(raw []byte, method string) (*head, error) {
	text := string(raw)
	line, rest, _ := strings.Cut(text, "\r\n")
	h, oldVersion, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	if h.header, err = parseFields(rest); err != nil {
		return nil, err
	}
	// Most heads contain no second version, and the search for one is fast.
	if strings.Contains(text[len("HTTP/1.1"):], "HTTP/1.") && hasMergedHead(line[statusLineBytes:], h.header) {
		return nil, ErrMergedHead
	}
	if err := h.frame(method, oldVersion); err != nil {
		return nil, err
	}
	return h, nil
}

// parseStatusLine parses a status line and reports whether its version is HTTP/1.0.
func parseStatusLine(line string) (h *head, oldVersion bool, err error) {
	if len(line) < statusLineBytes || line[8] != ' ' || line[12] != ' ' {
		return nil, false, invalid("malformed status line")
	}
	switch line[:8] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		oldVersion = true
	default:
		return nil, false, invalid("unknown version")
	}
	status := 0
	for _, digit := range []byte(line[9:12]) {
		if digit < '0' || digit > '9' {
			return nil, false, invalid("malformed status")
		}
		status = 10*status + int(digit-'0')
	}
	if status < minStatus || status > maxStatus {
		return nil, false, invalid("status out of range")
	}
	if !isText(line[statusLineBytes:]) {
		return nil, false, invalid("control byte in the reason phrase")
	}
	return &head{status: status}, oldVersion, nil
}

// parseFields parses header lines, each of which ends with CRLF, up to the empty line.
func parseFields(lines string) (http.Header, error) {
	count := strings.Count(lines, "\n")
	header := make(http.Header, count)
	values := make([]string, 0, count)
	for {
		line, rest, _ := strings.Cut(lines, "\r\n")
		if line == "" {
			return header, nil
		}
		name, value, err := parseField(line)
		if err != nil {
			return nil, err
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		if previous, ok := header[name]; ok {
			header[name] = append(previous, value)
		} else {
			// Further values of the same name are copied, so that they don't
			// overwrite those of the next one.
			values = append(values, value)
			header[name] = values[len(values)-1 : len(values) : len(values)]
		}
		lines = rest
	}
}

// parseField parses a header or trailer line without CRLF.
func parseField(line string) (name, value string, err error) {
	end := 0
	for end < len(line) && byteClasses[line[end]]&tokenByte != 0 {
		end++
	}
	switch {
	case end == len(line) || line[end] != ':':
		return "", "", invalid("a name is no token or has no colon")
	case end == 0:
		return "", "", invalid("empty or folded line")
	}
	value = line[end+1:]
	if !isText(value) {
		return "", "", invalid("control byte in a value")
	}
	return line[:end], strings.Trim(value, " \t"), nil
}

// frame determines where the response ends. The rules are those of RFC 9112, section
// 6.3, without the exceptions that a client may make for faulty servers.
func (h *head) frame(method string, oldVersion bool) error {
	length, err := contentLength(h.header)
	if err != nil {
		return err
	}
	if h.chunked, err = isChunked(h.header); err != nil {
		return err
	}
	noContent := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case h.chunked && length >= 0:
		return invalid("both a length and a transfer coding")
	case h.chunked && (oldVersion || noContent):
		return invalid("transfer coding where none is allowed")
	case length > 0 && noContent:
		return invalid("length where no content is allowed")
	case h.chunked && (hasToken(h.header["Trailer"], "Content-Length") || hasToken(h.header["Trailer"], "Transfer-Encoding") || hasToken(h.header["Trailer"], "Trailer")):
		return invalid("a trailer determines the end of the body")
	}
	// The coding applies to one connection; bodies are forwarded without it.
	delete(h.header, "Transfer-Encoding")
	h.length = length
	switch {
	case method == http.MethodHead:
	case noContent || h.status == http.StatusNotModified:
		h.length = 0
	default:
		h.hasBody = length != 0
	}
	h.close = hasToken(h.header["Connection"], "close") || oldVersion && !hasToken(h.header["Connection"], "keep-alive") ||
		h.hasBody && !h.chunked && length < 0
	return nil
}

// contentLength returns the announced length, or -1 if there is none. Equal lines
// count as one.
func contentLength(h http.Header) (int64, error) {
	values, ok := h["Content-Length"]
	if !ok {
		return -1, nil
	}
	for _, value := range values[1:] {
		if value != values[0] {
			return 0, invalid("conflicting lengths")
		}
	}
	for _, digit := range []byte(values[0]) {
		if digit < '0' || digit > '9' {
			return 0, invalid("malformed length")
		}
	}
	length, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil {
		return 0, invalid("malformed length")
	}
	h["Content-Length"] = values[:1]
	return length, nil
}

// isChunked reports whether the body is chunked. No other transfer coding is accepted.
func isChunked(h http.Header) (bool, error) {
	values, ok := h["Transfer-Encoding"]
	if !ok {
		return false, nil
	}
	if len(values) != 1 || !strings.EqualFold(values[0], "chunked") {
		return false, invalid("transfer coding other than chunked")
	}
	return true, nil
}

// hasToken reports whether one of the lists contains a token.
func hasToken(lists []string, token string) bool {
	for _, list := range lists {
		for item := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.Trim(item, " \t"), token) {
				return true
			}
		}
	}
	return false
}
