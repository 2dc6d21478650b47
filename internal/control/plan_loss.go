package control

import (
	"sort"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// probersPerTarget bounds the VMs that are requested to probe one target.
const probersPerTarget = 5

// avoidTimeout is how long a VM that failed to reach a target is avoided as its
// dispatcher, unless it reaches the target earlier.
const avoidTimeout = 10 * time.Minute

// ProbeRequests returns the targets that the VM should probe now.
func (p *Planner) ProbeRequests(vm string) []string { return p.probeRequests[vm] }

// requestProbes requests other VMs to probe the targets that their dispatchers
// cannot reach, so that the results are known when the grants expire. It also
// requests avoided VMs to probe the targets that they failed to reach.
func (r *planRound) requestProbes() {
	r.p.probeRequests = map[string][]string{}
	for _, id := range r.suspects() {
		observed, ok := r.report(id)
		if !ok || observed.report.Reachable {
			continue
		}
		for _, name := range r.probers(r.s.targets[id], observed.vm) {
			r.p.probeRequests[name] = append(r.p.probeRequests[name], id)
		}
	}
	for key, until := range r.p.avoided {
		observed, ok := r.p.probeResults[key.target][key.vm]
		reached := ok && observed.reachable && r.now-observed.at <= maxProbeAge
		if _, known := r.s.targets[key.target]; !known || reached || r.now >= until {
			delete(r.p.avoided, key)
			continue
		}
		r.p.probeRequests[key.vm] = append(r.p.probeRequests[key.vm], key.target)
	}
	for name := range r.p.probeRequests {
		sort.Strings(r.p.probeRequests[name])
	}
}

// probers returns up to probersPerTarget VMs other than the dispatcher: first
// VMs of the target's region, which may become its dispatcher, then at least one
// VM of another region if there is one.
func (r *planRound) probers(t Target, dispatcher string) []string {
	region := r.s.config.regionOf[t.DataCentre]
	var near, far []string
	for _, name := range r.p.sortedVMs() {
		observed := r.p.vms[name]
		if name == dispatcher || !r.hasLease(name, observed.vm.Incarnation) {
			continue
		}
		if r.s.config.regionOf[observed.vm.DataCentre] == region {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	near = near[:min(len(near), probersPerTarget-1)]
	far = far[:min(len(far), probersPerTarget-len(near))]
	return append(near, far...)
}

// handleReports acts on the reports of targets that are unreachable, have an
// expired grant or are reachable again.
func (r *planRound) handleReports() {
	r.reassignOrphans()
	suspects := r.suspects()
	lost, total := r.countLosses(suspects)
	for _, id := range suspects {
		observed, ok := r.report(id)
		if !ok {
			continue
		}
		t := r.s.targets[id]
		if observed.report.Reachable {
			r.handleReturn(t, observed)
			continue
		}
		loss := r.describeLoss(t, observed)
		if loss.Expired && !t.Lost {
			r.propose(markTarget(t, t.State, true))
		}
		loss.LostOfService, loss.TargetsOfService = lost[t.Service], total[t.Service]
		r.handleLoss(t, observed, r.p.policy.Decide(loss))
	}
}

// reassignOrphans takes the slices from targets that no VM can dispatch for: the
// dispatcher's lease has expired and no other VM of the region has a lease. No
// VM can report the expiry of the grant, so the leader computes it.
func (r *planRound) reassignOrphans() {
	for _, region := range r.s.config.text.Regions {
		if len(r.dispatchersOf(region.Name)) > 0 {
			continue
		}
		for _, id := range r.index.targets {
			if t := r.s.targets[id]; r.s.config.regionOf[t.DataCentre] == region.Name {
				r.reassignOrphan(t)
			}
		}
	}
}

// reassignOrphan takes the slices from a target that no VM can dispatch for once
// the last grant that its dispatcher can have renewed has expired.
func (r *planRound) reassignOrphan(t Target) {
	d := r.s.dispatches[t.ID].Dispatch
	soleSince, ok := r.soleDispatcherSince(t.ID)
	if !ok || d.VM == "" || r.awaitsRegistration(d) {
		return
	}
	noGrantsSince := max(soleSince, r.leaseEnd(d.VM, d.VMIncarnation))
	if r.now < noGrantsSince+contract.GrantExpiryWait {
		return
	}
	if !t.Lost {
		r.propose(markTarget(t, t.State, true))
	}
	r.reassignSlicesOf(t)
}

// suspects returns, in ID order, the registered targets that are marked as lost
// or whose last report says that they are unreachable or their grant expired.
func (r *planRound) suspects() []string {
	if len(r.p.suspects) == 0 && len(r.index.lost) == 0 {
		return nil
	}
	var ids []string
	for _, id := range r.index.targets {
		if r.p.suspects[id] || r.s.targets[id].Lost {
			ids = append(ids, id)
		}
	}
	return ids
}

// countLosses counts, per service, the targets whose grant expired and, if there
// are any, all targets.
func (r *planRound) countLosses(suspects []string) (lost, total map[string]int) {
	lost, total = map[string]int{}, map[string]int{}
	for _, id := range suspects {
		if observed, ok := r.report(id); ok && observed.report.GrantExpired {
			lost[r.s.targets[id].Service]++
		}
	}
	if len(lost) == 0 {
		return lost, total
	}
	for _, id := range r.index.targets {
		total[r.s.targets[id].Service]++
	}
	return lost, total
}

// allGrantsExpired reports whether no dispatcher's grant can still be valid: the
// current dispatcher reports the expiry, and earlier ones have not renewed
// grants for as long as a grant is valid.
func (r *planRound) allGrantsExpired(target string, observed reportObservation) bool {
	if !observed.report.GrantExpired {
		return false
	}
	at, ok := r.soleDispatcherSince(target)
	return ok && r.now >= at+contract.GrantExpiryWait
}

// describeLoss returns what the policy needs to decide on a target, except for
// the numbers of targets of the service.
func (r *planRound) describeLoss(t Target, observed reportObservation) UnreachableTarget {
	loss := UnreachableTarget{
		Target:         t.ID,
		DataCentre:     t.DataCentre,
		Expired:        r.allGrantsExpired(t.ID, observed),
		UnreachableFor: r.now - observed.unreachableSince,
	}
	if loss.Expired {
		loss.ExpiredFor = r.now - observed.expiredSince
	}
	if !t.ChecksGrants {
		// The expiry of a grant does not stop a target that does not check
		// grants; its slices can only be held.
		loss.ExpiredFor = loss.UnreachableFor - contract.GrantExpiryWait
		loss.Expired = loss.ExpiredFor >= 0
	}
	own := r.s.vms[observed.vm].DataCentre
	for name, probe := range r.p.probeResults[t.ID] {
		if r.now-probe.at > maxProbeAge || probe.at < observed.unreachableSince || name == observed.vm {
			continue
		}
		if !probe.reachable {
			loss.FailedElsewhere = loss.FailedElsewhere || r.s.vms[name].DataCentre != own
			continue
		}
		loss.ReachedElsewhere = loss.ReachedElsewhere || r.mayDispatch(name, r.s.config.regionOf[t.DataCentre])
	}
	return loss
}

func (r *planRound) handleLoss(t Target, observed reportObservation, verdict Verdict) {
	switch verdict {
	case Redispatch:
		r.redispatch(t, observed)
	case MoveSlices:
		if !t.ChecksGrants || r.allGrantsExpired(t.ID, observed) {
			r.reassignSlicesOf(t)
		}
	}
}

// redispatch makes a VM that reached the target its dispatcher and avoids the
// previous one.
func (r *planRound) redispatch(t Target, observed reportObservation) {
	if _, ok := r.soleDispatcherSince(t.ID); !ok {
		return
	}
	counts := r.contractCounts()
	best := ""
	for _, name := range r.dispatchersOf(r.s.config.regionOf[t.DataCentre]) {
		probe, ok := r.p.probeResults[t.ID][name]
		if !ok || !probe.reachable || probe.at < observed.unreachableSince || name == observed.vm {
			continue
		}
		if best == "" || r.betterDispatcher(t, name, best, counts) {
			best = name
		}
	}
	if best == "" {
		return
	}
	if r.dispatchTo(t, best, counts) {
		r.p.avoided[avoidance{vm: observed.vm, target: t.ID}] = r.now + avoidTimeout
	}
}

// reassignSlicesOf takes the slices from a target whose grant expired. A target
// that does not check grants may still execute requests, so its slices are held.
func (r *planRound) reassignSlicesOf(t Target) {
	budget := r.budget(t.Service)
	for _, entry := range r.index.owned[t.ID] {
		if entry.Assignment.Phase == contract.Held || entry.Assignment.Incarnation != t.Incarnation {
			continue
		}
		if !t.ChecksGrants {
			r.propose(Command{Hold: changeOf(entry)})
			continue
		}
		if budget.available(r.now) < 1 {
			return
		}
		if r.reassign(entry) {
			budget.take()
		}
	}
}

// handleReturn puts a target that its dispatcher reaches again back into use. A
// dispatcher that reported an expired grant does not grant under that epoch
// again, so the contract gets a new epoch.
func (r *planRound) handleReturn(t Target, observed reportObservation) {
	if observed.report.GrantExpired {
		if _, ok := r.soleDispatcherSince(t.ID); ok && r.mayDispatch(observed.vm, r.s.config.regionOf[t.DataCentre]) {
			r.dispatchTo(t, observed.vm, r.contractCounts())
		}
		return
	}
	if t.Lost {
		r.propose(markTarget(t, t.State, false))
	}
}
