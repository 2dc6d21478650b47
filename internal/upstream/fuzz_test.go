package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a head that net/http refuses or reads differently, and against a
// panic: whatever parseHead accepts must mean the same to another parser.
func FuzzParseHead(f *testing.F) {
	for _, response := range invalidHeads {
		f.Add([]byte(response), false)
	}
	for _, s := range validResponses {
		f.Add([]byte(s.response), true)
		f.Add([]byte(s.response), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, toHEAD bool) {
		method := http.MethodGet
		if toHEAD {
			method = http.MethodHead
		}
		raw, err := readRawHead(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			return
		}
		got, err := parseHead(raw, method)
		if err != nil {
			if !errors.Is(err, ErrInvalid) && !errors.Is(err, ErrMergedHead) {
				t.Errorf("%q: got %v", raw, err)
			}
			return
		}
		want, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), &http.Request{Method: method})
		if err != nil {
			t.Fatalf("%q is accepted, but not by net/http: %v", raw, err)
		}
		if got.status != want.StatusCode || got.length != want.ContentLength || got.close != want.Close || got.hasBody != (want.Body != http.NoBody) ||
			got.chunked != slices.Contains(want.TransferEncoding, "chunked") {
			t.Errorf("%q: got %+v, want %+v", raw, got, want)
		}
		for _, h := range []http.Header{got.header, want.Header} {
			// net/http removes the first one and derives the second one from Pragma.
			h.Del("Trailer")
			h.Del("Cache-Control")
		}
		if !maps.EqualFunc(got.header, want.Header, slices.Equal) {
			t.Errorf("%q: got the headers %q, want %q", raw, got.header, want.Header)
		}
		for name, values := range got.header {
			for _, s := range append(values, name) {
				if strings.ContainsAny(s, "\x00\r\n\x7f") {
					t.Errorf("%q: accepted the control byte in %q", raw, s)
				}
			}
		}
	})
}

// Guards against a chunked body that net/http refuses or reads differently, that
// depends on how its bytes arrive, and against a panic.
func FuzzChunkedBody(f *testing.F) {
	for _, body := range invalidChunks {
		f.Add([]byte(body), 3)
	}
	f.Add([]byte("1\r\no\r\n01;a=b\r\nk\r\n0\r\nX: y\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, part int) {
		read := func(r io.Reader, size int) (string, error) {
			body, err := io.ReadAll(&smallReads{&chunkedBody{r: bufio.NewReader(r)}, size})
			return string(body), err
		}
		got, err := read(bytes.NewReader(data), 512)
		byteByByte, err2 := read(iotest.OneByteReader(bytes.NewReader(data)), 1+part&7)
		if got != byteByByte || (err == nil) != (err2 == nil) {
			t.Fatalf("%q: got %q, %v and, byte by byte, %q, %v", data, got, err, byteByByte, err2)
		}
		if err != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(chunked200(string(data)))), nil)
		if err != nil {
			t.Fatal(err)
		}
		if want, err := io.ReadAll(resp.Body); err != nil || got != string(want) {
			t.Errorf("%q: got %q, but net/http %q, %v", data, got, want, err)
		}
	})
}

// smallReads reads at most size bytes at a time.
type smallReads struct {
	r    io.Reader
	size int
}

func (s *smallReads) Read(p []byte) (int, error) { return s.r.Read(p[:min(len(p), s.size)]) }

// The cost of a head, which each response has.
func BenchmarkReadHead(b *testing.B) {
	raw := []byte("HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 21:00:00 GMT\r\nContent-Type: application/json\r\nContent-Length: 400\r\n" +
		"Flamingoreel-Request-Id: 0123456789abcdef\r\nFlamingoreel-Response-Stamp: 17\r\nFlamingoreel-Load: 2,0,4,100\r\nKeep-Alive: timeout=10\r\n\r\n")
	source := bytes.NewReader(raw)
	r := bufio.NewReaderSize(source, readBufferBytes)
	var buf []byte
	b.Run("strict", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			source.Reset(raw)
			r.Reset(source)
			buf, _ = readRawHead(r, buf[:0])
			if _, err := parseHead(buf, http.MethodGet); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("net-http", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			source.Reset(raw)
			r.Reset(source)
			if _, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
