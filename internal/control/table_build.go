package control

import (
	"sort"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// Table returns the view of the state. It returns the same pointer until the
// state changes. Views share the groups that did not change between them.
func (s *State) Table() *Table {
	if s.table == nil {
		s.table = s.buildTable()
	}
	return s.table
}

func (s *State) buildTable() *Table {
	t := &Table{
		version:      s.version,
		configNumber: s.configNumber,
		config:       s.config,
		position:     make(map[string]int, len(s.targets)),
		groups:       make(map[groupKey][]ContractSlice, len(s.groups)),
		routes:       map[string][]Route{},
		holders:      s.holders[:len(s.holders):len(s.holders)],
	}
	for _, name := range sortedNames(s.vms) {
		t.vms = append(t.vms, s.vms[name])
	}
	for i, id := range sortedNames(s.targets) {
		t.position[id] = i
		t.targets = append(t.targets, s.targets[id])
		t.dispatches = append(t.dispatches, s.dispatches[id].Dispatch)
		t.addRoute(i)
	}
	for key, g := range s.groups {
		if g.view == nil {
			g.view = s.groupView(g)
		}
		t.groups[key] = g.view
	}
	return t
}

func (s *State) groupView(g *group) []ContractSlice {
	view := make([]ContractSlice, len(g.ids))
	for i, id := range g.ids {
		view[i] = *s.slices[id]
	}
	return view
}

// addRoute adds the route of the i-th target if the target is usable.
func (t *Table) addRoute(i int) {
	target, dispatch := t.targets[i], t.dispatches[i]
	if dispatch.VM == "" || !t.config.eligible(target, "") {
		return
	}
	t.routes[target.Service] = append(t.routes[target.Service], Route{Target: target, Dispatch: dispatch})
}

// Contracts returns the dispatch contracts of one incarnation of a VM in order of
// target ID.
func (t *Table) Contracts(vm string, incarnation uint64) []Contract {
	t.contractsOnce.Do(t.indexContracts)
	var own []Contract
	for _, c := range t.contracts[vm] {
		if c.Dispatch.VMIncarnation == incarnation {
			own = append(own, c)
		}
	}
	return own
}

// Assignments returns all slices with their assignments, sorted by service,
// residency and hash.
func (t *Table) Assignments() []ContractSlice {
	t.contractsOnce.Do(t.indexContracts)
	return t.assignments
}

// ownerIsCurrent reports whether the slice is assigned to the registered
// incarnation of its owner.
func (t *Table) ownerIsCurrent(a contract.Assignment) bool {
	i, ok := t.position[a.Target]
	return ok && a.Phase != contract.Unassigned && t.targets[i].Incarnation == a.Incarnation
}

// indexContracts fills contracts and assignments.
func (t *Table) indexContracts() {
	keys := make([]groupKey, 0, len(t.groups))
	for key := range t.groups {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	owned := map[string][]ContractSlice{}
	for _, key := range keys {
		for _, entry := range t.groups[key] {
			t.assignments = append(t.assignments, entry)
			if t.ownerIsCurrent(entry.Assignment) {
				owner := entry.Assignment.Target
				owned[owner] = append(owned[owner], entry)
			}
		}
	}
	t.contracts = map[string][]Contract{}
	for i, target := range t.targets {
		dispatch := t.dispatches[i]
		if dispatch.VM == "" {
			continue
		}
		c := Contract{Dispatch: dispatch, Target: target, Slices: owned[target.ID]}
		if service, ok := t.config.services[target.Service]; ok {
			c.Service = *service
		}
		t.contracts[dispatch.VM] = append(t.contracts[dispatch.VM], c)
	}
}
