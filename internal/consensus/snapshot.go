package consensus

import "slices"

// Compact replaces the log up to index by the state machine's snapshot at that
// index. The next Ready carries the snapshot for storage. An index that is not
// yet delivered or already covered by a snapshot is ignored.
func (n *Node) Compact(index uint64, state []byte) {
	term, ok := n.log.term(index)
	covered := n.snapshot != nil && index <= n.snapshot.Index
	if !ok || covered || index == 0 || index > n.log.handed {
		return
	}
	n.setSnapshot(Snapshot{
		Index: index, Term: term,
		Membership: n.history.at(index).clone(),
		Data:       slices.Clone(state),
	})
	trailing := uint64(n.cfg.TrailingEntries)
	if index <= n.log.base+trailing {
		return
	}
	n.log.compact(index - trailing)
	n.history.compact(n.log.base)
}

func (n *Node) setSnapshot(s Snapshot) {
	n.snapshot = &s
	n.pendingSnapshot = &s
}

// sendSnapshot sends the latest snapshot to a replica whose next entry is no
// longer in the log.
func (n *Node) sendSnapshot(id string, p *progress) {
	p.state = installing
	p.snapshotSent = n.now
	p.appendDue = false
	p.answered = false
	p.inflight = nil
	n.send(Message{Type: MsgSnapshot, To: id, Term: n.term, Stamp: n.now, Snapshot: n.snapshot})
}

func (n *Node) onSnapshot(m Message) {
	if m.Snapshot == nil || m.Snapshot.Membership.checkShape() != nil {
		return
	}
	if m.Term < n.term {
		n.rejectStale(m)
		return
	}
	if !n.follow(m) {
		return
	}
	n.install(*m.Snapshot)
	n.acknowledge(m, n.log.commit)
}

// install replaces log and membership by a snapshot, unless the log already
// holds the snapshot's last entry: then only the commit index moves.
func (n *Node) install(s Snapshot) {
	if n.log.matches(s.Index, s.Term) {
		n.commitTo(s.Index)
		return
	}
	n.log.reset(s.Index, s.Term)
	n.history = membershipHistory{{s.Index, s.Membership.clone()}}
	n.readyKept = 0
	n.setSnapshot(s)
}
