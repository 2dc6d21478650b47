// Package consensus implements a replicated log with the Raft algorithm,
// including pre-votes, leader leases, learners and membership changes of one
// replica at a time. It is a deterministic state machine: inputs are messages,
// proposals, ticks with the monotonic time, and a seed; outputs are messages,
// state to sync and committed entries. It uses no clock, network or disk.
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

// HardState is the state that a replica must sync before it sends messages.
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

// MessageType is the type of a message between replicas.
type MessageType uint8

// The types of messages.
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
	// Index and LogTerm identify the entry before Entries (append) or the last
	// entry of the log (pre-vote, vote). In an append reply, Index is the matched
	// index or, if Reject is set, the one that did not match.
	Index   uint64  `msgpack:"i,omitempty"`
	LogTerm uint64  `msgpack:"l,omitempty"`
	Entries []Entry `msgpack:"e,omitempty"`
	Commit  uint64  `msgpack:"c,omitempty"`
	Reject  bool    `msgpack:"r,omitempty"`
	// Hint is the index from which a rejecting follower needs entries.
	Hint uint64 `msgpack:"h,omitempty"`
	// Stamp is the leader's monotonic time at which it sent an append or a
	// snapshot; the reply returns it. The leader lease is counted from it.
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

// Ready is what the caller of a replica has to do, in this order: save
// HardState, Snapshot and Entries durably; send Messages; apply Committed.
type Ready struct {
	HardState *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	Messages  []Message
	Committed []Entry
}
