package control

import "time"

// holderStableTime is how long the set of VMs must stay unchanged before it
// becomes the set of record holders, so that VMs that start together form one
// set. A set of only the first VM would make every record depend on that VM
// until the retention time has passed.
const holderStableTime = 2 * time.Second

// holderMembers returns the VMs that should hold request records.
func (s *State) holderMembers() []holder {
	var members []holder
	for _, name := range sortedNames(s.vms) {
		if !s.config.retiredVMs[name] {
			members = append(members, holder{Name: name, DataCentre: s.vms[name].DataCentre})
		}
	}
	return members
}

// setHolders starts a new set of record holders if the current one changed.
func (s *State) setHolders() bool {
	members := s.holderMembers()
	if n := len(s.holders); n > 0 && equalHolders(s.holders[n-1].Members, members) {
		return false
	}
	s.holders = append(s.holders, holderSet{Number: s.version, Members: members})
	return true
}

func equalHolders(a, b []holder) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// forgetHolders drops the sets with a number below c.Before but keeps the current
// set.
func (s *State) forgetHolders(c DropHolderSets) bool {
	kept := 0
	for kept < len(s.holders)-1 && s.holders[kept].Number < c.Before {
		kept++
	}
	if kept == 0 {
		return false
	}
	s.holders = append([]holderSet(nil), s.holders[kept:]...)
	return true
}

// updateHolders proposes a new set of record holders once the set of VMs that
// should hold records has been unchanged for holderStableTime.
func (r *planRound) updateHolders() {
	members := r.s.holderMembers()
	if !equalHolders(r.p.holderMembers, members) {
		r.p.holderMembers = members
		r.p.holdersStable = r.now
	}
	current := r.s.holders
	if len(current) > 0 && equalHolders(current[len(current)-1].Members, members) {
		return
	}
	if len(members) > 0 && r.now-r.p.holdersStable >= holderStableTime {
		r.propose(Command{SetHolders: &SetHolders{}})
	}
}
