package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// head200 returns a response without a body and with the given header lines.
func head200(lines string) string {
	return "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 0\r\n\r\n"
}

// body200 returns a response with the given header lines and body.
func body200(lines, body string) string { return "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + body }

// chunked200 returns a response with the given chunked body.
func chunked200(body string) string { return body200("Transfer-Encoding: chunked\r\n", body) }

// invalidHeads are responses whose head isn't valid HTTP/1.1.
var invalidHeads = map[string]string{
	"status 000":                        "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n",
	"status 000 before another head":    "HTTP/1.1 000 Unknown\r\n\r\n" + head200(""),
	"status 099":                        "HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n",
	"status 600":                        "HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n",
	"status 999":                        "HTTP/1.1 999 High\r\nContent-Length: 0\r\n\r\n",
	"status with two digits":            "HTTP/1.1 20 Short\r\nContent-Length: 0\r\n\r\n",
	"status with four digits":           "HTTP/1.1 2000 Long\r\nContent-Length: 0\r\n\r\n",
	"status with a sign":                "HTTP/1.1 +20 Sign\r\nContent-Length: 0\r\n\r\n",
	"status without digits":             "HTTP/1.1 abc Text\r\nContent-Length: 0\r\n\r\n",
	"no status":                         "HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
	"no blank after the status":         "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
	"two blanks before the status":      "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
	"tab before the status":             "HTTP/1.1\t200 OK\r\nContent-Length: 0\r\n\r\n",
	"control byte in the reason":        "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n",
	"NUL in the reason":                 "HTTP/1.1 200 O\x00K\r\nContent-Length: 0\r\n\r\n",
	"bare CR in the reason":             "HTTP/1.1 200 O\rK\r\nContent-Length: 0\r\n\r\n",
	"empty line before the status line": "\r\n" + head200(""),
	"blank before the status line":      " " + head200(""),
	"version 2.0":                       "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
	"version 1.2":                       "HTTP/1.2 200 OK\r\nContent-Length: 0\r\n\r\n",
	"version 0.9":                       "HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n",
	"version 1.10":                      "HTTP/1.10 200 OK\r\nContent-Length: 0\r\n\r\n",
	"version 1":                         "HTTP/1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"version in lower case":             "http/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"other protocol":                    "ICAP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
	"no status line":                    "Content-Length: 0\r\n\r\n",
	"blank in a name":                   head200("X Y: z\r\n"),
	"blank after a name":                head200("X-Y : z\r\n"),
	"blank after the name of a length":  body200("Content-Length : 2\r\n", "ok"),
	"blank before a coding":             body200("Transfer-Encoding : chunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"tab after a name":                  head200("X-Y\t: z\r\n"),
	"control byte in a name":            head200("X\x01Y: z\r\n"),
	"control byte after a length name":  body200("Content-Length\x0b: 2\r\n", "ok"),
	"NUL in a name":                     head200("X\x00Y: z\r\n"),
	"CR in a name":                      head200("X\rY: z\r\n"),
	"DEL in a name":                     head200("X\x7fY: z\r\n"),
	"slash in a name":                   head200("X/Y: z\r\n"),
	"parenthesis in a name":             head200("X(Y): z\r\n"),
	"letter beyond ASCII in a name":     head200("X\xc3\xa4: z\r\n"),
	"empty name":                        head200(": z\r\n"),
	"line without a colon":              head200("X-Y z\r\n"),
	"control byte in a value":           head200("X: a\x01b\r\n"),
	"NUL in a value":                    head200("X: a\x00b\r\n"),
	"DEL in a value":                    head200("X: a\x7fb\r\n"),
	"vertical tab in a value":           head200("X: a\x0bb\r\n"),
	"bare CR in a value":                head200("X: a\rb\r\n"),
	"bare CR before a line":             head200("X: a\rContent-Length: 5\r\n"),
	"two CR at the end of a line":       head200("X: a\r\r\n"),
	"bare LF after the status line":     "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n",
	"bare LF after a header":            head200("X: a\n"),
	"bare LF at the end":                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\n",
	"bare LF everywhere":                "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
	"bare CR at the end":                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\r\n\r\n",
	"folded line":                       head200("X: a\r\n b\r\n"),
	"line folded with a tab":            head200("X: a\r\n\tb\r\n"),
	"folded length":                     body200("Content-Length:\r\n 2\r\n", "ok"),
	"folded line at the beginning":      head200(" X: a\r\n"),
	"two lengths":                       body200("Content-Length: 2\r\nContent-Length: 3\r\n", "ok!"),
	"list of lengths":                   body200("Content-Length: 2, 2\r\n", "ok"),
	"list of two lengths":               body200("Content-Length: 2, 3\r\n", "ok!"),
	"length with a sign":                body200("Content-Length: +2\r\n", "ok"),
	"negative length":                   body200("Content-Length: -2\r\n", "ok"),
	"length in hexadecimal":             body200("Content-Length: 0x2\r\n", "ok"),
	"length with a fraction":            body200("Content-Length: 2.0\r\n", "ok"),
	"length with a blank":               body200("Content-Length: 1 2\r\n", "0123456789ab"),
	"empty length":                      body200("Content-Length:\r\n", "ok"),
	"length without end":                body200("Content-Length: 99999999999999999999999\r\n", "ok"),
	"malformed length of no content":    "HTTP/1.1 204 No Content\r\nContent-Length: x\r\n\r\n",
	"length of no content":              "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
	"malformed length of not modified":  "HTTP/1.1 304 Not Modified\r\nContent-Length: x\r\n\r\n",
	"coding of no content":              "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"gzip":                              body200("Transfer-Encoding: gzip\r\n", "ok"),
	"identity":                          body200("Transfer-Encoding: identity\r\n", "ok"),
	"gzip before chunked":               body200("Transfer-Encoding: gzip, chunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"chunked before gzip":               body200("Transfer-Encoding: chunked, gzip\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"chunked twice":                     body200("Transfer-Encoding: chunked, chunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"chunked in two lines":              body200("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"identity in the second line":       body200("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"empty coding":                      body200("Transfer-Encoding:\r\n", "ok"),
	"unknown coding":                    body200("Transfer-Encoding: xchunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"coding with a parameter":           body200("Transfer-Encoding: chunked;x=y\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"coding and length":                 body200("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"length and coding":                 body200("Content-Length: 12\r\nTransfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"coding in HTTP/1.0":                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"announced trailer with a length":   body200("Transfer-Encoding: chunked\r\nTrailer: X, content-length\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"interim with a control byte":       "HTTP/1.1 103 Hints\r\nX: a\x01b\r\n\r\n" + head200(""),
	"interim with a blank in a name":    "HTTP/1.1 103 Hints\r\nX Y: z\r\n\r\n" + head200(""),
	"interim with a blank after a name": "HTTP/1.1 103 Hints\r\nX : z\r\n\r\n" + head200(""),
	"interim with a length":             "HTTP/1.1 103 Hints\r\nContent-Length: 2\r\n\r\nok" + head200(""),
	"interim with a coding":             "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + head200(""),
	"interim with a folded line":        "HTTP/1.1 103 Hints\r\nX: a\r\n b\r\n\r\n" + head200(""),
	"interim with bare LF":              "HTTP/1.1 103 Hints\nX: a\n\n" + head200(""),
	"invalid head after an interim one": "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n",
}

// invalidChunks are chunked bodies that aren't valid.
var invalidChunks = map[string]string{
	"no size":                  "\r\nok\r\n0\r\n\r\n",
	"size not in hexadecimal":  "g\r\nok\r\n0\r\n\r\n",
	"size with a sign":         "+2\r\nok\r\n0\r\n\r\n",
	"size with a prefix":       "0x2\r\nok\r\n0\r\n\r\n",
	"size without end":         "fffffffffffffffff\r\nok\r\n0\r\n\r\n",
	"size of 2^63":             "8000000000000000\r\nok\r\n0\r\n\r\n",
	"blank before the size":    " 2\r\nok\r\n0\r\n\r\n",
	"blank after the size":     "2 \r\nok\r\n0\r\n\r\n",
	"blank before extension":   "2 ;a=b\r\nok\r\n0\r\n\r\n",
	"tab after the size":       "2\t\r\nok\r\n0\r\n\r\n",
	"bare LF after the size":   "2\nok\r\n0\r\n\r\n",
	"bare CR after the size":   "2\rok\r\n0\r\n\r\n",
	"bare CR in an extension":  "2;a\rb\r\nok\r\n0\r\n\r\n",
	"control byte in one":      "2;a\x01b\r\nok\r\n0\r\n\r\n",
	"NUL in an extension":      "2;a\x00b\r\nok\r\n0\r\n\r\n",
	"chunk shorter than size":  "3\r\nok\r\n0\r\n\r\n",
	"chunk longer than size":   "1\r\nok\r\n0\r\n\r\n",
	"bare LF after a chunk":    "2\r\nok\n0\r\n\r\n",
	"bare LF after the last":   "2\r\nok\r\n0\n\n",
	"bare LF at the end":       "2\r\nok\r\n0\r\n\n",
	"no empty line at the end": "2\r\nok\r\n0\r\n",
	"trailer with blank":       "2\r\nok\r\n0\r\nX Y: z\r\n\r\n",
	"blank after trailer name": "2\r\nok\r\n0\r\nX : z\r\n\r\n",
	"control byte in trailer":  "2\r\nok\r\n0\r\nX: a\x01b\r\n\r\n",
	"NUL in a trailer name":    "2\r\nok\r\n0\r\nX\x00Y: z\r\n\r\n",
	"trailer without colon":    "2\r\nok\r\n0\r\nX z\r\n\r\n",
	"folded trailer":           "2\r\nok\r\n0\r\nX: a\r\n b\r\n\r\n",
	"trailer with bare LF":     "2\r\nok\r\n0\r\nX: a\n\r\n",
	"length in the trailer":    "2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n",
	"coding in the trailer":    "2\r\nok\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
	"head in the trailer":      "2\r\nok\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n",
	"head within a trailer":    "2\r\nok\r\n0\r\nX: HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
}

// validResponses are responses that must be accepted, with their bodies.
var validResponses = map[string]struct{ response, body string }{
	"length":               {body200("Content-Length: 2\r\n", "ok"), "ok"},
	"length with zeros":    {body200("content-length:\t 002 \r\n", "ok"), "ok"},
	"equal lengths":        {body200("Content-Length: 2\r\nContent-Length: 2\r\n", "ok"), "ok"},
	"chunks":               {chunked200("1\r\no\r\n01;a=b;c=\"d\\\"\"\r\nk\r\n0\r\n\r\n"), "ok"},
	"coding in capitals":   {body200("TRANSFER-ENCODING: Chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), "ok"},
	"trailers":             {chunked200("2\r\nok\r\n0;x\r\nX-A: b\r\nX-C:\r\n\r\n"), "ok"},
	"no length":            {body200("X: y\r\n", "ok"), "ok"},
	"HTTP/1.0":             {"HTTP/1.0 200 OK\r\n\r\nok", "ok"},
	"no reason":            {"HTTP/1.1 599 \r\nContent-Length: 2\r\n\r\nok", "ok"},
	"bytes beyond ASCII":   {"HTTP/1.1 200 \xe4\t\r\nX: \xc3\xa4\tb\r\nContent-Length: 2\r\n\r\nok", "ok"},
	"empty value":          {body200("X:\r\nY: \t \r\nContent-Length: 2\r\n", "ok"), "ok"},
	"all bytes of a token": {body200("!#$%&'*+-.^_`|~09azAZ: \"(),/:;<=>?@[\\]{}\r\nContent-Length: 2\r\n", "ok"), "ok"},
	"no content":           {"HTTP/1.1 204 No Content\r\n\r\n", ""},
	"no content, length 0": {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
	"not modified":         {"HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n", ""},
	"after interim":        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + body200("Content-Length: 2\r\n", "ok"), "ok"},
}

// startInvalid starts a target that sends a valid response to the first requests of
// a connection, then the given one, and closes the connection.
func startInvalid(t *testing.T, valid int, response string) *fakeTarget {
	return startTarget(t, func(c net.Conn, n int) bool {
		if n <= valid {
			return ok(c, "valid")
		}
		_, _ = io.WriteString(c, response)
		return false
	})
}

// rejects reports whether a response counts as lost, on a new or on a reused
// connection, when its body is read to its end.
func rejects(t *testing.T, response string, reused bool) bool {
	t.Helper()
	valid := 0
	if reused {
		valid = 1
	}
	p := NewPool()
	f := startInvalid(t, valid, response)
	for range valid {
		if _, err := do(p, get(f.addr)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	resp, err := p.Do(ctx, get(f.addr))
	if err != nil {
		wantKind(t, err, errkind.TargetLost)
		if got := f.requests.Load(); got != int64(valid)+1 {
			t.Errorf("the target received %d requests, want %d", got, valid+1)
		}
		if p.mu.Lock(); len(p.idle[f.addr]) > 0 {
			t.Error("the connection of an invalid response is kept")
		}
		p.mu.Unlock()
		return true
	}
	defer resp.Close()
	if resp.Rest == nil {
		return false
	}
	_, failure := io.Copy(io.Discard, resp.Rest)
	return failure != nil
}

// Guards against a response that isn't valid HTTP/1.1 and counts as a response: its
// end, its status or its headers may be others than its target meant.
func TestInvalidHeadsAreLost(t *testing.T) {
	for name, response := range invalidHeads {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %v", name, reused), func(t *testing.T) {
				t.Parallel()
				if !rejects(t, response, reused) {
					t.Errorf("%q counts as a response", response)
				}
			})
		}
	}
}

// Guards against a chunked body that isn't valid and counts as complete, whether it
// is buffered or streamed.
func TestInvalidChunksAreLost(t *testing.T) {
	long := fmt.Sprintf("%x\r\n%s\r\n", 3000, strings.Repeat("x", 3000))
	for name, body := range invalidChunks {
		for _, before := range []string{"", long} {
			t.Run(fmt.Sprintf("%s, streamed %v", name, before != ""), func(t *testing.T) {
				t.Parallel()
				if !rejects(t, chunked200(before+body), false) {
					t.Errorf("%q counts as a response", body)
				}
			})
		}
	}
}

// Guards against the refusal of valid responses.
func TestValidResponsesAreAccepted(t *testing.T) {
	for name, s := range validResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resp, err := do(NewPool(), get(startInvalid(t, 0, s.response).addr))
			if err != nil || string(resp.Body) != s.body {
				t.Errorf("%q: got %v, %v, want the body %q", s.response, resp, err, s.body)
			}
		})
	}
}

// Guards against invalid heads that are accepted because no body belongs to them.
func TestInvalidHeadsToHEADAreLost(t *testing.T) {
	for name, lines := range map[string]string{
		"malformed length":  "Content-Length: x\r\n",
		"two lengths":       "Content-Length: 2\r\nContent-Length: 3\r\n",
		"coding and length": "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
		"gzip":              "Transfer-Encoding: gzip\r\n",
		"blank in a name":   "X Y: z\r\n",
	} {
		req := get(startInvalid(t, 0, body200(lines, "")).addr)
		req.Method = http.MethodHead
		if _, err := do(NewPool(), req); err == nil {
			t.Errorf("%s: the head counts as a response", name)
		}
	}
}

// panickingConn fails in the given read.
type panickingConn struct {
	net.Conn
	reads int
}

func (c *panickingConn) Read(p []byte) (int, error) {
	if c.reads--; c.reads < 0 {
		panic("fault")
	}
	return c.Conn.Read(p[:1])
}

// Guards against a fault in the check of a response that ends the process or counts
// as a response.
func TestPanicOfTheCheckFailsTheResponse(t *testing.T) {
	whole := body200("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n")
	for reads := range len(whole) {
		f := startInvalid(t, 0, whole)
		nc, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		req := get(f.addr)
		req.MaxBufferedBytes = reads % 2 // Half of the bodies are streamed.
		c := newConn(&panickingConn{nc, reads})
		resp, failure := c.exchange(req)
		switch {
		case failure != nil:
			wantKind(t, failure, errkind.TargetLost)
		case resp.Rest == nil:
			t.Errorf("after %d bytes: got %v, want a failure", reads, resp)
		default:
			if _, err := io.Copy(io.Discard, resp.Rest); err == nil {
				t.Errorf("after %d bytes: the stream ended like a complete one", reads)
			}
		}
		_ = nc.Close()
	}
}
