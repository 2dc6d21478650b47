package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/configtext"
	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// stragglerInterval is the time between two evaluations of the targets'
// latencies.
const stragglerInterval = 250 * time.Millisecond

// stragglerDetectors holds the detectors of the exclusive services with a weight
// for tail latency in the configuration text.
type stragglerDetectors struct {
	next      time.Duration
	byService map[string]*stragglerDetector
}

// updateStragglers updates the detectors from the reports. A service without a
// weight for tail latency has no detector, so none of its slices move because of
// a slow target.
func (r *planRound) updateStragglers() {
	w := &r.p.stragglers
	if r.now < w.next {
		return
	}
	w.next = r.now + stragglerInterval
	detectors := map[string]*stragglerDetector{}
	for _, service := range r.exclusiveServices() {
		if service.Weights.Tail <= 0 {
			continue
		}
		detector := w.byService[service.Name]
		if detector == nil {
			detector = newStragglerDetector()
		}
		detector.update(r.now, r.latencies(service.Name))
		detectors[service.Name] = detector
	}
	w.byService = detectors
}

// latencies returns the latencies of a service's targets in ID order. The reading
// of a cold target has no completions: its latency is high until the keys are
// warm.
func (r *planRound) latencies(service string) []latencyReading {
	var readings []latencyReading
	for _, id := range r.index.targets {
		t := r.s.targets[id]
		observed, ok := r.report(id)
		if t.Service != service || !ok {
			continue
		}
		reading := latencyReading{target: id, incarnation: t.Incarnation}
		if t.State != Cold && observed.report.State != Cold {
			reading.micros, reading.count = float64(observed.report.LatencyMicros), observed.report.LatencyCount
		}
		readings = append(readings, reading)
	}
	return readings
}

// latencyStateOf returns the detector's state of a target, or the zero state if
// there is none.
func (r *planRound) latencyStateOf(t Target) latencyState {
	if detector := r.p.stragglers.byService[t.Service]; detector != nil && detector.targets[t.ID] != nil {
		return *detector.targets[t.ID]
	}
	return latencyState{}
}

// probeStragglers moves one slice to each straggler that is due for a probe
// and owns none: without requests its latency cannot be measured.
func (r *planRound) probeStragglers(service configtext.Service, l *serviceLoad) {
	budget := r.budget(service.Name)
	for _, to := range l.candidates {
		if !to.probing || to.load > 0 || len(r.index.owned[to.target.ID]) > 0 || budget.available(r.now) < 1 {
			continue
		}
		entry := r.probeSlice(l, to)
		if entry == nil || !r.propose(Command{Drain: changeOf(entry)}) {
			continue
		}
		budget.take()
		r.p.preferred[entry.Slice.ID] = to.target.ID
		weight := r.weight(entry)
		to.load += weight
		l.byID[entry.Assignment.Target].load -= weight
	}
}

// minProbeWeight is the minimum weight of a slice that serves as a probe. A
// slice that was split off for a hash that is no longer hot gets too few
// requests.
const minProbeWeight = 0.5

// probeSlice returns the lightest slice that may serve as a probe of the target
// to, from the most loaded target that has one; nil if there is none.
func (r *planRound) probeSlice(l *serviceLoad, to *candidate) *ContractSlice {
	var best *ContractSlice
	var bestFrom *candidate
	for _, from := range l.candidates {
		if from.straggler || (bestFrom != nil && from.load <= bestFrom.load) {
			continue
		}
		if entry := r.lightest(from, to); entry != nil {
			best, bestFrom = entry, from
		}
	}
	return best
}

// lightest returns the lightest slice of from that may serve as a probe of to;
// nil if there is none.
func (r *planRound) lightest(from, to *candidate) *ContractSlice {
	var best *ContractSlice
	for _, entry := range r.index.owned[from.target.ID] {
		if entry.Assignment.Phase != contract.Owned || r.p.inFlight(sliceKey(entry.Slice.ID)) {
			continue
		}
		w := r.weight(entry)
		if w < minProbeWeight || !r.mayTake(to, entry) || (best != nil && w >= r.weight(best)) {
			continue
		}
		best = entry
	}
	return best
}
