package experiment

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// Pauses are times in which targets refuse all requests and say for how long.
type Pauses struct {
	// Every is the time from the beginning of one pause of a target to that of its
	// next one, For the length of a pause; 0 is no pauses.
	Every, For time.Duration
	// Together makes all targets pause at the same time. Otherwise their pauses are
	// spread evenly.
	Together bool
}

// left returns how long the target with the index stays paused at now.
func (p Pauses) left(now time.Duration, index, targets int) time.Duration {
	if p.Every == 0 {
		return 0
	}
	if !p.Together {
		now += p.Every * time.Duration(index) / time.Duration(targets)
	}
	return max(0, p.For-now%p.Every)
}

// WithoutPauses is the product's policy without heed to what targets say about
// pauses: a refusal is a refusal.
func WithoutPauses(s *PolicyInput) int { return product(s, options{admission: true}) }

// SharedPauses is the product's policy if every entry knew at once what a target
// said to any of them.
func SharedPauses(s *PolicyInput) int {
	return product(s, options{admission: true, pauses: s.fleet.announced})
}

// skipPaused removes the candidates that accept no more requests. If none is left it
// sets when the request is sent again, or when its caller may come back.
func (s *PolicyInput) skipPaused(availability []placement.Availability) (candidates []placement.Candidate, indexes []int) {
	var opens time.Duration
	anyOpen := false
	for i, c := range s.Candidates {
		a := &availability[s.TargetIndexes[i]]
		if a.Accepts(s.Now, c.Stats.InFlight) {
			candidates, indexes = append(candidates, c), append(indexes, i)
			continue
		}
		if at := a.OpensAt(s.Now, c.Stats.InFlight); opens == 0 || at < opens {
			opens = at
		}
		anyOpen = anyOpen || a.Open(s.Now)
	}
	switch {
	case len(candidates) > 0:
	case anyOpen:
		s.HoldUntil = opens
	default:
		s.ReturnAt = s.firstReturn(availability)
	}
	return candidates, indexes
}

// firstReturn returns the time from which any target accepts requests again, or 0.
func (s *PolicyInput) firstReturn(availability []placement.Availability) time.Duration {
	var first time.Duration
	for i := range availability {
		if at := availability[i].OpensAt(s.Now, s.entry.stats[i].InFlight); first == 0 || at < first {
			first = at
		}
	}
	return first
}

// refusePaused refuses a request at a paused target, which says for how long.
func (r *run) refusePaused(q *request, left time.Duration) {
	l := q.target.load(r.f.pattern.Slots)
	r.schedule(r.now+r.f.delay(q.entry, q.target), func() {
		q.entry.availability[q.target.index].Pause(r.now, left)
		r.f.announced[q.target.index].Pause(r.now, left)
		r.receive(q, l, true)
	})
}

// callerPatience is the share of the time left that a caller waits at most before
// it comes back.
const callerPatience = 1.0 / 3

// retryDelay returns how long the caller of a refused request waits. returnAt is
// when a target accepts requests again, or 0.
func (r *run) retryDelay(q *request, returnAt time.Duration) time.Duration {
	wait := retryMin + time.Duration(r.f.rng.Float64()*float64(retrySpread))
	if later := returnAt - r.now; later > retryMin {
		left := time.Duration(callerPatience * float64(q.class.Timeout-(r.now-q.arrived)))
		wait = max(wait, min(wait-retryMin+later, left))
	}
	return wait
}
