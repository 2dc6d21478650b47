package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var self = Peer{Addr: "self", DataCentre: "a1", Region: "a"}

// fleetPeers returns four peers in each of three data centres, two of which are in
// the region of self.
func fleetPeers() []Peer {
	peers := []Peer{self}
	for _, dc := range []struct{ name, region string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}} {
		for i := range 4 {
			peers = append(peers, Peer{Addr: fmt.Sprint(dc.name, "-", i), DataCentre: dc.name, Region: dc.region})
		}
	}
	return peers
}

func anyPeer(Peer) bool { return true }

// Guards against requests that cross data centres or regions although a nearer peer
// could relay them, and against all of them going to one peer.
func TestNearestPeersShareTheRequests(t *testing.T) {
	p, rng := NewPeers(self), rand.New(rand.NewPCG(1, 1))
	counts := make(map[string]int)
	for range 40 {
		peer, ok := p.Choose(0, rng, fleetPeers(), anyPeer, nil)
		if !ok || peer.DataCentre != "a1" || peer.Addr == self.Addr {
			t.Fatalf("chose %v, %v, want a peer of the same data centre", peer, ok)
		}
		counts[peer.Addr]++
	}
	for addr, n := range counts {
		if n != 10 {
			t.Errorf("%s got %d of 40 requests, want 10", addr, n)
		}
	}
}

// Guards against an entry VM whose whole data centre is cut off and that keeps
// offering its requests to peers there.
func TestPeersOfACutDataCentreComeLast(t *testing.T) {
	p, rng := NewPeers(self), rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	for range suspectRefused {
		peer, _ := p.Choose(now, rng, fleetPeers(), anyPeer, nil)
		p.Ended(now, peer.Addr, Declined)
	}
	for range 20 {
		now += time.Second
		peer, ok := p.Choose(now, rng, fleetPeers(), anyPeer, nil)
		if !ok || peer.DataCentre != "a2" {
			t.Fatalf("chose %v, %v, want a peer of the other data centre of the region", peer, ok)
		}
		p.Ended(now, peer.Addr, Relayed)
	}
}

// Guards against a request that leaves the regions allowed for it, or is offered to
// a peer again.
func TestChoiceKeepsToAllowedPeers(t *testing.T) {
	p, rng := NewPeers(self), rand.New(rand.NewPCG(1, 1))
	inB := func(peer Peer) bool { return peer.Region == "b" }
	var tried []string
	for {
		peer, ok := p.Choose(0, rng, fleetPeers(), inB, tried)
		if !ok {
			break
		}
		if peer.Region != "b" {
			t.Fatalf("chose %v, which is not allowed", peer)
		}
		tried = append(tried, peer.Addr)
	}
	if len(tried) != 4 {
		t.Errorf("%d peers were tried, want all 4 of the region once", len(tried))
	}
}

// Guards against peers without capacity that keep getting requests: each refusal
// takes capacity too.
func TestBusyPeersGetFewerRequests(t *testing.T) {
	p, rng := NewPeers(self), rand.New(rand.NewPCG(1, 1))
	peers := fleetPeers()[:2]
	offers := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if peer, ok := p.Choose(now, rng, peers, anyPeer, nil); ok {
			offers++
			p.Ended(now, peer.Addr, Busy)
		}
	}
	if offers > 15 {
		t.Errorf("a peer without capacity got %d offers in 10 s", offers)
	}
	if !p.Failing(10 * time.Second) {
		t.Error("relaying does not count as failing")
	}
	if idle := p.TakeIdle(10*time.Second + peerIdleTime); len(idle) != 1 || p.Known() != 0 {
		t.Errorf("idle peers: %v", idle)
	}
}

// Guards against relayed requests that fill the link of a VM, against own requests
// that are refused while nothing is relayed, and against either kind taking all.
func TestOwnAndRelayedRequestsShareTheLink(t *testing.T) {
	const capacity = 250_000
	b := NewLinkBudget(capacity)
	for now := time.Duration(0); now < 2*time.Second; now += time.Millisecond {
		if !b.AdmitOwn(now, "s") {
			t.Fatal("an own request was refused although nothing is relayed")
		}
	}
	own, relayed := 0, 0
	for now := 10 * time.Second; now < 20*time.Second; now += 10 * time.Millisecond {
		if b.AdmitRelayed(now, "s") {
			relayed++
		}
		if b.AdmitOwn(now+5*time.Millisecond, "s") {
			own++
		}
	}
	if bytes := float64(own+relayed) * initialSize / 10; bytes > capacity*(usableShare+0.05) || bytes < capacity*(usableShare-0.05) {
		t.Errorf("%.0f bytes a second were admitted of a capacity of %d", bytes, capacity)
	}
	if ratio := float64(own) / float64(relayed); ratio < 0.5 || ratio > 2 {
		t.Errorf("%d own and %d relayed requests were admitted", own, relayed)
	}
}
