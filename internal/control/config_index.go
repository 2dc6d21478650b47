package control

import (
	"sort"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

// configIndex is an index of a configuration text. It is immutable.
type configIndex struct {
	text *text.Text
	// regionOf maps data centres to regions.
	regionOf map[string]string
	// dataCentreIn is true for data centres that may receive work.
	dataCentreIn   map[string]bool
	services       map[string]*text.Service
	tenants        map[string]*text.Tenant
	retiredTargets map[string]bool
	retiredVMs     map[string]bool
	// residencies are the distinct residencies of the tenants, sorted.
	residencies []contract.Residency
}

func newConfigIndex(t *text.Text) *configIndex {
	x := &configIndex{
		text:           t,
		regionOf:       map[string]string{},
		dataCentreIn:   map[string]bool{},
		services:       map[string]*text.Service{},
		tenants:        map[string]*text.Tenant{},
		retiredTargets: map[string]bool{},
		retiredVMs:     map[string]bool{},
	}
	if t == nil {
		return x
	}
	for _, region := range t.Regions {
		for _, dc := range region.DataCentres {
			x.regionOf[dc.Name] = region.Name
			x.dataCentreIn[dc.Name] = dc.State != text.DataCentreOut
		}
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	for _, id := range t.RetiredTargets {
		x.retiredTargets[id] = true
	}
	for _, name := range t.RetiredVMs {
		x.retiredVMs[name] = true
	}
	x.indexTenants(t)
	return x
}

func (x *configIndex) indexTenants(t *text.Text) {
	seen := map[contract.Residency]bool{}
	for i := range t.Tenants {
		x.tenants[t.Tenants[i].Name] = &t.Tenants[i]
		res := contract.NewResidency(t.Tenants[i].HomeRegions)
		if !seen[res] {
			seen[res] = true
			x.residencies = append(x.residencies, res)
		}
	}
	sort.Slice(x.residencies, func(i, j int) bool { return x.residencies[i] < x.residencies[j] })
}

// requires reports whether the configuration text requires slices of the service
// and residency.
func (x *configIndex) requires(key groupKey) bool {
	service, ok := x.services[key.Service]
	if !ok || service.Ownership != text.Exclusive {
		return false
	}
	for _, res := range x.residencies {
		if res == key.Residency {
			return true
		}
	}
	return false
}

// eligible reports whether the configuration text and the target's own state
// allow new work of the residency to be given to the target.
func (x *configIndex) eligible(t Target, res contract.Residency) bool {
	if t.Lost || t.State == Leaving || x.retiredTargets[t.ID] {
		return false
	}
	return x.dataCentreIn[t.DataCentre] && res.Allows(x.regionOf[t.DataCentre])
}
