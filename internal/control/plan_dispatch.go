package control

import (
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// dispatchSpread is the difference between the numbers of contracts of two VMs
// of equal rank from which a contract moves from one to the other.
const dispatchSpread = 3

// improveInterval is the time between two moves of contracts that only improve
// their placement.
const improveInterval = 250 * time.Millisecond

// avoidance identifies a VM that failed to reach a target that another VM
// reached.
type avoidance struct {
	vm, target string
}

// soleDispatch records since when only the dispatcher of the epoch acts for a
// target.
type soleDispatch struct {
	epoch contract.Epoch
	at    time.Duration
}

// soleDispatcherSince returns the time since which no earlier dispatcher than
// the current one can have renewed grants or sent requests. Until then the
// contract does not move again, so at most two VMs consider themselves the
// dispatcher of a target.
func (r *planRound) soleDispatcherSince(target string) (time.Duration, bool) {
	entry := r.s.dispatches[target]
	if cached, ok := r.p.soleSince[target]; ok && cached.epoch == entry.Dispatch.Epoch {
		return cached.at, true
	}
	at, ok := r.previousStoppedAt(entry)
	if ok {
		r.p.soleSince[target] = soleDispatch{epoch: entry.Dispatch.Epoch, at: at}
	}
	return at, ok
}

// previousStoppedAt returns the time at which the dispatcher before the current
// one stopped using the contract, and whether it has.
func (r *planRound) previousStoppedAt(entry dispatchEntry) (time.Duration, bool) {
	name, incarnation := entry.PreviousVM, entry.PreviousIncarnation
	if name == "" {
		return r.p.electedAt - contract.GrantExpiryWait, true
	}
	return r.appliedAt(name, incarnation, entry.Since)
}

// appliedAt returns the time since which this incarnation of a VM can only act
// on the state of the index or a later one, and whether that time has come: the
// VM has applied the index, a later incarnation runs, or its lease has ended.
func (r *planRound) appliedAt(name string, incarnation, index uint64) (time.Duration, bool) {
	observed, ok := r.p.vms[name]
	if ok && observed.vm.Incarnation > incarnation {
		return observed.since, true
	}
	if ok && observed.vm.Incarnation == incarnation && observed.version >= index {
		return r.now, true
	}
	end := r.leaseEnd(name, incarnation)
	return end, r.now >= end
}

// dispatchScan is the input of the last evaluation of all contracts, which is
// repeated only when its input has changed or a contract is incomplete.
type dispatchScan struct {
	revision uint64
	eligible []string
	// incomplete says that a contract has to move, or that an earlier
	// dispatcher may still act for its target.
	incomplete bool
	next       time.Duration
}

// setDispatches gives each target a dispatcher with a valid lease.
func (r *planRound) setDispatches() {
	eligible := r.eligibleVMs()
	scan := &r.p.dispatch
	improve := r.now >= scan.next
	if !improve && !scan.incomplete && scan.revision == r.s.revision && slices.Equal(scan.eligible, eligible) {
		return
	}
	scan.revision, scan.eligible, scan.incomplete = r.s.revision, eligible, false
	if improve {
		scan.next = r.now + improveInterval
	}
	counts := r.contractCounts()
	least := r.leastContracts(counts)
	for _, id := range r.index.targets {
		t := r.s.targets[id]
		current := r.s.dispatches[id].Dispatch
		if _, ok := r.soleDispatcherSince(id); !ok || r.p.inFlight(pendingKey{kind: kindDispatch, name: id}) {
			scan.incomplete = true
			continue
		}
		if !r.keepsDispatch(t, current) {
			scan.incomplete = true
			r.replaceDispatch(t, current, counts)
			continue
		}
		if improve && !r.p.suspects[id] && r.mayImprove(t, current, counts, least) && r.improveDispatch(t, current, counts) {
			improve = false
		}
	}
}

// eligibleVMs returns the VMs that may be given contracts, in name order.
func (r *planRound) eligibleVMs() []string {
	var names []string
	for _, name := range r.p.sortedVMs() {
		region := r.s.config.regionOf[r.s.vms[name].DataCentre]
		if r.mayDispatch(name, region) {
			names = append(names, name)
			r.eligible[region] = append(r.eligible[region], name)
		}
	}
	return names
}

// leastContracts returns the lowest number of contracts of an eligible VM per
// data centre and per region.
func (r *planRound) leastContracts(counts map[string]int) map[string]int {
	least := map[string]int{}
	for region, names := range r.eligible {
		for _, name := range names {
			for _, place := range []string{"r/" + region, "d/" + r.s.vms[name].DataCentre} {
				if n, ok := least[place]; !ok || counts[name] < n {
					least[place] = counts[name]
				}
			}
		}
	}
	return least
}

// mayImprove reports whether there may be a better dispatcher for the target.
func (r *planRound) mayImprove(t Target, d contract.Dispatch, counts, least map[string]int) bool {
	near, ok := least["d/"+t.DataCentre]
	switch r.rank(t, d.VM) {
	case 0:
		return ok && counts[d.VM]-near >= dispatchSpread
	case 1:
		return ok || counts[d.VM]-least["r/"+r.s.config.regionOf[t.DataCentre]] >= dispatchSpread
	}
	return true
}

// contractCounts returns the number of contracts of each VM.
func (r *planRound) contractCounts() map[string]int {
	counts := map[string]int{}
	for _, entry := range r.s.dispatches {
		counts[entry.Dispatch.VM]++
	}
	return counts
}

// mayDispatch reports whether a VM may be given contracts of the region.
func (r *planRound) mayDispatch(name, region string) bool {
	v, ok := r.s.vms[name]
	if !ok || v.Stopping || r.s.config.retiredVMs[name] || !r.hasLease(name, v.Incarnation) {
		return false
	}
	if r.p.vms[name].vm.Stopping {
		return false
	}
	return region != "" && r.s.config.regionOf[v.DataCentre] == region
}

func (r *planRound) keepsDispatch(t Target, d contract.Dispatch) bool {
	if d.VM == "" || r.s.vms[d.VM].Incarnation != d.VMIncarnation {
		return false
	}
	return r.mayDispatch(d.VM, r.s.config.regionOf[t.DataCentre])
}

// replaceDispatch moves the contract of a VM that may not keep it. A VM whose
// heartbeats are missing keeps it until its lease has expired.
func (r *planRound) replaceDispatch(t Target, d contract.Dispatch, counts map[string]int) {
	region := r.s.config.regionOf[t.DataCentre]
	if d.VM != "" {
		restarted := r.s.vms[d.VM].Incarnation > d.VMIncarnation
		if restarted && r.mayDispatch(d.VM, region) {
			r.dispatchTo(t, d.VM, counts)
			return
		}
		if r.awaitsRegistration(d) {
			return
		}
		inContact := r.hasLease(d.VM, d.VMIncarnation)
		if !inContact && r.now < r.leaseEnd(d.VM, d.VMIncarnation) {
			return
		}
	}
	if name := r.bestDispatcher(t, counts); name != "" {
		r.dispatchTo(t, name, counts)
	}
}

// awaitsRegistration reports whether the dispatcher has restarted and its new
// incarnation is not registered yet. The VM then keeps the contract.
func (r *planRound) awaitsRegistration(d contract.Dispatch) bool {
	observed, ok := r.p.vms[d.VM]
	if !ok || observed.vm.Incarnation <= r.s.vms[d.VM].Incarnation {
		return false
	}
	return !observed.vm.Stopping && r.now < observed.leaseUntil
}

// improveDispatch moves a contract to a VM of better rank, or to one of equal
// rank with at least dispatchSpread fewer contracts. It reports whether it
// proposed the move.
func (r *planRound) improveDispatch(t Target, d contract.Dispatch, counts map[string]int) bool {
	if r.now < r.p.electedAt+contract.NewLeaderWait {
		return false
	}
	best := r.bestDispatcher(t, counts)
	if best == "" || best == d.VM {
		return false
	}
	rankGain := r.rank(t, d.VM) - r.rank(t, best)
	if rankGain == 0 && counts[d.VM]-counts[best] < dispatchSpread {
		return false
	}
	return rankGain >= 0 && r.dispatchTo(t, best, counts)
}

// rank returns the preference of a VM as the target's dispatcher; lower is
// better: 0 in the target's data centre, 1 in another data centre that is in, 2
// elsewhere. VMs of a data centre that is out may still dispatch for its own
// targets while they drain.
func (r *planRound) rank(t Target, name string) int {
	dc := r.s.vms[name].DataCentre
	switch {
	case dc == t.DataCentre:
		return 0
	case r.s.config.dataCentreIn[dc]:
		return 1
	}
	return 2
}

// bestDispatcher returns the VM of the best rank with the fewest contracts, or
// "" if there is none. VMs that are avoided for the target come last.
func (r *planRound) bestDispatcher(t Target, counts map[string]int) string {
	best, bestAvoided := "", true
	for _, name := range r.dispatchersOf(r.s.config.regionOf[t.DataCentre]) {
		_, avoided := r.p.avoided[avoidance{vm: name, target: t.ID}]
		if best != "" && avoided && !bestAvoided {
			continue
		}
		if best == "" || avoided != bestAvoided || r.betterDispatcher(t, name, best, counts) {
			best, bestAvoided = name, avoided
		}
	}
	return best
}

// dispatchersOf returns the VMs that may be given contracts of the region.
func (r *planRound) dispatchersOf(region string) []string { return r.eligible[region] }

func (r *planRound) betterDispatcher(t Target, a, b string, counts map[string]int) bool {
	if rankA, rankB := r.rank(t, a), r.rank(t, b); rankA != rankB {
		return rankA < rankB
	}
	return counts[a] < counts[b]
}

// dispatchTo proposes the VM as the target's dispatcher under the next epoch and
// reports whether it did.
func (r *planRound) dispatchTo(t Target, name string, counts map[string]int) bool {
	d := contract.Dispatch{
		Target:        t.ID,
		VM:            name,
		VMIncarnation: r.s.vms[name].Incarnation,
		Epoch:         r.s.epochOf(t.ID) + 1,
	}
	if !r.propose(Command{SetDispatch: &SetDispatch{Dispatch: d}}) {
		return false
	}
	counts[r.s.dispatches[t.ID].Dispatch.VM]--
	counts[name]++
	return true
}
