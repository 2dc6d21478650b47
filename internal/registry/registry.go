// Package registry processes the heartbeats of targets on the control leader and
// assigns the keys of sharded services to targets. It does no I/O and reads no
// clock: the time and the replicated state are arguments.
//
// Invariant: a row is assigned to another incarnation only after its holder
// reported it as released, after every grant that its holder can have received
// has expired, or after the holder's process is known to have ended.
package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Time limits.
const (
	// MaxGrantDuration is the maximum duration of a grant. Three heartbeat intervals of 870 ms
	// fit into it, so that a grant outlives a restart and an election of the control
	// VMs.
	MaxGrantDuration = 4 * time.Second
	// clockDriftFactor is the maximum ratio of the real to the nominal duration of a
	// grant: the clocks of targets run up to 2% slow.
	clockDriftFactor = 1.02
	// roundingMargin covers the rounding of times to milliseconds.
	roundingMargin = 50 * time.Millisecond
	// lostAfter is the time since the last heartbeat after which a target counts as
	// lost and gets no further keys: two heartbeat intervals of 870 ms and their
	// delay.
	lostAfter = 2500 * time.Millisecond
	// minCollectTime, collectQuietTime and maxCollectTime delay the initial assignment
	// of the keys of a service until its first targets have announced themselves: for
	// at least minCollectTime after the first one, then until no target has joined for
	// collectQuietTime, but for at most maxCollectTime. When a system starts for the
	// first time, its targets find a control VM within two to three seconds. Targets
	// that announce themselves after the assignment get keys that other targets have
	// just got.
	minCollectTime   = 1200 * time.Millisecond
	collectQuietTime = 900 * time.Millisecond
	maxCollectTime   = 3500 * time.Millisecond
)

// Released is a row that a target released, with the handover data for the next
// holder.
type Released struct {
	From     int    `msgpack:"f"`
	To       int    `msgpack:"t"`
	Handover string `msgpack:"h"`
}

// Heartbeat is a heartbeat of a target.
type Heartbeat struct {
	Target fleet.Target `msgpack:"t"`
	// Seq increases with each heartbeat of an incarnation.
	Seq      int64      `msgpack:"s"`
	Released []Released `msgpack:"r"`
	// Held lists the ranges that the target holds or still runs requests for.
	Held []Range `msgpack:"h,omitempty"`
}

// Range is a range of keys, both ends included.
type Range struct {
	From int `msgpack:"f"`
	To   int `msgpack:"t"`
}

// WithoutStaleReleases returns the heartbeat without the releases that overlap a held range, and
// without the held ranges. Responses to heartbeats may arrive out of order: a
// target that released a row may afterwards receive an earlier response that grants
// it and hold the row again. It then releases the row once more when a later
// response leaves it out.
func (b Heartbeat) WithoutStaleReleases() Heartbeat {
	var released []Released
	for _, rel := range b.Released {
		again := slices.ContainsFunc(b.Held, func(h Range) bool { return h.From <= rel.To && h.To >= rel.From })
		if !again {
			released = append(released, rel)
		}
	}
	b.Released, b.Held = released, nil
	return b
}

// Grant is the response to a heartbeat. It lists all rows that the target is to
// hold.
type Grant struct {
	// Renew is false if the response carries no information about keys. The target
	// then keeps its current rows until they expire.
	Renew bool        `msgpack:"n"`
	Rows  []fleet.Row `msgpack:"r"`
	// Hold is the duration of the grant, counted from when the target sent the
	// heartbeat.
	Hold time.Duration `msgpack:"h"`
}

// noSeq is lower than every sequence number.
const noSeq = -1

// liveness is what the leader knows about one incarnation in addition to the
// replicated state.
type liveness struct {
	lastHeartbeat time.Duration
	seq           int64
	// grantsExpireAt is when every grant that the incarnation can have received has
	// expired.
	grantsExpireAt time.Duration
	// coldUntil is when the target stops being cold according to the last command
	// about it.
	coldUntil time.Duration
	// refused counts the heartbeats that the state did not follow since refusedSince.
	refused      int
	refusedSince time.Duration
}

// rowID identifies one assignment of a row to a holder. Each assignment has its own
// fence (fencing token), and a service never uses a fence twice.
type rowID struct {
	service string
	from    int
	fence   uint64
}

func rowIDOf(service string, row fleet.Row) rowID { return rowID{service, row.From, row.Fence} }

