// Package consensus is a replicated log as a pure state machine: inputs are
// messages, ticks with the monotonic time, and a seed; outputs are messages,
// records to sync and committed entries. It uses no clock, network or disk.
package consensus

import "time"

// TickInterval is the time between two ticks of a replica.
const TickInterval = 10 * time.Millisecond

// EntryType says what an entry carries.
type EntryType uint8

// The types of entries.
const (
	// EntryCommand carries a command of the state machine; empty data is the
	// no-op with which a leader begins its term.
	EntryCommand EntryType = iota
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one record of the log.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Type  EntryType `msgpack:"y"`
	Data  []byte    `msgpack:"d"`
}

// HardState is what a replica must have synced before it answers.
type HardState struct {
	Term   uint64 `msgpack:"t"`
	Vote   string `msgpack:"v"`
	Commit uint64 `msgpack:"c"`
}

// Membership is the set of replicas. Learners receive the log but do not vote.
type Membership struct {
	Voters   []string `msgpack:"v"`
	Learners []string `msgpack:"l"`
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index      uint64     `msgpack:"i"`
	Term       uint64     `msgpack:"t"`
	Membership Membership `msgpack:"m"`
	Data       []byte     `msgpack:"d"`
}

// MessageType names a message between replicas.
type MessageType uint8

// The messages between replicas.
const (
	MsgPreVote MessageType = iota
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
)

// Message is what replicas send each other.
type Message struct {
	Type MessageType `msgpack:"y,omitempty"`
	From string      `msgpack:"f,omitempty"`
	To   string      `msgpack:"o,omitempty"`
	Term uint64      `msgpack:"t,omitempty"`
	// Index and LogTerm are the position before Entries (append), the last
	// position (votes) or the matched position (replies).
	Index   uint64  `msgpack:"i,omitempty"`
	LogTerm uint64  `msgpack:"l,omitempty"`
	Entries []Entry `msgpack:"e,omitempty"`
	Commit  uint64  `msgpack:"c,omitempty"`
	Reject  bool    `msgpack:"r,omitempty"`
	// Hint is the position from which a rejecting follower wants entries.
	Hint uint64 `msgpack:"h,omitempty"`
	// Stamp is the leader's monotonic time at which it sent an append; the
	// reply repeats it. The leader lease counts from it.
	Stamp    time.Duration `msgpack:"s,omitempty"`
	Snapshot *Snapshot     `msgpack:"n,omitempty"`
}

// Role is the role of a replica.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Ready is what the shell of a replica has to do, in this order: save
// HardState, Snapshot and Entries durably; send Messages; apply Committed.
type Ready struct {
	HardState *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	Messages  []Message
	Committed []Entry
}
