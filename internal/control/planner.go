package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// Planner decides, on the control leader, which commands to propose. It is
// pure: time and observations are arguments. It is not safe for concurrent
// use. A planner serves one term of leadership.
//
// The caller appends the commands of one Plan to the log in their order and
// calls Plan only after the leader committed an entry of its own term.
type Planner struct {
	leader    string
	policy    LossPolicy
	elected   bool
	electedAt time.Duration

	vms       map[string]*vmObservation
	vmNames   []string
	reports   map[string]reportObservation
	announced map[string]announcement
	// announcedIDs are the sorted keys of announced.
	announcedIDs []string
	// changed are targets whose announcement or reported state changed;
	// checkedRevision is the state's revision at the last look at all.
	changed         map[string]bool
	checkedRevision uint64
	// suspects are the targets whose last report was not a good one.
	suspects map[string]bool
	probed   map[string]map[string]probeObservation
	hot      map[hotKey]hotObservation
	// hotBySlice is the weight that hot hashes add to slices.
	hotBySlice map[contract.SliceID]float64

	pending map[pendingKey]pendingCommands
	budgets map[string]*moveBudget
	// settled caches per target when earlier dispatchers had stopped.
	settled map[string]settledDispatch
	// orders are the targets that each VM is asked to probe.
	orders map[string][]string
	// cuts are the hashes for which slices are being split.
	cuts map[hotKey]cut
	// joins are the neighbours that drained slices will be merged with.
	joins map[contract.SliceID]contract.SliceID
	// preferred is the target that a drained slice is meant for.
	preferred map[contract.SliceID]string

	knownSince   map[string]knownIncarnation
	idleSince    map[string]time.Duration
	holdersSince map[uint64]time.Duration
	// holderMembers have been the same since holdersStable.
	holderMembers []holder
	holdersStable time.Duration
	placeSince    map[string]time.Duration
	blockedSince  map[groupPlace]time.Duration
	avoided       map[avoidance]time.Duration
	dispatch      dispatchScan
	nextPlan      time.Duration
	nextBalance   time.Duration
	nextCleanup   time.Duration

	stragglers stragglerWatches

	model *model
}

// NewPlanner returns the planner of the named leader with the default policy
// for lost targets.
func NewPlanner(leader string) *Planner {
	return &Planner{
		leader:       leader,
		policy:       DefaultLossPolicy(),
		vms:          map[string]*vmObservation{},
		reports:      map[string]reportObservation{},
		announced:    map[string]announcement{},
		changed:      map[string]bool{},
		suspects:     map[string]bool{},
		probed:       map[string]map[string]probeObservation{},
		hot:          map[hotKey]hotObservation{},
		pending:      map[pendingKey]pendingCommands{},
		budgets:      map[string]*moveBudget{},
		settled:      map[string]settledDispatch{},
		orders:       map[string][]string{},
		preferred:    map[contract.SliceID]string{},
		cuts:         map[hotKey]cut{},
		joins:        map[contract.SliceID]contract.SliceID{},
		knownSince:   map[string]knownIncarnation{},
		idleSince:    map[string]time.Duration{},
		holdersSince: map[uint64]time.Duration{},
		placeSince:   map[string]time.Duration{},
		blockedSince: map[groupPlace]time.Duration{},
		avoided:      map[avoidance]time.Duration{},
	}
}

// SetLossPolicy replaces the policy for lost targets.
func (p *Planner) SetLossPolicy(policy LossPolicy) { p.policy = policy }

// planInterval is the shortest time between two rounds of planning; calls in
// between return nothing. It bounds the cost when a leader plans after each
// heartbeat of many VMs.
const planInterval = 10 * time.Millisecond

// Elected starts the term. Contracts that other VMs may still use under leases
// of the former leader stay untouched for contract.ElectedWait.
func (p *Planner) Elected(now time.Duration) {
	p.elected = true
	p.electedAt = now
	p.nextBalance = now + contract.ElectedWait
}

// Plan returns the commands to propose now, in the order in which they must
// enter the log. It returns nothing before Elected.
func (p *Planner) Plan(now time.Duration, s *State) []Command {
	if !p.elected || now < p.nextPlan {
		return nil
	}
	p.nextPlan = now + planInterval
	p.expirePending(now)
	r := &round{p: p, s: s, now: now, model: p.modelOf(s), eligible: map[string][]string{}, loads: map[string]*serviceLoad{}}
	r.registerVMs()
	if s.configNumber > 0 {
		r.registerTargets()
		r.setDispatches()
		r.orderProbes()
		r.watchStragglers()
		r.handleReports()
		r.drainSlices()
		r.finishDrains()
		r.assignSlices()
		r.balance()
		r.cleanUp()
	}
	return r.out
}

// round is one call of Plan.
type round struct {
	p     *Planner
	s     *State
	now   time.Duration
	model *model
	out   []Command
	// eligible lists per region the VMs that may be given contracts.
	eligible map[string][]string
	// loads are built on first use.
	loads map[string]*serviceLoad
}

// model indexes the slices of one revision of the state.
type model struct {
	state    *State
	revision uint64
	// keys are the groups in order.
	keys []groupKey
	// owned lists the slices of each target in any phase.
	owned      map[string][]*ContractSlice
	unassigned []*ContractSlice
	// ending lists draining and held slices.
	ending []*ContractSlice
	// leaving lists owned slices that their owners may not keep.
	leaving []*ContractSlice
	// targets lists the registered targets in ID order, lost the lost ones.
	targets []string
	lost    []string
}

func (p *Planner) modelOf(s *State) *model {
	if p.model != nil && p.model.state == s && p.model.revision == s.revision {
		return p.model
	}
	m := &model{state: s, revision: s.revision, keys: s.groupKeys(), owned: map[string][]*ContractSlice{}}
	m.targets = sortedNames(s.targets)
	for _, key := range m.keys {
		for _, id := range s.groups[key].ids {
			m.add(s.slices[id])
		}
	}
	for _, id := range m.targets {
		m.addLeaving(s, s.targets[id])
	}
	p.model = m
	return m
}

func (m *model) add(entry *ContractSlice) {
	switch entry.Assignment.Phase {
	case contract.Unassigned:
		m.unassigned = append(m.unassigned, entry)
		return
	case contract.Draining, contract.Held:
		m.ending = append(m.ending, entry)
	}
	owner := entry.Assignment.Target
	m.owned[owner] = append(m.owned[owner], entry)
}

func (m *model) addLeaving(s *State, t Target) {
	if t.Lost {
		m.lost = append(m.lost, t.ID)
	}
	for _, entry := range m.owned[t.ID] {
		if entry.Assignment.Phase == contract.Owned && s.mustLeave(t, entry.Slice) {
			m.leaving = append(m.leaving, entry)
		}
	}
}

// keyOf returns the group of a slice.
func keyOf(slice contract.Slice) groupKey {
	return groupKey{Service: slice.Service, Residency: slice.Residency}
}

// sortedVMs returns the names of the observed VMs, sorted.
func (p *Planner) sortedVMs() []string {
	if len(p.vmNames) != len(p.vms) {
		p.vmNames = sortedNames(p.vms)
	}
	return p.vmNames
}
