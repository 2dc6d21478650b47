package experiment

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// windowLength is the length of the windows of arrival time by which credit is
// reported.
const windowLength = 2 * time.Second

// end is how a request ended.
type end int

const (
	endServed end = iota
	// endRefused is the end of a request that was refused until its caller had no
	// retries or no time left.
	endRefused
	// endLost is the end of a request that a target dropped because its caller had
	// timed out.
	endLost
)

// credit is the credit that requests earned and the most that they could earn.
type credit struct{ earned, possible float64 }

func (c credit) share() float64 {
	if c.possible == 0 {
		return 1
	}
	return c.earned / c.possible
}

// Result holds the results of a simulation as callers observe them.
type Result struct {
	// Requests is the number of requests that ended.
	Requests int
	// Credit is the share of the possible credit of all requests that was earned,
	// WorstWindow that of the worst window, WorstClass that of the worst class.
	Credit, WorstWindow, WorstClass float64
	// WithinObjective is the share of requests with a response within the latency objective,
	// Served the share with a response within the timeout.
	// Refused is the share that was refused until its caller had no retries or no time
	// left, and Attempts the mean number of attempts at targets for one request.
	WithinObjective, Served, Refused, Attempts float64
	// P50 and P99 are latency percentiles of the requests of Served.
	P50, P99 time.Duration
	// NewConnections is the share of attempts that needed a new connection, OtherRegion the
	// share sent to another region, and OutsideSubset the share sent to a target of the
	// region that is not in the entry's subset.
	NewConnections, OtherRegion, OutsideSubset float64
	// Windows is the credit of each window, ordered by time.
	Windows []float64
	// Classes is the credit of each class by name.
	Classes map[string]float64

	// Ramp is the ramp of the disturbed targets.
	Ramp Ramp

	disturbance                                                             deliveries
	arrived, within, served, refused, attempts, dials, otherRegion, outside int
	latencies                                                               []time.Duration
	total                                                                   credit
	windows                                                                 map[time.Duration]credit
	classes                                                                 map[string]credit
}

func newResult() Result {
	return Result{windows: make(map[time.Duration]credit), classes: make(map[string]credit)}
}

// countAttempt counts an attempt to send a request to a target.
func (r *Result) countAttempt(c placement.Candidate, dialled bool) {
	r.attempts++
	if dialled {
		r.dials++
	}
	if c.Distance == placement.OtherRegion {
		r.otherRegion++
	}
	if c.OutsideSubset {
		r.outside++
	}
}

// add records the end of a request.
func (r *Result) add(q *request, how end, took time.Duration) {
	r.Requests++
	r.disturbance.end(q, how, took)
	earned := 0.0
	if how == endServed && took <= q.class.Timeout {
		r.served++
		r.latencies = append(r.latencies, took)
		earned = q.class.LateCredit
		if took <= q.class.LatencyObjective {
			r.within++
			earned = q.class.Credit
		}
	}
	if how == endRefused {
		r.refused++
	}
	r.total = r.total.plus(earned, q.class.Credit)
	w := q.arrived / windowLength
	r.windows[w] = r.windows[w].plus(earned, q.class.Credit)
	r.classes[q.class.Name] = r.classes[q.class.Name].plus(earned, q.class.Credit)
}

func (c credit) plus(earned, possible float64) credit {
	return credit{c.earned + earned, c.possible + possible}
}

// finish computes the exported fields from the counts.
func (r *Result) finish() {
	r.Credit, r.WorstWindow, r.WorstClass = r.total.share(), 1, 1
	for _, at := range slices.Sorted(maps.Keys(r.windows)) {
		r.Windows = append(r.Windows, r.windows[at].share())
		r.WorstWindow = min(r.WorstWindow, r.windows[at].share())
	}
	r.Classes = make(map[string]float64, len(r.classes))
	for name, c := range r.classes {
		r.Classes[name] = c.share()
		r.WorstClass = min(r.WorstClass, c.share())
	}
	r.WithinObjective, r.Served = share(r.within, r.Requests), share(r.served, r.Requests)
	r.Refused, r.Attempts = share(r.refused, r.Requests), share(r.attempts, r.Requests)
	r.NewConnections, r.OtherRegion, r.OutsideSubset = share(r.dials, r.attempts), share(r.otherRegion, r.attempts), share(r.outside, r.attempts)
	r.Ramp = r.disturbance.ramp()
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
