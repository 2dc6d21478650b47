package link

import (
	"bytes"
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

func echo(_ context.Context, _ string, payload []byte) ([]byte, error) { return payload, nil }

func kindOf(err error) errkind.Kind {
	if err == nil {
		return ""
	}
	return errkind.From(err).Kind
}

// Guards against payloads corrupted by chunking, flow control or reassembly.
func TestCallReturnsItsOwnPayload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		a, b := net.pair(map[string]Handler{"echo": echo})
		for _, size := range []int{0, 1, ChunkSize, ChunkSize + 1, 1 << 20} {
			body := bytes.Repeat([]byte{byte(size + 7)}, size)
			for _, to := range []string{"b", "a"} {
				got, err := a.Call(t.Context(), to, "echo", body)
				if err != nil || !bytes.Equal(got, body) {
					t.Fatalf("call of %d bytes to %s: %d bytes, %v", size, to, len(got), err)
				}
			}
		}
		_ = a.Close()
		_ = b.Close()
	})
}

// Guards against a wrong error kind, with which a caller could retry a request
// that already ran.
func TestErrorKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		ran := make(chan struct{}, 9)
		a, b := net.pair(map[string]Handler{
			"refuse": func(context.Context, string, []byte) ([]byte, error) {
				return nil, errkind.New(errkind.NoOwner, "none")
			},
			"down": func(context.Context, string, []byte) ([]byte, error) {
				return nil, errkind.New(errkind.LinkDown, "inner link")
			},
			"stall": func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
				ran <- struct{}{}
				<-ctx.Done()
				return nil, ctx.Err()
			},
			"panic": func(context.Context, string, []byte) ([]byte, error) { panic("fault") },
		})
		check := func(what string, want errkind.Kind, to, method string, ctx context.Context) {
			t.Helper()
			if _, err := a.Call(ctx, to, method, []byte("x")); kindOf(err) != want {
				t.Errorf("%s: got %v, want %s", what, err, want)
			}
		}
		short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		check("handler error", errkind.NoOwner, "b", "refuse", t.Context())
		check("handler's LinkDown", errkind.LinkLost, "b", "down", t.Context())
		check("handler's LinkDown in a call to itself", errkind.LinkLost, "a", "down", t.Context())
		check("unknown method", errkind.BadRequest, "b", "none", t.Context())
		check("panic", errkind.Internal, "b", "panic", t.Context())
		check("unknown peer", errkind.LinkDown, "c", "refuse", t.Context())
		check("deadline", errkind.AnswerTimeout, "b", "stall", short)
		check("deadline before the call", errkind.LinkDown, "b", "stall", short)
		<-ran
		go func() { <-ran; net.disconnect() }()
		check("connection lost", errkind.LinkLost, "b", "stall", t.Context())
		_ = b.Close()
		// The link that was dialed again after the loss may be open until now.
		synctest.Wait()
		check("peer closed", errkind.LinkDown, "b", "refuse", t.Context())
		_ = a.Close()
		check("node closed", errkind.LinkDown, "b", "refuse", t.Context())
	})
}

// Guards against a call that waits until its deadline when a partition drops
// all packets without closing the connection.
func TestSilentPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		a, b := net.pair(map[string]Handler{"stall": func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
			net.blackhole()
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}})
		began := time.Now()
		_, err := a.Call(t.Context(), "b", "stall", nil)
		if d := time.Since(began); kindOf(err) != errkind.LinkLost || d > PingTimeout {
			t.Errorf("got %v after %v, want link_lost within %v", err, d, PingTimeout)
		}
		_ = a.Close()
		_ = b.Close()
	})
}

// Guards against calls to a lost VM that wait for every dial: after a failed
// dial, calls must fail at once.
func TestCallsToLostVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		a, _ := Listen(Config{Cluster: "zdbs", Name: "a", Listener: net.listen("a"), Dial: net.dial, Seed: 1})
		net.listen("b")
		a.SetPeer("b", "b")
		longest := time.Duration(0)
		for i := range 20 {
			began := time.Now()
			if _, err := a.Call(t.Context(), "b", "echo", nil); kindOf(err) != errkind.LinkDown {
				t.Errorf("got %v, want link_down", err)
			}
			if i > 0 {
				longest = max(longest, time.Since(began))
			}
			time.Sleep(100 * time.Millisecond)
		}
		if longest > 0 {
			t.Errorf("a call after a failed dial waited %v", longest)
		}
		_ = a.Close()
	})
}

// Guards against a link that stays open, or is dialed again, after its last use, and
// against one that cannot be used again.
func TestDisconnectedLinkIsDialedOnNextCall(t *testing.T) {
	n := newNetwork()
	a, b := n.pair(map[string]Handler{"echo": echo})
	defer func() { _, _ = a.Close(), b.Close() }()
	for range 3 {
		if _, err := a.Call(context.Background(), "b", "echo", []byte("x")); err != nil {
			t.Fatal(err)
		}
		a.Disconnect("b")
		p := a.lookup("b")
		idle := func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.phase == phaseIdle
		}
		for end := time.Now().Add(2 * time.Second); !idle(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the link does not become idle")
			}
		}
		time.Sleep(2 * BackoffMin)
		if !idle() {
			t.Fatal("the link was dialed again without a call")
		}
	}
	a.Disconnect("unknown")
}

// Guards against a VM that stops while the response to a call is still being sent: a
// response that takes long counts as open until it is sent.
func TestResponseIsOpenUntilItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writeTime = 10 * time.Millisecond
		n := newNetwork()
		n.delay = func() time.Duration { return writeTime }
		response := make([]byte, 1<<20)
		var returned atomic.Bool
		a, b := n.pair(map[string]Handler{"long": func(context.Context, string, []byte) ([]byte, error) {
			returned.Store(true)
			return response, nil
		}})
		if b.OpenRequests() != 0 {
			t.Error("a request is open before the first call")
		}
		done := make(chan error, 1)
		go func() {
			_, err := a.Call(t.Context(), "b", "long", nil)
			done <- err
		}()
		// Between two writes all goroutines wait, so the state doesn't depend on how
		// they are scheduled.
		var open []int
		for ; len(done) == 0; time.Sleep(writeTime) {
			synctest.Wait()
			if returned.Load() && len(done) == 0 {
				open = append(open, b.OpenRequests())
			}
		}
		if err := <-done; err != nil || b.OpenRequests() != 0 {
			t.Errorf("got %v, %d open after the call", err, b.OpenRequests())
		}
		// The last write takes a part that the connection already has.
		const parts = 1 << 20 / batchSize
		if len(open) < parts || slices.Contains(open[:parts-1], 0) {
			t.Errorf("open requests while the response was sent: %v, want 1 for the first %d writes", open, parts-1)
		}
		_, _ = a.Close(), b.Close()
	})
}
