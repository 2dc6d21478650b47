package placement

import "time"

// ServiceAverage is the moving average of the load and slowdown that the targets of one
// service report to an entry. It is the initial estimate for a target without
// reports. Without it, a target that the entry has not used would look idle, and
// most requests would go to targets whose load the entry does not know.
type ServiceAverage struct {
	// Entries is the number of entries that may send to the targets.
	Entries int
	// otherLoad is the average number of requests of other entries at a target.
	// slowdown is the average slowdown, or 0 if none has been reported.
	otherLoad, slowdown float64
	// reportedAt is the time of the last report.
	reportedAt time.Duration
	// nextProbe is the earliest time of the next probe of a target.
	nextProbe time.Duration
}

// averageWeight is the weight of a new report in the averages. They cover about
// the last hundred reports, which is a few seconds of an entry's requests.
const averageWeight = 0.02

// add adds a report to the averages. It does nothing on a nil ServiceAverage.
func (n *ServiceAverage) add(now time.Duration, otherLoad, slowdown float64) {
	if n == nil {
		return
	}
	weight := updateWeight(averageWeight, n.trust(now))
	n.otherLoad = n.averageLoad(now)
	n.otherLoad += weight * (otherLoad - n.otherLoad)
	average := n.averageSlowdown(now)
	n.reportedAt = now
	if slowdown <= 0 {
		return
	}
	if n.slowdown == 0 {
		average = slowdown
	}
	n.slowdown = average + weight*(slowdown-average)
}

// probesFrom returns the earliest time of the next probe, 0 for a nil ServiceAverage.
func (n *ServiceAverage) probesFrom() time.Duration {
	if n == nil {
		return 0
	}
	return n.nextProbe
}

// sharers returns the number of entries, 0 for a nil ServiceAverage.
func (n *ServiceAverage) sharers() int {
	if n == nil {
		return 0
	}
	return n.Entries
}

// trust returns the weight of the averages by their age.
func (n *ServiceAverage) trust(now time.Duration) float64 {
	return ageWeight(now, n.reportedAt, n.Entries)
}

// averageLoad returns the average load of other entries, 0 for a nil ServiceAverage. It
// decays to 0 without reports.
func (n *ServiceAverage) averageLoad(now time.Duration) float64 {
	if n == nil {
		return 0
	}
	return aged(n.otherLoad, 0, n.trust(now))
}

// averageSlowdown returns the average slowdown, or 1 if none is known. It decays to 1
// without reports.
func (n *ServiceAverage) averageSlowdown(now time.Duration) float64 {
	if n == nil || n.slowdown == 0 {
		return 1
	}
	return aged(n.slowdown, 1, n.trust(now))
}
