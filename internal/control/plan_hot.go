package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

const (
	// maxHotAge is how long a hash counts as hot after its last report.
	maxHotAge = 30 * time.Second
	// minHotShare is the share of a target's requests from which a hash gets
	// a slice of its own.
	minHotShare = 0.1
	// minHotLoad is the load of a target from which its hot hashes get slices
	// of their own; below it a move would gain nothing.
	minHotLoad = 0.5
	// maxExtraSlices bounds the slices that splits add to a group. Each hot key
	// needs two; the bound is several times what 35 hot keys need.
	maxExtraSlices = 256
	// mergesPerRound bounds the merges of a group in one round.
	mergesPerRound = 16
)

// hotKey identifies a hot hash by the target that reported it.
type hotKey struct {
	target string
	hash   uint64
}

// hotObservation is what is known about a hot hash.
type hotObservation struct {
	at time.Duration
	// share is the hash's share of the target's requests, 0 to 1.
	share float64
	// load is the target's load when the hash was reported, 0 to 1.
	load float64
	// slice is the slice that last contained the hash, weight the expected load
	// of the hash.
	slice  contract.SliceID
	weight float64
}

func (p *Planner) observeHot(now time.Duration, report TargetReport) {
	for i, hash := range report.HotHashes {
		if i >= len(report.HotShares) {
			return
		}
		key := hotKey{target: report.Target, hash: hash}
		known := p.hot[key]
		known.at, known.share, known.load = now, report.HotShares[i], report.Load
		p.hot[key] = known
	}
}

// hotWeight returns the weight that hot hashes add to a slice.
func (p *Planner) hotWeight(slice contract.Slice) float64 { return p.hotBySlice[slice.ID] }

// locateHot finds the slices of the hot hashes and computes the weights that
// the hashes add to them. A hash with share h of a target's requests adds
// h/(1-h) times the base weight of the target's slices.
func (r *planRound) locateHot() {
	r.p.hotBySlice = map[contract.SliceID]float64{}
	for _, key := range r.hotKeys() {
		observed := r.p.hot[key]
		if entry := r.hotEntry(key, observed); entry != nil {
			r.locate(key, observed, entry)
		}
	}
}

// locate records the slice of a hot hash. It computes the hash's weight when the
// slice changed and belongs to the target that reported the hash.
func (r *planRound) locate(key hotKey, observed hotObservation, entry *ContractSlice) {
	if observed.slice != entry.Slice.ID && entry.Assignment.Target == key.target {
		base := 0.0
		for _, other := range r.index.owned[key.target] {
			base += r.baseWeight(other)
		}
		share := min(observed.share, maxHotShare)
		observed.weight = base * share / (1 - share)
	}
	observed.slice = entry.Slice.ID
	r.p.hot[key] = observed
	r.p.hotBySlice[entry.Slice.ID] += observed.weight
}

// maxHotShare bounds the share from which the weight of a hot hash is computed,
// because the weight has no bound as the share approaches 1.
const maxHotShare = 0.9

// hotKeys returns the hot hashes sorted by compareHot and removes those that
// were not reported for maxHotAge.
func (r *planRound) hotKeys() []hotKey {
	var keys []hotKey
	for key, observed := range r.p.hot {
		if r.now-observed.at > maxHotAge {
			delete(r.p.hot, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareHot)
	return keys
}

// hotEntry returns the slice of a hot hash: the slice of the reporting target
// that contains it, or, if that has moved, the slice that it was last found in.
func (r *planRound) hotEntry(key hotKey, observed hotObservation) *ContractSlice {
	for _, entry := range r.index.owned[key.target] {
		if entry.Slice.Contains(key.hash) {
			return entry
		}
	}
	if entry, ok := r.s.slices[observed.slice]; ok && entry.Slice.Contains(key.hash) {
		return entry
	}
	return nil
}

// pendingSplit is a split in progress. Once drained, the slice with the range lo
// to hi is split before and after the hot hash, and the parts beside the hash
// return to the owner.
type pendingSplit struct {
	group  groupKey
	lo, hi uint64
	owner  string
	until  time.Duration
}

// splitTimeout is how long a split may take.
const splitTimeout = 10 * time.Second

// splitHot drains the slices of the hot hashes of loaded targets, so that each
// hash gets a slice of its own.
func (r *planRound) splitHot() {
	r.locateHot()
	for _, key := range r.hotKeys() {
		observed := r.p.hot[key]
		if observed.share < minHotShare || observed.load < minHotLoad {
			continue
		}
		entry := r.hotEntry(key, observed)
		if entry == nil || entry.Assignment.Phase != contract.Owned {
			continue
		}
		if _, ok := splitPoint(entry.Slice, key.hash); ok {
			r.startSplit(key, entry)
		}
	}
}

// startSplit drains the slice of a hot hash, within the limits on moves and on
// the number of slices.
func (r *planRound) startSplit(key hotKey, entry *ContractSlice) {
	g := r.s.groups[groupKeyOf(entry.Slice)]
	budget := r.budget(entry.Slice.Service)
	if len(g.ids) >= g.initialSlices+maxExtraSlices || budget.available(r.now) < 1 {
		return
	}
	if !r.propose(Command{Drain: changeOf(entry)}) {
		return
	}
	budget.take()
	r.p.splits[key] = pendingSplit{
		group: g.key, lo: entry.Slice.Lo, hi: entry.Slice.Hi,
		owner: entry.Assignment.Target, until: r.now + splitTimeout,
	}
}

// splitKeys returns the hashes of the splits in progress, sorted by compareHot.
func (p *Planner) splitKeys() []hotKey {
	keys := slices.Collect(maps.Keys(p.splits))
	slices.SortFunc(keys, compareHot)
	return keys
}

func compareHot(a, b hotKey) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.target, b.target))
}

