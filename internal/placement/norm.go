package placement

// Norm is what the targets of one service usually report to an entry. It stands
// in for what is not known of a target: one that the entry has not used would
// otherwise look empty, and most requests would go to targets whose load nobody
// here knows.
type Norm struct {
	// others is the usual load of other entries at a target, slowdown the usual
	// slowdown; 0 while none was reported.
	others, slowdown float64
}

// normShare is the weight of a new report in the norm: about the last hundred
// reports count, a few seconds of an entry's requests.
const normShare = 0.02

// take adds a report to the norm.
func (n *Norm) take(others, slowdown float64) {
	if n == nil {
		return
	}
	n.others += normShare * (others - n.others)
	if slowdown <= 0 {
		return
	}
	if n.slowdown == 0 {
		n.slowdown = slowdown
	}
	n.slowdown += normShare * (slowdown - n.slowdown)
}

// load returns the usual load of other entries; a nil norm knows none.
func (n *Norm) load() float64 {
	if n == nil {
		return 0
	}
	return n.others
}

// slow returns the usual slowdown.
func (n *Norm) slow() float64 {
	if n == nil || n.slowdown == 0 {
		return 1
	}
	return n.slowdown
}
