package control

import (
	"sort"
	"sync"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

// Route is the destination of a request: the target and its dispatcher. Slice
// and Fence are zero for services whose targets serve any key.
type Route struct {
	Slice    contract.Slice
	Fence    contract.Fence
	Target   Target
	Dispatch contract.Dispatch
}

// Contract is a dispatch contract with the target, service and slices that the
// dispatcher needs to fulfil it.
type Contract struct {
	Dispatch contract.Dispatch
	Target   Target
	Service  text.Service
	// Slices are the slices assigned to the target, in any phase.
	Slices []ContractSlice
}

// ContractSlice is a slice with its assignment.
type ContractSlice struct {
	Slice      contract.Slice
	Assignment contract.Assignment
}

// Table is an immutable view of the state for routing requests. It is safe for
// concurrent use. Callers must not modify what its methods return.
type Table struct {
	version      uint64
	configNumber uint64
	config       *configIndex
	vms          []VM
	targets      []Target
	// position maps the ID of a target to its index in targets.
	position map[string]int
	// dispatches holds the dispatch contract of each element of targets.
	dispatches []contract.Dispatch
	groups     map[groupKey][]ContractSlice
	// routes maps each service to the routes of its usable targets in ID order.
	routes  map[string][]Route
	holders []holderSet

	contractsOnce sync.Once
	contracts     map[string][]Contract
	assignments   []ContractSlice
}

// Version returns the index of the last command that changed the view.
func (t *Table) Version() uint64 { return t.version }

// ConfigNumber returns the number of the configuration text.
func (t *Table) ConfigNumber() uint64 { return t.configNumber }

// Text returns the configuration text, nil before the first change.
func (t *Table) Text() *text.Text { return t.config.text }

// Service returns the service with the name from the configuration text.
func (t *Table) Service(name string) (*text.Service, bool) {
	service, ok := t.config.services[name]
	return service, ok
}

// Tenant returns the tenant with the name from the configuration text, or the
// entry for tenants that are not listed.
func (t *Table) Tenant(name string) (*text.Tenant, bool) {
	if tenant, ok := t.config.tenants[name]; ok {
		return tenant, true
	}
	tenant, ok := t.config.tenants[text.AnyTenant]
	return tenant, ok
}

// DataCentreInService reports whether the data centre may receive work. It is false for
// a data centre that the configuration text does not list.
func (t *Table) DataCentreInService(name string) bool { return t.config.dataCentreIn[name] }

// RegionOf returns the region of a data centre, empty if it is not listed.
func (t *Table) RegionOf(dataCentre string) string { return t.config.regionOf[dataCentre] }

// Route returns the route to the owner of the hash. It fails with
// errkind.UnknownService for a service that is not listed or not exclusive, and
// with errkind.NoOwner while no target may serve the hash. An owner in state
// Leaving still serves a slice until that slice is draining.
func (t *Table) Route(service string, res contract.Residency, hash uint64) (Route, *errkind.Error) {
	group, ok := t.groups[groupKey{Service: service, Residency: res}]
	if !ok {
		return Route{}, t.noGroupError(service)
	}
	i := sort.Search(len(group), func(i int) bool { return group[i].Slice.Hi >= hash })
	entry := group[i]
	if entry.Assignment.Phase != contract.Owned {
		return Route{}, errkind.New(errkind.NoOwner, "slice %d is %s", entry.Slice.ID, entry.Assignment.Phase)
	}
	position, ok := t.position[entry.Assignment.Target]
	if !ok {
		return Route{}, errkind.New(errkind.NoOwner, "slice %d has an unknown owner", entry.Slice.ID)
	}
	target := t.targets[position]
	if !t.ownerUsable(target, entry) {
		return Route{}, errkind.New(errkind.NoOwner, "owner of slice %d is lost or its data centre may not receive work", entry.Slice.ID)
	}
	dispatch := t.dispatches[position]
	if dispatch.VM == "" {
		return Route{}, errkind.New(errkind.NoOwner, "owner of slice %d has no dispatcher", entry.Slice.ID)
	}
	return Route{Slice: entry.Slice, Fence: entry.Assignment.Fence, Target: target, Dispatch: dispatch}, nil
}

// noGroupError returns the error for a service without slices for the residency.
func (t *Table) noGroupError(service string) *errkind.Error {
	if s, ok := t.config.services[service]; !ok || s.Ownership != text.Exclusive {
		return errkind.New(errkind.UnknownService, "no exclusive service %q", service)
	}
	return errkind.New(errkind.NoOwner, "service %q has no slices for this residency", service)
}

// ownerUsable reports whether work of the slice may be sent to its owner: the
// owner is not lost, is still the incarnation that the slice was assigned to, and
// its data centre may receive work of the residency.
func (t *Table) ownerUsable(target Target, entry ContractSlice) bool {
	if target.Lost || target.Incarnation != entry.Assignment.Incarnation {
		return false
	}
	if !t.config.dataCentreIn[target.DataCentre] {
		return false
	}
	return entry.Slice.Residency.Allows(t.config.regionOf[target.DataCentre])
}

// Routes returns the routes of a service's usable targets for the residency.
func (t *Table) Routes(service string, res contract.Residency) []Route {
	all := t.routes[service]
	if res == "" {
		return all
	}
	var allowed []Route
	for _, route := range all {
		if res.Allows(t.config.regionOf[route.Target.DataCentre]) {
			allowed = append(allowed, route)
		}
	}
	return allowed
}

// HasUsableTarget reports whether at least one target of the service is usable for
// the residency.
func (t *Table) HasUsableTarget(service string, res contract.Residency) bool {
	for _, route := range t.routes[service] {
		if res.Allows(t.config.regionOf[route.Target.DataCentre]) {
			return true
		}
	}
	return false
}

// VM returns the registered VM with the name.
func (t *Table) VM(name string) (VM, bool) {
	i := sort.Search(len(t.vms), func(i int) bool { return t.vms[i].Name >= name })
	if i == len(t.vms) || t.vms[i].Name != name {
		return VM{}, false
	}
	return t.vms[i], true
}

// VMs returns the registered VMs in name order.
func (t *Table) VMs() []VM { return t.vms }

// Targets returns the registered targets in ID order.
func (t *Table) Targets() []Target { return t.targets }

// DispatchOf returns the dispatch contract of a target.
func (t *Table) DispatchOf(target string) (contract.Dispatch, bool) {
	i, ok := t.position[target]
	if !ok || t.dispatches[i].VM == "" {
		return contract.Dispatch{}, false
	}
	return t.dispatches[i], true
}

// HolderSets returns the sets of names of the VMs that may hold records of the
// residency, from the current set to the oldest.
func (t *Table) HolderSets(res contract.Residency) [][]string {
	var sets [][]string
	for i := len(t.holders) - 1; i >= 0; i-- {
		var names []string
		for _, member := range t.holders[i].Members {
			if res.Allows(t.config.regionOf[member.DataCentre]) {
				names = append(names, member.Name)
			}
		}
		if len(names) > 0 || len(sets) == 0 {
			sets = append(sets, names)
		}
	}
	return sets
}
