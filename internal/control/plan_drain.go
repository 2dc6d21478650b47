package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// dependantsTimeout is how long the drain of a service waits for the drains of
// services that depend on it.
const dependantsTimeout = 2 * time.Second

// serviceDataCentre identifies a service in a data centre.
type serviceDataCentre struct {
	service, dataCentre string
}

// changeOf returns a change of the slice that applies only to its present fence.
func changeOf(entry *ContractSlice) *SliceChange {
	return &SliceChange{Slice: entry.Slice.ID, Fence: entry.Assignment.Fence}
}

// mustDrain reports whether the target t may not keep the slice that it owns.
func (s *State) mustDrain(t Target, slice contract.Slice) bool {
	l := s.config
	if !l.requires(groupKeyOf(slice)) || t.State == Leaving || l.retiredTargets[t.ID] {
		return true
	}
	return !l.dataCentreIn[t.DataCentre] || !slice.Residency.Allows(l.regionOf[t.DataCentre])
}

// drainSlices proposes to drain the slices that their owners may not keep,
// within the move budget. In a data centre, services drain before the services
// that they depend on.
func (r *planRound) drainSlices() {
	toDrain := r.index.toDrain
	if len(toDrain) == 0 && len(r.index.ending) == 0 {
		clear(r.p.blockedSince)
		return
	}
	draining := r.drainingServices(toDrain)
	for _, entry := range toDrain {
		t := r.s.targets[entry.Assignment.Target]
		if r.waitsForDependants(serviceDataCentre{t.Service, t.DataCentre}, draining) {
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

// drainingServices returns the services with slices that drain or have to drain,
// by data centre.
func (r *planRound) drainingServices(toDrain []*ContractSlice) map[serviceDataCentre]bool {
	draining := map[serviceDataCentre]bool{}
	for _, entry := range toDrain {
		t := r.s.targets[entry.Assignment.Target]
		draining[serviceDataCentre{t.Service, t.DataCentre}] = true
	}
	for _, entry := range r.index.ending {
		t := r.s.targets[entry.Assignment.Target]
		if entry.Assignment.Phase == contract.Draining {
			draining[serviceDataCentre{t.Service, t.DataCentre}] = true
		}
	}
	return draining
}

// waitsForDependants reports whether the drain of a service has to wait for
// services that depend on it and still drain in the same data centre. The wait
// ends after dependantsTimeout.
func (r *planRound) waitsForDependants(at serviceDataCentre, draining map[serviceDataCentre]bool) bool {
	blocked := false
	for name, service := range r.s.config.services {
		for _, dependency := range service.DependsOn {
			if dependency.Service == at.service && draining[serviceDataCentre{name, at.dataCentre}] {
				blocked = true
			}
		}
	}
	if !blocked {
		delete(r.p.blockedSince, at)
		return false
	}
	since, ok := r.p.blockedSince[at]
	if !ok {
		since = r.now
		r.p.blockedSince[at] = since
	}
	return r.now-since < dependantsTimeout
}

// finishDrains reassigns draining and held slices that their owners have stopped
// or whose owning incarnation has ended, and held slices of targets that the
// configuration text retired.
func (r *planRound) finishDrains() {
	for _, entry := range r.index.ending {
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

// resume gives a held slice back to its owner when the owner is reachable again,
// and a slice of an older incarnation to the new one, and reports whether it
// can. Requests that were sent before and still run, or that reach the new
// process, then run at the owner.
func (r *planRound) resume(owner Target, entry *ContractSlice) bool {
	older := entry.Assignment.Incarnation < owner.Incarnation
	if (!older && entry.Assignment.Phase != contract.Held) || !r.s.config.requires(groupKeyOf(entry.Slice)) {
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

// abandoned reports whether an older incarnation owns the slice and requests for
// that incarnation can no longer reach the new process, because the dispatcher
// has known the new incarnation for as long as a grant is valid.
func (r *planRound) abandoned(owner Target, entry *ContractSlice) bool {
	if entry.Assignment.Incarnation >= owner.Incarnation {
		return false
	}
	soleSince, ok := r.soleDispatcherSince(owner.ID)
	if !ok {
		return false
	}
	known, ok := r.p.knownSince[owner.ID]
	if !ok || known.incarnation != owner.Incarnation {
		d := r.s.dispatches[owner.ID].Dispatch
		at, applied := r.appliedAt(d.VM, d.VMIncarnation, r.s.targetSince[owner.ID])
		if !applied {
			return false
		}
		known = knownIncarnation{incarnation: owner.Incarnation, at: max(at, soleSince)}
		r.p.knownSince[owner.ID] = known
	}
	return r.now >= known.at+contract.GrantExpiryWait
}

// knownIncarnation records since when a target's dispatchers know its
// incarnation.
type knownIncarnation struct {
	incarnation uint64
	at          time.Duration
}

// stopped reports whether the current dispatcher reported that the target has
// stopped the slice. A target that does not check grants could still accept
// requests from an earlier dispatcher, so for such a target earlier dispatchers
// must have sent nothing for contract.GrantExpiryWait.
func (r *planRound) stopped(owner Target, entry *ContractSlice) bool {
	observed, ok := r.report(owner.ID)
	if !ok || entry.Assignment.Incarnation != owner.Incarnation {
		return false
	}
	soleSince, sole := r.soleDispatcherSince(owner.ID)
	if !owner.ChecksGrants && (!sole || r.now < soleSince+contract.GrantExpiryWait) {
		return false
	}
	for _, stopped := range observed.report.StoppedSlices {
		if stopped.Slice == entry.Slice.ID && stopped.Fence == entry.Assignment.Fence {
			return true
		}
	}
	return false
}

// reassign takes the slice from its owner and gives it to another target, as one
// batch of commands. An owned slice that no other target may take stays. It
// reports whether it proposed the commands.
func (r *planRound) reassign(entry *ContractSlice) bool {
	unassign := Command{Unassign: changeOf(entry)}
	if follow, ok := r.reshape(entry); ok {
		return r.propose(unassign, follow)
	}
	to, ok := r.chooseTarget(entry)
	if !ok {
		if entry.Assignment.Phase == contract.Owned && r.s.config.requires(groupKeyOf(entry.Slice)) {
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

// assignTo returns the command that assigns the slice to the target under the
// next fence.
func assignTo(entry *ContractSlice, t Target) Command {
	return Command{Assign: &Assign{Assignment: contract.Assignment{
		Slice:       entry.Slice.ID,
		Target:      t.ID,
		Incarnation: t.Incarnation,
		Fence:       entry.Assignment.Fence + 1,
		Phase:       contract.Owned,
	}}}
}
