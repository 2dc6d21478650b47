package consensus

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Node is one replica. It is not safe for concurrent use. Every now argument
// is a monotonic time of this process that was read after the message or
// proposal in question arrived; the leader lease depends on that.
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

	// heard is when a leader of any term was last heard, or the start of the
	// process, since a restarted replica does not know what it acknowledged.
	heard            time.Duration
	electionDeadline time.Duration
	votes            map[string]bool

	// Leader only.
	peers        map[string]*progress
	termStart    uint64
	heartbeatDue time.Duration

	// saved holds the term and vote that storage has.
	saved           HardState
	pendingSnapshot *Snapshot
	messages        []Message
	ready           *Ready
	// readyKept is the last index of the outstanding Ready that was not
	// truncated since.
	readyKept uint64
}

// New starts a replica from what storage recovered; initial is used when the
// log and the snapshot hold no membership. The state machine must hold snap
// already; Ready delivers committed entries after it.
func New(cfg Config, initial Membership, hs HardState, snap *Snapshot, entries []Entry) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, hashID(cfg.ID))),
		term:      hs.Term,
		vote:      hs.Vote,
		saved:     hs,
		history:   membershipHistory{{0, initial.clone()}},
		readyKept: math.MaxUint64,
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

// hashID separates the timeouts of replicas that share a seed.
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

// recoverState applies the hard state. A crash between the parts of one Ready
// leaves a commit index beyond the log or a term below the last entry's; the
// replica acknowledged neither, so both are corrected.
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

// observe moves the replica's time forward; it never goes back.
func (n *Node) observe(now time.Duration) {
	n.now = max(n.now, now)
	if n.started {
		return
	}
	n.started = true
	n.heard = n.now
	n.resetElectionDeadline()
}

// Tick lets time pass. The shell calls it every TickInterval.
func (n *Node) Tick(now time.Duration) {
	n.observe(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline && n.mayCampaign() {
		n.startPreVote()
	}
}

// Step handles a message. Messages for another identity are dropped, so a
// replica that lost its disk never votes under its old name.
func (n *Node) Step(now time.Duration, m Message) {
	n.observe(now)
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
	n.observe(now)
	if n.role != Leader {
		return 0, 0, n.notLeader()
	}
	if waiting := n.log.last() - n.log.commit; waiting >= maxUncommittedEntries {
		return 0, 0, errkind.New(errkind.Overloaded, "%d entries wait for a quorum", waiting)
	}
	if len(data) == 0 {
		return 0, 0, errkind.New(errkind.BadRequest, "a command has no data")
	}
	return n.appendOwn(EntryCommand, data), n.term, nil
}

func (n *Node) notLeader() *errkind.Error {
	return errkind.New(errkind.NotLeader, "the leader is %q", n.leader)
}

// appendOwn appends an entry of the leader's own term.
func (n *Node) appendOwn(kind EntryType, data []byte) uint64 {
	index := n.log.last() + 1
	n.log.append(Entry{Index: index, Term: n.term, Type: kind, Data: data})
	return index
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	n.messages = append(n.messages, m)
}

func (n *Node) isVoter() bool { return n.history.current().IsVoter(n.cfg.ID) }

// mayCampaign reports whether this replica may try to become leader: as a voter,
// or while its own removal is not committed. The replica with the entry of the
// removal may be the only one with the longest log; the others cannot elect a
// leader without its vote then, and it refuses theirs.
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
