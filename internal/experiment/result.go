package experiment

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// windowLength is the length of the windows of which the worst one is reported.
const windowLength = 2 * time.Second

// end is how a request ended.
type end int

const (
	endServed end = iota
	// endRefused requests were sent away until their caller gave up.
	endRefused
	// endLost requests were dropped by a target because their caller was gone.
	endLost
)

// credit is what requests earned of what they could earn.
type credit struct{ earned, owed float64 }

func (c credit) share() float64 {
	if c.owed == 0 {
		return 1
	}
	return c.earned / c.owed
}

// Result is what callers saw in a replay.
type Result struct {
	Asked int
	// Credit is the share of the worth of all requests that was earned, Worst that
	// of the worst window, WorstClass that of the worst class.
	Credit, Worst, WorstClass float64
	// Within is the share of requests answered within the aim, Served the share
	// answered at all.
	Within, Served float64
	P50, P99       time.Duration
	// Dials is the share of sends that needed a new connection, OtherRegion the
	// share of sends that left the region, Outside the share of those to targets
	// outside of the entry's subset.
	Dials, OtherRegion, Outside float64
	// Windows is the credit of each window, in order of time.
	Windows []float64
	// Classes is the credit of each class by name.
	Classes map[string]float64

	arrived, within, served, sends, dials, far, outside int
	latencies                                           []time.Duration
	total                                               credit
	windows                                             map[time.Duration]credit
	classes                                             map[string]credit
}

func newResult() Result {
	return Result{windows: make(map[time.Duration]credit), classes: make(map[string]credit)}
}

// count notes a send.
func (r *Result) count(c placement.Candidate, dialled bool) {
	r.sends++
	if dialled {
		r.dials++
	}
	if c.Distance == placement.OtherRegion {
		r.far++
	}
	if c.Outside {
		r.outside++
	}
}

// add notes the end of a request.
func (r *Result) add(q *request, how end, took time.Duration) {
	r.Asked++
	earned := 0.0
	if how == endServed && took <= q.class.Timeout {
		r.served++
		r.latencies = append(r.latencies, took)
		earned = q.class.Late
		if took <= q.class.Aim {
			r.within++
			earned = q.class.Worth
		}
	}
	r.total = r.total.plus(earned, q.class.Worth)
	w := q.arrived / windowLength
	r.windows[w] = r.windows[w].plus(earned, q.class.Worth)
	r.classes[q.class.Name] = r.classes[q.class.Name].plus(earned, q.class.Worth)
}

func (c credit) plus(earned, owed float64) credit { return credit{c.earned + earned, c.owed + owed} }

// finish works out the shares.
func (r *Result) finish() {
	r.Credit, r.Worst, r.WorstClass = r.total.share(), 1, 1
	for _, at := range slices.Sorted(maps.Keys(r.windows)) {
		r.Windows = append(r.Windows, r.windows[at].share())
		r.Worst = min(r.Worst, r.windows[at].share())
	}
	r.Classes = make(map[string]float64, len(r.classes))
	for name, c := range r.classes {
		r.Classes[name] = c.share()
		r.WorstClass = min(r.WorstClass, c.share())
	}
	r.Within, r.Served = share(r.within, r.Asked), share(r.served, r.Asked)
	r.Dials, r.OtherRegion, r.Outside = share(r.dials, r.sends), share(r.far, r.sends), share(r.outside, r.sends)
	slices.Sort(r.latencies)
	if n := len(r.latencies); n > 0 {
		r.P50, r.P99 = r.latencies[n/2], r.latencies[n*99/100]
	}
}

func share(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}
