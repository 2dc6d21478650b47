package placement

// ServiceAverage is the moving average of the load and slowdown that the targets of one
// service report to an entry. It is the initial estimate for a target without
// reports. Without it, a target that the entry has not used would look idle, and
// most requests would go to targets whose load the entry does not know.
type ServiceAverage struct {
	// otherLoad is the average number of requests of other entries at a target.
	// slowdown is the average slowdown, or 0 if none has been reported.
	otherLoad, slowdown float64
}

// averageWeight is the weight of a new report in the averages. They cover about
// the last hundred reports, which is a few seconds of an entry's requests.
const averageWeight = 0.02

// add adds a report to the averages. It does nothing on a nil ServiceAverage.
func (n *ServiceAverage) add(otherLoad, slowdown float64) {
	if n == nil {
		return
	}
	n.otherLoad += averageWeight * (otherLoad - n.otherLoad)
	if slowdown <= 0 {
		return
	}
	if n.slowdown == 0 {
		n.slowdown = slowdown
	}
	n.slowdown += averageWeight * (slowdown - n.slowdown)
}

// averageLoad returns the average load of other entries, 0 for a nil ServiceAverage.
func (n *ServiceAverage) averageLoad() float64 {
	if n == nil {
		return 0
	}
	return n.otherLoad
}

// averageSlowdown returns the average slowdown, or 1 if none is known.
func (n *ServiceAverage) averageSlowdown() float64 {
	if n == nil || n.slowdown == 0 {
		return 1
	}
	return n.slowdown
}
