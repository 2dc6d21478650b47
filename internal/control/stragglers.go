package control

import (
	"sort"
	"time"
)

// Bounds of the decision on stragglers.
const (
	// stragglerFactor is how far above the service's median the latency of a
	// straggler is.
	stragglerFactor = 3.0
	// returnFactor is the multiple of the median below which a straggler's
	// latency counts as normal. It is lower than stragglerFactor, so that a
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
	// straggler's latency counts: it has few slices or one.
	minProbeCompletions = 3
	// maxStragglerShare bounds the stragglers among a service's targets.
	maxStragglerShare = 1.0 / 3
	// probeWaitMin and probeWaitMax bound the time from the last slow answer
	// of a straggler to its next probe; it doubles with each probe that finds
	// the target slow, because a probe costs two moves.
	probeWaitMin = 5 * time.Second
	probeWaitMax = 80 * time.Second
	// probeGiveUp ends a probe that gets too few requests to tell.
	probeGiveUp = 10 * time.Second
	// forgiveAfter is how long a target stays normal before its next probe
	// wait starts at probeWaitMin again.
	forgiveAfter = time.Minute
)

// latencyReading is the recent latency of one target.
type latencyReading struct {
	target      string
	incarnation uint64
	micros      float64
	count       int
}

// targetSpeed is what is known of the latency of one target over time.
type targetSpeed struct {
	incarnation uint64
	// slowSince is the start of an unbroken run of high latency, fastSince
	// that of normal latency of a straggler; zero if there is none.
	slowSince, fastSince time.Duration
	straggler            bool
	// probing says that the straggler may own one slice to be measured by.
	probing bool
	// changedAt is the time of the last slow reading of a straggler, of the
	// start of its probe or of its return.
	changedAt time.Duration
	probeWait time.Duration
}

// stragglerWatch finds the stragglers of one service. It is pure: time and
// readings are arguments. A target counts as a straggler after its latency was
// above stragglerFactor times the median for stragglerAfter, and as normal
// again after returnAfter below returnFactor times the median.
// Invariant: at most maxStragglerShare of the targets are stragglers.
type stragglerWatch struct {
	targets map[string]*targetSpeed
}

func newStragglerWatch() *stragglerWatch {
	return &stragglerWatch{targets: map[string]*targetSpeed{}}
}

// update takes in the readings of all targets of the service, in a fixed
// order. A target that is not among them is forgotten.
func (w *stragglerWatch) update(now time.Duration, readings []latencyReading) {
	w.keep(readings)
	median := medianLatency(readings)
	if median == 0 {
		return
	}
	stragglers := 0
	var slow []latencyReading
	for _, r := range readings {
		s := w.targets[r.target]
		if s.straggler {
			s.review(now, r, median)
		} else if s.slow(now, r, median) {
			slow = append(slow, r)
		}
		if s.straggler {
			stragglers++
		}
	}
	sort.SliceStable(slow, func(i, j int) bool { return slow[i].micros > slow[j].micros })
	allowed := int(maxStragglerShare*float64(len(readings))) - stragglers
	for _, r := range slow[:min(len(slow), max(allowed, 0))] {
		w.targets[r.target].mark(now)
	}
}

// keep forgets targets without a reading and what is known of earlier
// incarnations.
func (w *stragglerWatch) keep(readings []latencyReading) {
	next := make(map[string]*targetSpeed, len(readings))
	for _, r := range readings {
		s := w.targets[r.target]
		if s == nil || s.incarnation != r.incarnation {
			s = &targetSpeed{incarnation: r.incarnation}
		}
		next[r.target] = s
	}
	w.targets = next
}

// slow reports whether a normal target's latency has been high long enough.
func (s *targetSpeed) slow(now time.Duration, r latencyReading, median float64) bool {
	if r.count < minCompletions || r.micros <= stragglerFactor*median {
		s.slowSince = 0
		return false
	}
	if s.slowSince == 0 {
		s.slowSince = now
	}
	return now-s.slowSince >= stragglerAfter
}

// mark makes a target a straggler. One that returned a short time ago waits
// longer for its next probe.
func (s *targetSpeed) mark(now time.Duration) {
	if s.probeWait == 0 || now-s.changedAt > forgiveAfter {
		s.probeWait = probeWaitMin
	} else {
		s.probeWait = min(2*s.probeWait, probeWaitMax)
	}
	s.straggler, s.probing = true, false
	s.changedAt, s.slowSince, s.fastSince = now, 0, 0
}

// review decides whether a straggler stays one, is probed or is normal again.
func (s *targetSpeed) review(now time.Duration, r latencyReading, median float64) {
	switch {
	case r.count < minProbeCompletions:
		s.fastSince = 0
		s.awaitProbe(now)
	case r.micros > returnFactor*median:
		s.stillSlow(now)
	case s.fastSince == 0:
		s.fastSince = now
	case now-s.fastSince >= returnAfter:
		s.straggler, s.probing, s.changedAt = false, false, now
	}
}

// awaitProbe starts a probe when it is due, and ends one that has too few
// requests to tell: only the return of its share can show its latency then.
func (s *targetSpeed) awaitProbe(now time.Duration) {
	switch {
	case !s.probing && now-s.changedAt >= s.probeWait:
		s.probing, s.changedAt = true, now
	case s.probing && now-s.changedAt >= probeGiveUp:
		s.straggler, s.probing, s.changedAt = false, false, now
	}
}

func (s *targetSpeed) stillSlow(now time.Duration) {
	if s.probing {
		s.probing = false
		s.probeWait = min(2*s.probeWait, probeWaitMax)
	}
	s.changedAt, s.fastSince = now, 0
}

// medianLatency returns the median over the targets with enough completions,
// or 0 if fewer than three have them: two cannot tell which one is slow.
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

// minMedianTargets is the number of measured targets that a median needs.
const minMedianTargets = 3
