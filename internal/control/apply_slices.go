package control

import (
	"math"
	"slices"
	"sort"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// createGroup creates equal slices for the service and residency if the text
// calls for them and they do not exist.
func (s *State) createGroup(key groupKey) bool {
	if _, ok := s.groups[key]; ok || !s.layout.wants(key) {
		return false
	}
	n := min(max(s.layout.services[key.Service].Slices, 1), MaxSlicesPerGroup)
	g := &group{key: key, initial: n, floor: s.fenceFloor}
	width := cellWidth(n)
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

// cellWidth is the width of each of n equal ranges of the hash space but the
// last, which takes the remainder. One range covers all hashes; its width is
// one short, which the remainder makes up for.
func cellWidth(n int) uint64 {
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

// dropUnwanted drops a group that the text does not call for once all of its
// slices are unassigned. Dropping them together keeps the rest without gaps
// if the text calls for the group again before that.
func (s *State) dropUnwanted(key groupKey) {
	g := s.groups[key]
	if s.layout.wants(key) {
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

// change marks the slice's group as changed.
func (s *State) change(slice contract.Slice) *group {
	g := s.groups[groupKey{Service: slice.Service, Residency: slice.Residency}]
	g.view = nil
	return g
}

func (s *State) release(entry *ContractSlice) {
	s.change(entry.Slice)
	entry.Assignment.Target = ""
	entry.Assignment.Incarnation = 0
	entry.Assignment.Phase = contract.Unassigned
}

// assign gives an unassigned slice to a target that may take it.
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
	if !s.layout.accepts(t, entry.Slice.Residency) {
		return false
	}
	a.Phase = contract.Owned
	entry.Assignment = a
	s.change(entry.Slice)
	return true
}

// at returns the slice if its fence is still the one of the change.
func (s *State) at(c SliceChange) (*ContractSlice, bool) {
	entry, ok := s.slices[c.Slice]
	if !ok || entry.Assignment.Fence != c.Fence {
		return nil, false
	}
	return entry, true
}

func (s *State) drain(c SliceChange) bool {
	entry, ok := s.at(c)
	if !ok || entry.Assignment.Phase != contract.Owned {
		return false
	}
	s.change(entry.Slice)
	entry.Assignment.Phase = contract.Draining
	return true
}

// unassign ends an assignment. An owned slice must belong to a lost target
// that checks grants, because only such a target is known to have stopped.
func (s *State) unassign(c SliceChange) bool {
	entry, ok := s.at(c)
	if !ok || entry.Assignment.Phase == contract.Unassigned {
		return false
	}
	owner := s.targets[entry.Assignment.Target]
	if entry.Assignment.Phase == contract.Owned && (!owner.Lost || !owner.ChecksGrants) {
		return false
	}
	s.release(entry)
	s.dropUnwanted(groupKey{Service: entry.Slice.Service, Residency: entry.Slice.Residency})
	return true
}

func (s *State) hold(c SliceChange) bool {
	entry, ok := s.at(c)
	if !ok {
		return false
	}
	if p := entry.Assignment.Phase; p != contract.Owned && p != contract.Draining {
		return false
	}
	s.change(entry.Slice)
	entry.Assignment.Phase = contract.Held
	return true
}

// split cuts an unassigned slice after a hash. The left part keeps the
// identifier. No work of an unassigned slice is in flight, so work that carries
// an identifier always belongs to the slice's present range.
func (s *State) split(c Split) bool {
	entry, ok := s.at(SliceChange{Slice: c.Slice, Fence: c.Fence})
	if !ok || entry.Assignment.Phase != contract.Unassigned {
		return false
	}
	if c.At < entry.Slice.Lo || c.At >= entry.Slice.Hi {
		return false
	}
	g := s.change(entry.Slice)
	if len(g.ids) >= MaxSlicesPerGroup {
		return false
	}
	right := entry.Slice
	right.Lo = c.At + 1
	entry.Slice.Hi = c.At
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

// merge joins an unassigned slice with a neighbour that is owned or unassigned
// too. The result is the neighbour, or the left one of two unassigned slices,
// with the higher fence of the two.
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
	g := s.change(left.Slice)
	i := s.position(g, dropped.Slice.ID)
	g.ids = slices.Delete(g.ids, i, i+1)
	kept.Slice.Lo, kept.Slice.Hi = left.Slice.Lo, right.Slice.Hi
	kept.Assignment.Fence = max(left.Assignment.Fence, right.Assignment.Fence)
	delete(s.slices, dropped.Slice.ID)
	return true
}

// neighbours reports whether the right slice follows the left one.
func neighbours(left, right contract.Slice) bool {
	return groupKeyOf(left) == groupKeyOf(right) && left.Hi != math.MaxUint64 && left.Hi+1 == right.Lo
}

// mergeable reports whether two slices are neighbours of which one is
// unassigned and the other owned or unassigned.
func mergeable(left, right ContractSlice) bool {
	a, b := left.Assignment.Phase, right.Assignment.Phase
	if a != contract.Unassigned && b != contract.Unassigned {
		return false
	}
	return neighbours(left.Slice, right.Slice) && a <= contract.Owned && b <= contract.Owned
}