// Registry holds what a control leader learns about targets during its term.
type Registry struct {
	electedAt  time.Duration
	deployment Deployment
	// Revives says that all control VMs can bring back targets that count as ended.
	Revives bool
	// rowsPerTarget is the number of rows that each target gets in the initial
	// assignment; 0 stands for the default.
	rowsPerTarget int
	// maxRows is the number of rows of a target above which it gets no others; 0 stands
	// for the default.
	maxRows  int
	liveness map[fleet.Incarnation]*liveness
	// proposed is the last proposed shard change, by service.
	proposed map[string]proposal
	// announcements holds when targets announced themselves, by service.
	announcements map[string]announcementTimes
	// movingSince is when a row was first seen to be moving away from its holder. No
	// later grant contains it.
	movingSince map[rowID]time.Duration
	// demand is what entries reported about keys and targets, by service.
	demand map[string]*demand
	// released holds the handover data of the rows that their holders released.
	released map[rowID]string
}

// proposal is a shard change that was proposed at a time, based on a revision of the
// shard.
type proposal struct {
	at           time.Duration
	baseRevision uint64
	// lostHolders are the lost holders whose rows the change reassigns.
	lostHolders map[fleet.Incarnation]bool
}

// New returns the registry of a leader that was elected at now. Grants of earlier
// leaders may still be valid then.
func New(now time.Duration, d Deployment) *Registry {
	return &Registry{
		electedAt:     now,
		deployment:    d,
		liveness:      make(map[fleet.Incarnation]*liveness),
		proposed:      make(map[string]proposal),
		announcements: make(map[string]announcementTimes),
		movingSince:   make(map[rowID]time.Duration),
		released:      make(map[rowID]string),
		demand:        make(map[string]*demand),
	}
}

// latestGrantExpiry returns the time by which a grant has expired at its target, even
// if the target's clock runs slow.
func latestGrantExpiry(grantedAt time.Duration) time.Duration {
	return grantedAt + time.Duration(float64(MaxGrantDuration)*clockDriftFactor) + roundingMargin
}

// livenessOf returns the record of an incarnation. An incarnation without a
// heartbeat in this term may hold a grant of the previous leader.
func (r *Registry) livenessOf(in fleet.Incarnation) *liveness {
	l := r.liveness[in]
	if l == nil {
		l = &liveness{lastHeartbeat: r.electedAt, seq: noSeq, grantsExpireAt: latestGrantExpiry(r.electedAt)}
		r.liveness[in] = l
	}
	return l
}

// HandleHeartbeat handles a heartbeat. It returns the grant for the target and the commands
// that record what changed. Heartbeats of earlier incarnations, heartbeats that arrive
// out of order and those that the state may not follow get an empty grant.
func (r *Registry) HandleHeartbeat(now time.Duration, s *fleet.State, b Heartbeat) (Grant, []fleet.Command) {
	known, ok := s.Target(b.Target.ID)
	if ok && known.StartMs > b.Target.StartMs {
		return Grant{}, nil
	}
	first := r.liveness[b.Target.Incarnation] == nil
	l := r.livenessOf(b.Target.Incarnation)
	// A target's leave call carries no sequence number.
	leaving := b.Target.Condition >= fleet.Leaving
	if !leaving && b.Seq <= l.seq {
		return Grant{}, nil
	}
	if !leaving {
		l.seq = b.Seq
	}
	l.lastHeartbeat = now
	r.recordAnnouncement(now, b.Target.Service, first && (!ok || known.Incarnation != b.Target.Incarnation))
	if !r.admits(now, s, b.Target) {
		return Grant{}, nil
	}
	var commands []fleet.Command
	if cmd, due := r.revival(now, s, l, b.Target); due {
		return Grant{}, []fleet.Command{cmd}
	}
	if cmd, due := r.targetUpdate(now, l, known, ok, b.Target); due {
		commands = append(commands, cmd)
	}
	shard, sharded := s.ShardMap(b.Target.Service)
	if !sharded || !ok || known.StartMs != b.Target.StartMs {
		return Grant{}, commands
	}
	r.recordReleases(shard, b.WithoutStaleReleases())
	if r.reassignmentPending(now, shard, b.Target.Incarnation) {
		return Grant{}, commands
	}
	grant, notice := r.grant(now, l, shard, b.Target.Incarnation)
	if len(notice.Rows) > 0 {
		commands = append(commands, fleet.Command{Notification: &notice})
	}
	return grant, commands
}

