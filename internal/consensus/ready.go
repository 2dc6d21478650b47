package consensus

import (
	"math"
	"time"
)

// HasReady reports whether Ready returns anything to do.
func (n *Node) HasReady() bool {
	if n.ready != nil {
		return true
	}
	n.flushAppends()
	return n.hardStateChanged() ||
		n.pendingSnapshot != nil ||
		n.log.stable < n.log.last() ||
		len(n.messages) > 0 ||
		n.log.delivered < n.log.commit
}

// hardStateChanged reports whether the term or the vote has to be saved. It
// ignores the commit index, which is learned again after a restart and is only
// saved along with other changes.
func (n *Node) hardStateChanged() bool {
	return n.term != n.saved.Term || n.vote != n.saved.Vote
}

// Ready returns what the caller has to do, in the order of the fields of Ready.
// It returns the same value until Advance is called. A Snapshot with an index
// above the last applied one replaces the state of the state machine; any other
// Snapshot comes from Compact and only has to be saved.
func (n *Node) Ready() Ready {
	if n.ready != nil {
		return *n.ready
	}
	n.flushAppends()
	r := Ready{
		Snapshot:  n.pendingSnapshot,
		Entries:   n.log.between(n.log.stable+1, n.log.last()),
		Messages:  n.messages,
		Committed: n.log.between(n.log.delivered+1, n.log.commit),
	}
	if n.hardStateChanged() || len(r.Entries) > 0 || r.Snapshot != nil {
		// A crash may keep the hard state and lose the entries that are saved with
		// it. The saved commit index therefore covers synced entries only: beyond
		// them the disk may hold entries of an earlier term that were replaced.
		r.HardState = &HardState{Term: n.term, Vote: n.vote, Commit: n.syncedCommit(r.Snapshot)}
	}
	n.pendingSnapshot = nil
	n.messages = nil
	n.log.delivered = n.log.commit
	n.readyValidTo = math.MaxUint64
	n.ready = &r
	return r
}

// syncedCommit returns the commit index to save, which covers synced entries
// only. A snapshot that is not synced yet covers nothing: the index saved before
// stays.
func (n *Node) syncedCommit(unsynced *Snapshot) uint64 {
	if unsynced != nil {
		return n.saved.Commit
	}
	return min(n.log.commit, n.log.stable)
}

// Advance tells the replica that everything in r was saved, sent and applied.
// Calls without an outstanding Ready are ignored.
func (n *Node) Advance(now time.Duration, r Ready) {
	n.advanceClock(now)
	if n.ready == nil {
		return
	}
	n.ready = nil
	if r.HardState != nil {
		n.saved = *r.HardState
	}
	if count := len(r.Entries); count > 0 {
		synced := min(r.Entries[count-1].Index, n.readyValidTo)
		n.log.stable = max(n.log.stable, synced)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}
