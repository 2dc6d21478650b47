package consensus

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Node is one replica. It is not safe for concurrent use. Every now argument
// is a reading of the monotonic clock of this process, taken after the message
// or proposal arrived; the leader lease depends on that.
type Node struct {
	cfg Config
	rng *rand.Rand

	now     time.Duration
	started bool

	term   uint64
	vote   string
	role   Role
	leader string

	log      entryLog
	history  membershipHistory
	snapshot *Snapshot

	// lastLeaderContact is when an append or a snapshot from a leader of any
	// term was last accepted. It begins as the start of the process, since a
	// restarted replica does not know which appends it acknowledged.
	lastLeaderContact time.Duration
	electionDeadline  time.Duration
	votes             map[string]bool

	// The following fields are used only by a leader.
	peers        map[string]*progress
	termStart    uint64
	heartbeatDue time.Duration
	lastTick     time.Duration

	// saved is the hard state that was last saved or recovered.
	saved           HardState
	pendingSnapshot *Snapshot
	messages        []Message
	ready           *Ready
	// readyValidTo is the index up to which the entries of the outstanding Ready
	// are still in the log; later ones were truncated while it was handled.
	readyValidTo uint64
}

// New creates a replica from the state that was recovered from storage. The
// membership initial is used if neither the log nor the snapshot holds one. The
// state machine must already be restored from snap; Ready delivers the
// committed entries after it.
func New(cfg Config, initial Membership, hs HardState, snap *Snapshot, entries []Entry) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, hashID(cfg.ID))),
		term:         hs.Term,
		vote:         hs.Vote,
		saved:        hs,
		history:      membershipHistory{{0, initial.clone()}},
		readyValidTo: math.MaxUint64,
	}
	if snap != nil {
		n.log.reset(snap.Index, snap.Term)
		n.history = membershipHistory{{snap.Index, snap.Membership.clone()}}
		n.snapshot = snap
	}
	if err := n.recoverEntries(entries); err != nil {
		return nil, err
	}
	n.recoverState(hs)
	return n, nil
}

// hashID returns a hash of the ID, which makes the election timeouts of replicas
// with the same seed differ.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

func (n *Node) recoverEntries(entries []Entry) error {
	previous := n.log.baseTerm
	for _, e := range entries {
		if e.Index != n.log.last()+1 || e.Term < previous {
			return errkind.New(errkind.Internal, "recovered log is not contiguous at index %d term %d", e.Index, e.Term)
		}
		previous = e.Term
		if err := n.recordMembership(e); err != nil {
			return err
		}
		n.log.append(e)
	}
	n.log.stable = n.log.last()
	return nil
}

// recoverState applies the hard state. A crash while a Ready is only partly
// saved leaves a commit index beyond the log or a term below that of the last
// entry. The replica acknowledged neither, so both are corrected.
func (n *Node) recoverState(hs HardState) {
	n.log.commit = max(n.log.commit, min(hs.Commit, n.log.last()))
	if last := n.log.lastTerm(); last > n.term {
		n.term = last
		n.vote = ""
	}
}

// recordMembership adds the membership that an entry carries to the history.
func (n *Node) recordMembership(e Entry) error {
	if e.Type != EntryMembership {
		return nil
	}
	m, err := DecodeMembership(e)
	if err != nil {
		return err
	}
	n.history = append(n.history, membershipAt{e.Index, m})
	return nil
}

// advanceClock moves the replica's clock forward to now, never back. The first
// call starts the election timeout.
func (n *Node) advanceClock(now time.Duration) {
	n.now = max(n.now, now)
	if n.started {
		return
	}
	n.started = true
	n.lastLeaderContact = n.now
	n.resetElectionDeadline()
}

// Tick handles the timeouts that have expired at time now. It must be called
// every TickInterval.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline && n.mayCampaign() {
		n.startPreVote()
	}
}

// Step handles a message from another replica. Messages to another ID are
// dropped, so a replica that lost its disk never votes under its old ID.
func (n *Node) Step(now time.Duration, m Message) {
	n.advanceClock(now)
	if m.To != n.cfg.ID || m.From == n.cfg.ID {
		return
	}
	switch m.Type {
	case MsgPreVote:
		n.onPreVote(m)
	case MsgPreVoteReply:
		n.onPreVoteReply(m)
	case MsgVote:
		n.onVote(m)
	case MsgVoteReply:
		n.onVoteReply(m)
	case MsgAppend:
		n.onAppend(m)
	case MsgAppendReply:
		n.onAppendReply(m)
	case MsgSnapshot:
		n.onSnapshot(m)
	}
}

// Propose appends a command of the state machine. Errors: *errkind.Error of
// kind NotLeader, or Overloaded when too many entries wait for a quorum. An
// accepted command may still be lost if the leader changes: it is committed
// only when Ready delivers it at the returned index with the returned term.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	if n.role != Leader {
		return 0, 0, n.notLeader()
	}
	if waiting := n.log.last() - n.log.commit; waiting >= maxUncommittedEntries {
		return 0, 0, errkind.New(errkind.Overloaded, "%d entries wait for a quorum", waiting)
	}
	if len(data) == 0 {
		return 0, 0, errkind.New(errkind.BadRequest, "a command has no data")
	}
	return n.appendEntry(EntryCommand, data), n.term, nil
}

func (n *Node) notLeader() *errkind.Error {
	return errkind.New(errkind.NotLeader, "the leader is %q", n.leader)
}

// appendEntry appends an entry of the current term to the leader's log and
// returns its index.
func (n *Node) appendEntry(kind EntryType, data []byte) uint64 {
	index := n.log.last() + 1
	n.log.append(Entry{Index: index, Term: n.term, Type: kind, Data: data})
	return index
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	n.messages = append(n.messages, m)
}

func (n *Node) isVoter() bool { return n.history.current().IsVoter(n.cfg.ID) }

// mayCampaign reports whether this replica may try to become leader: if it is a
// voter, or if its removal is in the log but not committed. It may be the only
// replica with that entry and so have the longest log: it denies the others its
// vote then, without which they may not be able to elect a leader.
func (n *Node) mayCampaign() bool {
	if n.isVoter() {
		return true
	}
	committed := n.log.commit
	return n.history.currentIndex() > committed && n.history.at(committed).IsVoter(n.cfg.ID)
}

// Leader returns the ID of the leader, or "" when none is known.
func (n *Node) Leader() string { return n.leader }

// Role returns the role of the replica.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// CommitIndex returns the last index known to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.commit }

// Membership returns the membership in force, committed or not.
func (n *Node) Membership() Membership { return n.history.current().clone() }

// CommittedMembership returns the newest membership that is known to be committed.
func (n *Node) CommittedMembership() Membership { return n.history.at(n.log.commit).clone() }
