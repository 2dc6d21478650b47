package gateway

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// nearerInterval is the time between two trials of a nearer control VM. What
// crosses regions is priced, so an entry that lost the one of its region, or
// found it without a leader at its start, returns to it.
const nearerInterval = 5 * time.Second

// peers decides which control VM an entry follows: the nearest one that answers.
// It is pure but for its state.
type peers struct {
	self, region, dataCentre string
	// list holds the known control VMs, nearest first; at is the one followed.
	list []watch.Peer
	at   int
	// trial says that at is a nearer VM on trial instead of the one at before.
	trial  bool
	before int
	// nextTrial is when the next trial may begin.
	nextTrial time.Duration
}

func newPeers(self, region, dataCentre string, seeds []string) *peers {
	p := &peers{self: self, region: region, dataCentre: dataCentre}
	for _, addr := range seeds {
		p.list = append(p.list, watch.Peer{Addr: addr})
	}
	return p
}

func (p *peers) any() bool { return len(p.list) > 0 }

// current returns the control VM to ask and whether that is a trial.
func (p *peers) current() (watch.Peer, bool) { return p.list[p.at], p.trial }

// others returns the addresses of the VMs beside the current one, in the order in
// which they are asked.
func (p *peers) others() []string {
	var addrs []string
	for i := 1; i < len(p.list); i++ {
		addrs = append(addrs, p.list[(p.at+i)%len(p.list)].Addr)
	}
	return addrs
}

// follow makes a known VM the current one.
func (p *peers) follow(addr string) {
	if i := p.index(addr); i >= 0 {
		p.at = i
	}
}

// result takes in whether the current VM is worth following and chooses the one
// to ask next.
func (p *peers) result(now time.Duration, good bool) {
	switch {
	case p.trial && !good:
		p.at = p.before
	case !good:
		p.at = (p.at + 1) % len(p.list)
	}
	if p.trial = false; good {
		p.tryNearer(now)
	}
}

// tryNearer puts a nearer VM on trial if one is alive, in turn where there are
// several.
func (p *peers) tryNearer(now time.Duration) {
	if now < p.nextTrial {
		return
	}
	for i, peer := range p.list[:p.at] {
		if peer.Alive && p.rank(peer) < p.rank(p.list[p.at]) {
			p.before, p.at, p.trial = p.at, i, true
			p.nextTrial = now + nearerInterval
			return
		}
	}
}

// learn takes in known control VMs and turns to the nearest one when places
// become known.
func (p *peers) learn(known []watch.Peer) {
	current := p.list[p.at].Addr
	before := p.list[p.before].Addr
	placed := false
	for _, peer := range known {
		i := slices.IndexFunc(p.list, func(held watch.Peer) bool { return held.Addr == peer.Addr })
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
		return cmp.Or(cmp.Compare(p.rank(a), p.rank(b)), cmp.Compare(p.draw(a), p.draw(b)), cmp.Compare(a.Addr, b.Addr))
	})
	p.at, p.before = p.index(current), p.index(before)
	if p.trial {
		return
	}
	for i, peer := range p.list {
		if p.rank(peer) > p.rank(p.list[p.at]) {
			return
		}
		if peer.Alive {
			p.at = i
			return
		}
	}
}

func (p *peers) index(addr string) int {
	return slices.IndexFunc(p.list, func(peer watch.Peer) bool { return peer.Addr == addr })
}

// draw orders control VMs that are equally far, for each entry in another way, so
// that the entries of a region divide over its control VMs.
func (p *peers) draw(peer watch.Peer) uint64 {
	h := fnv.New64a()
	// Writing to a hash does not fail.
	_, _ = io.WriteString(h, p.self+" "+peer.Addr)
	return h.Sum64()
}

// rank is how far a control VM is; one whose place is not known is far.
func (p *peers) rank(peer watch.Peer) int {
	switch {
	case peer.DataCentre != "" && peer.DataCentre == p.dataCentre:
		return 0
	case peer.Region != "" && peer.Region == p.region:
		return 1
	}
	return 2
}
