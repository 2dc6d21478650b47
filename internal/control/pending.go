package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// proposalTimeout is how long a proposed command counts as in flight. Until it
// expires or the command is applied, no other command for the same object is
// proposed.
const proposalTimeout = 500 * time.Millisecond

// objectKind is the kind of object that a command changes.
type objectKind uint8

const (
	kindOther objectKind = iota
	kindVM
	kindTarget
	kindDispatch
	kindSlice
	kindHolders
)

// pendingKey identifies an object that a command in flight changes.
type pendingKey struct {
	kind  objectKind
	name  string
	slice contract.SliceID
}

// pendingCommands are the commands in flight for one object.
type pendingCommands struct {
	until     time.Duration
	remaining int
	// assignedTo is the target that a slice is being assigned to.
	assignedTo string
}

func sliceKey(id contract.SliceID) pendingKey {
	return pendingKey{kind: kindSlice, slice: id}
}

// pendingKeyOf returns the object that a command changes.
func pendingKeyOf(c Command) pendingKey {
	switch {
	case c.RegisterVM != nil:
		return pendingKey{kind: kindVM, name: c.RegisterVM.Name}
	case c.RemoveVM != nil:
		return pendingKey{kind: kindVM, name: c.RemoveVM.Name}
	case c.RegisterTarget != nil:
		return pendingKey{kind: kindTarget, name: c.RegisterTarget.ID}
	case c.MarkTarget != nil:
		return pendingKey{kind: kindTarget, name: c.MarkTarget.ID}
	case c.RemoveTarget != nil:
		return pendingKey{kind: kindTarget, name: c.RemoveTarget.ID}
	case c.SetDispatch != nil:
		return pendingKey{kind: kindDispatch, name: c.SetDispatch.Dispatch.Target}
	case c.DropHolderSets != nil, c.SetHolders != nil:
		return pendingKey{kind: kindHolders}
	}
	return pendingSliceKey(c)
}

// pendingSliceKey returns the slice that a command changes.
func pendingSliceKey(c Command) pendingKey {
	switch {
	case c.Assign != nil:
		return sliceKey(c.Assign.Assignment.Slice)
	case c.Drain != nil:
		return sliceKey(c.Drain.Slice)
	case c.Unassign != nil:
		return sliceKey(c.Unassign.Slice)
	case c.Hold != nil:
		return sliceKey(c.Hold.Slice)
	case c.Split != nil:
		return sliceKey(c.Split.Slice)
	case c.Merge != nil:
		return sliceKey(c.Merge.Left)
	}
	return pendingKey{kind: kindOther}
}

// Applied tells the planner that a command was applied to the state.
func (p *Planner) Applied(_ *State, c Command) {
	p.applied(pendingKeyOf(c))
	if c.Merge != nil {
		p.applied(sliceKey(c.Merge.Right))
	}
}

// applied counts one command in flight for the object as applied.
func (p *Planner) applied(key pendingKey) {
	entry, ok := p.pending[key]
	if !ok {
		return
	}
	entry.remaining--
	if entry.remaining > 0 {
		p.pending[key] = entry
		return
	}
	delete(p.pending, key)
}

func (p *Planner) expirePending(now time.Duration) {
	for key, entry := range p.pending {
		if now >= entry.until {
			delete(p.pending, key)
		}
	}
}

func (p *Planner) inFlight(key pendingKey) bool {
	_, ok := p.pending[key]
	return ok
}

// propose adds commands that change one object to the round's output, unless a
// command for the object is in flight. It reports whether it added them.
func (r *planRound) propose(commands ...Command) bool {
	key := pendingKeyOf(commands[0])
	if r.p.inFlight(key) {
		return false
	}
	entry := pendingCommands{until: r.now + proposalTimeout, remaining: len(commands)}
	for _, c := range commands {
		if c.Assign != nil {
			entry.assignedTo = c.Assign.Assignment.Target
		}
	}
	r.p.pending[key] = entry
	r.out = append(r.out, commands...)
	return true
}
