package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

const (
	// silentFraction is the part of the catch-up time after which a voter without a
	// reply gives way to a learner that has caught up, and a learner without a reply is
	// removed. The successor of a lost VM starts, catches up and gets its vote within
	// the catch-up time, also if the leader changes meanwhile. Exchanging a voter that
	// was only suspended is cheap: it comes back as a learner with its log.
	silentFraction = 0.25
	// minSilence is the shortest silence that counts: two missed heartbeats and the
	// longest round trip.
	minSilence = 3 * heartbeatInterval
	// refusalSilence is the silence after which a voter whose address refuses connections
	// counts as lost: a missed heartbeat. Its process has ended, whereas one that is
	// suspended, slow or cut off refuses nothing.
	refusalSilence = heartbeatInterval + tickInterval
)

// candidate is the last introduction of a control VM, whose replica may become a
// member.
type candidate struct {
	replicaID string
	watchers  []fleet.Entry
	// level is the level of the VM's state machine.
	level int
	at    time.Duration
}

// place is the location of a VM.
type place struct{ region, dataCentre string }

// reportedSilence is how long a replica had been silent when a leader reported it.
type reportedSilence struct {
	silent time.Duration
	at     time.Duration
}

// roster is what a control VM knows about the replicas of the others, apart from the
// control log. It is not safe for concurrent use.
type roster struct {
	// wanted is the number of voters to reach.
	wanted int
	// silentAfter is the time without a reply after which a replica counts as lost.
	silentAfter time.Duration
	// candidates holds the last introduction of each other control VM, by link
	// address.
	candidates map[string]candidate
	// stopping holds the IDs of the replicas whose processes stop.
	stopping map[string]bool
	// reports holds what the last leader reported about silent replicas, by ID.
	reports map[string]reportedSilence
	// refusals holds when the addresses of voters last refused a connection, by ID.
	refusals map[string]time.Duration
	// electedAt is when this VM became the leader.
	electedAt time.Duration
	// entrySeen is when each entry VM was last known to watch a control VM, by link
	// address. Only the leader maintains it.
	entrySeen map[string]time.Duration
}

// newRoster returns the roster of a deployment that tolerates the loss of the given
// number of control VMs and in which a VM catches up within the given time.
func newRoster(toleratedLosses int, catchUp time.Duration) *roster {
	return &roster{
		wanted: 2*toleratedLosses + 1, silentAfter: max(time.Duration(silentFraction*float64(catchUp)), minSilence),
		candidates: make(map[string]candidate), stopping: make(map[string]bool), reports: make(map[string]reportedSilence),
		entrySeen: make(map[string]time.Duration), refusals: make(map[string]time.Duration),
	}
}

// introduced records the introduction of a control VM. Its process runs, so that it
// no longer stops if it did before.
func (r *roster) introduced(addr string, c candidate) {
	r.candidates[addr] = c
	delete(r.stopping, c.replicaID)
}

// stops records that the process of a replica stops.
func (r *roster) stops(replicaID string) {
	r.stopping[replicaID] = true
	delete(r.candidates, vmAddr(replicaID))
}

// reported records which replicas the leader reports as silent.
func (r *roster) reported(now time.Duration, silent map[string]time.Duration) {
	clear(r.reports)
	for id, d := range silent {
		r.reports[id] = reportedSilence{silent: d, at: now}
	}
}

// elected records that this VM became the leader. What it saw of entry VMs in an
// earlier term is outdated.
func (r *roster) elected(now time.Duration) {
	r.electedAt = now
	clear(r.entrySeen)
	clear(r.refusals)
}

// silent returns how long replicas have been silent, without those that reply.
func (r *roster) silent(replicas []consensus.ReplicaStatus) map[string]time.Duration {
	silent := make(map[string]time.Duration)
	for _, status := range replicas {
		if d := r.silenceOf(status); d >= minSilence {
			silent[status.ID] = d
		}
	}
	return silent
}

