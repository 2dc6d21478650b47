package link

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Guards against requests that use up the handlers of consensus traffic,
// against an unlimited number of handlers and against cancellation that does
// not reach them.
func TestHandlerLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		causes := make(chan error, 9)
		a, b := net.pair(map[string]Handler{
			"control": echo,
			"stall": func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
				if d, ok := ctx.Deadline(); !ok || time.Until(d) > time.Minute {
					t.Errorf("deadline %v, %v in the handler, want one within a minute", d, ok)
				}
				<-ctx.Done()
				causes <- context.Cause(ctx)
				return nil, ctx.Err()
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		var calls sync.WaitGroup
		for range 8 {
			calls.Go(func() { _, _ = a.Call(ctx, "b", "stall", nil) })
		}
		synctest.Wait()
		if _, err := a.Call(ctx, "b", "stall", nil); kindOf(err) != errkind.Overloaded {
			t.Errorf("ninth handler: got %v, want overloaded", err)
		}
		if _, err := a.Call(ctx, "b", "control", nil); err != nil {
			t.Errorf("priority method at the handler limit: %v", err)
		}
		cancel()
		calls.Wait()
		synctest.Wait()
		for range 8 {
			if cause := <-causes; !errors.Is(cause, ErrCancelled) {
				t.Errorf("handler ended by %v, want ErrCancelled", cause)
			}
		}
		_ = a.Close()
		_ = b.Close()
	})
}

// Guards against a large response that delays a small one on the same link, and
// against counters that miss bytes or mix up the classes.
func TestLargeResponseDoesNotDelaySmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		net.delay = func() time.Duration { return 5 * time.Millisecond }
		a, b := net.pair(map[string]Handler{
			"control": echo, "echo": echo,
			"large": func(context.Context, string, []byte) ([]byte, error) { return make([]byte, 1<<20), nil },
		})
		var large sync.WaitGroup
		began := time.Now()
		large.Go(func() { _, _ = a.Call(t.Context(), "b", "large", nil) })
		time.Sleep(50 * time.Millisecond)
		for _, method := range []string{"control", "echo"} {
			start := time.Now()
			if _, err := a.Call(t.Context(), "b", method, nil); err != nil || time.Since(start) > 20*time.Millisecond {
				t.Errorf("%s during a large response: %v after %v", method, err, time.Since(start))
			}
		}
		large.Wait()
		if d := time.Since(began); d < 150*time.Millisecond {
			t.Errorf("the large response took only %v", d)
		}
		for _, s := range a.Stats().Peers {
			if s.Peer == "b" && s.Class == Traffic && (s.BytesIn < 1<<20 || s.BytesOut > 1000 || s.FramesIn < 64) ||
				s.Peer == "b" && s.Class == Control && (s.BytesIn == 0 || s.BytesIn > 1000 || s.Connects != 1) {
				t.Errorf("counters %+v", s)
			}
		}
		_ = a.Close()
		_ = b.Close()
	})
}

// Guards against one-way messages that block, arrive more than once or delay
// calls, and against messages sent without a link that are not dropped.
func TestSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		var mu sync.Mutex
		got := map[string]int{}
		a, b := net.pair(map[string]Handler{"control": func(_ context.Context, _ string, p []byte) ([]byte, error) {
			mu.Lock()
			defer mu.Unlock()
			got[string(p[:1])] += len(p)
			return nil, nil
		}})
		a.Send("b", "control", []byte("dropped: the link is not up yet"))
		synctest.Wait()
		a.Send("b", "control", []byte("x"))
		a.Send("b", "control", append([]byte("y"), make([]byte, 99999)...))
		a.Send("a", "control", []byte("z"))
		synctest.Wait()
		_ = b.Close()
		a.Send("b", "control", []byte("dropped"))
		if got["x"] != 1 || got["y"] != 100000 || got["z"] != 1 || got["d"] != 0 {
			t.Errorf("bytes received by first letter: %v", got)
		}
		_ = a.Close()
	})
}
