package consensus

import (
	"fmt"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// MembershipFault says why a membership change was refused.
type MembershipFault string

// The reasons for refusing a membership change.
const (
	ChangePending    MembershipFault = "another change is not committed yet"
	TermNotReady     MembershipFault = "the leader has not committed an entry of its term"
	NotSingleChange  MembershipFault = "the change does not add, move or remove exactly one replica"
	NotALearner      MembershipFault = "a voter must be a learner first"
	NotCaughtUp      MembershipFault = "the learner is not caught up"
	NoVoters         MembershipFault = "no voter would remain"
	InvalidReplicaID MembershipFault = "a replica is listed twice or has an empty ID"
)

// MembershipError reports an invalid membership or a refused membership change.
// It unwraps to an *errkind.Error of kind ConfigConflict if a later attempt may
// succeed, and of kind BadRequest otherwise.
type MembershipError struct {
	Fault MembershipFault
	// Replica is the ID of the replica concerned, or "" if there is none.
	Replica string
}

// Error implements error.
func (e *MembershipError) Error() string {
	if e.Replica == "" {
		return fmt.Sprintf("membership change refused: %s", e.Fault)
	}
	return fmt.Sprintf("membership change refused: %s: %s", e.Fault, e.Replica)
}

// Unwrap returns the fault as an *errkind.Error.
func (e *MembershipError) Unwrap() error {
	kind := errkind.BadRequest
	switch e.Fault {
	case ChangePending, TermNotReady, NotCaughtUp:
		kind = errkind.ConfigConflict
	}
	return errkind.New(kind, "%s", e.Fault)
}

// IsVoter reports whether the replica is a voter.
func (m Membership) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether the replica is a learner, which receives the log
// but does not vote.
func (m Membership) IsLearner(id string) bool { return slices.Contains(m.Learners, id) }

// Members returns the IDs of all voters, followed by those of all learners.
func (m Membership) Members() []string {
	return slices.Concat(m.Voters, m.Learners)
}

// Quorum returns the number of voters in a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// WithLearner returns the membership with the replica as a learner.
func (m Membership) WithLearner(id string) Membership {
	changed := m.Without(id)
	changed.Learners = append(changed.Learners, id)
	return changed
}

// WithVoter returns the membership with the replica as a voter.
func (m Membership) WithVoter(id string) Membership {
	changed := m.Without(id)
	changed.Voters = append(changed.Voters, id)
	return changed
}

// Without returns the membership without the replica.
func (m Membership) Without(id string) Membership {
	isReplica := func(other string) bool { return other == id }
	changed := m.clone()
	changed.Voters = slices.DeleteFunc(changed.Voters, isReplica)
	changed.Learners = slices.DeleteFunc(changed.Learners, isReplica)
	return changed
}

// validate returns an error if the membership has no voters, lists a replica
// twice or has an empty ID.
func (m Membership) validate() *MembershipError {
	if len(m.Voters) == 0 {
		return &MembershipError{Fault: NoVoters}
	}
	seen := make(map[string]bool)
	for _, id := range m.Members() {
		if id == "" || seen[id] {
			return &MembershipError{Fault: InvalidReplicaID, Replica: id}
		}
		seen[id] = true
	}
	return nil
}

// suffrage says whether a replica is a voter, a learner or not a member.
type suffrage uint8

const (
	nonMember suffrage = iota
	learner
	voter
)

func (m Membership) suffrage(id string) suffrage {
	switch {
	case m.IsVoter(id):
		return voter
	case m.IsLearner(id):
		return learner
	}
	return nonMember
}

// changedMembers returns the IDs of the replicas whose suffrage differs between
// two memberships.
func changedMembers(from, to Membership) []string {
	var ids []string
	for _, id := range from.Members() {
		if from.suffrage(id) != to.suffrage(id) {
			ids = append(ids, id)
		}
	}
	for _, id := range to.Members() {
		if from.suffrage(id) == nonMember {
			ids = append(ids, id)
		}
	}
	return ids
}

func encodeMembership(m Membership) ([]byte, error) {
	data, err := wire.Marshal(&m)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode membership")
	}
	return data, nil
}

// DecodeMembership returns the membership that an EntryMembership carries.
func DecodeMembership(e Entry) (Membership, error) {
	var m Membership
	if err := wire.Unmarshal(e.Data, &m); err != nil {
		return Membership{}, errkind.Wrap(errkind.Internal, err, "decode membership at index %d", e.Index)
	}
	if fault := m.validate(); fault != nil {
		return Membership{}, fault
	}
	return m, nil
}

// membershipAt is a membership with the log index from which on it is in force.
type membershipAt struct {
	index      uint64
	membership Membership
}

// membershipHistory lists the memberships of the log by ascending index. The
// first one is at or below the log's base. A membership is in force as soon as
// its entry is in the log, committed or not.
type membershipHistory []membershipAt

func (h membershipHistory) current() Membership { return h[len(h)-1].membership }

func (h membershipHistory) currentIndex() uint64 { return h[len(h)-1].index }

// at returns the membership in force at an index.
func (h membershipHistory) at(index uint64) Membership {
	found := h[0].membership
	for _, m := range h {
		if m.index <= index {
			found = m.membership
		}
	}
	return found
}

// truncate removes the memberships after an index, but never the first one.
func (h *membershipHistory) truncate(index uint64) {
	kept := *h
	for len(kept) > 1 && kept[len(kept)-1].index > index {
		kept = kept[:len(kept)-1]
	}
	*h = kept
}

// compact removes the memberships that were replaced at or before an index.
func (h *membershipHistory) compact(index uint64) {
	kept := *h
	for len(kept) > 1 && kept[1].index <= index {
		kept = kept[1:]
	}
	*h = slices.Clone(kept)
}

// ProposeMembership appends a membership change to the log. The change must
// concern exactly one replica, and a new voter must be a learner that is caught
// up. The change is in force as soon as it is in the log. Errors:
// *MembershipError, or *errkind.Error of kind NotLeader.
func (n *Node) ProposeMembership(now time.Duration, m Membership) (index, term uint64, err error) {
	n.advanceClock(now)
	if n.role != Leader {
		return 0, 0, n.notLeader()
	}
	if fault := n.checkChange(m); fault != nil {
		return 0, 0, fault
	}
	data, err := encodeMembership(m)
	if err != nil {
		return 0, 0, err
	}
	index = n.appendEntry(EntryMembership, data)
	n.history = append(n.history, membershipAt{index, m.clone()})
	n.updatePeers()
	return index, n.term, nil
}

func (n *Node) checkChange(m Membership) *MembershipError {
	if fault := m.validate(); fault != nil {
		return fault
	}
	if !n.CommittedInCurrentTerm() {
		return &MembershipError{Fault: TermNotReady}
	}
	if n.history.currentIndex() > n.log.commit {
		return &MembershipError{Fault: ChangePending}
	}
	current := n.history.current()
	ids := changedMembers(current, m)
	if len(ids) != 1 {
		return &MembershipError{Fault: NotSingleChange}
	}
	return n.checkPromotion(ids[0], current.suffrage(ids[0]), m.suffrage(ids[0]))
}

func (n *Node) checkPromotion(id string, from, to suffrage) *MembershipError {
	if to != voter {
		return nil
	}
	if from != learner {
		return &MembershipError{Fault: NotALearner, Replica: id}
	}
	if p := n.peers[id]; p == nil || !p.caughtUp(n.now, n.cfg.ElectionMin) {
		return &MembershipError{Fault: NotCaughtUp, Replica: id}
	}
	return nil
}
