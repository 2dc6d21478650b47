package dispatcher

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Guards against a request that is sent although the permission to send it (lease,
// ownership or deadline) ended after its admission, against an outcome other than
// not_run for it, and against a record that prevents its retry from running.
func TestNothingIsSentAfterPermissionEnded(t *testing.T) {
	for name, c := range map[string]struct {
		during func(f *fixture)
		fence  contract.Fence
		wait   time.Duration
	}{
		"lease lost":      {func(f *fixture) { f.noLease.Store(true) }, 1, time.Second},
		"slice drained":   {func(f *fixture) { f.drain() }, 1, time.Second},
		"deadline passed": {func(*fixture) { time.Sleep(60 * time.Millisecond) }, 1, 50 * time.Millisecond},
		"stale fence":     {func(*fixture) {}, 2, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			during := func() { c.during(f) }
			f.onStart.Store(&during)
			reply, err := f.send(http.MethodPost, "k", c.fence, c.wait)
			if reply != nil || err == nil || err.Outcome() != errkind.NotRun || f.sent.Load() != 0 {
				t.Fatalf("reply %v, error %v, %d sent", reply, err, f.sent.Load())
			}
			f.onStart.Store(nil)
			f.noLease.Store(false)
			if f.slice().Assignment.Phase != contract.Owned {
				return
			}
			reply, err = f.send(http.MethodPost, "k", 1, time.Second)
			if err != nil || string(reply.Body) != "done" || f.sent.Load() != 1 {
				t.Errorf("the retry got reply %v, error %v; %d sent", reply, err, f.sent.Load())
			}
		})
	}
}

// Guards against a queue without bound, and against an outcome other than not_run
// for a request that is refused because the queue is full.
func TestFullQueueRefusesAsNotRun(t *testing.T) {
	f := newFixture(t)
	release := f.block()
	outcomes := make(chan *errkind.Error, 3)
	for range 3 {
		go func() {
			_, err := f.send(http.MethodGet, "", 1, 3*time.Second)
			outcomes <- err
		}()
	}
	if err := <-outcomes; err == nil || err.Outcome() != errkind.NotRun || f.sent.Load() > 1 {
		t.Errorf("refused with %v, %d sent to 1 slot", err, f.sent.Load())
	}
	release()
	for range 2 {
		if err := <-outcomes; err != nil {
			t.Error(err)
		}
	}
	if f.sent.Load() != 2 {
		t.Errorf("%d sent, want 2", f.sent.Load())
	}
}

// Guards against a slice that is reported as stopped, and so may get its next
// owner, while one of its requests runs or before the target has confirmed that it
// no longer serves the slice.
func TestDrainedSliceStopsAfterWorkAndConfirmation(t *testing.T) {
	f := newFixture(t)
	release := f.block()
	done := make(chan *errkind.Error, 1)
	// The caller's deadline expires long before the target responds, and the
	// request stays in flight.
	go func() { _, err := f.send(http.MethodPost, "k", 1, 50*time.Millisecond); done <- err }()
	f.eventually("request at the target", func() bool { return f.sent.Load() == 1 })
	f.unconfirmed.Store(true)
	f.drain()
	if err := <-done; err == nil || err.Outcome() != errkind.Unknown {
		t.Errorf("the caller got %v", err)
	}
	stopped := func() bool { return len(f.d.Reports()[0].StoppedSlices) > 0 }
	time.Sleep(3 * contract.RenewInterval)
	if f.revokes.Load() != 0 || stopped() {
		t.Fatal("the slice was revoked or reported as stopped with a request in flight")
	}
	release()
	f.eventually("revocation", func() bool { return f.revokes.Load() > 1 })
	if stopped() {
		t.Fatal("the slice was reported as stopped without confirmation")
	}
	f.unconfirmed.Store(false)
	f.eventually("report that the slice stopped", stopped)
}

// truncatedResponse returns a handler that sends head, the start of a response,
// and closes the connection.
func truncatedResponse(head string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, head)
			_ = conn.Close()
		}
	}
}

// Guards against a truncated response that is returned as a success, and against
// a POST that is sent again after it.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbalance",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nbalance\r\n",
		"neither": "HTTP/1.1 200 OK\r\n\r\nbalance",
		"nothing": "",
	} {
		f := newFixture(t)
		f.answer(truncatedResponse(head))
		if reply, err := f.send(http.MethodGet, "", 1, time.Second); err == nil || err.Outcome() != errkind.Unknown {
			t.Errorf("%s: GET got reply %v, error %v", name, reply, err)
		}
		for range 2 {
			reply, err := f.send(http.MethodPost, "k", 1, 300*time.Millisecond)
			if err == nil || err.Outcome() != errkind.Unknown {
				t.Errorf("%s: POST got reply %v, error %v", name, reply, err)
			}
		}
		if f.sent.Load() != 2 {
			t.Errorf("%s: %d requests sent for one GET and one POST", name, f.sent.Load())
		}
	}
}

// Guards against a retry that does not get the response that arrived after the
// deadline of the first attempt, and against running the POST twice.
func TestRetryGetsTheLateResponse(t *testing.T) {
	f := newFixture(t)
	release := f.block()
	if _, err := f.send(http.MethodPost, "k", 1, 50*time.Millisecond); err == nil || err.Outcome() != errkind.Unknown {
		t.Errorf("the request with an expired deadline got %v", err)
	}
	release()
	f.d.WaitBackground(context.Background())
	reply, err := f.send(http.MethodPost, "k", 1, time.Second)
	if err != nil || !reply.Stored || string(reply.Body) != "done" || f.sent.Load() != 1 {
		t.Errorf("the retry got %v, %v; %d sent", reply, err, f.sent.Load())
	}
}
