package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

const (
	// balanceInterval is the time between two rounds of rebalancing.
	balanceInterval = time.Second
	// movesPerRound bounds the moves of a service in one round, so that the
	// next round sees their effect.
	movesPerRound = 8
)

// move is a possible move of a slice.
type move struct {
	entry *ContractSlice
	to    *candidate
	gain  float64
}

// balance splits and merges slices and proposes the moves that pay: those
// whose gain in balance exceeds the cost of one move by the service's weights.
func (r *round) balance() {
	if r.now < r.p.nextBalance {
		return
	}
	r.p.nextBalance = r.now + balanceInterval
	r.splitHot()
	r.mergeCold()
	for _, service := range r.exclusive() {
		if r.steady(service.Name) {
			r.balanceService(service)
		}
	}
}

// steady reports whether no slice of the service is moving or waits for an
// owner that it can have. Slices without any allowed target do not count.
func (r *round) steady(service string) bool {
	for _, entry := range r.model.unassigned {
		if entry.Slice.Service != service {
			continue
		}
		if _, ok := r.place(entry); ok {
			return false
		}
	}
	for _, entry := range r.model.ending {
		if entry.Slice.Service == service && entry.Assignment.Phase == contract.Draining {
			return false
		}
	}
	return true
}

func (r *round) balanceService(service text.Service) {
	l := r.loadOf(service.Name)
	budget := r.budget(service.Name)
	for range movesPerRound {
		best := r.bestMove(l, service.Weights)
		if best.entry == nil || budget.available(r.now) < 1 {
			return
		}
		if !r.propose(Command{Drain: changeOf(best.entry)}) {
			return
		}
		budget.take()
		r.p.preferred[best.entry.Slice.ID] = best.to.target.ID
		weight := r.weight(best.entry)
		best.to.load += weight
		l.byID[best.entry.Assignment.Target].load -= weight
	}
}

// bestMove returns the move with the highest gain; its entry is nil if none
// pays.
func (r *round) bestMove(l *serviceLoad, weights text.Weights) move {
	slices.SortStableFunc(l.candidates, func(a, b *candidate) int {
		return cmp.Compare(l.excess(a), l.excess(b))
	})
	var best move
	for _, from := range l.candidates {
		// A cold target keeps what it has: moving it away would only warm
		// the keys elsewhere once more.
		if from.target.State == Cold || (l.excess(from) <= 0 && !from.straggler) {
			continue
		}
		if m := r.bestMoveFrom(l, weights, from); m.gain > best.gain {
			best = m
		}
	}
	return best
}

func (r *round) bestMoveFrom(l *serviceLoad, weights text.Weights, from *candidate) move {
	var best move
	type kind struct {
		weight    float64
		residency contract.Residency
	}
	seen := map[kind]bool{}
	for _, entry := range r.model.owned[from.target.ID] {
		k := kind{r.weight(entry), entry.Slice.Residency}
		if seen[k] || entry.Assignment.Phase != contract.Owned || r.p.inFlight(sliceKey(entry.Slice.ID)) {
			continue
		}
		seen[k] = true
		if m := r.bestDestination(l, weights, from, entry); m.gain > best.gain {
			best = m
		}
	}
	return best
}

// bestDestination returns the best move of a slice. The imbalance is the sum of
// the squared excess loads, so the destination with the least excess decreases
// it most; only the cost of stragglers can make a later one better.
func (r *round) bestDestination(l *serviceLoad, weights text.Weights, from *candidate, entry *ContractSlice) move {
	var best move
	w := r.weight(entry)
	for _, to := range l.candidates {
		if !r.allowed(to, entry) || !fits(l, to, w) {
			continue
		}
		gain := weights.Balance*2*w*(l.excess(from)-l.excess(to)-w) - weights.Churn
		if from.straggler && !to.straggler {
			gain += weights.Tail
		}
		if gain > best.gain {
			best = move{entry: entry, to: to, gain: gain}
		}
		if !from.straggler || !to.straggler {
			break
		}
	}
	return best
}

// fits reports whether the target may take the load. A cold target takes only
// the part of its share that its usable slots can bear, but at least one slice.
func fits(l *serviceLoad, to *candidate, weight float64) bool {
	if to.limit == to.slots || to.load == 0 {
		return true
	}
	return to.load+weight <= l.ideal(to)*to.limit/to.slots
}
