package consensus

import "time"

func (n *Node) resetElectionDeadline() {
	spread := n.cfg.ElectionMax - n.cfg.ElectionMin
	n.electionDeadline = n.now + n.cfg.ElectionMin + time.Duration(n.rng.Int64N(int64(spread)))
}

// becomeFollower makes the replica a follower of leader, or of no known leader
// if it is "". The term must not be below the current one.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	if n.role == Leader {
		n.resetElectionDeadline()
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
	n.votes = nil
}

// startPreVote asks the voters whether they would grant their votes, without
// raising the term: a replica that cannot reach a quorum never disrupts the
// others.
func (n *Node) startPreVote() {
	n.role = PreCandidate
	n.leader = ""
	n.votes = map[string]bool{n.cfg.ID: true}
	n.resetElectionDeadline()
	if n.hasVoteQuorum() {
		n.startElection()
		return
	}
	n.requestVotes(MsgPreVote, n.term+1)
}

func (n *Node) startElection() {
	n.role = Candidate
	n.term++
	n.vote = n.cfg.ID
	n.votes = map[string]bool{n.cfg.ID: true}
	n.resetElectionDeadline()
	if n.hasVoteQuorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.term)
}

func (n *Node) requestVotes(kind MessageType, term uint64) {
	for _, id := range n.history.current().Voters {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{Type: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
	}
}

func (n *Node) hasVoteQuorum() bool {
	membership := n.history.current()
	granted := 0
	for _, id := range membership.Voters {
		if n.votes[id] {
			granted++
		}
	}
	return granted >= membership.Quorum()
}

// leaderMayHoldLease reports whether a leader that this replica acknowledged
// may still hold its lease. The check does not depend on the term or on the
// known leader, because a higher term does not end a lease.
func (n *Node) leaderMayHoldLease() bool {
	return n.role == Leader || n.now-n.lastLeaderContact < n.cfg.ElectionMin
}

func (n *Node) onPreVote(m Message) {
	if n.leaderMayHoldLease() {
		return
	}
	reply := Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= n.term || !n.log.upToDate(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Term = n.term
	}
	n.send(reply)
	if !reply.Reject && n.role == PreCandidate && m.From < n.cfg.ID {
		n.yieldPreVote()
	}
}

// yieldPreVote abandons the replica's own pre-vote in favor of that of a
// replica with a lower ID, so that two replicas that start at the same time do
// not split the votes. The shorter election timeout makes this replica retry
// early if the other one does not become leader.
func (n *Node) yieldPreVote() {
	n.role = Follower
	n.votes = nil
	n.electionDeadline = n.now + (n.cfg.ElectionMax-n.cfg.ElectionMin)/2
}

func (n *Node) onPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	if n.role != PreCandidate || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.startElection()
	}
}

func (n *Node) onVote(m Message) {
	if n.leaderMayHoldLease() {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	granted := m.Term == n.term &&
		(n.vote == "" || n.vote == m.From) &&
		n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.vote = m.From
		n.resetElectionDeadline()
	}
	n.send(Message{Type: MsgVoteReply, To: m.From, Term: n.term, Reject: !granted})
}

func (n *Node) onVoteReply(m Message) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if n.role != Candidate || m.Term != n.term || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

// recordInitialMembership appends the configured initial membership to a log
// that holds none, so that a later change of the settings does not change the
// voters.
func (n *Node) recordInitialMembership() {
	if n.history.currentIndex() > 0 {
		return
	}
	m := n.history.current()
	data, err := encodeMembership(m)
	if err != nil {
		return // the next leader tries again
	}
	index := n.appendEntry(EntryMembership, data)
	n.history = append(n.history, membershipAt{index, m})
}

// becomeLeader makes the replica the leader of its term. It begins the term
// with a no-op entry, since entries of earlier terms are committed only
// together with one of the current term.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.votes = nil
	n.peers = make(map[string]*progress)
	n.lastTick = n.now
	n.updatePeers()
	n.termStart = n.appendEntry(EntryCommand, nil)
	n.recordInitialMembership()
	n.heartbeatDue = n.now + n.cfg.HeartbeatInterval
}
