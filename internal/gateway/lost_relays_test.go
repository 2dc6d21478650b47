package gateway

import (
	"context"
	"sync"
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Guards against a request that runs on more targets than its route allows because
// peers were lost that may have sent it to several.
func TestLostRelaysKeepToMaxAttempts(t *testing.T) {
	var mu sync.Mutex
	granted := 0
	bed := newScriptedPeers(t, 4, func(_ context.Context, m *relayRequest) ([]byte, error) {
		mu.Lock()
		defer mu.Unlock()
		granted += m.Route.MaxAttempts
		return nil, errkind.New(errkind.LinkLost, "lost")
	})
	bed.g.ensureRetryBudget("s")
	bed.g.retryBudgets["s"].tokens = 10
	bed.serve("/read/x", "1")
	if granted > 2 {
		t.Errorf("peers may send the request to %d targets, its route allows 2", granted)
	}
	granted = 0
	bed.serve("/post/x", "2")
	if granted != 2 {
		t.Errorf("the peer may send a post to %d targets, its route allows 2", granted)
	}
}