// nextSplit returns the next Split command for a slice that is being split to
// isolate a hot hash.
func (r *planRound) nextSplit(entry *ContractSlice) (Command, bool) {
	for _, key := range r.p.splitKeys() {
		c := r.p.splits[key]
		if r.now >= c.until {
			delete(r.p.splits, key)
			continue
		}
		if c.group != groupKeyOf(entry.Slice) || !entry.Slice.Contains(key.hash) {
			continue
		}
		if at, ok := splitPoint(entry.Slice, key.hash); ok {
			split := Split{Slice: entry.Slice.ID, Fence: entry.Assignment.Fence, After: at}
			return Command{Split: &split}, true
		}
	}
	return Command{}, false
}

// reshape returns the command that changes the range of a slice that its owner
// has stopped: the first Split of a split in progress, or a Merge.
func (r *planRound) reshape(entry *ContractSlice) (Command, bool) {
	if split, ok := r.nextSplit(entry); ok {
		return split, true
	}
	other, ok := r.s.slices[r.p.merges[entry.Slice.ID]]
	if !ok || other.Assignment.Phase != contract.Owned {
		return Command{}, false
	}
	if adjacent(entry.Slice, other.Slice) {
		return Command{Merge: &Merge{Left: entry.Slice.ID, Right: other.Slice.ID}}, true
	}
	return Command{Merge: &Merge{Left: other.Slice.ID, Right: entry.Slice.ID}}, adjacent(other.Slice, entry.Slice)
}

// preferredOwner returns the target that a slice should be assigned to, or "" if
// there is no preference. The parts beside an isolated hot hash return to their
// previous owner.
func (r *planRound) preferredOwner(entry *ContractSlice) string {
	if entry.Assignment.Phase == contract.Unassigned && entry.Slice.Lo != entry.Slice.Hi {
		for _, key := range r.p.splitKeys() {
			c := r.p.splits[key]
			if c.group == groupKeyOf(entry.Slice) && c.lo <= entry.Slice.Lo && entry.Slice.Hi <= c.hi {
				return c.owner
			}
		}
	}
	return r.p.preferred[entry.Slice.ID]
}

// splitPoint returns the hash after which to split a slice to isolate a hash,
// and whether the slice has to be split.
func splitPoint(slice contract.Slice, hash uint64) (uint64, bool) {
	switch {
	case slice.Lo < hash:
		return hash - 1, true
	case hash < slice.Hi:
		return hash, true
	}
	return 0, false
}

// mergeCold merges adjacent slices that were split for hashes that are no longer
// hot.
func (r *planRound) mergeCold() {
	// A new leader does not know which hashes are hot yet.
	if r.now < r.p.electedAt+maxHotAge {
		return
	}
	for _, key := range r.index.keys {
		g := r.s.groups[key]
		merges := 0
		for i := 0; i+1 < len(g.ids) && len(g.ids) > g.initialSlices && merges < mergesPerRound; i++ {
			if r.mergePair(g, r.s.slices[g.ids[i]], r.s.slices[g.ids[i+1]]) {
				merges++
				i++
			}
		}
	}
}

// mergePair drains the narrower of two adjacent slices without hot hashes that
// lie within one of the group's initial ranges. Once its owner has stopped it,
// it is merged with the other one.
func (r *planRound) mergePair(g *group, left, right *ContractSlice) bool {
	width := equalRangeWidth(g.initialSlices)
	if left.Slice.Lo/width != right.Slice.Hi/width {
		return false
	}
	if r.p.hotWeight(left.Slice) > 0 || r.p.hotWeight(right.Slice) > 0 {
		return false
	}
	narrow, wide := left, right
	if right.Slice.Hi-right.Slice.Lo < left.Slice.Hi-left.Slice.Lo {
		narrow, wide = right, left
	}
	if narrow.Assignment.Phase != contract.Owned || wide.Assignment.Phase != contract.Owned {
		return false
	}
	if to := r.loadOf(wide.Slice.Service).byID[wide.Assignment.Target]; to != nil && to.straggler {
		return false
	}
	budget := r.budget(narrow.Slice.Service)
	if r.p.inFlight(sliceKey(wide.Slice.ID)) || budget.available(r.now) < 1 {
		return false
	}
	if !r.propose(Command{Drain: changeOf(narrow)}) {
		return false
	}
	budget.take()
	r.p.merges[narrow.Slice.ID] = wide.Slice.ID
	return true
}
