package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/configtext"
	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// placementWait is how long the initial placement of a service waits for the
// number of targets that the configuration text expects.
const placementWait = time.Second

// candidate is a target that may take slices.
type candidate struct {
	target Target
	region string
	// load is the total weight of the target's slices; a slice of the initial
	// placement without hot keys has weight 1.
	load float64
	// warmSlots are the slots of the target when warm, usableSlots those that
	// are usable now.
	warmSlots, usableSlots float64
	// straggler says that the target should own nothing while it is slow, and
	// probing that it may own one slice, to measure its latency.
	straggler, probing bool
}

// serviceLoad is the load of the targets of one service.
type serviceLoad struct {
	candidates []*candidate
	byID       map[string]*candidate
	total      float64
	// slots is the sum of the warm slots of the targets that are not stragglers.
	slots float64
}

// idealLoad returns the load that the candidate would have if load were
// proportional to the warm slots of the targets that are not stragglers.
func (l *serviceLoad) idealLoad(c *candidate) float64 {
	if l.slots == 0 || c.straggler {
		return 0
	}
	return l.total * c.warmSlots / l.slots
}

// excessLoad returns the load above the ideal load; it may be negative.
func (l *serviceLoad) excessLoad(c *candidate) float64 { return c.load - l.idealLoad(c) }

// loadOf returns the load of the targets of a service that may take slices.
func (r *planRound) loadOf(service string) *serviceLoad {
	if l, ok := r.loads[service]; ok {
		return l
	}
	l := &serviceLoad{byID: map[string]*candidate{}}
	for _, id := range r.index.targets {
		if t := r.s.targets[id]; t.Service == service && r.takesSlices(t) {
			l.add(r.newCandidate(t))
		}
	}
	r.addPending(l)
	for _, c := range l.candidates {
		l.total += c.load
	}
	r.loads[service] = l
	return l
}

func (l *serviceLoad) add(c *candidate) {
	l.candidates = append(l.candidates, c)
	l.byID[c.target.ID] = c
	if !c.straggler {
		l.slots += c.warmSlots
	}
}

// newCandidate returns the target with the load of the slices that it owns.
func (r *planRound) newCandidate(t Target) *candidate {
	service := r.s.config.services[t.Service]
	slots := max(t.Slots, 1)
	c := &candidate{target: t, region: r.s.config.regionOf[t.DataCentre]}
	c.warmSlots = float64(slots)
	c.usableSlots = c.warmSlots
	if t.State == Cold {
		c.usableSlots = float64(min(slots, max(service.ColdSlots, 1)))
	}
	latency := r.latencyStateOf(t)
	c.straggler, c.probing = latency.straggler, latency.probing
	for _, entry := range r.index.owned[t.ID] {
		if entry.Assignment.Phase == contract.Owned {
			c.load += r.weight(entry)
		}
	}
	return c
}

// addPending adds the weights of slices whose assignment is in flight.
func (r *planRound) addPending(l *serviceLoad) {
	for key, entry := range r.p.pending {
		c, ok := l.byID[entry.assignedTo]
		if !ok || key.kind != kindSlice {
			continue
		}
		if slice, ok := r.s.slices[key.slice]; ok && slice.Assignment.Target != entry.assignedTo {
			c.load += r.weight(slice)
		}
	}
}

// takesSlices reports whether the target may be given slices now: the
// configuration text and its state allow it, and a recent report of its
// dispatcher says that it is reachable.
func (r *planRound) takesSlices(t Target) bool {
	if !r.s.config.eligible(t, "") || r.p.announced[t.ID].target.State == Leaving {
		return false
	}
	if _, ok := r.s.config.services[t.Service]; !ok {
		return false
	}
	observed, ok := r.report(t.ID)
	if !ok || !observed.report.Reachable || observed.report.GrantExpired {
		return false
	}
	return observed.report.State != Leaving
}

// chooseTarget returns the target for a slice: the one that it was drained for
// if that may take it, otherwise the one with the least load per usable slot.
func (r *planRound) chooseTarget(entry *ContractSlice) (*candidate, bool) {
	if !r.s.config.requires(groupKeyOf(entry.Slice)) {
		return nil, false
	}
	l := r.loadOf(entry.Slice.Service)
	if c, ok := l.byID[r.preferredOwner(entry)]; ok && r.mayTake(c, entry) {
		return c, true
	}
	weight := r.weight(entry)
	var best *candidate
	for _, c := range l.candidates {
		if !r.mayTake(c, entry) {
			continue
		}
		if best == nil || c.isBetterThan(best, weight) {
			best = c
		}
	}
	return best, best != nil
}

// isBetterThan reports whether c is a better target than other for a slice of
// the weight. A straggler is used only if there is no other target.
func (c *candidate) isBetterThan(other *candidate, weight float64) bool {
	if c.straggler != other.straggler {
		return other.straggler
	}
	return (c.load+weight)/c.usableSlots < (other.load+weight)/other.usableSlots
}

// mayTake reports whether the slice's residency allows the candidate and the
// candidate is not its owner.
func (r *planRound) mayTake(c *candidate, entry *ContractSlice) bool {
	return entry.Slice.Residency.Allows(c.region) && c.target.ID != entry.Assignment.Target
}

// assignSlices gives unassigned slices to targets.
func (r *planRound) assignSlices() {
	for _, entry := range r.index.unassigned {
		if r.p.inFlight(sliceKey(entry.Slice.ID)) || r.waitsForTargets(entry) {
			continue
		}
		if split, ok := r.nextSplit(entry); ok {
			r.propose(split)
			continue
		}
		c, ok := r.chooseTarget(entry)
		if !ok {
			continue
		}
		if r.propose(assignTo(entry, c.target)) {
			c.load += r.weight(entry)
		}
	}
}

// waitsForTargets reports whether the slice has never been placed and some of
// the targets that the configuration text expects are still missing. Slices
// placed on the first targets alone would mostly have to move again.
func (r *planRound) waitsForTargets(entry *ContractSlice) bool {
	g := r.s.groups[groupKeyOf(entry.Slice)]
	if entry.Assignment.Fence > g.initialFence {
		return false
	}
	service := r.s.config.services[g.key.Service]
	if service == nil || len(r.loadOf(g.key.Service).candidates) >= service.Endpoints {
		return false
	}
	since, ok := r.p.placementSince[g.key.Service]
	if !ok {
		if len(r.loadOf(g.key.Service).candidates) == 0 {
			return true
		}
		since = r.now
		r.p.placementSince[g.key.Service] = since
	}
	return r.now-since < placementWait
}

// weight returns the expected load of a slice.
func (r *planRound) weight(entry *ContractSlice) float64 {
	return r.baseWeight(entry) + r.p.hotWeight(entry.Slice)
}

// baseWeight returns the width of the slice's hash range relative to a slice of
// the initial placement, whose base weight is 1.
func (r *planRound) baseWeight(entry *ContractSlice) float64 {
	width := float64(entry.Slice.Hi-entry.Slice.Lo) + 1
	return width / float64(equalRangeWidth(r.s.groups[groupKeyOf(entry.Slice)].initialSlices))
}

// exclusiveServices returns the exclusive services in the order of the
// configuration text.
func (r *planRound) exclusiveServices() []configtext.Service {
	var services []configtext.Service
	for _, service := range r.s.config.text.Services {
		if service.Ownership == configtext.Exclusive {
			services = append(services, service)
		}
	}
	return services
}
