package placement

import (
	"math"
	"time"
)

// Parameters of load shedding.
const (
	// pressureWeight is the weight of a new report in the moving average. An entry
	// receives five to ten reports per second, and queues change within a second.
	pressureWeight = 0.2
	// shedThreshold is the number of waiting requests, as a multiple of the slots,
	// above which requests are refused. With one waiting request per slot, a request
	// takes about twice its service time; target latencies are two and a half to
	// four times the service time.
	shedThreshold = 0.6
	// urgentMargin is added to shedThreshold for the most urgent requests of a
	// service, so that they are refused last.
	urgentMargin = 0.5
	// shedGain is the fraction of requests that is refused for each waiting request
	// per slot above the threshold. All entries react to about the same queues with
	// a delay of about a second, so a higher gain makes the queue lengths oscillate.
	shedGain = 0.4
	// longQueue is the number of waiting requests per slot from which the refused
	// fraction grows for as long as the queues stay that long. Every response is late
	// then, whatever its latency objective. Below it, refusing more leaves slots idle:
	// the queues at the targets of a service differ by a factor of four.
	longQueue = 1.5
	// shedGrowth is the rate per second at which the refused fraction grows for each
	// waiting request per slot above longQueue, and shrinks below it.
	shedGrowth = 0.4
	// maxReportGap bounds the time for which one report changes the refused fraction.
	maxReportGap = 200 * time.Millisecond
	// grownHalfLife is the half-life of the grown part of the refused fraction while no
	// reports arrive: nothing is known of the queues then.
	grownHalfLife = time.Second
	// minAdmitted is the fraction of requests that is admitted whatever the present queue
	// length is, and minAdmittedLong the one that is always admitted. Load reports
	// come with responses, so without any requests an entry would not notice that
	// the queues have drained.
	minAdmitted, minAdmittedLong = 0.3, 0.1
	// admitBudgetShare is the fraction of the remaining latency budget within which
	// a target with free capacity is expected to respond. Requests with a shorter
	// expected latency are never refused.
	admitBudgetShare = 0.5
)

// LoadShedder estimates the queue lengths at the targets of a service and decides
// which requests to refuse. It is meant for requests that any of the targets may
// run. If the targets get more requests than they can answer in time, all
// responses are late and the outcome of many requests is unknown. Refusing some
// requests keeps the others in time.
//
// The refused fraction follows the queues like a proportional-integral controller:
// one part is proportional to the queue length above a threshold, the other one grows
// while the queues are long, so that they shorten however much the load exceeds the
// capacity.
//
// No entry knows the queues of all targets, but the responses that it receives are
// a representative sample of them, so all entries refuse about the same fraction
// without coordination.
type LoadShedder struct {
	// waiting is the moving average of the number of waiting requests per slot.
	waiting float64
	// grown is the grown part of the refused fraction.
	grown      float64
	reportedAt time.Duration
}

// AddReport adds the load that a target reported with a response at now.
func (p *LoadShedder) AddReport(now time.Duration, l Load) {
	if l.Slots <= 0 {
		return
	}
	p.waiting += pressureWeight * (float64(l.Waiting)/float64(l.Slots) - p.waiting)
	growth := shedGrowth * min(now-p.reportedAt, maxReportGap).Seconds()
	p.grown = min(max(0, p.agedGrown(now)+growth*(p.waiting-longQueue)), 1-minAdmittedLong)
	p.reportedAt = now
}

// agedGrown returns the grown part of the refused fraction, reduced by the time without
// reports.
func (p *LoadShedder) agedGrown(now time.Duration) float64 {
	silent := now - p.reportedAt - maxReportGap
	if silent <= 0 {
		return p.grown
	}
	return p.grown * math.Exp2(-float64(silent)/float64(grownHalfLife))
}

// Overloaded reports whether more requests wait at the targets than usual ones tolerate.
func (p *LoadShedder) Overloaded() bool { return p.waiting > shedThreshold }

// Admit reports whether to send a request at now. expected is the expected latency at
// its best target, budget what is left of its latency objective, urgent is true if other
// requests for the service are less urgent, and draw is a random number in [0, 1).
func (p *LoadShedder) Admit(now, expected, budget time.Duration, urgent bool, draw float64) bool {
	if WithinBudget(expected, budget) {
		return true
	}
	threshold := shedThreshold
	if urgent {
		threshold += urgentMargin
	}
	admitted := max(minAdmitted, 1-shedGain*(p.waiting-threshold)) - p.agedGrown(now)
	return draw < max(minAdmittedLong, admitted)
}

// WithinBudget reports whether the expected latency is so short, compared with what
// is left of the latency objective, that the request is always admitted.
func WithinBudget(expected, budget time.Duration) bool {
	return float64(expected) <= admitBudgetShare*float64(budget)
}
