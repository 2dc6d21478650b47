package consensus

// InitialLog is the log with which every first voter starts: one committed
// entry with the first membership. All of them must start with the same
// membership, which makes the entry part of every later log.
func InitialLog(m Membership) (HardState, []Entry, error) {
	if fault := m.checkShape(); fault != nil {
		return HardState{}, nil, fault
	}
	data, err := encodeMembership(m)
	if err != nil {
		return HardState{}, nil, err
	}
	return HardState{Term: 1, Commit: 1}, []Entry{{Index: 1, Term: 1, Type: EntryMembership, Data: data}}, nil
}

// InitialMembership returns the membership of an InitialLog, if the entries
// still begin with one.
func InitialMembership(entries []Entry) (Membership, bool) {
	if len(entries) == 0 || entries[0].Index != 1 || entries[0].Type != EntryMembership {
		return Membership{}, false
	}
	m, err := DecodeMembership(entries[0])
	return m, err == nil
}
