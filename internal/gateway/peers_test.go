package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/watch"
)

func knownPeers(alive bool) []watch.Peer {
	return []watch.Peer{
		{Addr: "far", Region: "q", DataCentre: "q1", Alive: true},
		{Addr: "near", Region: "r", DataCentre: "r2", Alive: alive},
	}
}

func wantPeer(t *testing.T, p *peers, addr string, trial bool) {
	t.Helper()
	if peer, isTrial := p.current(); peer.Addr != addr || isTrial != trial {
		t.Errorf("follows %s (trial %v), want %s (trial %v)", peer.Addr, isTrial, addr, trial)
	}
}

// Guards against gateways that follow a control VM of another region
// permanently because the one of their own region once had no leader.
func TestEntryReturnsToTheNearestControlVM(t *testing.T) {
	p := newPeers("self", "r", "r1", []string{"near", "far"})
	p.report(0, false)
	wantPeer(t, p, "far", false)
	p.update(knownPeers(true))
	wantPeer(t, p, "near", false)
	p.report(time.Second, false)
	wantPeer(t, p, "far", false)
	p.report(2*time.Second, true)
	wantPeer(t, p, "near", true)
	p.report(2*time.Second, false)
	wantPeer(t, p, "far", false)
	p.report(3*time.Second, true)
	wantPeer(t, p, "far", false)
	p.report(2*time.Second+nearerInterval, true)
	wantPeer(t, p, "near", true)
	p.report(2*time.Second+nearerInterval, true)
	wantPeer(t, p, "near", false)
}

// Guards against trials of a control VM from which the leader receives nothing:
// each of them delays changes.
func TestDeadControlVMsAreNotTried(t *testing.T) {
	p := newPeers("self", "r", "r1", []string{"near", "far"})
	p.update(knownPeers(false))
	p.report(0, false)
	wantPeer(t, p, "far", false)
	for now := time.Second; now < time.Minute; now += time.Second {
		p.report(now, true)
		wantPeer(t, p, "far", false)
	}
	p.update(knownPeers(true))
	p.report(time.Minute, true)
	wantPeer(t, p, "near", true)
	p.update([]watch.Peer{{Addr: "new", Region: "r", DataCentre: "r1"}})
	wantPeer(t, p, "near", true)
	p.report(time.Minute, false)
	wantPeer(t, p, "far", false)
}

// Guards against all gateways of a region following the same one of its control
// VMs: after a restart of all VMs it would have to encode and send the whole
// state to each of them.
func TestEntriesSpreadOverTheControlVMsOfTheirRegion(t *testing.T) {
	var all []watch.Peer
	for i := range 4 {
		all = append(all, watch.Peer{Addr: fmt.Sprint("near-", i), Region: "r", DataCentre: fmt.Sprint("r", i+2), Alive: true})
	}
	counts := map[string]int{}
	const entries = 100
	for i := range entries {
		p := newPeers(fmt.Sprintf("10.1.0.%d:7", i), "r", "r1", []string{"near-0", "near-1", "far"})
		p.update(all)
		peer, _ := p.current()
		counts[peer.Addr]++
	}
	for _, peer := range all {
		if n := counts[peer.Addr]; n < entries/8 || n > entries/2 {
			t.Errorf("%d of %d gateways follow %s, want about a quarter", n, entries, peer.Addr)
		}
	}
}
