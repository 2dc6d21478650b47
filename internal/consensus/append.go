package consensus

import "slices"

// acceptLeader makes the replica a follower of the sender of an append or a
// snapshot. It returns false if this replica is itself the leader of the term.
func (n *Node) acceptLeader(m Message) bool {
	if m.Term == n.term && n.role == Leader {
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.lastLeaderContact = n.now
	n.resetElectionDeadline()
	return true
}

// rejectStale replies with the current term to the leader of an earlier term,
// which then steps down. The reply carries no Stamp, so it never extends a
// lease.
func (n *Node) rejectStale(m Message) {
	n.send(Message{Type: MsgAppendReply, To: m.From, Term: n.term, Reject: true})
}

// wellFormed reports whether the entries are contiguous after m.Index, their
// terms neither decrease nor exceed m.Term, and their memberships can be
// decoded.
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
	if !n.acceptLeader(m) {
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

// acceptEntries appends the entries that the log lacks and removes the
// conflicting ones. It returns false without any change if an entry conflicts
// with a committed one, which no correct leader sends.
func (n *Node) acceptEntries(entries []Entry) bool {
	for i, e := range entries {
		term, ok := n.log.term(e.Index)
		if e.Index <= n.log.base || (ok && term == e.Term) {
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

// replaceSuffix removes all entries of the log from the index of the first
// given entry on and appends the given entries.
func (n *Node) replaceSuffix(entries []Entry) {
	before := entries[0].Index - 1
	if before < n.log.last() {
		n.log.truncate(before)
		n.history.truncate(before)
		n.readyValidTo = min(n.readyValidTo, before)
	}
	n.log.append(slices.Clone(entries)...)
	for _, e := range entries {
		_ = n.recordMembership(e) // wellFormed has already decoded it
	}
}

// commitTo raises the commit index of a follower to index, but not beyond the
// end of its log; it never lowers it.
func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.last()))
}
