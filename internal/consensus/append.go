package consensus

import "slices"

// follow accepts the sender of an append or a snapshot as leader of its term.
func (n *Node) follow(m Message) bool {
	if m.Term == n.term && n.role == Leader {
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.heard = n.now
	n.resetElectionDeadline()
	return true
}

// rejectStale tells a leader of an earlier term that it was replaced. The
// reply carries no stamp, so it never extends a lease.
func (n *Node) rejectStale(m Message) {
	n.send(Message{Type: MsgAppendReply, To: m.From, Term: n.term, Reject: true})
}

// wellFormed reports whether the entries follow m.Index without a gap, with
// terms that do not decrease, and with readable memberships.
func wellFormed(m Message) bool {
	index, term := m.Index, m.LogTerm
	for _, e := range m.Entries {
		if e.Index != index+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		if e.Type == EntryMembership {
			if _, err := DecodeMembership(e); err != nil {
				return false
			}
		}
		index, term = e.Index, e.Term
	}
	return true
}

func (n *Node) onAppend(m Message) {
	if !wellFormed(m) {
		return
	}
	if m.Term < n.term {
		n.rejectStale(m)
		return
	}
	if !n.follow(m) {
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.send(Message{
			Type: MsgAppendReply, To: m.From, Term: n.term, Stamp: m.Stamp,
			Reject: true, Index: m.Index, Hint: n.log.conflictHint(m.Index),
		})
		return
	}
	if !n.acceptEntries(m.Entries) {
		return
	}
	matched := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, matched))
	n.acknowledge(m, max(matched, n.log.commit))
}

func (n *Node) acknowledge(m Message, matched uint64) {
	n.send(Message{Type: MsgAppendReply, To: m.From, Term: n.term, Stamp: m.Stamp, Index: matched})
}

// acceptEntries appends what the log lacks and removes what contradicts it. It
// returns false without any change when a committed entry is contradicted,
// which no correct leader does.
func (n *Node) acceptEntries(entries []Entry) bool {
	for i, e := range entries {
		term, held := n.log.term(e.Index)
		if e.Index <= n.log.base || (held && term == e.Term) {
			continue
		}
		if e.Index <= n.log.commit {
			return false
		}
		n.replaceSuffix(entries[i:])
		return true
	}
	return true
}

// replaceSuffix removes the log from the first entry's index on and appends
// the entries.
func (n *Node) replaceSuffix(entries []Entry) {
	before := entries[0].Index - 1
	if before < n.log.last() {
		n.log.truncate(before)
		n.history.truncate(before)
		n.readyKept = min(n.readyKept, before)
	}
	n.log.append(slices.Clone(entries)...)
	for _, e := range entries {
		_ = n.recordMembership(e) // wellFormed decoded it already
	}
}

// commitTo raises the commit index of a follower; it never lowers it.
func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.last()))
}
