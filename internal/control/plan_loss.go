package control

import (
	"sort"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// probersPerTarget bounds the VMs that are asked to probe one target.
const probersPerTarget = 5

// avoidLimit is how long a VM that failed to reach a target is passed over as
// its dispatcher unless it reaches the target before.
const avoidLimit = 10 * time.Minute

// Probes returns the targets that the VM should try to reach now.
func (p *Planner) Probes(vm string) []string { return p.orders[vm] }

// orderProbes asks other VMs to probe the targets that their dispatchers fail
// to reach, so that the results are there when the grants expire.
func (r *round) orderProbes() {
	r.p.orders = map[string][]string{}
	for _, id := range r.suspects() {
		observed, ok := r.report(id)
		if !ok || observed.report.Reachable {
			continue
		}
		for _, name := range r.probers(r.s.targets[id], observed.vm) {
			r.p.orders[name] = append(r.p.orders[name], id)
		}
	}
	for key, until := range r.p.avoided {
		observed, ok := r.p.probed[key.target][key.vm]
		reached := ok && observed.reached && r.now-observed.at <= probeAge
		if _, known := r.s.targets[key.target]; !known || reached || r.now >= until {
			delete(r.p.avoided, key)
			continue
		}
		r.p.orders[key.vm] = append(r.p.orders[key.vm], key.target)
	}
	for name := range r.p.orders {
		sort.Strings(r.p.orders[name])
	}
}

// probers returns VMs other than the dispatcher: those of the target's region,
// which may take over as dispatcher, and at least one of another data centre.
func (r *round) probers(t Target, dispatcher string) []string {
	region := r.s.config.regionOf[t.DataCentre]
	var near, far []string
	for _, name := range r.p.sortedVMs() {
		observed := r.p.vms[name]
		if name == dispatcher || !r.leased(name, observed.vm.Incarnation) {
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

// handleReports acts on the reports of unreachable and returned targets.
func (r *round) handleReports() {
	r.replaceOrphans()
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
			r.propose(mark(t, t.State, true))
		}
		loss.LostOfService, loss.TargetsOfService = lost[t.Service], total[t.Service]
		r.handleLoss(t, observed, r.p.policy.Decide(loss))
	}
}

// replaceOrphans takes the slices from targets that no VM can dispatch for: the
// dispatcher's lease has run out and no other VM of the region has a lease. No
// report of an expired grant can come, so the leader counts the time itself.
func (r *round) replaceOrphans() {
	for _, region := range r.s.config.text.Regions {
		if len(r.dispatchersOf(region.Name)) > 0 {
			continue
		}
		for _, id := range r.model.targets {
			if t := r.s.targets[id]; r.s.config.regionOf[t.DataCentre] == region.Name {
				r.replaceOrphan(t)
			}
		}
	}
}

// replaceOrphan takes the slices from a target that no VM can dispatch for,
// once the last grant that its dispatcher can have renewed has expired.
func (r *round) replaceOrphan(t Target) {
	d := r.s.dispatches[t.ID].Dispatch
	settled, ok := r.settledAt(t.ID)
	if !ok || d.VM == "" || r.awaitsRegistration(d) {
		return
	}
	quiet := max(settled, r.leaseEnd(d.VM, d.VMIncarnation))
	if r.now < quiet+contract.GrantExpiryWait {
		return
	}
	if !t.Lost {
		r.propose(mark(t, t.State, true))
	}
	r.replaceTarget(t)
}

// suspects returns the registered targets that are marked as lost or whose
// last report was not a good one, in ID order.
func (r *round) suspects() []string {
	if len(r.p.suspects) == 0 && len(r.model.lost) == 0 {
		return nil
	}
	var ids []string
	for _, id := range r.model.targets {
		if r.p.suspects[id] || r.s.targets[id].Lost {
			ids = append(ids, id)
		}
	}
	return ids
}

// countLosses counts the lost targets and all targets of each service.
func (r *round) countLosses(suspects []string) (lost, total map[string]int) {
	lost, total = map[string]int{}, map[string]int{}
	for _, id := range suspects {
		if observed, ok := r.report(id); ok && observed.report.GrantExpired {
			lost[r.s.targets[id].Service]++
		}
	}
	if len(lost) == 0 {
		return lost, total
	}
	for _, id := range r.model.targets {
		total[r.s.targets[id].Service]++
	}
	return lost, total
}

// grantOver reports whether no dispatcher can have granted anything that is
// still valid: the current one reports the expiry, and earlier ones have been
// quiet for as long as a grant is valid.
func (r *round) grantOver(target string, observed reportObservation) bool {
	if !observed.report.GrantExpired {
		return false
	}
	at, ok := r.settledAt(target)
	return ok && r.now >= at+contract.GrantExpiryWait
}

func (r *round) describeLoss(t Target, observed reportObservation) Loss {
	loss := Loss{
		Target:         t.ID,
		DataCentre:     t.DataCentre,
		Expired:        r.grantOver(t.ID, observed),
		UnreachableFor: r.now - observed.unreachableSince,
	}
	if loss.Expired {
		loss.ExpiredFor = r.now - observed.expiredSince
	}
	if !t.ChecksGrants {
		// No grant stops such a target; its slices can only be held.
		loss.ExpiredFor = loss.UnreachableFor - contract.GrantExpiryWait
		loss.Expired = loss.ExpiredFor >= 0
	}
	own := r.s.vms[observed.vm].DataCentre
	for name, probe := range r.p.probed[t.ID] {
		if r.now-probe.at > probeAge || probe.at < observed.unreachableSince || name == observed.vm {
			continue
		}
		if !probe.reached {
			loss.FailedElsewhere = loss.FailedElsewhere || r.s.vms[name].DataCentre != own
			continue
		}
		loss.Reached = loss.Reached || r.mayDispatch(name, r.s.config.regionOf[t.DataCentre])
	}
	return loss
}

func (r *round) handleLoss(t Target, observed reportObservation, verdict Verdict) {
	switch verdict {
	case Redispatch:
		r.redispatch(t, observed)
	case Move:
		if !t.ChecksGrants || r.grantOver(t.ID, observed) {
			r.replaceTarget(t)
		}
	}
}

// redispatch gives the target to a VM that reached it.
func (r *round) redispatch(t Target, observed reportObservation) {
	if _, ok := r.settledAt(t.ID); !ok {
		return
	}
	counts := r.contractCounts()
	best := ""
	for _, name := range r.dispatchersOf(r.s.config.regionOf[t.DataCentre]) {
		probe, ok := r.p.probed[t.ID][name]
		if !ok || !probe.reached || probe.at < observed.unreachableSince || name == observed.vm {
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
		r.p.avoided[avoidance{vm: observed.vm, target: t.ID}] = r.now + avoidLimit
	}
}

// replaceTarget takes the slices from a target whose grant expired. A target
// that does not check grants may still run work, so its slices are held.
func (r *round) replaceTarget(t Target) {
	budget := r.budget(t.Service)
	for _, entry := range r.model.owned[t.ID] {
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

// handleReturn puts a target back into use whose dispatcher reaches it. After
// a dispatcher reported an expired grant it grants nothing under that epoch,
// so the contract gets a new epoch.
func (r *round) handleReturn(t Target, observed reportObservation) {
	if observed.report.GrantExpired {
		if _, ok := r.settledAt(t.ID); ok && r.mayDispatch(observed.vm, r.s.config.regionOf[t.DataCentre]) {
			r.dispatchTo(t, observed.vm, r.contractCounts())
		}
		return
	}
	if t.Lost {
		r.propose(mark(t, t.State, false))
	}
}
