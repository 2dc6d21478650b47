package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// proposalTimeout is how long a proposed shard change may take to commit before
// another one is proposed: two round trips between regions and two syncs of a slow
// disk.
const proposalTimeout = 500 * time.Millisecond

// usualCommitTime is how long a proposal usually takes to commit: a round trip
// between regions and the syncs of two disks. Until it is committed, the rows are
// unchanged and the same change would be planned again.
const usualCommitTime = 120 * time.Millisecond

// wait returns how long after the proposal no further change is proposed, given the
// current revision of the shard.
func (p proposal) wait(revision uint64) time.Duration {
	if revision == p.baseRevision {
		return proposalTimeout
	}
	return usualCommitTime
}

// Plan returns the shard changes that are due.
func (r *Registry) Plan(now time.Duration, s *fleet.State) []fleet.Command {
	r.forgetMoves(s)
	r.forgetIncarnations(now, s)
	var commands []fleet.Command
	for _, item := range s.Items().All() {
		if item.Collection != items.Services || item.Removed || !item.Service.Sharded {
			continue
		}
		if change := r.planService(now, s, item.Name); change != nil {
			commands = append(commands, fleet.Command{ShardMapChange: change})
		}
	}
	return commands
}

// planService returns the change that is due for a service, or nil.
func (r *Registry) planService(now time.Duration, s *fleet.State, service string) *fleet.ShardMapChange {
	shard, ok := s.ShardMap(service)
	if p, waiting := r.proposed[service]; waiting && now-p.at < p.wait(shard.Revision) {
		return nil
	}
	usable := r.usable(now, s, service)
	if len(usable) == 0 {
		return nil
	}
	next := fleet.ShardMap{Service: service, LastFence: shard.LastFence, Rows: slices.Clone(shard.Rows)}
	if !ok {
		if !r.readyToAssign(now, service) {
			return nil
		}
		assignInitially(&next, usable, r.rowsPerTarget)
	} else if !r.revise(now, s, &next, usable) {
		return nil
	}
	next.Rows = fleet.ChangedRows(shard.Rows, next.Rows)
	r.proposed[service] = proposal{at: now, baseRevision: shard.Revision, lostHolders: r.lostHolders(now, s, shard)}
	return &fleet.ShardMapChange{Base: shard.Revision, ShardMap: next}
}

// readyToAssign reports whether the collection of the first targets of a service is
// complete.
func (r *Registry) readyToAssign(now time.Duration, service string) bool {
	seen, ok := r.announcements[service]
	if !ok || now-seen.first < minCollectTime {
		return false
	}
	return now-seen.lastJoin >= collectQuietTime || now-seen.first >= maxCollectTime
}

// usable returns the targets that may get keys, sorted by ID: those in the regions that
// most routes allow, or else those in a region that any route allows. Cold targets handle
// few requests, so they get keys only if there are no other targets.
func (r *Registry) usable(now time.Duration, s *fleet.State, service string) []fleet.Incarnation {
	regions := s.Items().RegionsOf(service)
	list := r.usableIn(now, s, service, regions.Best)
	if len(list) == 0 {
		list = r.usableIn(now, s, service, regions.Any)
	}
	return list
}

// usableIn returns the usable targets of the allowed regions.
func (r *Registry) usableIn(now time.Duration, s *fleet.State, service string, allowed func(region string) bool) []fleet.Incarnation {
	var list, cold []fleet.Incarnation
	for _, t := range s.Targets() {
		if t.Service != service || t.Condition != fleet.Ready || s.DataCentreOut(t.DataCentre) || !r.inRegion(t, allowed) {
			continue
		}
		l := r.liveness[t.Incarnation]
		switch {
		case l == nil || l.seq == noSeq || now-l.lastHeartbeat >= lostAfter:
		case now < l.coldUntil:
			cold = append(cold, t.Incarnation)
		default:
			list = append(list, t.Incarnation)
		}
	}
	if len(list) == 0 {
		return cold
	}
	return list
}

// Limits of the initial assignment.
const (
	// maxInitialRows limits the rows of a service. Hot keys are close to each other:
	// with this many rows, 200 hot keys of 65,536 lie in three of them. Each row
	// takes about 90 bytes of the replicated state, which all entries fetch at the
	// same time after a power loss; with 2,048 rows they start to serve a second
	// later.
	maxInitialRows = 768
	// maxInitialRowsPerTarget limits the rows of one target, so that the response to
	// its heartbeat has room for rows that are added later.
	maxInitialRowsPerTarget = 16
)

