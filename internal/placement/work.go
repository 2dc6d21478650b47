package placement

import (
	"math"
	"time"
)

// ageGrace is the time after the last evidence from which an estimate ages. Targets in
// use respond more often, so their estimates do not age.
const ageGrace = 2 * time.Second

// aged returns the remembered value after it decayed towards calm with the trust.
func aged(value, calm, trust float64) float64 { return calm + trust*(value-calm) }

// Parameters of the estimate of a route's service time.
const (
	// objectivePerWork is the usual ratio of a route's latency objective to the service
	// time of a request. It gives the estimate before the first response.
	objectivePerWork = 2.7
	// workWeight is the weight of a new observation.
	workWeight = 0.05
	// maxWorkRatio bounds the ratio of an observation to the estimate in both
	// directions. A delay of one target or of the entry's own link says little about
	// the service time of the route.
	maxWorkRatio = 3
	// usualWorkHalfLife is the half-life with which the usual service time follows a
	// rise, and maxUsualWork the multiple of it that the estimate does not exceed. The
	// mix of requests changes within minutes, disturbances last some seconds.
	usualWorkHalfLife = 30 * time.Second
	maxUsualWork      = 2
	// maxWorkGap bounds the time between two observations that counts.
	maxWorkGap = 5 * time.Second
	// workAgeHalfLife is the half-life of the estimate without observations.
	workAgeHalfLife = 10 * time.Second
)

// InitialWork returns the estimated service time of a route of which no response is
// known. A route may have a latency objective above its timeout; its requests are still
// expected to be served before the timeout.
func InitialWork(objective, timeout time.Duration) time.Duration {
	return time.Duration(float64(min(objective, timeout)) / objectivePerWork)
}

// WorkEstimate is the estimate of the service time of a route's requests on an average
// target without load. The zero value has no observations.
type WorkEstimate struct {
	// recent is the moving average, usual its lowest recent value; 0 if unknown.
	recent, usual float64
	// observedAt is the time of the last observation.
	observedAt time.Duration
}

// Known reports whether there is an observation.
func (w *WorkEstimate) Known() bool { return w != nil && w.recent > 0 }

// weight returns the weight of the estimate by its age.
func (w *WorkEstimate) weight(now time.Duration) float64 {
	return math.Exp2(-float64(max(0, now-w.observedAt-ageGrace)) / float64(workAgeHalfLife))
}

// Value returns the estimated service time. As the last observation ages, it decays
// towards the usual service time, and that to initial if it is longer.
func (w *WorkEstimate) Value(now, initial time.Duration) time.Duration {
	if !w.Known() {
		return initial
	}
	weight := w.weight(now)
	usual := w.usual
	if usual > float64(initial) {
		usual = aged(usual, float64(initial), weight)
	}
	return max(1, time.Duration(aged(w.recent, usual, weight)))
}

// Least returns the lowest plausible service time: 0 if it is unknown. It decays without
// observations, so that a wrong estimate does not prevent them forever.
func (w *WorkEstimate) Least(now time.Duration) time.Duration {
	if !w.Known() {
		return 0
	}
	return time.Duration(w.usual * w.weight(now))
}

// Add adds an observation.
func (w *WorkEstimate) Add(now, initial, observed time.Duration) {
	known := float64(w.Value(now, initial))
	if !w.Known() {
		w.usual, w.observedAt = known, now
	}
	ratio := math.Min(math.Max(float64(observed)/known, 1.0/maxWorkRatio), maxWorkRatio)
	gap := min(max(0, now-w.observedAt), maxWorkGap)
	w.usual += (1 - math.Exp2(-float64(gap)/float64(usualWorkHalfLife))) * math.Max(0, known-w.usual)
	w.recent = math.Min(known*(1+workWeight*(ratio-1)), maxUsualWork*w.usual)
	w.usual, w.observedAt = math.Min(w.usual, w.recent), now
}
