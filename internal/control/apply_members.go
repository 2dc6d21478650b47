package control

import (
	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// registerVM adds or updates a VM. A command with an older incarnation changes
// nothing.
func (s *State) registerVM(v VM) bool {
	known, ok := s.vms[v.Name]
	if v.Name == "" || s.config.retiredVMs[v.Name] {
		return false
	}
	if ok && (v.Incarnation < known.Incarnation || v == known) {
		return false
	}
	s.vms[v.Name] = v
	return true
}

// removeVM removes a VM that the configuration text lists as retired and that
// has no dispatch contract.
func (s *State) removeVM(c RemoveVM) bool {
	if _, ok := s.vms[c.Name]; !ok || !s.config.retiredVMs[c.Name] {
		return false
	}
	for _, entry := range s.dispatches {
		if entry.Dispatch.VM == c.Name {
			return false
		}
	}
	delete(s.vms, c.Name)
	return true
}

// registerTarget adds a target, updates the address and slots of the known
// incarnation, or replaces an older incarnation, whose process has ended.
func (s *State) registerTarget(t Target) bool {
	known, ok := s.targets[t.ID]
	if t.ID == "" || (ok && t.Incarnation < known.Incarnation) {
		return false
	}
	if ok && t.Incarnation == known.Incarnation {
		return s.updateTarget(known, t)
	}
	t.Lost = false
	s.targets[t.ID] = t
	s.targetSince[t.ID] = s.version
	s.releaseOlderIncarnations(t)
	return true
}

// releaseOrDrain unassigns a slice of an older incarnation of the target if the
// new one checks grants, and drains it otherwise.
func (s *State) releaseOrDrain(t Target, entry *ContractSlice) {
	if t.ChecksGrants {
		s.release(entry)
		return
	}
	s.invalidateView(entry.Slice)
	entry.Assignment.Phase = contract.Draining
}

func (s *State) updateTarget(known, t Target) bool {
	updated := known
	updated.Address = t.Address
	updated.Slots = t.Slots
	if updated == known {
		return false
	}
	s.targets[t.ID] = updated
	return true
}

// releaseOlderIncarnations takes the slices from older incarnations of the
// target. If the new process checks grants, it refuses work meant for the older
// one, and the slices are unassigned. Otherwise it would run work sent by a
// dispatcher that does not know of the restart yet; then the slices, including
// held ones, drain until the new process takes them or the dispatcher knows of
// the restart.
func (s *State) releaseOlderIncarnations(t Target) {
	for _, key := range s.groupKeys() {
		for _, id := range s.groups[key].ids {
			entry := s.slices[id]
			if entry.Assignment.Target == t.ID && entry.Assignment.Incarnation < t.Incarnation {
				s.releaseOrDrain(t, entry)
			}
		}
		s.dropUnusedGroup(key)
	}
}

// markTarget sets the state and the Lost flag of an incarnation.
func (s *State) markTarget(c MarkTarget) bool {
	t, ok := s.targets[c.ID]
	if !ok || t.Incarnation != c.Incarnation {
		return false
	}
	if t.State == c.State && t.Lost == c.Lost {
		return false
	}
	t.State = c.State
	t.Lost = c.Lost
	s.targets[c.ID] = t
	return true
}

// removeTarget removes a target that owns no slice. It raises epochFloor to the
// target's epoch, so that the target gets higher epochs if it registers again.
func (s *State) removeTarget(c RemoveTarget) bool {
	t, ok := s.targets[c.ID]
	if !ok || t.Incarnation != c.Incarnation {
		return false
	}
	for _, entry := range s.slices {
		if entry.Assignment.Target == c.ID {
			return false
		}
	}
	s.epochFloor = max(s.epochFloor, s.epochOf(c.ID))
	delete(s.dispatches, c.ID)
	delete(s.targets, c.ID)
	delete(s.targetSince, c.ID)
	return true
}

// setDispatch assigns a dispatcher in the target's region to the target.
func (s *State) setDispatch(d contract.Dispatch) bool {
	t, ok := s.targets[d.Target]
	if !ok || d.Epoch != s.epochOf(d.Target)+1 {
		return false
	}
	v, ok := s.vms[d.VM]
	if !ok || v.Incarnation != d.VMIncarnation || s.config.retiredVMs[d.VM] {
		return false
	}
	region := s.config.regionOf[t.DataCentre]
	if region == "" || s.config.regionOf[v.DataCentre] != region {
		return false
	}
	entry := dispatchEntry{Dispatch: d, Since: s.version}
	if before := s.dispatches[d.Target].Dispatch; before.VM != d.VM {
		entry.PreviousVM = before.VM
		entry.PreviousIncarnation = before.VMIncarnation
	}
	s.dispatches[d.Target] = entry
	return true
}
