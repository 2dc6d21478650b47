package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

const (
	// removeAfter is how long a target that is leaving or lost and owns
	// nothing stays registered.
	removeAfter = 60 * time.Second
	// cleanupInterval is the time between two looks for what can be removed.
	cleanupInterval = time.Second
	// holderAllowance is added to the retention of records, for the clocks of
	// callers and for requests in flight.
	holderAllowance = time.Minute
)

// cleanUp proposes to remove what is no longer used.
func (r *round) cleanUp() {
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

func (r *round) removeTargets() {
	for _, id := range r.model.targets {
		t := r.s.targets[id]
		unused := t.Lost || t.State == Leaving || r.s.config.retiredTargets[id]
		if !unused || len(r.model.owned[id]) > 0 {
			delete(r.p.idleSince, id)
			continue
		}
		since, ok := r.p.idleSince[id]
		if !ok {
			r.p.idleSince[id] = r.now
			continue
		}
		if r.now-since >= removeAfter {
			r.propose(Command{RemoveTarget: &RemoveTarget{ID: id, Incarnation: t.Incarnation}})
		}
	}
}

// removeVMs removes retired VMs without contracts.
func (r *round) removeVMs() {
	counts := r.contractCounts()
	for _, name := range sortedNames(r.s.vms) {
		if r.s.config.retiredVMs[name] && counts[name] == 0 {
			r.propose(Command{RemoveVM: &RemoveVM{Name: name}})
		}
	}
}

// forgetHolders drops sets of record holders that were replaced longer ago
// than records are kept. A new leader counts from its election.
func (r *round) forgetHolders() {
	keep := r.s.config.text.RecordRetention + holderAllowance
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
		r.propose(Command{ForgetHolders: &ForgetHolders{Before: before}})
	}
}

// addResidencies creates slices that the text calls for and that could not be
// created with the change because their older ones were still owned.
func (r *round) addResidencies() {
	for _, service := range r.exclusive() {
		for _, res := range r.s.config.residencies {
			if _, ok := r.s.groups[groupKey{Service: service.Name, Residency: res}]; !ok {
				r.propose(Command{AddResidency: &AddResidency{Service: service.Name, Residency: res}})
			}
		}
	}
}

// forgetObservations drops observations of what is no longer registered.
func (r *round) forgetObservations() {
	for id := range r.p.reports {
		if _, ok := r.s.targets[id]; !ok {
			delete(r.p.reports, id)
			delete(r.p.probed, id)
			delete(r.p.suspects, id)
			delete(r.p.settled, id)
			delete(r.p.idleSince, id)
			delete(r.p.knownSince, id)
		}
	}
	for id, latest := range r.p.announced {
		if r.now-latest.at > removeAfter {
			delete(r.p.announced, id)
			r.p.announcedIDs = nil
		}
	}
	for id := range r.p.joins {
		entry, ok := r.s.slices[id]
		if !ok || (entry.Assignment.Phase != contract.Draining && !r.p.inFlight(sliceKey(id))) {
			delete(r.p.joins, id)
		}
	}
	for id := range r.p.preferred {
		entry, ok := r.s.slices[id]
		if !ok || (entry.Assignment.Phase == contract.Owned && !r.p.inFlight(sliceKey(id))) {
			delete(r.p.preferred, id)
		}
	}
}
