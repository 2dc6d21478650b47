package consensus

import "time"

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "invalid"
}

// String returns the name of the message type.
func (t MessageType) String() string {
	names := [...]string{"pre-vote", "pre-vote reply", "vote", "vote reply", "append", "append reply", "snapshot"}
	if int(t) < len(names) {
		return names[t]
	}
	return "invalid"
}

// ReplicaStatus describes a replica as its leader knows it.
type ReplicaStatus struct {
	ID    string
	Voter bool
	// Match is the last index known to be synced on the replica.
	Match uint64
	// SinceLastReply is how long the leader ran without a reply, without the time for
	// which it was suspended itself; 0 for the leader itself.
	SinceLastReply time.Duration
	// Heard says that a reply arrived in this term. If not, SinceLastReply is the time
	// since the term began and the replica may be silent for longer.
	Heard bool
	// CaughtUp says that the replica's log is recent enough for a learner to
	// become a voter.
	CaughtUp bool
	// Installing says that a snapshot was sent and is not acknowledged yet.
	Installing bool
}

// Status describes a replica for operators and for the decision to promote a
// learner.
type Status struct {
	ID          string
	Role        Role
	Term        uint64
	Leader      string
	CommitIndex uint64
	// LastIndex is the last index of the log, committed or not.
	LastIndex uint64
	// SnapshotIndex is the last index that the newest snapshot covers.
	SnapshotIndex uint64
	// Replicas lists all members, voters first, on a leader; nil otherwise.
	Replicas []ReplicaStatus
}

// Status returns the state of the replica at time now.
func (n *Node) Status(now time.Duration) Status {
	n.advanceClock(now)
	s := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader,
		CommitIndex: n.log.commit, LastIndex: n.log.last(),
	}
	if n.snapshot != nil {
		s.SnapshotIndex = n.snapshot.Index
	}
	if n.role == Leader {
		s.Replicas = n.replicaStatus()
	}
	return s
}

func (n *Node) replicaStatus() []ReplicaStatus {
	var all []ReplicaStatus
	membership := n.history.current()
	for _, id := range membership.Members() {
		status := ReplicaStatus{ID: id, Voter: membership.IsVoter(id)}
		if p := n.peers[id]; p != nil {
			status.Match = p.match
			status.SinceLastReply, status.Heard = p.silence, p.heard
			status.CaughtUp = p.caughtUp(n.now, n.cfg.ElectionMin)
			status.Installing = p.state == installing
		} else {
			status.Match = n.log.stable
			status.CaughtUp, status.Heard = true, true
		}
		all = append(all, status)
	}
	return all
}
