package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

const (
	// endlessTimeout is the timeout of the requests in these tests; endless responses
	// must be detected long before.
	endlessTimeout = 10 * time.Second
	// maxHeapBytes is the maximum heap size, in bytes, during 32 concurrent endless
	// responses: a third of the memory of the smallest VMs, which have 184 MB.
	maxHeapBytes = 60 << 20
)

// endlessResponse is a response that does not end: the target sends head once, then
// repeated until the connection is closed.
type endlessResponse struct{ head, repeated string }

var endlessHeads = map[string]endlessResponse{
	"status line":        {"HTTP/1.1 200 ", strings.Repeat("O", 4096)},
	"garbage":            {"", strings.Repeat("\x00garbage", 512)},
	"garbage lines":      {"", strings.Repeat("garbage\r\n", 512)},
	"header line":        {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 4096)},
	"header name":        {"HTTP/1.1 200 OK\r\n", strings.Repeat("x", 4096)},
	"header lines":       {"HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 512)},
	"folded header":      {"HTTP/1.1 200 OK\r\nX: y\r\n", strings.Repeat(" more\r\n", 512)},
	"interim responses":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"continue responses": {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
	"empty lines":        {"", strings.Repeat("\r\n", 2048)},
}

var endlessBodies = map[string]endlessResponse{
	"chunk size":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
	"chunk extension":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 4096)},
	"chunk extensions": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;"+strings.Repeat("x", 2000)+"\r\na\r\n", 2)},
	"trailer line":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", strings.Repeat("x", 4096)},
	"trailer lines":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: y\r\n", 512)},
	"announced length": {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", strings.Repeat("x", 4096)},
}

// longBodies holds endless responses whose body becomes a Stream, so its reader
// decides how much it reads.
var longBodies = map[string]endlessResponse{
	"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	"no length": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
}

// startEndless starts a target that answers each request with an endless response.
// It returns the target and a channel that reports each closed connection.
func startEndless(t *testing.T, s endlessResponse) (*fakeTarget, chan struct{}) {
	closed := make(chan struct{}, 64)
	f := startTarget(t, func(c net.Conn, _ int) bool {
		if _, err := io.WriteString(c, s.head); err != nil {
			return false
		}
		for {
			if _, err := io.WriteString(c, s.repeated); err != nil {
				closed <- struct{}{}
				return false
			}
		}
	})
	return f, closed
}

// expectClosed fails the test if the target's connection stays open.
func expectClosed(t *testing.T, closed chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection of the endless response stays open")
	}
}

// Guards against a faulty target whose endless response exhausts the memory of a
// VM or lasts until the caller's deadline.
func TestEndlessResponsesFail(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	t.Cleanup(cancel)
	for name, s := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			f, closed := startEndless(t, s)
			_, err := NewPool().Do(ctx, get(f.addr))
			wantKind(t, err, errkind.TargetLost)
			expectClosed(t, closed)
		})
	}
	for name, s := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			f, closed := startEndless(t, s)
			resp, err := NewPool().Do(ctx, get(f.addr))
			if err == nil && resp.Rest != nil {
				_, failure := io.Copy(io.Discard, resp.Rest)
				if resp.Close(); failure == nil {
					t.Error("an endless body ended")
				}
			} else if err == nil || err.Kind != errkind.TargetLost && err.Kind != errkind.AnswerTooLarge {
				t.Errorf("got %v, want a failure", err)
			}
			expectClosed(t, closed)
		})
	}
}

// Guards against a long body that is forwarded without a limit.
func TestLongBodiesFailAtTheSizeLimit(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	defer cancel()
	for name, s := range longBodies {
		f, closed := startEndless(t, s)
		resp, err := NewPool().Do(ctx, get(f.addr))
		if err != nil || resp.Rest == nil {
			t.Fatalf("%s: got %v, %v, want a stream", name, resp, err)
		}
		n, failure := io.Copy(io.Discard, resp.Rest)
		if !errors.Is(failure, ErrUnbounded) || n > MaxBodyBytes {
			t.Errorf("%s: %d bytes, then %v, want %v after %d at most", name, n, failure, ErrUnbounded, MaxBodyBytes)
		}
		resp.Close()
		expectClosed(t, closed)
	}
}

