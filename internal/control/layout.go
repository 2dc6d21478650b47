package control

import (
	"sort"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

// layout indexes a configuration text. It is immutable.
type layout struct {
	text           *text.Text
	regionOf       map[string]string
	in             map[string]bool
	services       map[string]*text.Service
	tenants        map[string]*text.Tenant
	retiredTargets map[string]bool
	retiredVMs     map[string]bool
	// residencies are the residencies of the tenants, sorted.
	residencies []contract.Residency
}

func newLayout(t *text.Text) *layout {
	l := &layout{
		text:           t,
		regionOf:       map[string]string{},
		in:             map[string]bool{},
		services:       map[string]*text.Service{},
		tenants:        map[string]*text.Tenant{},
		retiredTargets: map[string]bool{},
		retiredVMs:     map[string]bool{},
	}
	if t == nil {
		return l
	}
	for _, region := range t.Regions {
		for _, dc := range region.DataCentres {
			l.regionOf[dc.Name] = region.Name
			l.in[dc.Name] = dc.State != text.Out
		}
	}
	for i := range t.Services {
		l.services[t.Services[i].Name] = &t.Services[i]
	}
	for _, id := range t.RetiredTargets {
		l.retiredTargets[id] = true
	}
	for _, name := range t.RetiredVMs {
		l.retiredVMs[name] = true
	}
	l.indexTenants(t)
	return l
}

func (l *layout) indexTenants(t *text.Text) {
	seen := map[contract.Residency]bool{}
	for i := range t.Tenants {
		l.tenants[t.Tenants[i].Name] = &t.Tenants[i]
		res := contract.NewResidency(t.Tenants[i].HomeRegions)
		if !seen[res] {
			seen[res] = true
			l.residencies = append(l.residencies, res)
		}
	}
	sort.Slice(l.residencies, func(i, j int) bool { return l.residencies[i] < l.residencies[j] })
}

// wants reports whether the text calls for slices of the service and residency.
func (l *layout) wants(key groupKey) bool {
	service, ok := l.services[key.Service]
	if !ok || service.Ownership != text.Exclusive {
		return false
	}
	for _, res := range l.residencies {
		if res == key.Residency {
			return true
		}
	}
	return false
}

// accepts reports whether the target may be given new work of the residency,
// as far as the text and the target's own state say.
func (l *layout) accepts(t Target, res contract.Residency) bool {
	if t.Lost || t.State == Leaving || l.retiredTargets[t.ID] {
		return false
	}
	return l.in[t.DataCentre] && res.Allows(l.regionOf[t.DataCentre])
}
