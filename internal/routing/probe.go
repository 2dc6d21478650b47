package routing

import "time"

// A straggler is probed with one request after probeMin without any; the time
// doubles up to probeMax while the probes are slow. A probe is a request of a
// caller, so frequent ones would show in the latency's tail.
const (
	probeMin = time.Second
	probeMax = 8 * time.Second
)

// probe returns a straggler whose next probe is due. Targets outside the data
// centre are not probed while there are local ones.
func (s *Selector) probe(candidates []Candidate, exclude string, median float64) (Candidate, bool) {
	local := false
	for _, c := range candidates {
		local = local || c.Local
	}
	for _, c := range candidates {
		if c.Target != exclude && c.Local == local && s.due(c.Target, median) {
			s.measures[c.Target].probing = true
			return c, true
		}
	}
	return Candidate{}, false
}

func (s *Selector) due(target string, median float64) bool {
	m := s.measures[target]
	if m == nil || len(m.starts) > 0 || m.average <= stragglerFactor*median {
		return false
	}
	return s.now-m.usedAt >= max(m.probeAfter, probeMin)
}

// probed adjusts the time to the next probe and lets a recovered target take
// its share at once.
func (m *measure) probed(seconds, median float64) {
	probing := m.probing
	m.probing = false
	if median == 0 || m.average <= stragglerFactor*median {
		m.probeAfter = 0
		return
	}
	if seconds <= stragglerFactor*median {
		m.average = seconds
		m.probeAfter = 0
		return
	}
	if probing {
		m.probeAfter = min(2*max(m.probeAfter, probeMin), probeMax)
	}
}
