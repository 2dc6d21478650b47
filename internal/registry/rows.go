package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Limits of the rows of one target. The response to a heartbeat is limited to 4 KiB. A row
// takes at most 38 bytes without its handover, and 42 with a usual one.
const (
	// maxRowsPerTarget limits the rows of a target to which keys are moved.
	maxRowsPerTarget = 88
	// maxSplitRows limits the rows of a target whose rows are split to move a part.
	maxSplitRows = 96
	// maxGrantRows limits the rows in a response. Plans keep the rows of a target below
	// it; more of them come from the plans of an earlier build.
	maxGrantRows = 100
	// mergeShare is the part of maxRowsPerTarget above which adjacent rows of a target
	// are merged. Below it they keep their fences and handovers.
	mergeShare = 0.75
	// maxRememberedRows is the number of rows, or of incarnations, above which past ones
	// are forgotten.
	maxRememberedRows = 4096
)

// rowLimit returns the number of rows of a target above which it gets no others.
func (r *Registry) rowLimit() int {
	if r.maxRows > 0 {
		return r.maxRows
	}
	return maxRowsPerTarget
}

// assignment is the division of the keys among the usable targets during a plan.
type assignment struct {
	shard *fleet.ShardMap
	// keys and rows are the numbers of keys and rows that each usable target holds or is
	// to hold.
	keys, rows map[fleet.Incarnation]int
	limit      int
}

func newAssignment(shard *fleet.ShardMap, usable []fleet.Incarnation, limit int) *assignment {
	a := &assignment{shard: shard, keys: keyCounts(shard, usable), rows: make(map[fleet.Incarnation]int), limit: limit}
	for _, row := range shard.Rows {
		a.rows[nextHolder(row)]++
	}
	return a
}

// nextHolder returns the target that holds a row or is to hold it.
func nextHolder(row fleet.Row) fleet.Incarnation {
	if row.Moving() {
		return row.Next
	}
	return row.Holder
}

// usable reports whether a target may get keys.
func (a *assignment) usable(in fleet.Incarnation) bool {
	_, ok := a.keys[in]
	return ok
}

// destination returns the target that is to get a row: that with the fewest keys among
// those with room for a row. If none has room, it is the holder of a neighbouring row, with
// which the row can be merged.
func (a *assignment) destination(i int) fleet.Incarnation {
	var best fleet.Incarnation
	for _, in := range sortedTargets(a.keys) {
		if a.rows[in] < a.limit && (best.ID == "" || a.keys[in] < a.keys[best]) {
			best = in
		}
	}
	if best.ID != "" {
		return best
	}
	for _, neighbour := range []int{i - 1, i + 1} {
		if neighbour < 0 || neighbour >= len(a.shard.Rows) {
			continue
		}
		if in := nextHolder(a.shard.Rows[neighbour]); a.usable(in) && (best.ID == "" || a.keys[in] < a.keys[best]) {
			best = in
		}
	}
	if best.ID != "" {
		return best
	}
	return slices.MinFunc(sortedTargets(a.keys), func(x, y fleet.Incarnation) int { return cmp.Compare(a.rows[x], a.rows[y]) })
}

// moveTo marks a row to move to a target.
func (a *assignment) moveTo(i int, to fleet.Incarnation) {
	row := &a.shard.Rows[i]
	size := row.To - row.From + 1
	from := nextHolder(*row)
	a.rows[from]--
	if a.usable(from) {
		a.keys[from] -= size
	}
	row.Next = to
	a.rows[to]++
	a.keys[to] += size
}

// absorb adds a row without a holder to a neighbouring row of the target, with a new fence,
// and leaves it empty. The target learns of the whole with its next heartbeat; requests
// for it wait until then. It reports whether there is such a neighbour.
func (a *assignment) absorb(i int, to fleet.Incarnation, settled func(fleet.Row) bool) bool {
	row := &a.shard.Rows[i]
	take := func(neighbour *fleet.Row) {
		a.shard.LastFence++
		neighbour.From, neighbour.To = min(neighbour.From, row.From), max(neighbour.To, row.To)
		neighbour.Fence, neighbour.Granted, neighbour.Handover = a.shard.LastFence, false, ""
		row.From, row.To = 1, 0
	}
	before := i - 1
	for before >= 0 && emptyRow(a.shard.Rows[before]) {
		before--
	}
	if before >= 0 && a.shard.Rows[before].Holder == to && !a.shard.Rows[before].Moving() {
		take(&a.shard.Rows[before])
		return true
	}
	if i+1 < len(a.shard.Rows) && a.shard.Rows[i+1].Holder == to && settled(a.shard.Rows[i+1]) {
		take(&a.shard.Rows[i+1])
		return true
	}
	return false
}

