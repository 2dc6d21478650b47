package control

import "github.com/flamingoreel/flamingoreel/internal/errkind"

// Apply applies the log entry at the index. The result is a *ChangeResult for
// ChangeConfig and nil otherwise. An entry at or below the current version has
// already been applied and is skipped. A command whose preconditions do not
// hold changes nothing and is not an error. An entry that cannot be decoded,
// or a configuration text that does not parse, changes nothing and returns an
// error. Every replica gets the same result for the same entries.
func (s *State) Apply(index uint64, data []byte) (any, error) {
	if index <= s.version {
		return nil, nil
	}
	s.version = index
	c, err := Decode(data)
	if err != nil {
		return nil, err
	}
	if c.ChangeConfig != nil {
		return s.changeConfig(*c.ChangeConfig)
	}
	if s.applyChange(c) {
		s.markChanged()
	}
	return nil, nil
}

// applyChange applies a command other than ChangeConfig and reports whether it
// changed anything.
func (s *State) applyChange(c Command) bool {
	switch {
	case c.RegisterVM != nil:
		return s.registerVM(*c.RegisterVM)
	case c.RemoveVM != nil:
		return s.removeVM(*c.RemoveVM)
	case c.RegisterTarget != nil:
		return s.registerTarget(*c.RegisterTarget)
	case c.MarkTarget != nil:
		return s.markTarget(*c.MarkTarget)
	case c.RemoveTarget != nil:
		return s.removeTarget(*c.RemoveTarget)
	case c.SetDispatch != nil:
		return s.setDispatch(c.SetDispatch.Dispatch)
	case c.SetHolders != nil:
		return s.setHolders()
	case c.DropHolderSets != nil:
		return s.forgetHolders(*c.DropHolderSets)
	}
	return s.applySliceChange(c)
}

func (s *State) applySliceChange(c Command) bool {
	switch {
	case c.Assign != nil:
		return s.assign(*c.Assign)
	case c.Drain != nil:
		return s.drain(*c.Drain)
	case c.Unassign != nil:
		return s.unassign(*c.Unassign)
	case c.Hold != nil:
		return s.hold(*c.Hold)
	case c.Split != nil:
		return s.split(*c.Split)
	case c.Merge != nil:
		return s.merge(*c.Merge)
	case c.AddResidency != nil:
		return s.addResidency(*c.AddResidency)
	}
	return false
}

// invalidTextError returns the error for a configuration text that does not
// parse.
func invalidTextError(message string) error {
	return errkind.New(errkind.InvalidText, "%s", message)
}
