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
// calls Plan only after the leader has committed an entry of its own term.
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
	// changed are the targets whose announcement or reported state changed.
	// checkedRevision is the state's revision when all announcements were last
	// compared with it.
	changed         map[string]bool
	checkedRevision uint64
	// suspects are the targets whose last report says that they are
	// unreachable or that their grant expired.
	suspects     map[string]bool
	probeResults map[string]map[string]probeObservation
	hot          map[hotKey]hotObservation
	// hotBySlice holds the weights that hot hashes add to slices.
	hotBySlice map[contract.SliceID]float64

	pending map[pendingKey]pendingCommands
	budgets map[string]*moveBudget
	// soleSince caches the results of soleDispatcherSince per target.
	soleSince map[string]soleDispatch
	// probeRequests lists the targets that each VM is requested to probe.
	probeRequests map[string][]string
	// splits holds the splits in progress by the hash that they isolate.
	splits map[hotKey]pendingSplit
	// merges maps draining slices to the adjacent slices that they will be
	// merged with.
	merges map[contract.SliceID]contract.SliceID
	// preferred maps drained slices to the targets that they are moving to.
	preferred map[contract.SliceID]string

	knownSince   map[string]knownIncarnation
	unusedSince  map[string]time.Duration
	holdersSince map[uint64]time.Duration
	// holderMembers has not changed since holdersStable.
	holderMembers  []holder
	holdersStable  time.Duration
	placementSince map[string]time.Duration
	blockedSince   map[serviceDataCentre]time.Duration
	avoided        map[avoidance]time.Duration
	dispatch       dispatchScan
	nextPlan       time.Duration
	nextBalance    time.Duration
	nextCleanup    time.Duration

	stragglers stragglerDetectors

	index *stateIndex
}

// NewPlanner returns a planner for the named leader with the default policy for
// lost targets.
func NewPlanner(leader string) *Planner {
	return &Planner{
		leader:         leader,
		policy:         DefaultLossPolicy(),
		vms:            map[string]*vmObservation{},
		reports:        map[string]reportObservation{},
		announced:      map[string]announcement{},
		changed:        map[string]bool{},
		suspects:       map[string]bool{},
		probeResults:   map[string]map[string]probeObservation{},
		hot:            map[hotKey]hotObservation{},
		pending:        map[pendingKey]pendingCommands{},
		budgets:        map[string]*moveBudget{},
		soleSince:      map[string]soleDispatch{},
		probeRequests:  map[string][]string{},
		preferred:      map[contract.SliceID]string{},
		splits:         map[hotKey]pendingSplit{},
		merges:         map[contract.SliceID]contract.SliceID{},
		knownSince:     map[string]knownIncarnation{},
		unusedSince:    map[string]time.Duration{},
		holdersSince:   map[uint64]time.Duration{},
		placementSince: map[string]time.Duration{},
		blockedSince:   map[serviceDataCentre]time.Duration{},
		avoided:        map[avoidance]time.Duration{},
	}
}

// SetLossPolicy replaces the policy for lost targets.
func (p *Planner) SetLossPolicy(policy LossPolicy) { p.policy = policy }

// planInterval is the minimum time between two planning rounds; calls of Plan
// in between return nothing. It bounds the cost when a leader plans after each
// heartbeat of many VMs.
const planInterval = 10 * time.Millisecond

// StartTerm starts the term. For contract.NewLeaderWait, contracts that other VMs
// may still use under leases from the previous leader are not changed.
func (p *Planner) StartTerm(now time.Duration) {
	p.elected = true
	p.electedAt = now
	p.nextBalance = now + contract.NewLeaderWait
}

// Plan returns the commands to propose now, in the order in which they must
// enter the log. It returns nothing before StartTerm.
func (p *Planner) Plan(now time.Duration, s *State) []Command {
	if !p.elected || now < p.nextPlan {
		return nil
	}
	p.nextPlan = now + planInterval
	p.expirePending(now)
	r := &planRound{p: p, s: s, now: now, index: p.indexOf(s), eligible: map[string][]string{}, loads: map[string]*serviceLoad{}}
	r.registerVMs()
	if s.configNumber > 0 {
		r.registerTargets()
		r.setDispatches()
		r.requestProbes()
		r.updateStragglers()
		r.handleReports()
		r.drainSlices()
		r.finishDrains()
		r.assignSlices()
		r.balance()
		r.cleanUp()
	}
	return r.out
}

// planRound is the state of one call of Plan.
type planRound struct {
	p     *Planner
	s     *State
	now   time.Duration
	index *stateIndex
	out   []Command
	// eligible lists the VMs of each region that may be given contracts.
	eligible map[string][]string
	// loads holds the load of each service, computed on first use.
	loads map[string]*serviceLoad
}

// stateIndex indexes the slices of one revision of the state.
type stateIndex struct {
	state    *State
	revision uint64
	// keys are the sorted keys of the groups.
	keys []groupKey
	// owned lists the slices of each target in any phase.
	owned      map[string][]*ContractSlice
	unassigned []*ContractSlice
	// ending lists the draining and held slices.
	ending []*ContractSlice
	// toDrain lists the owned slices that their owners may not keep.
	toDrain []*ContractSlice
	// targets lists the registered targets in ID order, lost those that are
	// marked as lost.
	targets []string
	lost    []string
}

// indexOf returns the index of the state's current revision.
func (p *Planner) indexOf(s *State) *stateIndex {
	if p.index != nil && p.index.state == s && p.index.revision == s.revision {
		return p.index
	}
	idx := &stateIndex{state: s, revision: s.revision, keys: s.groupKeys(), owned: map[string][]*ContractSlice{}}
	idx.targets = sortedNames(s.targets)
	for _, key := range idx.keys {
		for _, id := range s.groups[key].ids {
			idx.addSlice(s.slices[id])
		}
	}
	for _, id := range idx.targets {
		idx.addTarget(s, s.targets[id])
	}
	p.index = idx
	return idx
}

func (idx *stateIndex) addSlice(entry *ContractSlice) {
	switch entry.Assignment.Phase {
	case contract.Unassigned:
		idx.unassigned = append(idx.unassigned, entry)
		return
	case contract.Draining, contract.Held:
		idx.ending = append(idx.ending, entry)
	}
	owner := entry.Assignment.Target
	idx.owned[owner] = append(idx.owned[owner], entry)
}

func (idx *stateIndex) addTarget(s *State, t Target) {
	if t.Lost {
		idx.lost = append(idx.lost, t.ID)
	}
	for _, entry := range idx.owned[t.ID] {
		if entry.Assignment.Phase == contract.Owned && s.mustDrain(t, entry.Slice) {
			idx.toDrain = append(idx.toDrain, entry)
		}
	}
}

// groupKeyOf returns the key of a slice's group.
func groupKeyOf(slice contract.Slice) groupKey {
	return groupKey{Service: slice.Service, Residency: slice.Residency}
}

// sortedVMs returns the names of the observed VMs, sorted.
func (p *Planner) sortedVMs() []string {
	if len(p.vmNames) != len(p.vms) {
		p.vmNames = sortedNames(p.vms)
	}
	return p.vmNames
}
