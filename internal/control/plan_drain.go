package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// drainOrderLimit is how long a dependency waits for its dependants to drain.
const drainOrderLimit = 2 * time.Second

// groupPlace names a service in a data centre.
type groupPlace struct {
	service, dataCentre string
}

func changeOf(entry *ContractSlice) *SliceChange {
	return &SliceChange{Slice: entry.Slice.ID, Fence: entry.Assignment.Fence}
}

// mustLeave reports whether the owner may not keep the slice.
func (s *State) mustLeave(t Target, slice contract.Slice) bool {
	l := s.config
	if !l.requires(keyOf(slice)) || t.State == Leaving || l.retiredTargets[t.ID] {
		return true
	}
	return !l.dataCentreIn[t.DataCentre] || !slice.Residency.Allows(l.regionOf[t.DataCentre])
}

// drainSlices proposes to drain the slices that their owners may not keep,
// within the move budget, dependants before dependencies.
func (r *round) drainSlices() {
	leaving := r.model.leaving
	if len(leaving) == 0 && len(r.model.ending) == 0 {
		clear(r.p.blockedSince)
		return
	}
	busy := r.busyPlaces(leaving)
	for _, entry := range leaving {
		t := r.s.targets[entry.Assignment.Target]
		if r.waitsForDependants(groupPlace{t.Service, t.DataCentre}, busy) {
			continue
		}
		budget := r.budget(entry.Slice.Service)
		if budget.available(r.now) < 1 {
			continue
		}
		if r.propose(Command{Drain: changeOf(entry)}) {
			budget.take()
		}
	}
}

// busyPlaces returns the services and data centres whose slices are leaving.
func (r *round) busyPlaces(leaving []*ContractSlice) map[groupPlace]bool {
	busy := map[groupPlace]bool{}
	for _, entry := range leaving {
		t := r.s.targets[entry.Assignment.Target]
		busy[groupPlace{t.Service, t.DataCentre}] = true
	}
	for _, entry := range r.model.ending {
		t := r.s.targets[entry.Assignment.Target]
		if entry.Assignment.Phase == contract.Draining {
			busy[groupPlace{t.Service, t.DataCentre}] = true
		}
	}
	return busy
}

// waitsForDependants reports whether a service that depends on this one still
// drains in the same data centre. The wait is bounded.
func (r *round) waitsForDependants(place groupPlace, busy map[groupPlace]bool) bool {
	blocked := false
	for name, service := range r.s.config.services {
		for _, dependency := range service.DependsOn {
			if dependency.Service == place.service && busy[groupPlace{name, place.dataCentre}] {
				blocked = true
			}
		}
	}
	if !blocked {
		delete(r.p.blockedSince, place)
		return false
	}
	since, ok := r.p.blockedSince[place]
	if !ok {
		since = r.now
		r.p.blockedSince[place] = since
	}
	return r.now-since < drainOrderLimit
}

// finishDrains reassigns draining and held slices that their owner confirmed
// to have stopped, and held slices of targets that the text retired.
func (r *round) finishDrains() {
	for _, entry := range r.model.ending {
		owner := r.s.targets[entry.Assignment.Target]
		if entry.Assignment.Phase == contract.Held && r.s.config.retiredTargets[owner.ID] {
			r.reassign(entry)
			continue
		}
		if r.resume(owner, entry) {
			continue
		}
		if r.stopped(owner, entry) || r.abandoned(owner, entry) {
			r.reassign(entry)
		}
	}
}

// resume gives a held slice back to its owner when that is reached again, and
// a slice of an older incarnation to the new one. Work that was sent before and
// still runs, or that reaches the new process, then runs at the owner.
func (r *round) resume(owner Target, entry *ContractSlice) bool {
	older := entry.Assignment.Incarnation < owner.Incarnation
	if (!older && entry.Assignment.Phase != contract.Held) || !r.s.config.requires(keyOf(entry.Slice)) {
		return false
	}
	c, ok := r.loadOf(owner.Service).byID[owner.ID]
	if !ok || owner.Service != entry.Slice.Service || !entry.Slice.Residency.Allows(c.region) {
		return false
	}
	if r.propose(Command{Unassign: changeOf(entry)}, assignTo(entry, owner)) {
		c.load += r.weight(entry)
	}
	return true
}

// abandoned reports whether the owner is an older incarnation and work for it
// can no longer reach the new process, because the dispatcher has known of the
// new one for as long as a grant is valid.
func (r *round) abandoned(owner Target, entry *ContractSlice) bool {
	if entry.Assignment.Incarnation >= owner.Incarnation {
		return false
	}
	settled, ok := r.settledAt(owner.ID)
	if !ok {
		return false
	}
	known, ok := r.p.knownSince[owner.ID]
	if !ok || known.incarnation != owner.Incarnation {
		d := r.s.dispatches[owner.ID].Dispatch
		at, knows := r.knows(d.VM, d.VMIncarnation, r.s.targetSince[owner.ID])
		if !knows {
			return false
		}
		known = knownIncarnation{incarnation: owner.Incarnation, at: max(at, settled)}
		r.p.knownSince[owner.ID] = known
	}
	return r.now >= known.at+contract.GrantExpiryWait
}

// knownIncarnation says since when the dispatchers know of an incarnation.
type knownIncarnation struct {
	incarnation uint64
	at          time.Duration
}

// stopped reports whether the current dispatcher reported that the target
// stopped the slice. A target that does not check grants could still take work
// from an earlier dispatcher, so that one must have been quiet for a while.
func (r *round) stopped(owner Target, entry *ContractSlice) bool {
	observed, ok := r.report(owner.ID)
	if !ok || entry.Assignment.Incarnation != owner.Incarnation {
		return false
	}
	at, settled := r.settledAt(owner.ID)
	if !owner.ChecksGrants && (!settled || r.now < at+contract.GrantExpiryWait) {
		return false
	}
	for _, stopped := range observed.report.Stopped {
		if stopped.Slice == entry.Slice.ID && stopped.Fence == entry.Assignment.Fence {
			return true
		}
	}
	return false
}

// reassign takes the slice from its owner and gives it to another target in
// one batch. An owned slice without another target to take it stays.
func (r *round) reassign(entry *ContractSlice) bool {
	unassign := Command{Unassign: changeOf(entry)}
	if follow, ok := r.reshape(entry); ok {
		return r.propose(unassign, follow)
	}
	to, ok := r.place(entry)
	if !ok {
		if entry.Assignment.Phase == contract.Owned && r.s.config.requires(keyOf(entry.Slice)) {
			return false
		}
		return r.propose(unassign)
	}
	if !r.propose(unassign, assignTo(entry, to.target)) {
		return false
	}
	to.load += r.weight(entry)
	return true
}

func assignTo(entry *ContractSlice, t Target) Command {
	return Command{Assign: &Assign{Assignment: contract.Assignment{
		Slice:       entry.Slice.ID,
		Target:      t.ID,
		Incarnation: t.Incarnation,
		Fence:       entry.Assignment.Fence + 1,
		Phase:       contract.Owned,
	}}}
}