// silenceOf returns how long a replica has been silent. What the last leader reported
// counts as well if the replica has not replied to this one.
func (r *roster) silenceOf(status consensus.ReplicaStatus) time.Duration {
	report, ok := r.reports[status.ID]
	if !ok || status.Heard || r.electedAt-report.at > maxContactAge {
		return status.SinceLastReply
	}
	return report.silent + status.SinceLastReply
}

// lost reports whether a replica counts as lost: its process has ended or it has been
// silent for too long.
func (r *roster) lost(now time.Duration, status consensus.ReplicaStatus) bool {
	return r.silentTooLong(status) || r.ended(now, status)
}

// silentTooLong reports whether a replica has been silent for so long that it counts as
// lost. A new leader gives every replica the time to reply.
func (r *roster) silentTooLong(status consensus.ReplicaStatus) bool {
	return status.SinceLastReply >= minSilence && r.silenceOf(status) >= r.silentAfter
}

// ended reports whether the address of a replica has refused a connection since its last
// reply, so that its process has ended.
func (r *roster) ended(now time.Duration, status consensus.ReplicaStatus) bool {
	refusedAt, refused := r.refusals[status.ID]
	return refused && status.SinceLastReply >= refusalSilence && now-refusedAt < status.SinceLastReply
}

// lowestLevel returns the lowest level of the members' state machines, 0 if that of a
// member isn't known. self is the replica of this VM.
func (r *roster) lowestLevel(self string, m consensus.Membership) int {
	lowest := fleet.RefreshLevel
	for _, id := range m.Members() {
		c := r.candidates[vmAddr(id)]
		if id != self && c.replicaID != id {
			return 0
		}
		if id != self {
			lowest = min(lowest, c.level)
		}
	}
	return lowest
}

// recentCandidates returns the replica IDs of the control VMs that introduced
// themselves within maxContactAge, sorted by address.
func (r *roster) recentCandidates(now time.Duration) []string {
	var ids []string
	for _, addr := range slices.Sorted(maps.Keys(r.candidates)) {
		if c := r.candidates[addr]; now-c.at < maxContactAge {
			ids = append(ids, c.replicaID)
		}
	}
	return ids
}

// view returns the input of the decision on the next membership change.
func (r *roster) view(now time.Duration, replica *consensus.Node, places map[string]place) memberView {
	status := replica.Status(now)
	v := memberView{
		current: replica.Membership(), self: status.ID, wanted: r.wanted, candidates: r.recentCandidates(now),
		replicas: make(map[string]memberStatus), places: places, settled: now-r.electedAt >= r.silentAfter,
	}
	for _, s := range status.Replicas {
		v.replicas[s.ID] = memberStatus{
			caughtUp: s.CaughtUp, silence: r.silenceOf(s), stopping: r.stopping[s.ID],
			lost: r.lost(now, s), ended: !r.silentTooLong(s) && r.ended(now, s),
		}
	}
	return v
}

// memberStatus is what the leader knows of a member.
type memberStatus struct {
	caughtUp bool
	silence  time.Duration
	// lost says that the replica has been silent for too long or that its process has
	// ended, stopping that its process said that it stops.
	lost, stopping bool
	// ended says that the replica counts as lost only because its process has ended.
	ended bool
}

// memberView is the input of the decision on the next membership change.
type memberView struct {
	current consensus.Membership
	// self is the ID of the leader's own replica.
	self string
	// wanted is the number of voters to reach.
	wanted int
	// candidates are the IDs of the replicas that introduced themselves recently,
	// sorted by address.
	candidates []string
	// replicas holds the members by ID.
	replicas map[string]memberStatus
	// places holds the locations of the VMs by link address.
	places map[string]place
	// settled says that the leader has led long enough to know which voters are silent.
	settled bool
}

