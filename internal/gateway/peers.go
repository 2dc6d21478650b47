package gateway

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// nearerInterval is the time between two trials of a nearer control VM. Traffic
// between regions is billed, so a gateway that lost the control VM of its
// region, or found it without a leader at startup, returns to it.
const nearerInterval = 5 * time.Second

// peers decides which control VM a gateway follows: the nearest one that
// answers. It does no I/O; the time is an argument.
type peers struct {
	self, region, dataCentre string
	// list holds the known control VMs, nearest first; followed is the index of
	// the current one.
	list     []watch.Peer
	followed int
	// trial reports that followed is a nearer VM on trial and that previous is
	// the one to return to if the trial fails.
	trial    bool
	previous int
	// nextTrial is the earliest time of the next trial.
	nextTrial time.Duration
}

func newPeers(self, region, dataCentre string, seeds []string) *peers {
	p := &peers{self: self, region: region, dataCentre: dataCentre}
	for _, addr := range seeds {
		p.list = append(p.list, watch.Peer{Addr: addr})
	}
	return p
}

func (p *peers) nonEmpty() bool { return len(p.list) > 0 }

// current returns the control VM to query and whether it is on trial.
func (p *peers) current() (watch.Peer, bool) { return p.list[p.followed], p.trial }

// others returns the addresses of the other VMs, in the order in which they are
// queried.
func (p *peers) others() []string {
	var addrs []string
	for i := 1; i < len(p.list); i++ {
		addrs = append(addrs, p.list[(p.followed+i)%len(p.list)].Addr)
	}
	return addrs
}

// follow makes a known VM the current one.
func (p *peers) follow(addr string) {
	if i := p.indexOf(addr); i >= 0 {
		p.followed = i
	}
}

// report records whether the current VM has a current state and selects the VM
// to query next.
func (p *peers) report(now time.Duration, isCurrent bool) {
	switch {
	case p.trial && !isCurrent:
		p.followed = p.previous
	case !isCurrent:
		p.followed = (p.followed + 1) % len(p.list)
	}
	if p.trial = false; isCurrent {
		p.startTrial(now)
	}
}

// startTrial starts a trial of the first VM that is alive and nearer than the
// current one, if a trial is due.
func (p *peers) startTrial(now time.Duration) {
	if now < p.nextTrial {
		return
	}
	for i, peer := range p.list[:p.followed] {
		if peer.Alive && p.rank(peer) < p.rank(p.list[p.followed]) {
			p.previous, p.followed, p.trial = p.followed, i, true
			p.nextTrial = now + nearerInterval
			return
		}
	}
}

// update adds and updates known control VMs. If locations become known, it
// selects the nearest VM that is alive.
func (p *peers) update(known []watch.Peer) {
	current := p.list[p.followed].Addr
	previous := p.list[p.previous].Addr
	placed := false
	for _, peer := range known {
		i := slices.IndexFunc(p.list, func(existing watch.Peer) bool { return existing.Addr == peer.Addr })
		switch {
		case i < 0:
			p.list = append(p.list, peer)
			placed = true
		case peer.Region == "" || peer.Region == p.list[i].Region:
			p.list[i].Alive = peer.Alive
		default:
			p.list[i] = peer
			placed = true
		}
	}
	if !placed {
		return
	}
	slices.SortFunc(p.list, func(a, b watch.Peer) int {
		return cmp.Or(cmp.Compare(p.rank(a), p.rank(b)), cmp.Compare(p.tieBreak(a), p.tieBreak(b)), cmp.Compare(a.Addr, b.Addr))
	})
	p.followed, p.previous = p.indexOf(current), p.indexOf(previous)
	if p.trial {
		return
	}
	for i, peer := range p.list {
		if p.rank(peer) > p.rank(p.list[p.followed]) {
			return
		}
		if peer.Alive {
			p.followed = i
			return
		}
	}
}

func (p *peers) indexOf(addr string) int {
	return slices.IndexFunc(p.list, func(peer watch.Peer) bool { return peer.Addr == addr })
}

// tieBreak orders control VMs at the same distance differently for each
// gateway, so that the gateways of a region spread over its control VMs.
func (p *peers) tieBreak(peer watch.Peer) uint64 {
	h := fnv.New64a()
	// Writing to a hash does not fail.
	_, _ = io.WriteString(h, p.self+" "+peer.Addr)
	return h.Sum64()
}

// rank is the distance of a control VM; a VM at an unknown location ranks last.
func (p *peers) rank(peer watch.Peer) int {
	switch {
	case peer.DataCentre != "" && peer.DataCentre == p.dataCentre:
		return 0
	case peer.Region != "" && peer.Region == p.region:
		return 1
	}
	return 2
}
