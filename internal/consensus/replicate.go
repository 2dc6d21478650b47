package consensus

import (
	"slices"
	"time"
)

// updatePeers adds progress records for new members and deletes those of
// removed ones.
func (n *Node) updatePeers() {
	membership := n.history.current()
	for id := range n.peers {
		if membership.suffrage(id) == nonMember {
			delete(n.peers, id)
		}
	}
	for _, id := range membership.Members() {
		if id != n.cfg.ID && n.peers[id] == nil {
			n.peers[id] = newProgress(n.now, n.log.last())
		}
	}
}

// tickLeader makes the leader step down if it received no replies from a quorum
// for longer than ElectionMax, and marks the periodic appends as due.
func (n *Node) tickLeader() {
	n.addSilence()
	if n.now-n.quorumTime(lastReplyOf) > n.cfg.ElectionMax {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now < n.heartbeatDue {
		return
	}
	n.heartbeatDue = n.now + n.cfg.HeartbeatInterval
	for _, p := range n.peers {
		p.appendDue = true
	}
}

// addSilence adds the time since the last tick to the silence of all other replicas.
// Of a longer pause of the leader only one heartbeat interval counts.
func (n *Node) addSilence() {
	elapsed := min(n.now-n.lastTick, n.cfg.HeartbeatInterval)
	n.lastTick = n.now
	for _, p := range n.peers {
		p.silence += elapsed
	}
}

// flushAppends queues the appends that are due. Proposals made between two
// calls of Ready share one append per follower.
func (n *Node) flushAppends() {
	if n.role != Leader {
		return
	}
	for _, id := range n.history.current().Members() {
		if p := n.peers[id]; p != nil {
			n.flushPeer(id, p)
		}
	}
}

func (n *Node) flushPeer(id string, p *progress) {
	if p.state != installing && p.next <= n.log.base {
		n.sendSnapshot(id, p)
		return
	}
	switch p.state {
	case probing:
		n.flushProbe(id, p)
	case replicating:
		n.flushPipeline(id, p)
	case installing:
		n.flushInstalling(id, p)
	}
}

func (n *Node) flushProbe(id string, p *progress) {
	if !p.appendDue {
		return
	}
	var entries []Entry
	if p.replied {
		entries = n.log.batch(p.next, n.cfg.MaxAppendBytes)
	}
	p.replied = false
	n.sendAppend(id, p, entries)
}

func (n *Node) flushPipeline(id string, p *progress) {
	for p.next <= n.log.last() && !p.windowFull() {
		entries := n.log.batch(p.next, n.cfg.MaxAppendBytes)
		n.sendAppend(id, p, entries)
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
	if p.appendDue || p.sentCommit < n.log.commit {
		n.sendAppend(id, p, nil)
	}
}

// flushInstalling sends the snapshot again when its resend interval has passed,
// and otherwise empty appends that keep the lease valid: an append at index 0
// matches every log.
func (n *Node) flushInstalling(id string, p *progress) {
	if p.replied && n.now-p.snapshotSent >= snapshotResendInterval {
		n.sendSnapshot(id, p)
		return
	}
	if p.appendDue {
		p.appendDue = false
		n.send(Message{Type: MsgAppend, To: id, Term: n.term, Stamp: n.now})
	}
}

func (n *Node) sendAppend(id string, p *progress, entries []Entry) {
	before := p.next - 1
	term, _ := n.log.term(before)
	p.appendDue = false
	p.sentCommit = n.log.commit
	n.send(Message{
		Type: MsgAppend, To: id, Term: n.term, Stamp: n.now,
		Index: before, LogTerm: term, Entries: entries, Commit: n.log.commit,
	})
}

func (n *Node) onAppendReply(m Message) {
	p := n.peers[m.From]
	if p == nil {
		return // not the leader, or the sender is no longer a member
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if m.Term < n.term || m.Index > n.log.last() {
		return
	}
	p.lastReply, p.heard, p.silence = n.now, true, 0
	p.ackedStamp = max(p.ackedStamp, m.Stamp)
	p.replied = true
	if m.Reject {
		n.onReject(p, m)
		return
	}
	n.onAcknowledged(p, m)
}

// onReject returns to probing at the index that the follower suggests. Late
// rejections are ignored if their index has matched or is no longer probed.
func (n *Node) onReject(p *progress, m Message) {
	stale := m.Index <= p.match || m.Index >= p.next
	if p.state == probing && m.Index != p.next-1 {
		stale = true
	}
	if stale || p.state == installing {
		return
	}
	p.probeFrom(min(m.Hint, m.Index))
}

func (n *Node) onAcknowledged(p *progress, m Message) {
	probed := m.Index+1 >= p.next
	p.acknowledge(n.now, m.Index, n.log.last())
	switch {
	case p.state == probing && probed:
		p.replicate()
	case p.state == installing && p.match >= n.log.base:
		p.replicate()
	}
	n.advanceCommit()
}

// advanceCommit commits the entries that a quorum has synced. Replicas are
// counted only for entries of the leader's own term; earlier entries are
// committed along with them.
func (n *Node) advanceCommit() {
	index := n.quorumIndex()
	term, ok := n.log.term(index)
	if !ok || index <= n.log.commit || term != n.term {
		return
	}
	n.log.commit = index
	if !n.isVoter() && n.history.currentIndex() <= index {
		n.flushAppends() // tells the others that the removal is committed
		n.becomeFollower(n.term, "")
	}
}

// quorumIndex returns the highest index that a quorum has synced.
func (n *Node) quorumIndex() uint64 {
	membership := n.history.current()
	indexes := make([]uint64, 0, len(membership.Voters))
	for _, id := range membership.Voters {
		if id == n.cfg.ID {
			indexes = append(indexes, n.log.stable)
			continue
		}
		indexes = append(indexes, n.peers[id].match)
	}
	slices.Sort(indexes)
	return indexes[len(indexes)-membership.Quorum()]
}

func lastReplyOf(p *progress) time.Duration { return p.lastReply }

func ackedStampOf(p *progress) time.Duration { return p.ackedStamp }

// quorumTime returns the latest time that the values of a quorum of voters have
// reached; the value of the leader itself is the current time.
func (n *Node) quorumTime(value func(*progress) time.Duration) time.Duration {
	membership := n.history.current()
	times := make([]time.Duration, 0, len(membership.Voters))
	for _, id := range membership.Voters {
		if id == n.cfg.ID {
			times = append(times, n.now)
			continue
		}
		times = append(times, value(n.peers[id]))
	}
	slices.Sort(times)
	return times[len(times)-membership.Quorum()]
}

// CommittedInCurrentTerm reports whether the leader has committed an entry of its own
// term, so that its commit index covers everything committed before.
func (n *Node) CommittedInCurrentTerm() bool {
	return n.role == Leader && n.log.commit >= n.termStart
}

// LeaseValid reports whether no other leader can exist at time now: a quorum
// acknowledged appends that were sent within LeaderLease, and every voter
// ignores vote requests for ElectionMin, which is longer, after it received
// one. The clock must be read for now just before the call, so that a leader
// that was paused notices that its lease has expired.
func (n *Node) LeaseValid(now time.Duration) bool {
	if !n.CommittedInCurrentTerm() {
		return false
	}
	if n.isVoter() && n.history.current().Quorum() == 1 {
		return true
	}
	acked := n.quorumTime(ackedStampOf)
	return acked > 0 && now-acked < n.cfg.LeaderLease
}
