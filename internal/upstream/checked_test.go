package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// oneByteConn reads one byte at a time.
type oneByteConn struct{ net.Conn }

func (c oneByteConn) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(len(p), 1)]) }

// getChecked sends a request with http.Transport over a checked connection, to a
// target that sends the given response.
func getChecked(t *testing.T, response string, wrap func(net.Conn) net.Conn) (body string, err error) {
	t.Helper()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewCheckedConn(wrap(nc)), nil
	}}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+startInvalid(t, 0, response).addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	all, err := io.ReadAll(resp.Body)
	return string(all), err
}

// Guards against a response that the pool refuses and http.Transport accepts, and
// against one that a checked connection changes, however its bytes arrive.
func TestCheckedConnAcceptsWhatThePoolAccepts(t *testing.T) {
	invalid := make(map[string]string)
	for name, response := range invalidHeads {
		invalid["head, "+name] = response
	}
	for name, body := range invalidChunks {
		invalid["chunks, "+name] = chunked200(body)
	}
	for i, wrap := range []func(net.Conn) net.Conn{
		func(nc net.Conn) net.Conn { return nc },
		func(nc net.Conn) net.Conn { return oneByteConn{nc} },
	} {
		for name, response := range invalid {
			if body, err := getChecked(t, response, wrap); err == nil {
				t.Errorf("%d, %s: %q counts as a response with the body %q", i, name, response, body)
			}
		}
		for name, s := range validResponses {
			if body, err := getChecked(t, s.response, wrap); err != nil || body != s.body {
				t.Errorf("%d, %s: got %q, %v, want %q", i, name, body, err, s.body)
			}
		}
	}
}

// Guards against a panic of the check in the goroutine of http.Transport, which ends
// the process.
func TestPanicOfTheCheckFailsTheConnection(t *testing.T) {
	response := validResponses["chunks"].response
	for reads := range len(response) {
		if body, err := getChecked(t, response, func(nc net.Conn) net.Conn { return &panickingConn{nc, reads} }); err == nil {
			t.Errorf("after %d bytes: got %q, want a failure", reads, body)
		}
	}
}
