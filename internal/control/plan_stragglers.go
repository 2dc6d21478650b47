package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

// stragglerInterval is the time between two looks at the targets' latencies.
const stragglerInterval = 250 * time.Millisecond

// stragglerWatches are the watches of the exclusive services whose text gives
// the tail a weight.
type stragglerWatches struct {
	next      time.Duration
	byService map[string]*stragglerWatch
}

// watchStragglers brings the watches up to date with the reports. A service
// without a weight for the tail has none, so nothing of it moves.
func (r *round) watchStragglers() {
	w := &r.p.stragglers
	if r.now < w.next {
		return
	}
	w.next = r.now + stragglerInterval
	watches := map[string]*stragglerWatch{}
	for _, service := range r.exclusive() {
		if service.Weights.Tail <= 0 {
			continue
		}
		watch := w.byService[service.Name]
		if watch == nil {
			watch = newStragglerWatch()
		}
		watch.update(r.now, r.latencies(service.Name))
		watches[service.Name] = watch
	}
	w.byService = watches
}

// latencies lists the latencies of a service's targets in ID order. Those of
// cold targets do not count: they are high until the keys are warm.
func (r *round) latencies(service string) []latencyReading {
	var readings []latencyReading
	for _, id := range r.model.targets {
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

// speed returns what is known of a target's latency over time.
func (r *round) speed(t Target) targetSpeed {
	if watch := r.p.stragglers.byService[t.Service]; watch != nil && watch.targets[t.ID] != nil {
		return *watch.targets[t.ID]
	}
	return targetSpeed{}
}

// probeStragglers moves one slice to each straggler that is due for a probe
// and owns none: without requests its latency cannot be measured.
func (r *round) probeStragglers(service text.Service, l *serviceLoad) {
	budget := r.budget(service.Name)
	for _, to := range l.candidates {
		if !to.probing || to.load > 0 || len(r.model.owned[to.target.ID]) > 0 || budget.available(r.now) < 1 {
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

// minProbeWeight is the weight of the lightest slice that serves as a probe; a
// slice that was split off for a hash that cooled down has too few requests.
const minProbeWeight = 0.5

// probeSlice returns the lightest slice for a probe, from the most loaded
// target that has one.
func (r *round) probeSlice(l *serviceLoad, to *candidate) *ContractSlice {
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

func (r *round) lightest(from, to *candidate) *ContractSlice {
	var best *ContractSlice
	for _, entry := range r.model.owned[from.target.ID] {
		if entry.Assignment.Phase != contract.Owned || r.p.inFlight(sliceKey(entry.Slice.ID)) {
			continue
		}
		w := r.weight(entry)
		if w < minProbeWeight || !r.allowed(to, entry) || (best != nil && w >= r.weight(best)) {
			continue
		}
		best = entry
	}
	return best
}
