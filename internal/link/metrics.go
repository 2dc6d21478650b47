package link

import (
	"sort"
	"sync"
	"sync/atomic"
)

// Class is the class of a message: control or other traffic. The scheduler and
// the statistics distinguish the classes.
type Class uint8

// The message classes. Control is the class of priority methods and of ping,
// credit and cancel frames.
const (
	Traffic Class = iota
	Control
	classes
)

// String returns the metric label of the class.
func (c Class) String() string {
	if c == Control {
		return "control"
	}
	return "traffic"
}

// PeerStats holds the counters of one class of messages between this node and
// one peer since the node's start.
type PeerStats struct {
	Peer                string
	Class               Class
	BytesIn, BytesOut   uint64
	FramesIn, FramesOut uint64
	// Refused counts requests of the peer that were rejected because too many
	// handlers were running for it.
	Refused uint64
	// Dropped counts one-way messages to the peer that were not sent.
	Dropped uint64
	// Connects counts the connections established to the peer. It is set in the
	// Control class only.
	Connects uint64
}

// Stats is a snapshot of a node's counters.
type Stats struct {
	// Peers is sorted by peer name and class.
	Peers []PeerStats
	// ClosedByReason counts the connections closed because of a failed handshake, an
	// invalid frame or an exceeded limit, by reason.
	ClosedByReason map[string]uint64
}

type counters struct {
	bytesIn, bytesOut, framesIn, framesOut atomic.Uint64
	refused, dropped, connects             atomic.Uint64
}

func (c *counters) received(size int) {
	c.framesIn.Add(1)
	c.bytesIn.Add(uint64(size))
}

func (c *counters) sent(size int) {
	c.framesOut.Add(1)
	c.bytesOut.Add(uint64(size))
}

func (c *counters) snapshot(peer string, class Class) PeerStats {
	return PeerStats{
		Peer: peer, Class: class,
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		FramesIn: c.framesIn.Load(), FramesOut: c.framesOut.Load(),
		Refused: c.refused.Load(), Dropped: c.dropped.Load(),
		Connects: c.connects.Load(),
	}
}

// reasonCounts holds the number of connections closed for each reason.
type reasonCounts struct {
	mu     sync.Mutex
	counts map[string]uint64
}

func (r *reasonCounts) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]uint64{}
	}
	r.counts[reason]++
}

func (r *reasonCounts) snapshot() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := make(map[string]uint64, len(r.counts))
	for k, v := range r.counts {
		copied[k] = v
	}
	return copied
}

// Stats returns the counters of all peers and of the closed connections.
func (n *Node) Stats() Stats {
	s := Stats{ClosedByReason: n.closedByReason.snapshot()}
	for _, p := range n.allPeers() {
		for c := range classes {
			s.Peers = append(s.Peers, p.counters[c].snapshot(p.name, c))
		}
	}
	sort.Slice(s.Peers, func(i, j int) bool {
		if s.Peers[i].Peer != s.Peers[j].Peer {
			return s.Peers[i].Peer < s.Peers[j].Peer
		}
		return s.Peers[i].Class < s.Peers[j].Class
	})
	return s
}
