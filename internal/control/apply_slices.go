package control

import (
	"math"
	"slices"
	"sort"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// createGroup creates slices of equal width for the service and residency if
// the configuration text requires them and they do not exist.
func (s *State) createGroup(key groupKey) bool {
	if _, ok := s.groups[key]; ok || !s.config.requires(key) {
		return false
	}
	n := min(max(s.config.services[key.Service].Slices, 1), MaxSlicesPerGroup)
	g := &group{key: key, initialSlices: n, initialFence: s.fenceFloor}
	width := equalRangeWidth(n)
	for i := range n {
		lo := uint64(i) * width
		hi := lo + width - 1
		if i == n-1 {
			hi = math.MaxUint64
		}
		id := s.addSlice(contract.Slice{Service: key.Service, Residency: key.Residency, Lo: lo, Hi: hi})
		g.ids = append(g.ids, id)
	}
	s.groups[key] = g
	return true
}

// equalRangeWidth returns the width of each of n equal ranges of the hash space
// except the last, which covers the rest. For n = 1 the result is one less than
// the size of the hash space, which does not fit in a uint64; the only range
// still covers all hashes, because it is the last.
func equalRangeWidth(n int) uint64 {
	return math.MaxUint64/uint64(n) + uint64(min(n-1, 1))
}

func (s *State) addSlice(slice contract.Slice) contract.SliceID {
	s.lastSlice++
	slice.ID = s.lastSlice
	s.slices[slice.ID] = &ContractSlice{
		Slice:      slice,
		Assignment: contract.Assignment{Slice: slice.ID, Fence: s.fenceFloor},
	}
	return slice.ID
}

// dropUnusedGroup drops a group that the configuration text does not require
// once all of its slices are unassigned. The slices are dropped together, so
// that the group has no gaps if the text requires it again before that.
func (s *State) dropUnusedGroup(key groupKey) {
	g := s.groups[key]
	if s.config.requires(key) {
		return
	}
	for _, id := range g.ids {
		if s.slices[id].Assignment.Phase != contract.Unassigned {
			return
		}
	}
	for _, id := range g.ids {
		s.fenceFloor = max(s.fenceFloor, s.slices[id].Assignment.Fence)
		delete(s.slices, id)
	}
	delete(s.groups, key)
}

func (s *State) addResidency(c AddResidency) bool {
	return s.createGroup(groupKey(c))
}

// invalidateView drops the cached view of the slice's group for a change of the
// group, and returns the group.
func (s *State) invalidateView(slice contract.Slice) *group {
	g := s.groups[groupKey{Service: slice.Service, Residency: slice.Residency}]
	g.view = nil
	return g
}

func (s *State) release(entry *ContractSlice) {
	s.invalidateView(entry.Slice)
	entry.Assignment.Target = ""
	entry.Assignment.Incarnation = 0
	entry.Assignment.Phase = contract.Unassigned
}

// assign assigns an unassigned slice to an eligible target.
func (s *State) assign(c Assign) bool {
	a := c.Assignment
	entry, ok := s.slices[a.Slice]
	if !ok || entry.Assignment.Phase != contract.Unassigned || a.Fence != entry.Assignment.Fence+1 {
		return false
	}
	t, ok := s.targets[a.Target]
	if !ok || t.Incarnation != a.Incarnation || t.Service != entry.Slice.Service {
		return false
	}
	if !s.config.eligible(t, entry.Slice.Residency) {
		return false
	}
	a.Phase = contract.Owned
	entry.Assignment = a
	s.invalidateView(entry.Slice)
	return true
}

// sliceAtFence returns the slice of the change if its fence still equals the
// fence of the change.
func (s *State) sliceAtFence(c SliceChange) (*ContractSlice, bool) {
	entry, ok := s.slices[c.Slice]
	if !ok || entry.Assignment.Fence != c.Fence {
		return nil, false
	}
	return entry, true
}

func (s *State) drain(c SliceChange) bool {
	entry, ok := s.sliceAtFence(c)
	if !ok || entry.Assignment.Phase != contract.Owned {
		return false
	}
	s.invalidateView(entry.Slice)
	entry.Assignment.Phase = contract.Draining
	return true
}

// unassign ends an assignment. A slice in phase Owned is unassigned only if its
// owner is lost and checks grants, because only then is the owner known to have
// stopped running its work.
func (s *State) unassign(c SliceChange) bool {
	entry, ok := s.sliceAtFence(c)
	if !ok || entry.Assignment.Phase == contract.Unassigned {
		return false
	}
	owner := s.targets[entry.Assignment.Target]
	if entry.Assignment.Phase == contract.Owned && (!owner.Lost || !owner.ChecksGrants) {
		return false
	}
	s.release(entry)
	s.dropUnusedGroup(groupKey{Service: entry.Slice.Service, Residency: entry.Slice.Residency})
	return true
}

func (s *State) hold(c SliceChange) bool {
	entry, ok := s.sliceAtFence(c)
	if !ok {
		return false
	}
	if p := entry.Assignment.Phase; p != contract.Owned && p != contract.Draining {
		return false
	}
	s.invalidateView(entry.Slice)
	entry.Assignment.Phase = contract.Held
	return true
}

// split splits an unassigned slice after a hash. The left part keeps the
// identifier. This is safe because an unassigned slice has no work in flight:
// work that carries an identifier always belongs to the slice's current range.
func (s *State) split(c Split) bool {
	entry, ok := s.sliceAtFence(SliceChange{Slice: c.Slice, Fence: c.Fence})
	if !ok || entry.Assignment.Phase != contract.Unassigned {
		return false
	}
	if c.After < entry.Slice.Lo || c.After >= entry.Slice.Hi {
		return false
	}
	g := s.invalidateView(entry.Slice)
	if len(g.ids) >= MaxSlicesPerGroup {
		return false
	}
	right := entry.Slice
	right.Lo = c.After + 1
	entry.Slice.Hi = c.After
	id := s.addSlice(right)
	s.slices[id].Assignment.Fence = entry.Assignment.Fence
	g.ids = slices.Insert(g.ids, s.position(g, c.Slice)+1, id)
	return true
}

// position returns the index of a slice in its group.
func (s *State) position(g *group, id contract.SliceID) int {
	lo := s.slices[id].Slice.Lo
	return sort.Search(len(g.ids), func(i int) bool { return s.slices[g.ids[i]].Slice.Lo >= lo })
}

// merge merges an unassigned slice with an adjacent slice that is owned or also
// unassigned. The result keeps the identifier of the owned slice, or of the left
// one if both are unassigned, and has the higher fence of the two.
func (s *State) merge(c Merge) bool {
	left, ok := s.slices[c.Left]
	if !ok {
		return false
	}
	right, ok := s.slices[c.Right]
	if !ok || !mergeable(*left, *right) {
		return false
	}
	kept, dropped := left, right
	if right.Assignment.Phase == contract.Owned {
		kept, dropped = right, left
	}
	g := s.invalidateView(left.Slice)
	i := s.position(g, dropped.Slice.ID)
	g.ids = slices.Delete(g.ids, i, i+1)
	kept.Slice.Lo, kept.Slice.Hi = left.Slice.Lo, right.Slice.Hi
	kept.Assignment.Fence = max(left.Assignment.Fence, right.Assignment.Fence)
	delete(s.slices, dropped.Slice.ID)
	return true
}

// adjacent reports whether the right slice directly follows the left one in the
// same group.
func adjacent(left, right contract.Slice) bool {
	return groupKeyOf(left) == groupKeyOf(right) && left.Hi != math.MaxUint64 && left.Hi+1 == right.Lo
}

// mergeable reports whether two slices are adjacent, at least one of them is
// unassigned and the other is owned or unassigned.
func mergeable(left, right ContractSlice) bool {
	a, b := left.Assignment.Phase, right.Assignment.Phase
	if a != contract.Unassigned && b != contract.Unassigned {
		return false
	}
	return adjacent(left.Slice, right.Slice) && a <= contract.Owned && b <= contract.Owned
}
