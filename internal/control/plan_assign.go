package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

// placementWait is how long the first placement of a service waits for the
// number of targets that the text expects.
const placementWait = time.Second

// candidate is a target that may take slices.
type candidate struct {
	target Target
	region string
	// load is the weight of the target's slices, a slice of the first
	// placement with no hot key counting 1.
	load float64
	// slots and limit are the slots when warm and those usable now.
	slots, limit float64
	// straggler says that the target should own nothing while it is slow,
	// and probing that it may own one slice.
	straggler, probing bool
}

// serviceLoad is the load of the targets of one service.
type serviceLoad struct {
	candidates []*candidate
	byID       map[string]*candidate
	total      float64
	// slots are those of the targets that are not stragglers.
	slots float64
}

// ideal is the load that the candidate would have if load followed the slots
// of the targets that are not stragglers.
func (l *serviceLoad) ideal(c *candidate) float64 {
	if l.slots == 0 || c.straggler {
		return 0
	}
	return l.total * c.slots / l.slots
}

// excess is the load above the ideal one.
func (l *serviceLoad) excess(c *candidate) float64 { return c.load - l.ideal(c) }

// loadOf returns the load of the targets of a service that may take slices.
func (r *round) loadOf(service string) *serviceLoad {
	if l, ok := r.loads[service]; ok {
		return l
	}
	l := &serviceLoad{byID: map[string]*candidate{}}
	for _, id := range r.model.targets {
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
		l.slots += c.slots
	}
}

func (r *round) newCandidate(t Target) *candidate {
	service := r.s.config.services[t.Service]
	slots := max(t.Slots, 1)
	c := &candidate{target: t, region: r.s.config.regionOf[t.DataCentre]}
	c.slots = float64(slots)
	c.limit = c.slots
	if t.State == Cold {
		c.limit = float64(min(slots, max(service.ColdSlots, 1)))
	}
	speed := r.speed(t)
	c.straggler, c.probing = speed.straggler, speed.probing
	for _, entry := range r.model.owned[t.ID] {
		if entry.Assignment.Phase == contract.Owned {
			c.load += r.weight(entry)
		}
	}
	return c
}

// addPending counts slices that are being assigned.
func (r *round) addPending(l *serviceLoad) {
	for key, entry := range r.p.pending {
		c, ok := l.byID[entry.to]
		if !ok || key.subject != subjectSlice {
			continue
		}
		if slice, ok := r.s.slices[key.slice]; ok && slice.Assignment.Target != entry.to {
			c.load += r.weight(slice)
		}
	}
}

// takesSlices reports whether the target may be given slices now: the text and
// its state allow it, and its dispatcher reached it a short time ago.
func (r *round) takesSlices(t Target) bool {
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

// place chooses the target for a slice: the one it was drained for, else the
// one with the least load for its usable slots.
func (r *round) place(entry *ContractSlice) (*candidate, bool) {
	if !r.s.config.requires(keyOf(entry.Slice)) {
		return nil, false
	}
	l := r.loadOf(entry.Slice.Service)
	if c, ok := l.byID[r.preferredOwner(entry)]; ok && r.allowed(c, entry) {
		return c, true
	}
	weight := r.weight(entry)
	var best *candidate
	for _, c := range l.candidates {
		if !r.allowed(c, entry) {
			continue
		}
		if best == nil || c.better(best, weight) {
			best = c
		}
	}
	return best, best != nil
}

// better reports whether c suits a slice of the weight better than other: a
// straggler is used only if there is no other target.
func (c *candidate) better(other *candidate, weight float64) bool {
	if c.straggler != other.straggler {
		return other.straggler
	}
	return (c.load+weight)/c.limit < (other.load+weight)/other.limit
}

// allowed reports whether the candidate may take the slice from its owner.
func (r *round) allowed(c *candidate, entry *ContractSlice) bool {
	return entry.Slice.Residency.Allows(c.region) && c.target.ID != entry.Assignment.Target
}

// assignSlices gives unassigned slices to targets.
func (r *round) assignSlices() {
	for _, entry := range r.model.unassigned {
		if r.p.inFlight(sliceKey(entry.Slice.ID)) || r.waitsForTargets(entry) {
			continue
		}
		if split, ok := r.splitFor(entry); ok {
			r.propose(split)
			continue
		}
		c, ok := r.place(entry)
		if !ok {
			continue
		}
		if r.propose(assignTo(entry, c.target)) {
			c.load += r.weight(entry)
		}
	}
}

// waitsForTargets reports whether the slice has never been placed and targets
// that the text expects have not come yet. Placing on the first target would
// only move most slices again.
func (r *round) waitsForTargets(entry *ContractSlice) bool {
	g := r.s.groups[keyOf(entry.Slice)]
	if entry.Assignment.Fence > g.initialFence {
		return false
	}
	service := r.s.config.services[g.key.Service]
	if service == nil || len(r.loadOf(g.key.Service).candidates) >= service.Endpoints {
		return false
	}
	since, ok := r.p.placeSince[g.key.Service]
	if !ok {
		if len(r.loadOf(g.key.Service).candidates) == 0 {
			return true
		}
		since = r.now
		r.p.placeSince[g.key.Service] = since
	}
	return r.now-since < placementWait
}

// weight is the expected load of a slice.
func (r *round) weight(entry *ContractSlice) float64 {
	return r.baseWeight(entry) + r.p.hotWeight(entry.Slice)
}

// baseWeight is the slice's share of the hash space; a slice of the first
// placement counts 1.
func (r *round) baseWeight(entry *ContractSlice) float64 {
	width := float64(entry.Slice.Hi-entry.Slice.Lo) + 1
	return width / float64(equalRangeWidth(r.s.groups[keyOf(entry.Slice)].initialSlices))
}

// exclusive returns the exclusive services of the text in its order.
func (r *round) exclusive() []text.Service {
	var services []text.Service
	for _, service := range r.s.config.text.Services {
		if service.Ownership == text.Exclusive {
			services = append(services, service)
		}
	}
	return services
}
