package gateway

import (
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Guards against an entry VM that takes itself for isolated, or stays so, because it
// checks its path with targets that it knows to be down.
func TestPathIsCheckedWithTargetsThatAreNotDown(t *testing.T) {
	var targets []*testTarget
	for range 10 {
		targets = append(targets, newTarget(t, signed))
	}
	b := newTestbed(t, targets...)
	up := make(map[string]bool)
	for _, e := range b.g.view.Load().AllEndpoints() {
		b.g.mu.Lock()
		if e.ID == "t0" || e.ID == "t1" {
			up[e.Address] = true
		} else {
			b.g.blockUntilHealthy(choice{endpoint: e, state: b.g.stateOf(e)})
		}
		b.g.mu.Unlock()
	}
	b.put(fleet.Delta{})
	for range 20 {
		for _, sampled := range b.g.samplePath(b.g.now(), 2) {
			if !up[sampled.Addr] {
				t.Fatalf("the check tries %s, which is down", sampled.Addr)
			}
		}
	}
}