// emptyRow reports whether a row was absorbed by another one.
func emptyRow(row fleet.Row) bool { return row.To < row.From }

// mergeRows merges adjacent rows of the targets with many rows. A merged row has a new
// fence, above all earlier ones of its keys, which have one holder all the time. Usually
// only rows of which the holder was notified are merged: it goes on serving them. With
// more rows than fit into a response, the others are merged too, and wait for the next
// heartbeat. It reports whether it changed any row.
func (a *assignment) mergeRows() bool {
	var merged []fleet.Row
	for _, row := range a.shard.Rows {
		last := len(merged) - 1
		if last < 0 || !a.mergeable(merged[last], row) {
			merged = append(merged, row)
			continue
		}
		into := &merged[last]
		a.shard.LastFence++
		into.To, into.Fence, into.Granted = row.To, a.shard.LastFence, into.Granted && row.Granted
		if into.Handover != row.Handover {
			into.Handover = ""
		}
		a.rows[row.Holder]--
	}
	changed := len(merged) < len(a.shard.Rows)
	a.shard.Rows = merged
	return changed
}

// mergeable reports whether two adjacent rows may be merged.
func (a *assignment) mergeable(x, y fleet.Row) bool {
	if x.Holder != y.Holder || x.Moving() || y.Moving() || !a.usable(x.Holder) {
		return false
	}
	rows := a.rows[x.Holder]
	return rows > a.limit || x.Granted && y.Granted && rows > int(mergeShare*float64(a.limit))
}

// moveExcess marks rows of targets with too many rows to move: to the holder of a
// neighbouring row, with which they are merged there, or to a target with room. It reports
// whether it changed any row.
func (a *assignment) moveExcess() bool {
	left := maxUnsettledRows
	for _, row := range a.shard.Rows {
		if row.Moving() {
			left--
		}
	}
	changed := false
	for i := 0; i < len(a.shard.Rows) && left > 0; i++ {
		row := a.shard.Rows[i]
		if row.Moving() || !a.usable(row.Holder) || a.rows[row.Holder] <= max(a.limit, maxSplitRows*a.limit/maxRowsPerTarget) {
			continue
		}
		if to := a.destination(i); to != row.Holder {
			a.moveTo(i, to)
			changed = true
			left--
		}
	}
	return changed
}

// forgetMoves drops what is remembered of the moves of rows that no longer exist, once there
// is much of it. A leader may be in office for months.
func (r *Registry) forgetMoves(s *fleet.State) {
	if len(r.released)+len(r.movingSince) <= maxRememberedRows {
		return
	}
	released, movingSince := make(map[rowID]string), make(map[rowID]time.Duration)
	for _, item := range s.Items().All() {
		shard, _ := s.ShardMap(item.Name)
		for _, row := range shard.Rows {
			id := rowIDOf(item.Name, row)
			if handover, ok := r.released[id]; ok {
				released[id] = handover
			}
			if since, ok := r.movingSince[id]; ok {
				movingSince[id] = since
			}
		}
	}
	r.released, r.movingSince = released, movingSince
}

// forgetIncarnations drops what is known of silent incarnations that the state doesn't have
// any more, once there is much of it.
func (r *Registry) forgetIncarnations(now time.Duration, s *fleet.State) {
	if len(r.liveness) <= maxRememberedRows {
		return
	}
	maps.DeleteFunc(r.liveness, func(in fleet.Incarnation, l *liveness) bool {
		t, ok := s.Target(in.ID)
		return now-l.lastHeartbeat >= goneAfter && (!ok || t.Incarnation != in)
	})
}
