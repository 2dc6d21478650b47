package experiment

import (
	"math"

	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// Parameters of a proportionalShedder.
const (
	proportionalWeight    = 0.2
	proportionalThreshold = 0.6
	proportionalMargin    = 0.5
	proportionalGain      = 0.4
	proportionalAdmitted  = 0.3
)

// proportionalShedder is the load shedding that placement.LoadShedder replaced: it
// refuses a fraction of requests that is proportional to the queue length above a
// threshold.
type proportionalShedder struct{ waiting float64 }

func (p *proportionalShedder) addReport(l placement.Load) {
	if l.Slots > 0 {
		p.waiting += proportionalWeight * (float64(l.Waiting)/float64(l.Slots) - p.waiting)
	}
}

func (p *proportionalShedder) admit(urgent bool, draw float64) bool {
	threshold := proportionalThreshold
	if urgent {
		threshold += proportionalMargin
	}
	return draw < math.Max(proportionalAdmitted, 1-proportionalGain*(p.waiting-threshold))
}

// ProportionalShedding is the product's policy with the load shedding that it
// replaced.
func ProportionalShedding(s *PolicyInput) int {
	i := product(s, options{pauses: s.entry.availability, limits: true})
	if i < 0 || s.Refused {
		return i
	}
	budget := s.Class.LatencyObjective - s.Waited
	for j, index := range s.TargetIndexes {
		if index != s.TargetIndexes[i] {
			continue
		}
		expected := s.Candidates[j].Stats.ExpectedLatency(s.Now, s.Candidates[j].Slots, s.Class.ServiceTime)
		if placement.WithinBudget(expected, budget) || s.entry.proportional.admit(s.Class.Urgent, s.entry.rng.Float64()) {
			return i
		}
	}
	return -1
}
