package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// proposalTimeout is how long a proposed command may be in flight. The same
// object is not changed again before it ends or the command is applied.
const proposalTimeout = 500 * time.Millisecond

// subject is the kind of object that a command changes.
type subject uint8

const (
	subjectOther subject = iota
	subjectVM
	subjectTarget
	subjectDispatch
	subjectSlice
	subjectHolders
)

// pendingKey names an object that a command in flight changes.
type pendingKey struct {
	subject subject
	name    string
	slice   contract.SliceID
}

// pendingCommands are the commands in flight for one object.
type pendingCommands struct {
	until     time.Duration
	remaining int
	// to is the target that a slice is being assigned to.
	to string
}

func sliceKey(id contract.SliceID) pendingKey {
	return pendingKey{subject: subjectSlice, slice: id}
}

// pendingKeyOf returns the object that a command changes.
func pendingKeyOf(c Command) pendingKey {
	switch {
	case c.RegisterVM != nil:
		return pendingKey{subject: subjectVM, name: c.RegisterVM.Name}
	case c.RemoveVM != nil:
		return pendingKey{subject: subjectVM, name: c.RemoveVM.Name}
	case c.RegisterTarget != nil:
		return pendingKey{subject: subjectTarget, name: c.RegisterTarget.ID}
	case c.MarkTarget != nil:
		return pendingKey{subject: subjectTarget, name: c.MarkTarget.ID}
	case c.RemoveTarget != nil:
		return pendingKey{subject: subjectTarget, name: c.RemoveTarget.ID}
	case c.SetDispatch != nil:
		return pendingKey{subject: subjectDispatch, name: c.SetDispatch.Dispatch.Target}
	case c.ForgetHolders != nil, c.SetHolders != nil:
		return pendingKey{subject: subjectHolders}
	}
	return pendingSliceKey(c)
}

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
	return pendingKey{subject: subjectOther}
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

// propose adds commands that change one object, unless a command for it is in
// flight. It reports whether the commands were added.
func (r *round) propose(commands ...Command) bool {
	key := pendingKeyOf(commands[0])
	if r.p.inFlight(key) {
		return false
	}
	entry := pendingCommands{until: r.now + proposalTimeout, remaining: len(commands)}
	for _, c := range commands {
		if c.Assign != nil {
			entry.to = c.Assign.Assignment.Target
		}
	}
	r.p.pending[key] = entry
	r.out = append(r.out, commands...)
	return true
}
