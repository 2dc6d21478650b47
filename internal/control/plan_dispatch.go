package control

import (
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// dispatchSpread is the difference in contracts between two VMs of equal rank
// from which one contract moves.
const dispatchSpread = 3

// improveInterval is the time between two moves of contracts that only improve
// their placement.
const improveInterval = 250 * time.Millisecond

// avoidance names a VM that failed to reach a target which others reached.
type avoidance struct {
	vm, target string
}

// settledDispatch says since when no earlier dispatcher acts for a target.
type settledDispatch struct {
	epoch contract.Epoch
	at    time.Duration
}

// settledAt returns the time since which no dispatcher before the current one
// can have renewed grants or sent work. Until then the contract does not move
// again, so at most two VMs believe that they dispatch for a target.
func (r *round) settledAt(target string) (time.Duration, bool) {
	entry := r.s.dispatches[target]
	if cached, ok := r.p.settled[target]; ok && cached.epoch == entry.Dispatch.Epoch {
		return cached.at, true
	}
	at, ok := r.quietSince(entry)
	if ok {
		r.p.settled[target] = settledDispatch{epoch: entry.Dispatch.Epoch, at: at}
	}
	return at, ok
}

func (r *round) quietSince(entry dispatchEntry) (time.Duration, bool) {
	name, incarnation := entry.PreviousVM, entry.PreviousIncarnation
	if name == "" {
		return r.p.electedAt - contract.GrantExpiryWait, true
	}
	return r.knows(name, incarnation, entry.Since)
}

// knows returns the time since which this incarnation of a VM acts, if at all,
// only on states of the index or later.
func (r *round) knows(name string, incarnation, index uint64) (time.Duration, bool) {
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

// dispatchScan remembers the last look at all contracts, which is repeated
// only when something that it depends on changed.
type dispatchScan struct {
	revision uint64
	eligible []string
	// open says that a contract waits to be moved or settled.
	open bool
	next time.Duration
}

// setDispatches gives each target a dispatcher with a valid lease.
func (r *round) setDispatches() {
	eligible := r.eligibleVMs()
	scan := &r.p.dispatch
	improve := r.now >= scan.next
	if !improve && !scan.open && scan.revision == r.s.revision && slices.Equal(scan.eligible, eligible) {
		return
	}
	scan.revision, scan.eligible, scan.open = r.s.revision, eligible, false
	if improve {
		scan.next = r.now + improveInterval
	}
	counts := r.contractCounts()
	least := r.leastContracts(counts)
	for _, id := range r.model.targets {
		t := r.s.targets[id]
		current := r.s.dispatches[id].Dispatch
		if _, ok := r.settledAt(id); !ok || r.p.inFlight(pendingKey{subject: subjectDispatch, name: id}) {
			scan.open = true
			continue
		}
		if !r.keepsDispatch(t, current) {
			scan.open = true
			r.replaceDispatch(t, current, counts)
			continue
		}
		if improve && !r.p.suspects[id] && r.mayImprove(t, current, counts, least) && r.improveDispatch(t, current, counts) {
			improve = false
		}
	}
}

// eligibleVMs returns the VMs that may be given contracts, in name order.
func (r *round) eligibleVMs() []string {
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

// leastContracts returns the fewest contracts of an eligible VM per data centre
// and per region.
func (r *round) leastContracts(counts map[string]int) map[string]int {
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

// mayImprove reports whether a look for a better dispatcher can pay.
func (r *round) mayImprove(t Target, d contract.Dispatch, counts, least map[string]int) bool {
	near, ok := least["d/"+t.DataCentre]
	switch r.rank(t, d.VM) {
	case 0:
		return ok && counts[d.VM]-near >= dispatchSpread
	case 1:
		return ok || counts[d.VM]-least["r/"+r.s.config.regionOf[t.DataCentre]] >= dispatchSpread
	}
	return true
}

func (r *round) contractCounts() map[string]int {
	counts := map[string]int{}
	for _, entry := range r.s.dispatches {
		counts[entry.Dispatch.VM]++
	}
	return counts
}

// mayDispatch reports whether a VM may be given contracts of the region.
func (r *round) mayDispatch(name, region string) bool {
	v, ok := r.s.vms[name]
	if !ok || v.Stopping || r.s.config.retiredVMs[name] || !r.leased(name, v.Incarnation) {
		return false
	}
	if r.p.vms[name].vm.Stopping {
		return false
	}
	return region != "" && r.s.config.regionOf[v.DataCentre] == region
}

func (r *round) keepsDispatch(t Target, d contract.Dispatch) bool {
	if d.VM == "" || r.s.vms[d.VM].Incarnation != d.VMIncarnation {
		return false
	}
	return r.mayDispatch(d.VM, r.s.config.regionOf[t.DataCentre])
}

// replaceDispatch moves the contract of a VM that may not keep it. A VM that
// is out of contact keeps it until its lease has run out.
func (r *round) replaceDispatch(t Target, d contract.Dispatch, counts map[string]int) {
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
		inContact := r.leased(d.VM, d.VMIncarnation)
		if !inContact && r.now < r.leaseEnd(d.VM, d.VMIncarnation) {
			return
		}
	}
	if name := r.bestDispatcher(t, counts); name != "" {
		r.dispatchTo(t, name, counts)
	}
}

// awaitsRegistration reports whether the dispatcher restarted and its new
// incarnation is about to be registered; it then keeps the contract.
func (r *round) awaitsRegistration(d contract.Dispatch) bool {
	observed, ok := r.p.vms[d.VM]
	if !ok || observed.vm.Incarnation <= r.s.vms[d.VM].Incarnation {
		return false
	}
	return !observed.vm.Stopping && r.now < observed.leaseUntil
}

// improveDispatch moves a contract to a VM of better rank, or to one of equal
// rank with far fewer contracts. It reports whether it did.
func (r *round) improveDispatch(t Target, d contract.Dispatch, counts map[string]int) bool {
	if r.now < r.p.electedAt+contract.ElectedWait {
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

// rank orders dispatchers: the target's data centre first, then data centres
// that are in, then the others. A data centre that is out may still dispatch
// for its own targets while they drain.
func (r *round) rank(t Target, name string) int {
	dc := r.s.vms[name].DataCentre
	switch {
	case dc == t.DataCentre:
		return 0
	case r.s.config.dataCentreIn[dc]:
		return 1
	}
	return 2
}

// bestDispatcher returns the VM of the best rank with the fewest contracts,
// empty if there is none. VMs known to fail to reach the target come last.
func (r *round) bestDispatcher(t Target, counts map[string]int) string {
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
func (r *round) dispatchersOf(region string) []string { return r.eligible[region] }

func (r *round) betterDispatcher(t Target, a, b string, counts map[string]int) bool {
	if rankA, rankB := r.rank(t, a), r.rank(t, b); rankA != rankB {
		return rankA < rankB
	}
	return counts[a] < counts[b]
}

func (r *round) dispatchTo(t Target, name string, counts map[string]int) bool {
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
