package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

const (
	// removeAfter is how long a target that is leaving, lost or retired and
	// owns no slice stays registered.
	removeAfter = 60 * time.Second
	// cleanupInterval is the time between two cleanups.
	cleanupInterval = time.Second
	// holderMargin is added to the retention of records to allow for the clocks
	// of callers and for requests in flight.
	holderMargin = time.Minute
)

// cleanUp proposes to remove unused targets, VMs and sets of record holders and
// to create missing slices, and drops old observations.
func (r *planRound) cleanUp() {
	if r.now < r.p.nextCleanup {
		return
	}
	r.p.nextCleanup = r.now + cleanupInterval
	r.removeTargets()
	r.removeVMs()
	r.updateHolders()
	r.forgetHolders()
	r.addResidencies()
	r.forgetObservations()
}

// removeTargets removes targets that have been leaving, lost or retired and
// without slices for removeAfter.
func (r *planRound) removeTargets() {
	for _, id := range r.index.targets {
		t := r.s.targets[id]
		unused := t.Lost || t.State == Leaving || r.s.config.retiredTargets[id]
		if !unused || len(r.index.owned[id]) > 0 {
			delete(r.p.unusedSince, id)
			continue
		}
		since, ok := r.p.unusedSince[id]
		if !ok {
			r.p.unusedSince[id] = r.now
			continue
		}
		if r.now-since >= removeAfter {
			r.propose(Command{RemoveTarget: &RemoveTarget{ID: id, Incarnation: t.Incarnation}})
		}
	}
}

// removeVMs removes retired VMs without contracts.
func (r *planRound) removeVMs() {
	counts := r.contractCounts()
	for _, name := range sortedNames(r.s.vms) {
		if r.s.config.retiredVMs[name] && counts[name] == 0 {
			r.propose(Command{RemoveVM: &RemoveVM{Name: name}})
		}
	}
}

// forgetHolders proposes to drop sets of record holders that were replaced
// longer ago than the retention of records. A new leader measures this time from
// its election.
func (r *planRound) forgetHolders() {
	keep := r.s.config.text.RecordRetention + holderMargin
	var before uint64
	for _, set := range r.s.holders {
		since, ok := r.p.holdersSince[set.Number]
		if !ok {
			since = r.now
			r.p.holdersSince[set.Number] = since
		}
		if r.now-since >= keep {
			before = set.Number
		}
	}
	if len(r.s.holders) > 1 && before > r.s.holders[0].Number {
		r.propose(Command{DropHolderSets: &DropHolderSets{Before: before}})
	}
}

// addResidencies creates slices that the configuration text requires and that
// could not be created when the text changed, because the previous slices of
// the same service and residency were still owned.
func (r *planRound) addResidencies() {
	for _, service := range r.exclusiveServices() {
		for _, res := range r.s.config.residencies {
			if _, ok := r.s.groups[groupKey{Service: service.Name, Residency: res}]; !ok {
				r.propose(Command{AddResidency: &AddResidency{Service: service.Name, Residency: res}})
			}
		}
	}
}

// forgetObservations drops observations of targets that are no longer
// registered, old announcements, and plans for slices that have ended.
func (r *planRound) forgetObservations() {
	for id := range r.p.reports {
		if _, ok := r.s.targets[id]; !ok {
			delete(r.p.reports, id)
			delete(r.p.probeResults, id)
			delete(r.p.suspects, id)
			delete(r.p.soleSince, id)
			delete(r.p.unusedSince, id)
			delete(r.p.knownSince, id)
		}
	}
	for id, latest := range r.p.announced {
		if r.now-latest.at > removeAfter {
			delete(r.p.announced, id)
			r.p.announcedIDs = nil
		}
	}
	for id := range r.p.merges {
		entry, ok := r.s.slices[id]
		if !ok || (entry.Assignment.Phase != contract.Draining && !r.p.inFlight(sliceKey(id))) {
			delete(r.p.merges, id)
		}
	}
	for id := range r.p.preferred {
		entry, ok := r.s.slices[id]
		if !ok || (entry.Assignment.Phase == contract.Owned && !r.p.inFlight(sliceKey(id))) {
			delete(r.p.preferred, id)
		}
	}
}
