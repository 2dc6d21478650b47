package control

import (
	"sort"
	"time"
)

// Parameters of straggler detection.
const (
	// stragglerFactor is the multiple of the service's median latency above
	// which a target's latency counts as high.
	stragglerFactor = 3.0
	// returnFactor is the multiple of the median up to which a straggler's
	// latency counts as normal. It is lower than stragglerFactor so that a
	// target near the limit does not change state with each report.
	returnFactor = 1.5
	// stragglerAfter is how long a latency stays high before the target
	// counts as a straggler.
	stragglerAfter = time.Second
	// returnAfter is how long a straggler's latency stays normal before it
	// gets its share of slices back.
	returnAfter = 3 * time.Second
	// minCompletions is the number of recent completions from which a latency
	// can make a target a straggler.
	minCompletions = 8
	// minProbeCompletions is the number of recent completions from which a
	// straggler's latency counts. It is lower than minCompletions because a
	// straggler has few slices or only one.
	minProbeCompletions = 3
	// maxStragglerShare bounds the share of stragglers among a service's
	// targets.
	maxStragglerShare = 1.0 / 3
	// probeWaitMin and probeWaitMax bound the time from the last slow reading
	// of a straggler to its next probe. It doubles with each probe that finds
	// the target slow, because a probe costs two moves.
	probeWaitMin = 5 * time.Second
	probeWaitMax = 80 * time.Second
	// probeTimeout is the time after which a probe that got too few requests to
	// measure the latency ends.
	probeTimeout = 10 * time.Second
	// resetProbeWaitAfter is how long a former straggler must have been normal
	// for its next probe wait to start at probeWaitMin again.
	resetProbeWaitAfter = time.Minute
)

// latencyReading is the recent latency of one target.
type latencyReading struct {
	target      string
	incarnation uint64
	micros      float64
	count       int
}

// latencyState is what the detector knows about the latency of one target.
type latencyState struct {
	incarnation uint64
	// slowSince is the time since which the latency of a normal target has been
	// high, fastSince the time since which the latency of a straggler has been
	// normal; zero if it is not.
	slowSince, fastSince time.Duration
	straggler            bool
	// probing says that the straggler may own one slice, to measure its latency.
	probing bool
	// changedAt is the time at which the target became a straggler, of the last
	// slow reading of a straggler, of the start of its probe or of its return to
	// normal, whichever was last.
	changedAt time.Duration
	// probeWait is the time from changedAt to the next probe.
	probeWait time.Duration
}

// stragglerDetector finds the stragglers of one service. It is pure: time and
// readings are arguments. A target becomes a straggler when its latency has been
// above stragglerFactor times the median for stragglerAfter, and normal again
// when it has been at most returnFactor times the median for returnAfter, or
// when a probe has ended without enough requests.
// Invariant: a target becomes a straggler only if then at most maxStragglerShare
// of the targets are stragglers.
type stragglerDetector struct {
	targets map[string]*latencyState
}

func newStragglerDetector() *stragglerDetector {
	return &stragglerDetector{targets: map[string]*latencyState{}}
}

// update evaluates the readings of all targets of the service, in a fixed order.
// It drops the state of targets without a reading.
func (d *stragglerDetector) update(now time.Duration, readings []latencyReading) {
	d.retain(readings)
	median := medianLatency(readings)
	if median == 0 {
		return
	}
	stragglers := 0
	var slow []latencyReading
	for _, r := range readings {
		s := d.targets[r.target]
		if s.straggler {
			s.review(now, r, median)
		} else if s.checkSlow(now, r, median) {
			slow = append(slow, r)
		}
		if s.straggler {
			stragglers++
		}
	}
	sort.SliceStable(slow, func(i, j int) bool { return slow[i].micros > slow[j].micros })
	allowed := int(maxStragglerShare*float64(len(readings))) - stragglers
	for _, r := range slow[:min(len(slow), max(allowed, 0))] {
		d.targets[r.target].becomeStraggler(now)
	}
}

// retain drops the states of targets without a reading and of earlier
// incarnations.
func (d *stragglerDetector) retain(readings []latencyReading) {
	next := make(map[string]*latencyState, len(readings))
	for _, r := range readings {
		s := d.targets[r.target]
		if s == nil || s.incarnation != r.incarnation {
			s = &latencyState{incarnation: r.incarnation}
		}
		next[r.target] = s
	}
	d.targets = next
}

// checkSlow reports whether a normal target's latency has been high for
// stragglerAfter.
func (s *latencyState) checkSlow(now time.Duration, r latencyReading, median float64) bool {
	if r.count < minCompletions || r.micros <= stragglerFactor*median {
		s.slowSince = 0
		return false
	}
	if s.slowSince == 0 {
		s.slowSince = now
	}
	return now-s.slowSince >= stragglerAfter
}

// becomeStraggler makes a target a straggler. If it returned to normal less than
// resetProbeWaitAfter ago, it waits twice as long for its next probe.
func (s *latencyState) becomeStraggler(now time.Duration) {
	if s.probeWait == 0 || now-s.changedAt > resetProbeWaitAfter {
		s.probeWait = probeWaitMin
	} else {
		s.probeWait = min(2*s.probeWait, probeWaitMax)
	}
	s.straggler, s.probing = true, false
	s.changedAt, s.slowSince, s.fastSince = now, 0, 0
}

// review decides whether a straggler remains one, is probed or is normal again.
func (s *latencyState) review(now time.Duration, r latencyReading, median float64) {
	switch {
	case r.count < minProbeCompletions:
		s.fastSince = 0
		s.awaitProbe(now)
	case r.micros > returnFactor*median:
		s.recordSlow(now)
	case s.fastSince == 0:
		s.fastSince = now
	case now-s.fastSince >= returnAfter:
		s.straggler, s.probing, s.changedAt = false, false, now
	}
}

// awaitProbe starts a probe when it is due. It ends a probe that got too few
// requests to measure the latency and makes the target normal again, because
// then only its usual share of slices can show its latency.
func (s *latencyState) awaitProbe(now time.Duration) {
	switch {
	case !s.probing && now-s.changedAt >= s.probeWait:
		s.probing, s.changedAt = true, now
	case s.probing && now-s.changedAt >= probeTimeout:
		s.straggler, s.probing, s.changedAt = false, false, now
	}
}

// recordSlow records a slow reading of a straggler. If the straggler is being
// probed, it ends the probe and doubles the wait before the next one.
func (s *latencyState) recordSlow(now time.Duration) {
	if s.probing {
		s.probing = false
		s.probeWait = min(2*s.probeWait, probeWaitMax)
	}
	s.changedAt, s.fastSince = now, 0
}

// medianLatency returns the lower median latency of the targets with at least
// minProbeCompletions, or 0 if fewer than minMedianTargets have them: of two
// targets it cannot be told which one is slow.
func medianLatency(readings []latencyReading) float64 {
	var known []float64
	for _, r := range readings {
		if r.count >= minProbeCompletions {
			known = append(known, r.micros)
		}
	}
	if len(known) < minMedianTargets {
		return 0
	}
	sort.Float64s(known)
	return known[(len(known)-1)/2]
}

// minMedianTargets is the minimum number of measured targets for a median.
const minMedianTargets = 3
