package record

import (
	"context"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// view is what the holders answered in one round.
type view struct {
	sets    [][]string
	replies map[string]StartReply
}

// heldBy is another attempt with the holder sets that it used.
type heldBy struct {
	attempt Attempt
	sets    [][]string
}

type namedReply struct {
	vm    string
	reply StartReply
	err   error
}

// ask starts attempt a, or only queries, at all holders. It returns early when
// the attempt is granted, a stored answer or a mismatch is found. Calls that
// are still running then end by themselves.
func (s *session) ask(ctx context.Context, a Attempt, query bool) *view {
	request := StartRequest{
		ID:          s.request.ID,
		Attempt:     a,
		Fingerprint: s.request.Fingerprint,
		FirstSent:   s.request.FirstSent,
		Retention:   s.request.Retention,
		Holders:     s.sets,
		Query:       query,
	}
	detached := context.WithoutCancel(ctx)
	replies := make(chan namedReply, len(s.holders))
	for _, vm := range s.holders {
		go func() {
			r := namedReply{vm: vm}
			r.err = call(detached, s.coordinator.transport, startTimeout, vm, MethodStart, request, &r.reply)
			replies <- r
		}()
	}
	return s.collect(ctx, replies)
}

func (s *session) collect(ctx context.Context, replies <-chan namedReply) *view {
	v := &view{sets: s.sets, replies: make(map[string]StartReply, len(s.holders))}
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	for range s.holders {
		select {
		case r := <-replies:
			if r.err == nil {
				v.replies[r.vm] = r.reply
			}
		case <-ctx.Done():
			return v
		case <-timeout.C:
			return v
		}
		answer, err := v.verdict()
		if v.granted() || answer != nil || err != nil {
			return v
		}
	}
	return v
}

// superseded reports whether a reply of vm with the incarnation was given
// before the holder lost its memory and copied records again.
func superseded(vm string, incarnation int64, proofs []Proof) bool {
	return slices.ContainsFunc(proofs, func(p Proof) bool { return p.Seen[vm] > incarnation })
}

func (v *view) proofs() []Proof {
	proofs := make([]Proof, 0, len(v.replies))
	for _, r := range v.replies {
		proofs = append(proofs, r.Proof)
	}
	return proofs
}

// granted reports whether a majority of every set granted the attempt.
func (v *view) granted() bool {
	proofs := v.proofs()
	for _, set := range v.sets {
		grants := 0
		for _, vm := range set {
			r, ok := v.replies[vm]
			if ok && r.State == Granted && !superseded(vm, r.Proof.Incarnation, proofs) {
				grants++
			}
		}
		if grants < majority(len(set)) {
			return false
		}
	}
	return true
}

// dropGrants turns the grants of an aborted attempt into absence.
func (v *view) dropGrants() {
	for vm, r := range v.replies {
		if r.State == Granted {
			r.State = Absent
			v.replies[vm] = r
		}
	}
}

// verdict returns what ends a session whatever the other holders say.
func (v *view) verdict() (*Answer, *errkind.Error) {
	mismatch := false
	for _, r := range v.replies {
		if r.State == Finished && r.Answer != nil {
			if r.Answer.Dropped {
				return nil, errkind.New(errkind.AnswerNotKept, "the request ran; its answer was too large to keep")
			}
			return r.Answer, nil
		}
		mismatch = mismatch || r.State == Mismatch
	}
	if mismatch {
		return nil, errkind.New(errkind.IDReused, "the idempotency key was used for another request")
	}
	return nil, nil
}

// others returns the attempts seen that are not among own.
func (v *view) others(own []Attempt) []heldBy {
	var found []heldBy
	for _, r := range v.replies {
		if r.State != Started || slices.Contains(own, r.Attempt) {
			continue
		}
		if !slices.ContainsFunc(found, func(h heldBy) bool { return h.attempt == r.Attempt }) {
			found = append(found, heldBy{r.Attempt, r.Holders})
		}
	}
	return found
}

// sawOwn reports whether a holder still stores an earlier attempt of the
// session, whose abort has not arrived.
func (v *view) sawOwn(own []Attempt) bool {
	for _, r := range v.replies {
		if r.State == Started && slices.Contains(own, r.Attempt) {
			return true
		}
	}
	return false
}

// mayBeRunning reports whether the other attempt may have a majority in each
// of its sets. A holder that gave no clear answer may have granted it.
func (v *view) mayBeRunning(other heldBy) bool {
	for _, set := range other.sets {
		possible := 0
		for _, vm := range set {
			r, ok := v.replies[vm]
			without := ok && (r.State == Absent || r.State == Started && r.Attempt != other.attempt)
			if !without {
				possible++
			}
		}
		if possible < majority(len(set)) {
			return false
		}
	}
	return true
}

// allAbsent reports whether every holder answered and stores no attempt.
func (v *view) allAbsent(holders []string) bool {
	for _, vm := range holders {
		r, ok := v.replies[vm]
		if !ok || r.State != Absent && r.State != Aborted {
			return false
		}
	}
	return true
}
