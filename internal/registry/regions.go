package registry

import (
	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// maxRegionMoves limits the rows of a service that move at the same time because their
// holders are in a region that its routes don't allow. Requests for a moving key wait, so a
// change of routes must not move all keys at once; a thousand rows take about a minute.
const maxRegionMoves = 32

// inRegion reports whether the region of a target is allowed. Without known regions, all are.
func (r *Registry) inRegion(t fleet.Target, allowed func(region string) bool) bool {
	return r.deployment.Regions == nil || allowed(r.deployment.Regions[t.DataCentre])
}

// misplaced returns a function that reports whether a row is to move now because its holder
// is in a region that fewer routes to the service allow than other regions. Rows move only
// if there is a usable target in a better region, and a few at a time.
func (r *Registry) misplaced(s *fleet.State, a *assignment) func(holder fleet.Target) bool {
	regions := s.Items().RegionsOf(a.shard.Service)
	better := false
	for in := range a.keys {
		t, _ := s.Target(in.ID)
		better = better || r.inRegion(t, regions.Best)
	}
	left := maxRegionMoves - unsettledRows(a.shard)
	return func(holder fleet.Target) bool {
		if !better || left <= 0 || r.inRegion(holder, regions.Best) {
			return false
		}
		left--
		return true
	}
}
