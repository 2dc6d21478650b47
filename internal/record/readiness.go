package record

import "time"

// readiness tells for which IDs a holder knows everything that it or its
// predecessors granted or promised. Times are unix ms.
type readiness struct {
	startedAt int64
	// floor is the lowest FirstSent that no predecessor can have seen.
	floor int64
	// swept is the highest FirstSent of a removed record.
	swept int64
	// authority is the FirstSent from which this holder knows every ID.
	authority int64
	// copied maps holders to the authority they had when they were copied.
	copied map[string]int64
	// seen maps other holders to the latest incarnation that this one heard of:
	// from holders that copied from it and from those that it copied.
	seen map[string]int64
}

func newReadiness(startedAt int64) readiness {
	floor := startedAt + ClockAllowance.Milliseconds()
	return readiness{
		startedAt: startedAt,
		floor:     floor,
		authority: floor + 1,
		copied:    make(map[string]int64),
		seen:      make(map[string]int64),
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
	if firstSent > r.floor {
		return true
	}
	for _, set := range sets {
		if !r.copiedEnough(firstSent, set) {
			return false
		}
	}
	return len(sets) > 0
}

// copiedEnough reports whether so many ready holders of the set were copied
// that they include a member of every majority this holder was part of.
func (r *readiness) copiedEnough(firstSent int64, set []string) bool {
	copies := 0
	for _, vm := range set {
		if authority, ok := r.copied[vm]; ok && authority <= firstSent {
			copies++
		}
	}
	return copies >= len(set)-majority(len(set))+1
}

// note records the incarnation of another holder; it never goes back.
func (r *readiness) note(vm string, incarnation int64) {
	r.seen[vm] = max(r.seen[vm], incarnation)
}

// proof returns the incarnations that a reply about the sets depends on.
func (r *readiness) proof(sets [][]string) Proof {
	p := Proof{Incarnation: r.startedAt}
	if len(r.seen) == 0 {
		return p
	}
	for _, set := range sets {
		for _, vm := range set {
			if incarnation, ok := r.seen[vm]; ok {
				if p.Seen == nil {
					p.Seen = make(map[string]int64)
				}
				p.Seen[vm] = incarnation
			}
		}
	}
	return p
}

// exported is the authority that other holders may rely on.
func (r *readiness) exported() int64 { return max(r.authority, r.swept+1) }

// noteCopy records a completed copy from vm.
func (r *readiness) noteCopy(vm string, authority int64) {
	if known, ok := r.copied[vm]; !ok || authority < known {
		r.copied[vm] = authority
	}
}

// settle lowers the authority after copies from all other holders.
func (r *readiness) settle(others []string) {
	highest := int64(0)
	for _, vm := range others {
		authority, ok := r.copied[vm]
		if !ok {
			return
		}
		highest = max(highest, authority)
	}
	if len(others) > 0 {
		r.authority = min(r.authority, highest)
	}
}
