package consensus

import "time"

// replicationState says how a leader sends entries to a follower.
type replicationState uint8

const (
	// probing: the matching position is not known; one append at a time.
	probing replicationState = iota
	// replicating: appends are pipelined up to maxInflightAppends.
	replicating
	// installing: a snapshot is on its way.
	installing
)

// progress is what a leader knows about another replica.
// Invariant: match < next.
type progress struct {
	state replicationState
	// match is the last index known to be synced there, next the first index
	// to send.
	match, next uint64
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// appendDue asks for an append even without entries.
	appendDue bool
	// answered says that the replica replied since the last probe or snapshot.
	// Without it, probes carry no entries and a snapshot is not sent again, so
	// that a silent replica costs little bandwidth.
	answered bool
	// sentCommit is the commit index last sent.
	sentCommit uint64
	// lastReply is when the last reply of this term arrived.
	lastReply time.Duration
	// ackedStamp is the latest stamp that a reply repeated; 0 is none.
	ackedStamp time.Duration
	// snapshotSent is when a snapshot was last sent.
	snapshotSent time.Duration
	// A round ends when the replica holds roundTarget, the last index of the
	// leader when the round began. upTo is the start of the last ended round:
	// the replica holds all entries of that time.
	roundTarget uint64
	roundStart  time.Duration
	upTo        time.Duration
	roundEnded  bool
}

func newProgress(now time.Duration, last uint64) *progress {
	return &progress{
		next:        last + 1,
		appendDue:   true,
		answered:    true,
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
		p.upTo, p.roundEnded = p.roundStart, true
		p.roundTarget, p.roundStart = last, now
	}
}

// caughtUp reports whether the replica holds every entry that the leader held
// at some time within the last limit.
func (p *progress) caughtUp(now, limit time.Duration) bool {
	return p.roundEnded && now-p.upTo <= limit
}

// probeFrom returns to probing at index next.
func (p *progress) probeFrom(next uint64) {
	p.state = probing
	p.next = max(p.match+1, next)
	p.inflight = nil
	p.appendDue = true
	p.answered = true
}

// replicate begins pipelining after the matching position.
func (p *progress) replicate() {
	p.state = replicating
	p.next = p.match + 1
	p.inflight = nil
}

func (p *progress) windowFull() bool { return len(p.inflight) >= maxInflightAppends }
