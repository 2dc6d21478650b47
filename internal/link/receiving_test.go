package link

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Guards against a VM that is ended for its memory because many others send it long
// requests at the same time, before any handler can refuse them.
func TestRequestsBeyondTheMemoryAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		hold, started := make(chan struct{}), make(chan struct{}, 9)
		a, b := net.pair(map[string]Handler{"hold": func(_ context.Context, _ string, payload []byte) ([]byte, error) {
			started <- struct{}{}
			<-hold
			return payload[:1], nil
		}, "echo": echo})
		b.cfg.MaxReceiving = 100 << 10
		long, short := bytes.Repeat([]byte("x"), 60<<10), []byte("short")
		first := make(chan error, 1)
		go func() {
			_, err := a.Call(t.Context(), "b", "hold", long)
			first <- err
		}()
		<-started
		if _, err := a.Call(t.Context(), "b", "hold", long); kindOf(err) != errkind.Overloaded {
			t.Errorf("a request beyond the bound got %v, want %s", err, errkind.Overloaded)
		}
		if got, err := a.Call(t.Context(), "b", "echo", short); err != nil || !bytes.Equal(got, short) {
			t.Errorf("a short request got %q, %v", got, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _ = a.Call(ctx, "b", "hold", long)
		close(hold)
		if err := <-first; err != nil {
			t.Errorf("the request within the bound got %v", err)
		}
		synctest.Wait()
		if left := b.receiving.Load(); left != 0 {
			t.Errorf("%d bytes stay reserved", left)
		}
		if _, err := a.Call(t.Context(), "b", "hold", long); err != nil {
			t.Errorf("a request after the others got %v", err)
		}
		_ = a.Close()
		_ = b.Close()
	})
}
