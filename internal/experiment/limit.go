package experiment

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// Limits are the rates that some targets name because they slow down beyond them.
type Limits struct {
	// Every n-th target names a limit from From on; 0 is none.
	Every int
	From  time.Duration
	// Rate is the limit in requests per second.
	Rate float64
}

// of returns the limit of the target with the index at now, 0 if it names none.
func (l Limits) of(now time.Duration, index int) float64 {
	if l.Every == 0 || index%l.Every != 0 || now < l.From {
		return 0
	}
	return l.Rate
}

// excessWindow is the time over which a target counts its requests against its limit.
const excessWindow = time.Second

// slowdown counts a request of a limited target and returns the factor on its service
// time: the square of the ratio of its recent requests to its limit, which is an
// assumption.
func (t *target) slowdown(now time.Duration, rate float64) float64 {
	if rate == 0 {
		return 1
	}
	for len(t.arrivals) > 0 && now-t.arrivals[0] >= excessWindow {
		t.arrivals = t.arrivals[1:]
	}
	t.arrivals = append(t.arrivals, now)
	excess := max(1, float64(len(t.arrivals))/(rate*excessWindow.Seconds()))
	return excess * excess
}

// WithoutLimits is the product's policy without heed to the limits that targets name.
func WithoutLimits(s *PolicyInput) int {
	return product(s, options{admission: true, pauses: s.entry.availability})
}

// skipLimited removes the candidates to which the entry may send nothing yet.
func (s *PolicyInput) skipLimited(candidates []placement.Candidate, indexes []int) (open []placement.Candidate, openIndexes []int) {
	for i, c := range candidates {
		t := &s.entry.throttles[indexes[i]]
		at, ok := t.OpensAt(s.Now)
		if ok && at <= s.Now {
			open, openIndexes = append(open, c), append(openIndexes, indexes[i])
		}
	}
	return open, openIndexes
}

// learnLimit records what a response of a target says about its limit.
func (r *run) learnLimit(q *request) {
	rate := r.f.pattern.Limits.of(r.now, q.target.index)
	t := &q.entry.throttles[q.target.index]
	if !t.Update(placement.Limit{Named: rate > 0, Rate: rate}) {
		return
	}
	var sharers []placement.Entry
	for _, e := range r.f.entries {
		sharers = append(sharers, placement.Entry{Addr: e.addr, Near: r.f.distance(e, q.target) != placement.OtherRegion})
	}
	t.Share(r.now, placement.ShareLimit(rate, q.target.id, q.entry.addr, sharers))
}
