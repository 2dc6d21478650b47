package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

const (
	// hotAge is how long a hash counts as hot after the last report of it.
	hotAge = 30 * time.Second
	// minHotShare is the share of a target's requests from which a hash gets
	// a slice of its own.
	minHotShare = 0.1
	// minHotLoad is the load of a target from which its hot hashes are split
	// off; below it a move would gain nothing.
	minHotLoad = 0.5
	// maxExtraSlices bounds the slices that splitting adds to a group. It
	// allows several times the two slices that each of 35 hot keys needs.
	maxExtraSlices = 256
	// mergesPerRound bounds the merges of a group in one round.
	mergesPerRound = 16
)

// hotKey names a hot hash of a service.
type hotKey struct {
	target string
	hash   uint64
}

// hotObservation is what is known of a hot hash.
type hotObservation struct {
	at time.Duration
	// share is the hash's share of the target's requests, 0 to 1.
	share float64
	// load is the target's load when the hash was reported, 0 to 1.
	load float64
	// slice is the slice that held the hash and weight its expected load.
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

// locateHot finds the slices of the hot hashes and their weights. A hash with
// share h of a target's requests weighs h/(1-h) times the target's other
// slices.
func (r *round) locateHot() {
	r.p.hotBySlice = map[contract.SliceID]float64{}
	for _, key := range r.hotKeys() {
		observed := r.p.hot[key]
		if entry := r.hotEntry(key, observed); entry != nil {
			r.locate(key, observed, entry)
		}
	}
}

func (r *round) locate(key hotKey, observed hotObservation, entry *ContractSlice) {
	if observed.slice != entry.Slice.ID && entry.Assignment.Target == key.target {
		base := 0.0
		for _, other := range r.model.owned[key.target] {
			base += r.baseWeight(other)
		}
		share := min(observed.share, maxHotShare)
		observed.weight = base * share / (1 - share)
	}
	observed.slice = entry.Slice.ID
	r.p.hot[key] = observed
	r.p.hotBySlice[entry.Slice.ID] += observed.weight
}

// maxHotShare bounds the share in the weight of a hot hash, which grows
// without bound towards a share of 1.
const maxHotShare = 0.9

// hotKeys returns the hot hashes in order and forgets those that cooled down.
func (r *round) hotKeys() []hotKey {
	var keys []hotKey
	for key, observed := range r.p.hot {
		if r.now-observed.at > hotAge {
			delete(r.p.hot, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareHot)
	return keys
}

// hotEntry returns the slice of a hot hash: a slice of the reporting target
// that contains it, or the slice it was in before if that moved.
func (r *round) hotEntry(key hotKey, observed hotObservation) *ContractSlice {
	for _, entry := range r.model.owned[key.target] {
		if entry.Slice.Contains(key.hash) {
			return entry
		}
	}
	if entry, ok := r.s.slices[observed.slice]; ok && entry.Slice.Contains(key.hash) {
		return entry
	}
	return nil
}

// cut is a split in progress: the drained slice is cut before and after the hot
// hash, and the parts beside it return to the owner.
type cut struct {
	group  groupKey
	lo, hi uint64
	owner  string
	until  time.Duration
}

// cutLimit is how long a split may take.
const cutLimit = 10 * time.Second

// splitHot drains the slices of the hot hashes of loaded targets, so that each
// hash gets a slice of its own.
func (r *round) splitHot() {
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
		if _, ok := cutFor(entry.Slice, key.hash); ok {
			r.startCut(key, entry)
		}
	}
}

func (r *round) startCut(key hotKey, entry *ContractSlice) {
	g := r.s.groups[keyOf(entry.Slice)]
	budget := r.budget(entry.Slice.Service)
	if len(g.ids) >= g.initialSlices+maxExtraSlices || budget.available(r.now) < 1 {
		return
	}
	if !r.propose(Command{Drain: changeOf(entry)}) {
		return
	}
	budget.take()
	r.p.cuts[key] = cut{
		group: g.key, lo: entry.Slice.Lo, hi: entry.Slice.Hi,
		owner: entry.Assignment.Target, until: r.now + cutLimit,
	}
}

// cutKeys returns the hashes of the splits in progress in order.
func (p *Planner) cutKeys() []hotKey {
	keys := slices.Collect(maps.Keys(p.cuts))
	slices.SortFunc(keys, compareHot)
	return keys
}

func compareHot(a, b hotKey) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.target, b.target))
}

// splitFor returns the next cut of an unassigned slice that is being split.
func (r *round) splitFor(entry *ContractSlice) (Command, bool) {
	for _, key := range r.p.cutKeys() {
		c := r.p.cuts[key]
		if r.now >= c.until {
			delete(r.p.cuts, key)
			continue
		}
		if c.group != keyOf(entry.Slice) || !entry.Slice.Contains(key.hash) {
			continue
		}
		if at, ok := cutFor(entry.Slice, key.hash); ok {
			split := Split{Slice: entry.Slice.ID, Fence: entry.Assignment.Fence, At: at}
			return Command{Split: &split}, true
		}
	}
	return Command{}, false
}

// reshape returns the command that changes the range of a slice when its owner
// stopped: the first cut of a split, or a merge.
func (r *round) reshape(entry *ContractSlice) (Command, bool) {
	if split, ok := r.splitFor(entry); ok {
		return split, true
	}
	other, ok := r.s.slices[r.p.joins[entry.Slice.ID]]
	if !ok || other.Assignment.Phase != contract.Owned {
		return Command{}, false
	}
	if adjacent(entry.Slice, other.Slice) {
		return Command{Merge: &Merge{Left: entry.Slice.ID, Right: other.Slice.ID}}, true
	}
	return Command{Merge: &Merge{Left: other.Slice.ID, Right: entry.Slice.ID}}, adjacent(other.Slice, entry.Slice)
}

// preferredOwner returns the target that a slice is meant for, empty if any
// will do. The parts beside a hot hash return to their owner.
func (r *round) preferredOwner(entry *ContractSlice) string {
	if entry.Assignment.Phase == contract.Unassigned && entry.Slice.Lo != entry.Slice.Hi {
		for _, key := range r.p.cutKeys() {
			c := r.p.cuts[key]
			if c.group == keyOf(entry.Slice) && c.lo <= entry.Slice.Lo && entry.Slice.Hi <= c.hi {
				return c.owner
			}
		}
	}
	return r.p.preferred[entry.Slice.ID]
}

// cutFor returns the hash after which a slice is cut to isolate a hash.
func cutFor(slice contract.Slice, hash uint64) (uint64, bool) {
	switch {
	case slice.Lo < hash:
		return hash - 1, true
	case hash < slice.Hi:
		return hash, true
	}
	return 0, false
}

// mergeCold joins neighbours that were split for hashes that cooled down.
func (r *round) mergeCold() {
	// A new leader does not know yet which hashes are hot.
	if r.now < r.p.electedAt+hotAge {
		return
	}
	for _, key := range r.model.keys {
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

// mergePair drains the narrower of two cold neighbours within one of the
// ranges that the group started with; once stopped, it joins the other.
func (r *round) mergePair(g *group, left, right *ContractSlice) bool {
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
	r.p.joins[narrow.Slice.ID] = wide.Slice.ID
	return true
}
