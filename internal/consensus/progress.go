package consensus

import "time"

// replicationState says how a leader sends entries to a follower.
type replicationState uint8

const (
	// probing: the last matching index is not known; one append at a time.
	probing replicationState = iota
	// replicating: appends are pipelined up to maxInflightAppends.
	replicating
	// installing: a snapshot was sent and is not acknowledged yet.
	installing
)

// progress is the replication progress of another replica as its leader knows
// it.
// Invariant: match < next.
type progress struct {
	state replicationState
	// match is the last index known to be synced on the replica, next the first
	// index to send.
	match, next uint64
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// appendDue says that an append must be sent, even one without entries.
	appendDue bool
	// replied says that the replica replied since the last probe or snapshot.
	// Until it does, probes carry no entries and a snapshot is not sent again, so
	// that an unresponsive replica costs little bandwidth.
	replied bool
	// sentCommit is the commit index last sent.
	sentCommit uint64
	// lastReply is when the last reply of this term arrived, or when the term began.
	lastReply time.Duration
	// heard says that a reply of this term arrived.
	heard bool
	// silence is how long the leader ran without a reply. In contrast to the time
	// since lastReply it doesn't grow while the leader itself is suspended: a leader
	// that wakes up reads the replies that wait for it only after its first tick.
	silence time.Duration
	// ackedStamp is the latest Stamp that a reply returned, or 0 if none did.
	ackedStamp time.Duration
	// snapshotSent is when a snapshot was last sent.
	snapshotSent time.Duration
	// A replication round ends when the replica holds roundTarget, the leader's
	// last index when the round began. completedRoundStart is the start of the
	// last completed round: the replica holds all entries that the leader held at
	// that time. roundCompleted says that there was such a round.
	roundTarget         uint64
	roundStart          time.Duration
	completedRoundStart time.Duration
	roundCompleted      bool
}

func newProgress(now time.Duration, last uint64) *progress {
	return &progress{
		next:        last + 1,
		appendDue:   true,
		replied:     true,
		lastReply:   now,
		roundTarget: last,
		roundStart:  now,
	}
}

// acknowledge records that the replica holds everything up to index.
func (p *progress) acknowledge(now time.Duration, index, last uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.match >= p.roundTarget {
		p.completedRoundStart, p.roundCompleted = p.roundStart, true
		p.roundTarget, p.roundStart = last, now
	}
}

// caughtUp reports whether the replica holds every entry that the leader held
// at some time that is at most limit ago.
func (p *progress) caughtUp(now, limit time.Duration) bool {
	return p.roundCompleted && now-p.completedRoundStart <= limit
}

// probeFrom switches to probing, from index next on.
func (p *progress) probeFrom(next uint64) {
	p.state = probing
	p.next = max(p.match+1, next)
	p.inflight = nil
	p.appendDue = true
	p.replied = true
}

// replicate switches to pipelined appends, from the index after match on.
func (p *progress) replicate() {
	p.state = replicating
	p.next = p.match + 1
	p.inflight = nil
}

func (p *progress) windowFull() bool { return len(p.inflight) >= maxInflightAppends }