// Guards against headers that arrive byte by byte and keep the caller waiting
// until its deadline.
func TestSlowHeadCountsAsLost(t *testing.T) {
	const interval = 100 * time.Millisecond
	f := startTarget(t, func(c net.Conn, _ int) bool {
		for _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX: "); err == nil; _, err = io.WriteString(c, "x") {
			time.Sleep(interval)
		}
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	defer cancel()
	began := time.Now()
	_, err := NewPool().Do(ctx, get(f.addr))
	if took := time.Since(began); err == nil || !errors.Is(err, ErrUnbounded) || took > headTimeout+time.Second {
		t.Errorf("got %v after %v, want %v after %v", err, took, ErrUnbounded, headTimeout)
	}
}

// Guards against concurrent endless responses that together exceed the memory of
// a VM.
func TestEndlessResponsesTakeLittleMemory(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	defer cancel()
	const concurrent = 32
	peak := peakHeap(ctx)
	for _, responses := range []map[string]endlessResponse{endlessHeads, endlessBodies, longBodies} {
		for _, s := range responses {
			f, _ := startEndless(t, s)
			p := NewPool()
			var all sync.WaitGroup
			for range concurrent {
				all.Go(func() {
					resp, err := p.Do(ctx, get(f.addr))
					if err == nil {
						resp.Close()
					}
				})
			}
			all.Wait()
		}
	}
	cancel()
	if got := <-peak; got > maxHeapBytes {
		t.Errorf("the heap took %d bytes, want %d at most", got, maxHeapBytes)
	}
}

// peakHeap samples the heap size until ctx ends and then sends the highest value,
// in bytes.
func peakHeap(ctx context.Context) chan uint64 {
	peak := make(chan uint64, 1)
	go func() {
		var highest uint64
		var m runtime.MemStats
		for ctx.Err() == nil {
			runtime.ReadMemStats(&m)
			highest = max(highest, m.HeapAlloc)
			time.Sleep(time.Millisecond)
		}
		peak <- highest
	}()
	return peak
}

// Guards against a truncated body that is forwarded as a complete one, and
// against its connection being returned to the pool.
func TestBrokenStreamFails(t *testing.T) {
	body := strings.Repeat("x", 3000)
	for name, head := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(body)), "chunks": "Transfer-Encoding: chunked\r\n\r\nbb8\r\n",
	} {
		f := startTarget(t, func(c net.Conn, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+body)
			return false
		})
		resp, err := do(NewPool(), get(f.addr))
		if err != nil || resp.Rest == nil {
			t.Fatalf("%s: got %v, %v, want a stream", name, resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Rest); err == nil {
			t.Errorf("%s: a truncated body ended like a complete one", name)
		}
		resp.Close()
	}
}

// Guards against a response without a length that counts as complete although
// its connection was reset.
func TestResetStreamFails(t *testing.T) {
	f := startTarget(t, func(c net.Conn, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 3000))
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	resp, err := do(NewPool(), get(f.addr))
	if err != nil || resp.Rest == nil {
		t.Fatalf("got %v, %v, want a stream", resp, err)
	}
	defer resp.Close()
	if _, err := io.Copy(io.Discard, resp.Rest); err == nil {
		t.Error("a body whose connection was reset ended like a complete one")
	}
}

// Guards against a new connection for each response that is streamed.
func TestStreamsKeepTheirConnection(t *testing.T) {
	body := strings.Repeat("x", 5000)
	f := startTarget(t, func(c net.Conn, _ int) bool { return ok(c, body) })
	p := NewPool()
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	defer cancel()
	for range 3 {
		resp, err := p.Do(ctx, get(f.addr))
		if err != nil || resp.Rest == nil {
			t.Fatalf("got %v, %v, want a stream", resp, err)
		}
		rest, failure := io.ReadAll(resp.Rest)
		if failure != nil || string(resp.Body)+string(rest) != body {
			t.Fatalf("got %d and %d bytes, %v", len(resp.Body), len(rest), failure)
		}
		resp.Close()
	}
	if got := f.conns.Load(); got != 1 {
		t.Errorf("%d connections, want one", got)
	}
}

// Guards against a target that continues to send a body that nobody reads.
func TestClosedStreamEndsItsConnection(t *testing.T) {
	f, closed := startEndless(t, longBodies["chunks"])
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	defer cancel()
	resp, err := NewPool().Do(ctx, get(f.addr))
	if err != nil {
		t.Fatal(err)
	}
	resp.Close()
	expectClosed(t, closed)
}

// Guards against a late duplicate of a refusal that is taken for the response
// when the same request is retried at the target.
func TestConnectionIsNotUsedTwiceForOneID(t *testing.T) {
	f := startTarget(t, func(c net.Conn, _ int) bool { return ok(c, "x") })
	p := NewPool()
	for i, id := range []string{"a", "a", "b", "a"} {
		req := get(f.addr)
		req.ID = id
		if _, err := do(p, req); err != nil {
			t.Fatal(err)
		}
		if want := int64([]int{1, 2, 2, 3}[i]); f.conns.Load() != want {
			t.Errorf("request %d: %d connections, want %d", i, f.conns.Load(), want)
		}
	}
}

// Guards against a faulty target that sends bytes without end on idle connections: they
// wait in the kernel, where they count towards the memory of the VM.
func TestBytesOnIdleConnectionsCloseThem(t *testing.T) {
	closed := make(chan struct{}, 1)
	f := startTarget(t, func(c net.Conn, _ int) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3600\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(20 * time.Millisecond) // The connection is idle by then.
		for err == nil {
			_, err = c.Write(make([]byte, 4096))
		}
		closed <- struct{}{}
		return false
	})
	p := NewPool()
	if _, failure := p.Do(context.Background(), get(f.addr)); failure != nil {
		t.Fatal(failure)
	}
	time.Sleep(100 * time.Millisecond)
	p.CloseExpired()
	expectClosed(t, closed)
}
