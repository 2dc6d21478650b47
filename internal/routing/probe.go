package routing

import "time"

// A straggler is probed with one request after minProbeInterval without requests;
// the interval doubles up to maxProbeInterval while the probes are slow. A probe is
// a request of a caller, so frequent probes would raise the tail latency.
const (
	minProbeInterval = time.Second
	maxProbeInterval = 8 * time.Second
)

// probe returns a straggler whose next probe is due. Targets outside the data
// centre are not probed while there are local candidates.
func (s *Selector) probe(candidates []Candidate, exclude string, median float64) (Candidate, bool) {
	local := false
	for _, c := range candidates {
		local = local || c.Local
	}
	for _, c := range candidates {
		if c.Target != exclude && c.Local == local && s.probeDue(c.Target, median) {
			s.stats[c.Target].probing = true
			return c, true
		}
	}
	return Candidate{}, false
}

func (s *Selector) probeDue(target string, median float64) bool {
	t := s.stats[target]
	if t == nil || len(t.starts) > 0 || t.average <= stragglerFactor*median {
		return false
	}
	return s.now-t.usedAt >= max(t.probeInterval, minProbeInterval)
}

// updateProbe adjusts the time until the next probe after a request that took the
// given seconds. A straggler that has recovered gets its share of the requests again
// at once.
func (t *targetStats) updateProbe(seconds, median float64) {
	probing := t.probing
	t.probing = false
	if median == 0 || t.average <= stragglerFactor*median {
		t.probeInterval = 0
		return
	}
	if seconds <= stragglerFactor*median {
		t.average = seconds
		t.probeInterval = 0
		return
	}
	if probing {
		t.probeInterval = min(2*max(t.probeInterval, minProbeInterval), maxProbeInterval)
	}
}
