package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/callers"
)

// Guards against a request that waited for an earlier one of its connection and is sent
// with its whole timeout: the target would work when the caller no longer waits.
func TestQueuedRequestHasTheRestOfItsTimeout(t *testing.T) {
	const queued, timeout = 400 * time.Millisecond, time.Second
	deadlines := make(chan string, 4)
	f := startTarget(t, func(c net.Conn, req *http.Request) bool {
		if req.Method == http.MethodGet {
			time.Sleep(queued)
		} else {
			deadlines <- req.Header.Get("Flamingoreel-Deadline-Ms")
		}
		_, err := io.WriteString(c, responseOf(req.Header.Get(idHeader), 200, "", ""))
		return err == nil
	})
	e := startEntry(t)
	e.setTarget("t", 1, f.addr)
	server := callers.NewServer(callers.ServerConfig{Handler: e.ingress, Connections: e.ingress.Connections, Limits: e.gateway.Limits})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * routeTimeout))
	for i, method := range []string{"GET /safe/x", "POST /unsafe/x"} {
		_, _ = fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: h\r\n%s: %d\r\nFlamingoreel-Deadline-Ms: %d\r\n\r\n", method, idHeader, i, timeout.Milliseconds())
	}
	r := bufio.NewReader(c)
	for _, method := range []string{"GET", "POST"} {
		if got := readOutcome(r, method); got.status != http.StatusOK {
			t.Fatalf("%s: got %+v", method, got)
		}
	}
	if left, err := strconv.Atoi(<-deadlines); err != nil || time.Duration(left)*time.Millisecond > timeout-queued {
		t.Errorf("the target was told that the caller waits for %d ms, %v, want at most %v", left, err, timeout-queued)
	}
}