// assignInitially divides the keys into rows of about the same size and assigns them
// round-robin, so that neighbouring rows have different holders. rowsPerTarget is
// the number of rows of each target, or 0 for the default.
func assignInitially(shard *fleet.ShardMap, targets []fleet.Incarnation, rowsPerTarget int) {
	shard.Rows = nil
	if rowsPerTarget == 0 {
		rowsPerTarget = min(max(maxInitialRows/len(targets), 1), maxInitialRowsPerTarget)
	}
	count := rowsPerTarget * len(targets)
	for i := range count {
		shard.LastFence++
		shard.Rows = append(shard.Rows, fleet.Row{
			From: i * (fleet.MaxKey + 1) / count, To: (i+1)*(fleet.MaxKey+1)/count - 1,
			Fence: shard.LastFence, Holder: targets[i%len(targets)],
		})
	}
}

// revise plans to move rows away from holders that have ended, are lost or leave, or
// whose data centre is taken out. It also plans rows for targets that have none and
// rebalances the load. It reports whether it changed any row.
func (r *Registry) revise(now time.Duration, s *fleet.State, shard *fleet.ShardMap, usable []fleet.Incarnation) bool {
	a := newAssignment(shard, usable, r.rowLimit())
	misplaced := r.misplaced(s, a)
	changed := false
	for i := range shard.Rows {
		row := &shard.Rows[i]
		switch {
		case r.reassignable(now, s, shard.Service, *row):
			r.reassign(now, s, a, i)
			changed = true
		case row.Moving():
			if !a.usable(row.Next) {
				a.moveTo(i, a.destination(i))
				changed = true
			}
		default:
			if t, _ := s.Target(row.Holder.ID); t.Condition != fleet.Ready || s.DataCentreOut(t.DataCentre) || misplaced(t) {
				a.moveTo(i, a.destination(i))
				changed = true
			}
		}
	}
	shard.Rows = slices.DeleteFunc(shard.Rows, emptyRow)
	changed = r.fillEmptyTargets(a) || changed
	changed = r.rebalance(now, s, shard, usable) || changed
	a = newAssignment(shard, usable, r.rowLimit())
	changed = a.mergeRows() || changed
	return a.moveExcess() || changed
}

// reassignable reports whether a row may be assigned to another target: its holder
// released it, or no target can hold it any more.
func (r *Registry) reassignable(now time.Duration, s *fleet.State, service string, row fleet.Row) bool {
	if row.Holder.ID == "" {
		return true
	}
	t, ok := s.Target(row.Holder.ID)
	if ok && (t.StartMs > row.Holder.StartMs || t.StartMs == row.Holder.StartMs && t.Condition == fleet.Ended) {
		return true
	}
	if row.Moving() {
		return r.releasedOrExpired(now, service, row)
	}
	l := r.livenessOf(row.Holder)
	return now > l.grantsExpireAt && now-l.lastHeartbeat >= lostAfter
}

// lostHolders returns the holders whose rows a plan reassigns although they did not
// release them.
func (r *Registry) lostHolders(now time.Duration, s *fleet.State, shard fleet.ShardMap) map[fleet.Incarnation]bool {
	holders := make(map[fleet.Incarnation]bool)
	for _, row := range shard.Rows {
		if row.Holder.ID != "" && !row.Moving() && r.reassignable(now, s, shard.Service, row) {
			holders[row.Holder] = true
		}
	}
	return holders
}

// reassignmentGrace is the minimum time during which a lost holder whose heartbeats
// resume gets no grant after a plan reassigned its rows: a commit takes several
// syncs and round trips.
const reassignmentGrace = time.Second

// reassignmentPending reports whether a plan that reassigns the rows of a target may
// not be applied yet. A grant based on the state before the plan would let two
// targets hold the rows.
func (r *Registry) reassignmentPending(now time.Duration, shard fleet.ShardMap, in fleet.Incarnation) bool {
	p, ok := r.proposed[shard.Service]
	return ok && p.lostHolders[in] && (shard.Revision == p.baseRevision || now-p.at < reassignmentGrace)
}

// releasedOrExpired reports whether a moving row was released or its last grant has
// expired.
func (r *Registry) releasedOrExpired(now time.Duration, service string, row fleet.Row) bool {
	id := rowIDOf(service, row)
	if _, released := r.released[id]; released {
		return true
	}
	since, ok := r.movingSince[id]
	if !ok {
		since = now
		r.movingSince[id] = now
	}
	return now > latestGrantExpiry(since)
}

