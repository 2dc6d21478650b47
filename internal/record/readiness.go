package record

import "time"

// readiness determines for which IDs a holder knows every attempt that it or its
// predecessors, the stores before a restart, granted or promised to refuse.
// Times are Unix times in ms.
type readiness struct {
	startedAt int64
	// predecessorMax is the highest FirstSent that a predecessor can have seen.
	predecessorMax int64
	// swept is the highest FirstSent of a removed record.
	swept int64
	// completeFrom is the lowest FirstSent from which on this holder knows every
	// ID.
	completeFrom int64
	// copiedFrom maps the holders whose records were copied to the CompleteFrom
	// that they reported.
	copiedFrom map[string]int64
	// incarnations maps other holders to their latest known incarnation, as
	// learned from holders that copied from this one and from those that it
	// copied.
	incarnations map[string]int64
}

func newReadiness(startedAt int64) readiness {
	predecessorMax := startedAt + ClockAllowance.Milliseconds()
	return readiness{
		startedAt:      startedAt,
		predecessorMax: predecessorMax,
		completeFrom:   predecessorMax + 1,
		copiedFrom:     make(map[string]int64),
		incarnations:   make(map[string]int64),
	}
}

// ready reports whether an ID without a stored attempt may be granted.
func (r *readiness) ready(now, firstSent int64, retention time.Duration, sets [][]string) bool {
	if firstSent > now+ClockAllowance.Milliseconds() {
		return false
	}
	if expiry(firstSent, retention) < now || firstSent <= r.swept {
		return false
	}
	if firstSent > r.predecessorMax {
		return true
	}
	for _, set := range sets {
		if !r.copiedEnough(firstSent, set) {
			return false
		}
	}
	return len(sets) > 0
}

// copiedEnough reports whether enough ready holders of the set were copied to
// include another member of every majority that this holder was part of.
func (r *readiness) copiedEnough(firstSent int64, set []string) bool {
	copies := 0
	for _, vm := range set {
		if completeFrom, ok := r.copiedFrom[vm]; ok && completeFrom <= firstSent {
			copies++
		}
	}
	return copies >= len(set)-majority(len(set))+1
}

// observeIncarnation stores the incarnation of another holder unless a later one
// is known.
func (r *readiness) observeIncarnation(vm string, incarnation int64) {
	r.incarnations[vm] = max(r.incarnations[vm], incarnation)
}

// proof returns the incarnations that a reply about the sets depends on.
func (r *readiness) proof(sets [][]string) Proof {
	p := Proof{Incarnation: r.startedAt}
	if len(r.incarnations) == 0 {
		return p
	}
	for _, set := range sets {
		for _, vm := range set {
			if incarnation, ok := r.incarnations[vm]; ok {
				if p.HolderIncarnations == nil {
					p.HolderIncarnations = make(map[string]int64)
				}
				p.HolderIncarnations[vm] = incarnation
			}
		}
	}
	return p
}

// reportedCompleteFrom returns the FirstSent from which on other holders may rely
// on copies from this one. IDs up to that of a removed record are excluded.
func (r *readiness) reportedCompleteFrom() int64 { return max(r.completeFrom, r.swept+1) }

// addCopy stores that all records of vm were copied.
func (r *readiness) addCopy(vm string, completeFrom int64) {
	if known, ok := r.copiedFrom[vm]; !ok || completeFrom < known {
		r.copiedFrom[vm] = completeFrom
	}
}

// lowerCompleteFrom lowers completeFrom to the highest value of the other
// holders, if all of them were copied.
func (r *readiness) lowerCompleteFrom(others []string) {
	highest := int64(0)
	for _, vm := range others {
		completeFrom, ok := r.copiedFrom[vm]
		if !ok {
			return
		}
		highest = max(highest, completeFrom)
	}
	if len(others) > 0 {
		r.completeFrom = min(r.completeFrom, highest)
	}
}
