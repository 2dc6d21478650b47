package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Limits of the targets that left without notice.
const (
	// MaxKnownTargets is the number of targets that have not left or ended above which
	// the silent ones among them count as ended. It is half of the targets that the state
	// keeps, and above those of any deployment. Below it a silent target is kept: entries
	// may still reach it.
	MaxKnownTargets = 1024
	// goneAfter is the time without a heartbeat after which a target may count as ended
	// for this reason. Control VMs forward a heartbeat of each target more often.
	goneAfter = 10 * time.Minute
	// maxEndedAtOnce limits the targets that one command ends.
	maxEndedAtOnce = 64
)

// EndSilentTargets returns the command that records targets as ended that have sent no
// heartbeat for goneAfter, and whether one is due: the longest silent first, as long as
// there are more than MaxKnownTargets. Targets that hold keys are left to the plans. A
// target that runs all the same is revived by its heartbeats.
func (r *Registry) EndSilentTargets(now time.Duration, s *fleet.State) (fleet.Command, bool) {
	return r.endSilentTargets(now, s, MaxKnownTargets)
}

func (r *Registry) endSilentTargets(now time.Duration, s *fleet.State, limit int) (fleet.Command, bool) {
	if s.TargetCount() <= limit {
		return fleet.Command{}, false
	}
	present := 0
	var silent []fleet.Target
	for _, t := range s.Targets() {
		if t.Condition >= fleet.Leaving {
			continue
		}
		present++
		if now-r.heardFrom(t.Incarnation) >= goneAfter && !holdsKeys(s, t) {
			silent = append(silent, t)
		}
	}
	slices.SortStableFunc(silent, func(a, b fleet.Target) int {
		return cmp.Compare(r.heardFrom(a.Incarnation), r.heardFrom(b.Incarnation))
	})
	silent = silent[:min(len(silent), max(present-limit, 0), maxEndedAtOnce)]
	for i := range silent {
		silent[i].Condition, silent[i].ColdFor = fleet.Ended, 0
		delete(r.liveness, silent[i].Incarnation)
	}
	return fleet.Command{Targets: silent}, len(silent) > 0
}

// heardFrom returns the time of the last heartbeat of an incarnation in this term, or that
// of the election.
func (r *Registry) heardFrom(in fleet.Incarnation) time.Duration {
	if l := r.liveness[in]; l != nil {
		return l.lastHeartbeat
	}
	return r.electedAt
}
