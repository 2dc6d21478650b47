package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peer is another entry VM.
type Peer struct{ Addr, DataCentre, Region string }

// Limits of the choice of a peer.
const (
	// preferredPeers is the number of peers at one distance among which an entry VM
	// spreads its requests. It bounds the links that a cut-off data centre opens.
	preferredPeers = 4
	// minPeerRest and maxPeerRest bound the time for which a peer that declined a
	// request or was not reached gets no further one.
	minPeerRest = 500 * time.Millisecond
	maxPeerRest = 8 * time.Second
	// minBusyRest and maxBusyRest bound the time for which a peer that had no
	// capacity gets no further request: each refusal takes capacity too.
	minBusyRest = 100 * time.Millisecond
	maxBusyRest = 1600 * time.Millisecond
	// initialWindow is the number of requests that a peer may have in progress at
	// first. The window grows by windowStep with each request that the peer handles,
	// up to maxWindow, and is halved when the peer has no capacity.
	initialWindow = 16
	maxWindow     = 256
	windowStep    = 0.25
	// peerIdleTime is how long the link to an unused peer stays open.
	peerIdleTime = 10 * time.Second
	// failingAfter is the number of requests in a row that no peer handled after
	// which relaying counts as failing, for failingFor after the last of them.
	failingAfter = 3
	failingFor   = 2 * time.Second
)

// Outcome says how a peer handled a request.
type Outcome uint8

// The outcomes.
const (
	// Relayed means that the peer handled the request, whatever the result.
	Relayed Outcome = iota
	// Busy means that the peer had no capacity for the request.
	Busy
	// Declined means that the peer relays no requests at present, for example
	// because it is isolated too or stops.
	Declined
	// Unreachable means that there was no response from the peer.
	Unreachable
	// Abandoned means that the request ended before the peer could respond, which
	// says nothing about the peer.
	Abandoned
)

// peerState is what an entry VM knows about a peer.
type peerState struct {
	inFlight int
	// window is the number of requests that may be in progress.
	window float64
	// refusals counts the requests in a row that were declined or not answered, busy
	// those for which there was no capacity.
	refusals  int
	busy      int
	restUntil time.Duration
	lastUsed  time.Duration
}

func (s *peerState) usable(now time.Duration) bool {
	return now >= s.restUntil && s.inFlight < int(s.window)
}

// Peers selects the peers that relay the requests of one entry VM.
type Peers struct {
	self   Peer
	states map[string]*peerState
	// unhandled counts the tries since a peer last handled a request, and
	// unhandledAt is the time of the last one.
	unhandled   int
	unhandledAt time.Duration
}

// NewPeers returns the peers of an entry VM, of which nothing is known yet.
func NewPeers(self Peer) *Peers {
	return &Peers{self: self, states: make(map[string]*peerState)}
}

// Choose returns the peer that relays a request and counts the request as begun.
// allowed reports whether a peer may get the request at all, tried lists the peers
// that the request was sent to before. The nearest peers come first: those of the
// same data centre, then of the same region. Peers that refused and those of a data
// centre in which several did come after all others, because a data centre is often
// cut off as a whole.
func (p *Peers) Choose(now time.Duration, rng *rand.Rand, peers []Peer, allowed func(Peer) bool, tried []string) (Peer, bool) {
	candidates := p.candidates(now, peers, allowed, tried)
	if len(candidates) == 0 {
		return Peer{}, false
	}
	best := p.leastLoaded(rng, nearest(candidates))
	s := p.states[best.Addr]
	if s == nil {
		s = &peerState{window: initialWindow}
		p.states[best.Addr] = s
	}
	s.inFlight++
	s.lastUsed = now
	return best, true
}

// candidate is a peer that may relay a request.
type candidate struct {
	Peer
	// class orders the candidates, nearest first; hash orders those of one class
	// differently for each entry VM.
	class int
	hash  uint64
}

