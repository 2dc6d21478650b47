package consensus

import "slices"

// Compact replaces the log up to index, except TrailingEntries of it, by a
// snapshot of the state machine at that index. The next Ready carries the
// snapshot for storage. An index that is not delivered yet or that a snapshot
// already covers is ignored.
func (n *Node) Compact(index uint64, state []byte) {
	term, ok := n.log.term(index)
	covered := n.snapshot != nil && index <= n.snapshot.Index
	if !ok || covered || index == 0 || index > n.log.delivered {
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
	p.replied = false
	p.inflight = nil
	n.send(Message{Type: MsgSnapshot, To: id, Term: n.term, Stamp: n.now, Snapshot: n.snapshot})
}

func (n *Node) onSnapshot(m Message) {
	if m.Snapshot == nil || m.Snapshot.Membership.validate() != nil {
		return
	}
	if m.Term < n.term {
		n.rejectStale(m)
		return
	}
	if !n.acceptLeader(m) {
		return
	}
	n.install(*m.Snapshot)
	n.acknowledge(m, n.log.commit)
}

// install replaces the log and the membership by a snapshot. If the log already
// holds the snapshot's last entry, it only raises the commit index.
func (n *Node) install(s Snapshot) {
	if n.log.matches(s.Index, s.Term) {
		n.commitTo(s.Index)
		return
	}
	n.log.reset(s.Index, s.Term)
	n.history = membershipHistory{{s.Index, s.Membership.clone()}}
	n.readyValidTo = 0
	n.setSnapshot(s)
}
