package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/configtext"
	"github.com/flamingoreel/flamingoreel/internal/contract"
)

const (
	// balanceInterval is the time between two rounds of rebalancing.
	balanceInterval = time.Second
	// movesPerRound bounds the moves of a service in one round, so that the
	// next round takes their effect into account.
	movesPerRound = 8
)

// move is a possible move of a slice.
type move struct {
	entry *ContractSlice
	to    *candidate
	gain  float64
}

// balance splits and merges slices and proposes moves whose gain in balance
// exceeds the cost of one move, by the service's weights.
func (r *planRound) balance() {
	if r.now < r.p.nextBalance {
		return
	}
	r.p.nextBalance = r.now + balanceInterval
	r.splitHot()
	r.mergeCold()
	for _, service := range r.exclusiveServices() {
		if r.isSteady(service.Name) {
			r.balanceService(service)
		}
	}
}

// isSteady reports whether no slice of the service is draining or unassigned.
// Unassigned slices that no target may take do not count.
func (r *planRound) isSteady(service string) bool {
	for _, entry := range r.index.unassigned {
		if entry.Slice.Service != service {
			continue
		}
		if _, ok := r.chooseTarget(entry); ok {
			return false
		}
	}
	for _, entry := range r.index.ending {
		if entry.Slice.Service == service && entry.Assignment.Phase == contract.Draining {
			return false
		}
	}
	return true
}

// balanceService probes stragglers and proposes the moves of one service.
func (r *planRound) balanceService(service configtext.Service) {
	l := r.loadOf(service.Name)
	r.probeStragglers(service, l)
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

// bestMove returns the move with the highest gain; its entry is nil if no move
// has a positive gain.
func (r *planRound) bestMove(l *serviceLoad, weights configtext.Weights) move {
	slices.SortStableFunc(l.candidates, func(a, b *candidate) int {
		return cmp.Compare(l.excessLoad(a), l.excessLoad(b))
	})
	var best move
	for _, from := range l.candidates {
		// A cold target keeps its slices: the keys that it has warmed would
		// only have to be warmed again elsewhere.
		if from.target.State == Cold || from.probing || (l.excessLoad(from) <= 0 && !from.straggler) {
			continue
		}
		if m := r.bestMoveFrom(l, weights, from); m.gain > best.gain {
			best = m
		}
	}
	return best
}

// bestMoveFrom returns the move with the highest gain from one target. It
// evaluates only one slice of each weight and residency, as others have the
// same gain.
func (r *planRound) bestMoveFrom(l *serviceLoad, weights configtext.Weights, from *candidate) move {
	var best move
	type kind struct {
		weight    float64
		residency contract.Residency
	}
	seen := map[kind]bool{}
	for _, entry := range r.index.owned[from.target.ID] {
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
// the squared excess loads, so the allowed destination with the least excess
// load, the first one in l.candidates, decreases it most.
func (r *planRound) bestDestination(l *serviceLoad, weights configtext.Weights, from *candidate, entry *ContractSlice) move {
	var best move
	w := r.weight(entry)
	for _, to := range l.candidates {
		if to.straggler || !r.mayTake(to, entry) || !fits(l, to, w) {
			continue
		}
		// The imbalance is the sum of the squared differences from the ideal
		// loads. The gain is its weighted decrease less the cost of the move.
		gain := weights.Balance*2*w*(l.excessLoad(from)-l.excessLoad(to)-w) - weights.Churn
		if from.straggler {
			gain += weights.Tail * w
		}
		if gain > best.gain {
			best = move{entry: entry, to: to, gain: gain}
		}
		break
	}
	return best
}

// fits reports whether the target may take the load. A cold target takes at most
// its ideal load times the ratio of usable to warm slots, but at least one slice.
func fits(l *serviceLoad, to *candidate, weight float64) bool {
	if to.usableSlots == to.warmSlots || to.load == 0 {
		return true
	}
	return to.load+weight <= l.idealLoad(to)*to.usableSlots/to.warmSlots
}
