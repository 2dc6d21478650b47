package consensus

// InitialLog returns the hard state and the log with which every voter of a
// new cluster starts: one committed entry with the initial membership. All of
// these voters must use the same membership, so that every later log begins
// with the same entry.
func InitialLog(m Membership) (HardState, []Entry, error) {
	if fault := m.validate(); fault != nil {
		return HardState{}, nil, fault
	}
	data, err := encodeMembership(m)
	if err != nil {
		return HardState{}, nil, err
	}
	return HardState{Term: 1, Commit: 1}, []Entry{{Index: 1, Term: 1, Type: EntryMembership, Data: data}}, nil
}

// InitialMembership returns the membership that InitialLog put into the log. It
// returns false if the entries no longer begin with that entry.
func InitialMembership(entries []Entry) (Membership, bool) {
	if len(entries) == 0 || entries[0].Index != 1 || entries[0].Type != EntryMembership {
		return Membership{}, false
	}
	m, err := DecodeMembership(entries[0])
	return m, err == nil
}