// announcementTimes holds the time of the first heartbeat from a target of a service
// and the time at which a target last joined the service.
type announcementTimes struct{ first, lastJoin time.Duration }

// recordAnnouncement records a heartbeat for a service. joined is true if it comes
// from a new incarnation.
func (r *Registry) recordAnnouncement(now time.Duration, service string, joined bool) {
	seen, ok := r.announcements[service]
	if !ok {
		seen.first, seen.lastJoin = now, now
	}
	if joined {
		seen.lastJoin = now
	}
	r.announcements[service] = seen
}

// recordReleases records which moving rows a heartbeat reports as released. A
// release of other rows is the repetition of an earlier release whose
// acknowledgement was lost, and must not count for a later grant of the same keys.
func (r *Registry) recordReleases(shard fleet.ShardMap, b Heartbeat) {
	for _, row := range shard.Rows {
		if row.Holder != b.Target.Incarnation || !row.Moving() {
			continue
		}
		if handover, ok := releasedIn(b.Released, row); ok {
			r.released[rowIDOf(shard.Service, row)] = handover
		}
	}
}

// releasedIn reports whether releases of one heartbeat cover a row, and returns their
// handover data; "" if they differ. A holder that has not learned that its rows were merged
// releases the parts.
func releasedIn(releases []Released, row fleet.Row) (handover string, ok bool) {
	ordered := slices.SortedFunc(slices.Values(releases), func(a, b Released) int { return cmp.Compare(a.From, b.From) })
	next, first := row.From, true
	for _, rel := range ordered {
		if rel.To < next || next > row.To {
			continue
		}
		if rel.From > next {
			return "", false
		}
		if first {
			handover, first = rel.Handover, false
		} else if rel.Handover != handover {
			handover = ""
		}
		next = rel.To + 1
	}
	return handover, next > row.To
}

// targetUpdate returns the command that records a changed target, and whether one is
// needed. known is the target in the replicated state, if ok.
func (r *Registry) targetUpdate(now time.Duration, l *liveness, known fleet.Target, ok bool, t fleet.Target) (fleet.Command, bool) {
	same := ok && known.Incarnation == t.Incarnation
	turnedCold := t.ColdFor > 0 && now >= l.coldUntil
	if same {
		t.Condition = max(t.Condition, known.Condition)
	}
	// Without this update, entries that start later would treat the target as cold.
	turnedWarm := same && known.ColdFor > 0 && t.ColdFor == 0 && now >= l.coldUntil
	unchanged := same && known.Condition == t.Condition && known.Address == t.Address && known.Slots == t.Slots
	if unchanged && !turnedCold && !turnedWarm {
		return fleet.Command{}, false
	}
	l.coldUntil = now + t.ColdFor
	return fleet.Command{Targets: []fleet.Target{t}}, true
}

// HeldRows returns the rows that an incarnation is to hold, which excludes rows that are
// moving away from it. They are limited to what a response has room for.
func HeldRows(shard fleet.ShardMap, in fleet.Incarnation) []fleet.Row {
	var rows []fleet.Row
	for _, row := range shard.Rows {
		if row.Holder == in && !row.Moving() && len(rows) < maxGrantRows {
			rows = append(rows, row)
		}
	}
	return rows
}

// grant returns the grant for an incarnation. It also returns the rows about which
// the target learns something new from the grant: that it may serve them, or that
// it is to release them.
func (r *Registry) grant(now time.Duration, l *liveness, shard fleet.ShardMap, in fleet.Incarnation) (Grant, fleet.Notification) {
	g := Grant{Renew: true, Hold: MaxGrantDuration, Rows: HeldRows(shard, in)}
	notice := fleet.Notification{Service: shard.Service, Holder: in}
	named := 0
	for _, row := range shard.Rows {
		if row.Holder == in && !row.Moving() {
			named++
		}
		if row.Holder == in && row.Granted == row.Moving() && (row.Moving() || named <= maxGrantRows) {
			notice.Rows = append(notice.Rows, fleet.RowRef{From: row.From, Fence: row.Fence, Granted: !row.Moving()})
		}
	}
	if len(g.Rows) > 0 {
		l.grantsExpireAt = max(l.grantsExpireAt, latestGrantExpiry(now))
	}
	return g, notice
}
