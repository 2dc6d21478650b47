package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a request without a route whose body is awaited before it is refused.
func TestBodyWithoutARouteIsNotAwaited(t *testing.T) {
	e := startEntry(t)
	c, err := net.Dial("tcp", e.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, "POST /nothing HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound && resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("got %d, close %v, want a refusal that closes the connection", resp.StatusCode, resp.Close)
	}
}