// candidates returns the usable peers that may get the request.
func (p *Peers) candidates(now time.Duration, peers []Peer, allowed func(Peer) bool, tried []string) []candidate {
	refused := make(map[string]int)
	for _, peer := range peers {
		if p.refusals(peer.Addr) > 0 {
			refused[peer.DataCentre]++
		}
	}
	var candidates []candidate
	usable := 0
	for _, peer := range peers {
		s := p.states[peer.Addr]
		if peer.Addr == p.self.Addr || s != nil && !s.usable(now) {
			continue
		}
		usable++
		if slices.Contains(tried, peer.Addr) || !allowed(peer) {
			continue
		}
		class := p.distance(peer)
		if p.refusals(peer.Addr) > 0 || refused[peer.DataCentre] >= suspectRefused {
			class += distances
		}
		candidates = append(candidates, candidate{peer, class, xxhash.Sum64String(p.self.Addr + " " + peer.Addr)})
	}
	if usable == 0 {
		p.notHandled(now)
	}
	return candidates
}

// nearest returns the preferred candidates of the lowest class.
func nearest(candidates []candidate) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Addr, b.Addr))
	})
	n := 1
	for n < min(len(candidates), preferredPeers) && candidates[n].class == candidates[0].class {
		n++
	}
	return candidates[:n]
}

// leastLoaded returns a candidate with the fewest requests in progress.
func (p *Peers) leastLoaded(rng *rand.Rand, candidates []candidate) Peer {
	best := candidates[rng.IntN(len(candidates))].Peer
	for _, c := range candidates {
		if p.inFlight(c.Addr) < p.inFlight(best.Addr) {
			best = c.Peer
		}
	}
	return best
}

// suspectRefused is the number of peers of a data centre whose last response was a
// refusal from which its other peers come last.
const suspectRefused = 2

// distances is the number of classes that distance returns.
const distances = 3

func (p *Peers) distance(peer Peer) int {
	switch {
	case peer.DataCentre == p.self.DataCentre:
		return 0
	case peer.Region == p.self.Region:
		return 1
	}
	return 2
}

func (p *Peers) refusals(addr string) int {
	if s := p.states[addr]; s != nil {
		return s.refusals
	}
	return 0
}

func (p *Peers) inFlight(addr string) int {
	if s := p.states[addr]; s != nil {
		return s.inFlight
	}
	return 0
}

// Ended records the outcome of a request that Choose counted.
func (p *Peers) Ended(now time.Duration, addr string, outcome Outcome) {
	s := p.states[addr]
	if s == nil {
		return
	}
	s.inFlight--
	s.lastUsed = now
	switch outcome {
	case Abandoned:
		return
	case Relayed:
		s.refusals, s.busy, s.restUntil = 0, 0, 0
		s.window = min(s.window+windowStep, maxWindow)
		p.unhandled = 0
		return
	case Busy:
		if now >= s.restUntil {
			s.busy++
			s.window = max(1, s.window/2)
		}
		s.restUntil = max(s.restUntil, now+min(minBusyRest<<min(max(s.busy-1, 0), 8), maxBusyRest))
	default:
		if now >= s.restUntil {
			s.refusals++
		}
		s.restUntil = max(s.restUntil, now+min(minPeerRest<<min(max(s.refusals-1, 0), 8), maxPeerRest))
	}
	p.notHandled(now)
}

func (p *Peers) notHandled(now time.Duration) {
	p.unhandled++
	p.unhandledAt = now
}

// Failing reports whether peers have lately handled no request.
func (p *Peers) Failing(now time.Duration) bool {
	return p.unhandled >= failingAfter && now-p.unhandledAt < failingFor
}

// Known returns the number of peers that were chosen and not forgotten.
func (p *Peers) Known() int { return len(p.states) }

// TakeIdle returns the peers that were not used for a while and forgets them, so
// that the links to them can be closed.
func (p *Peers) TakeIdle(now time.Duration) []string {
	var idle []string
	for addr, s := range p.states {
		if s.inFlight == 0 && now-s.lastUsed >= peerIdleTime {
			idle = append(idle, addr)
			delete(p.states, addr)
		}
	}
	return idle
}
