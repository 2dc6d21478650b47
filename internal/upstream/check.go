package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Check reports whether a response to a request with the given method, which another
// process has read whole, is valid and complete. The error is ErrInvalid or
// ErrMergedHead.
func (r *Response) Check(method string) error {
	if r.Status < http.StatusOK || r.Status > maxStatus {
		return invalid("status out of range")
	}
	if err := checkHeader(r.Header); err != nil {
		return err
	}
	if hasMergedHead("", r.Header) {
		return ErrMergedHead
	}
	length, err := contentLength(r.Header)
	if err != nil {
		return err
	}
	switch {
	case method == http.MethodHead || r.Status == http.StatusNoContent || r.Status == http.StatusNotModified:
		if len(r.Body) > 0 {
			return invalid("body where none is allowed")
		}
	case r.Length != int64(len(r.Body)) || length >= 0 && length != r.Length:
		return invalid("the body doesn't have its length")
	}
	return nil
}

// checkHeader checks the names and values of headers. Names are in the canonical form in
// which a head is read, so that a second form can't hide a length. No transfer coding is
// allowed: it belongs to one connection.
func checkHeader(h http.Header) error {
	for name, values := range h {
		if name == "" || strings.IndexFunc(name, func(r rune) bool { return r >= 0x80 || byteClasses[r]&tokenByte == 0 }) >= 0 {
			return invalid("a name is no token")
		}
		if textproto.CanonicalMIMEHeaderKey(name) != name {
			return invalid("a name is not canonical")
		}
		for _, value := range values {
			if !isText(value) {
				return invalid("control byte in a value")
			}
		}
	}
	if _, ok := h["Transfer-Encoding"]; ok {
		return invalid("transfer coding of another connection")
	}
	if values, ok := h["Content-Length"]; ok && len(values) == 0 {
		return invalid("malformed length")
	}
	return nil
}