// reassign assigns a row to its next holder with a new fence. If that one has too many
// rows, the row becomes a part of a neighbouring one.
func (r *Registry) reassign(now time.Duration, s *fleet.State, a *assignment, i int) {
	shard, row := a.shard, &a.shard.Rows[i]
	if !a.usable(row.Next) {
		a.moveTo(i, a.destination(i))
	}
	next := row.Next
	settled := func(row fleet.Row) bool {
		return !row.Moving() && row.Granted && !r.reassignable(now, s, shard.Service, row)
	}
	if a.rows[next] > a.limit && a.absorb(i, next, settled) {
		a.rows[next]--
		return
	}
	handover := r.released[rowIDOf(shard.Service, *row)]
	shard.LastFence++
	*row = fleet.Row{From: row.From, To: row.To, Fence: shard.LastFence, Holder: next, Handover: handover}
}

// newTargetShare is the fraction of an equal share of the keys that a target without
// keys gets at once. Rebalancing by demand moves the rest later.
const newTargetShare = 0.75

// fillEmptyTargets plans to move rows to each target without keys from the targets
// with the most keys. It reports whether it changed any row.
func (r *Registry) fillEmptyTargets(a *assignment) bool {
	shard, load := a.shard, a.keys
	wanted := int(newTargetShare * float64(fleet.MaxKey+1) / float64(max(len(load), 1)))
	changed := false
	for _, in := range sortedTargets(load) {
		if load[in] > 0 {
			continue
		}
		for load[in] < wanted && a.rows[in] < a.limit {
			i := largestRow(shard, load)
			if i < 0 {
				return changed
			}
			load[shard.Rows[i].Holder] -= markKeys(shard, i, in, wanted-load[in])
			load[in] = keysMovingTo(shard, in)
			a.rows[in]++
			changed = true
		}
	}
	return changed
}

// markKeys marks keys at the end of a row to move to a target and returns their
// number. A row moves as a whole if it has no more than the wanted number of keys
// and is not the only one that its holder keeps, so that the holder is never left
// without keys. Otherwise at most half of it moves, rounded up.
func markKeys(shard *fleet.ShardMap, i int, to fleet.Incarnation, wanted int) int {
	row := &shard.Rows[i]
	size := row.To - row.From + 1
	if part := min(wanted, (size+1)/2); size > wanted || retainedRows(shard, row.Holder) == 1 {
		i = splitRow(shard, i, row.To+1-part) + 1
		size = part
	}
	shard.Rows[i].Next = to
	return size
}

// retainedRows counts the rows that a target holds and that are not to move.
func retainedRows(shard *fleet.ShardMap, in fleet.Incarnation) int {
	count := 0
	for _, row := range shard.Rows {
		if row.Holder == in && !row.Moving() {
			count++
		}
	}
	return count
}

// keysMovingTo counts the keys that are to move to a target.
func keysMovingTo(shard *fleet.ShardMap, in fleet.Incarnation) int {
	keys := 0
	for _, row := range shard.Rows {
		if row.Next == in {
			keys += row.To - row.From + 1
		}
	}
	return keys
}

// largestRow returns the index of the largest row of the target with the most keys,
// or -1. It skips moving rows, rows that their holder has not been granted yet and
// rows with a single key.
func largestRow(shard *fleet.ShardMap, load map[fleet.Incarnation]int) int {
	best := -1
	size := func(i int) int { return shard.Rows[i].To - shard.Rows[i].From + 1 }
	for i, row := range shard.Rows {
		if row.Moving() || !row.Granted || size(i) < 2 {
			continue
		}
		if best < 0 || load[row.Holder] > load[shard.Rows[best].Holder] ||
			load[row.Holder] == load[shard.Rows[best].Holder] && size(i) > size(best) {
			best = i
		}
	}
	return best
}

// keyCounts returns how many keys each usable target holds or is to hold.
func keyCounts(shard *fleet.ShardMap, usable []fleet.Incarnation) map[fleet.Incarnation]int {
	load := make(map[fleet.Incarnation]int, len(usable))
	for _, in := range usable {
		load[in] = 0
	}
	for _, row := range shard.Rows {
		holder := row.Holder
		if row.Moving() {
			holder = row.Next
		}
		if _, ok := load[holder]; ok {
			load[holder] += row.To - row.From + 1
		}
	}
	return load
}

// sortedTargets returns the targets sorted by ID, so that plans are deterministic.
func sortedTargets(load map[fleet.Incarnation]int) []fleet.Incarnation {
	list := make([]fleet.Incarnation, 0, len(load))
	for in := range load {
		list = append(list, in)
	}
	slices.SortFunc(list, func(a, b fleet.Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartMs, b.StartMs))
	})
	return list
}
