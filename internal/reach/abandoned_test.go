package reach

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a peer that is passed over because callers left before it could
// reply, and against one that counts as working for the same reason.
func TestAbandonedRequestSaysNothingAboutThePeer(t *testing.T) {
	all := func(Peer) bool { return true }
	p := NewPeers(Peer{Addr: "self"})
	rng := rand.New(rand.NewPCG(1, 1))
	peers := []Peer{{Addr: "a"}}
	for range 2 * failingAfter {
		if _, ok := p.Choose(time.Second, rng, peers, all, nil); !ok {
			t.Fatal("the peer rests")
		}
		p.Ended(time.Second, "a", Abandoned)
	}
	if p.Failing(time.Second) || p.states["a"].inFlight != 0 {
		t.Errorf("failing: %v, %d in flight", p.Failing(time.Second), p.states["a"].inFlight)
	}
	for range failingAfter {
		p.states["a"].restUntil = 0
		p.Choose(time.Second, rng, peers, all, nil)
		p.Ended(time.Second, "a", Declined)
	}
	p.states["a"].restUntil = 0
	p.Choose(time.Second, rng, peers, all, nil)
	p.Ended(time.Second, "a", Abandoned)
	if !p.Failing(time.Second) {
		t.Error("an abandoned request counts as handled")
	}
}