// nextMembership returns the next membership and the reason for the change, or an
// empty reason if there is nothing to change.
//
// A voter is removed only for a learner that has caught up and takes its vote. A lost
// voter is removed first, because a further vote that can't be given would raise the
// quorum. A voter whose process stops still votes: its successor gets a vote first, so
// that the number of running voters never falls.
func nextMembership(v memberView) (consensus.Membership, string) {
	m := v.current
	if len(m.Voters) > v.wanted {
		if surplus, reason := v.surplus(); surplus != "" {
			return m.Without(surplus), reason
		}
	}
	for _, id := range m.Learners {
		if v.replicas[id].lost {
			return m.Without(id), "learner is unresponsive"
		}
	}
	if next, reason := v.admit(); reason != "" {
		return next, reason
	}
	for _, id := range v.candidates {
		if !m.IsVoter(id) && !m.IsLearner(id) && len(m.Learners) < v.wanted {
			return m.WithLearner(id), "replica introduced itself"
		}
	}
	return m, ""
}

// admit makes a learner a voter, or removes a lost voter to make room for it.
func (v memberView) admit() (consensus.Membership, string) {
	m := v.current
	if len(m.Voters) < v.wanted {
		if learner := v.successor(""); learner != "" {
			return m.WithVoter(learner), "replica caught up"
		}
		return m, ""
	}
	for _, old := range m.Voters {
		if old != v.self && slices.ContainsFunc(v.ready(), func(id string) bool { return vmAddr(id) == vmAddr(old) }) {
			return m.Without(old), "identity replaced"
		}
	}
	if len(v.ready()) == 0 || len(m.Voters) > v.wanted {
		return m, ""
	}
	if old := v.mostSilent(); old != "" && v.replaceable(old) {
		return m.Without(old), "voter is unresponsive"
	}
	if old := v.stoppingVoter(); old != "" {
		return m.WithVoter(v.successor(old)), "replica replaces a voter that stops"
	}
	return m, ""
}

// surplus returns a voter beyond the wanted number that is to lose its vote, and the
// reason. It returns "" until it is known which voter can be spared.
func (v memberView) surplus() (id, reason string) {
	if id := v.stoppingVoter(); id != "" {
		return id, "voter stops"
	}
	if id := v.mostSilent(); id != "" {
		return id, "voter is unresponsive"
	}
	if !v.settled {
		return "", ""
	}
	// All voters reply: the exchange was interrupted and isn't needed any more.
	for _, id := range slices.Backward(v.current.Voters) {
		if id != v.self {
			return id, "more voters than wanted"
		}
	}
	return "", ""
}

// stoppingVoter returns a voter whose process stops, or "". The leader comes last,
// because its removal ends its term.
func (v memberView) stoppingVoter() string {
	found := ""
	for _, id := range v.current.Voters {
		if v.replicas[id].stopping && (found == "" || found == v.self) {
			found = id
		}
	}
	return found
}

// mostSilent returns the lost voter that has been silent for longest, or "".
func (v memberView) mostSilent() string {
	found := ""
	for _, id := range v.current.Voters {
		if id != v.self && v.replicas[id].lost && (found == "" || v.replicas[id].silence > v.replicas[found].silence) {
			found = id
		}
	}
	return found
}

// ready returns the learners that may become voters.
func (v memberView) ready() []string {
	var ids []string
	for _, id := range v.current.Learners {
		if r := v.replicas[id]; r.caughtUp && !r.lost && !r.stopping {
			ids = append(ids, id)
		}
	}
	return ids
}

// successor returns the learner that is to get a vote, in place of a voter or in
// addition to all if old is "". It returns "" if no learner has caught up. The learner
// whose region, then whose data centre, has the fewest other voters is preferred, so
// that the loss of either takes as few votes as possible.
func (v memberView) successor(old string) string {
	ready := v.ready()
	if len(ready) == 0 {
		return ""
	}
	neighbours := func(id string, same func(a, b place) bool) int {
		count := 0
		for _, voter := range v.current.Voters {
			if voter != old && same(v.places[vmAddr(voter)], v.places[vmAddr(id)]) {
				count++
			}
		}
		return count
	}
	inRegion := func(a, b place) bool { return a.region == b.region }
	inDataCentre := func(a, b place) bool { return a == b }
	return slices.MinFunc(ready, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(neighbours(a, inRegion), neighbours(b, inRegion)),
			cmp.Compare(neighbours(a, inDataCentre), neighbours(b, inDataCentre)),
		)
	})
}
