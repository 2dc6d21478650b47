package record

import (
	"context"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// view holds the replies of the holders in one round of starts or queries.
type view struct {
	sets    [][]string
	replies map[string]StartReply
}

// otherAttempt is an attempt that a holder reported, with its holder sets.
type otherAttempt struct {
	attempt Attempt
	sets    [][]string
}

type namedReply struct {
	vm    string
	reply StartReply
	err   error
}

// startOrQuery sends a start of attempt a, or only a query, to all holders. It
// returns early when the attempt is granted, or a stored response or a mismatch
// is found. Calls that are still in flight then continue until their timeout.
func (s *session) startOrQuery(ctx context.Context, a Attempt, query bool) *view {
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
		response, err := v.finalResult()
		if v.granted() || response != nil || err != nil {
			return v
		}
	}
	return v
}

// superseded reports whether vm sent a reply with the given incarnation before
// it lost its memory and copied records again.
func superseded(vm string, incarnation int64, proofs []Proof) bool {
	return slices.ContainsFunc(proofs, func(p Proof) bool { return p.HolderIncarnations[vm] > incarnation })
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

// dropGrants replaces the grants of an aborted attempt by Absent.
func (v *view) dropGrants() {
	for vm, r := range v.replies {
		if r.State == Granted {
			r.State = Absent
			v.replies[vm] = r
		}
	}
}

// finalResult returns the response or the error that ends a session regardless
// of the replies of other holders, or nil, nil if there is neither.
func (v *view) finalResult() (*Response, *errkind.Error) {
	mismatch := false
	for _, r := range v.replies {
		if r.State == Finished && r.Response != nil {
			if r.Response.Dropped {
				return nil, errkind.New(errkind.AnswerNotKept, "the request ran, but its response was not kept")
			}
			return r.Response, nil
		}
		mismatch = mismatch || r.State == Mismatch
	}
	if mismatch {
		return nil, errkind.New(errkind.IDReused, "the idempotency key was used for another request")
	}
	return nil, nil
}

// others returns the reported attempts that are not in own.
func (v *view) others(own []Attempt) []otherAttempt {
	var found []otherAttempt
	for _, r := range v.replies {
		if r.State != Started || slices.Contains(own, r.Attempt) {
			continue
		}
		if !slices.ContainsFunc(found, func(h otherAttempt) bool { return h.attempt == r.Attempt }) {
			found = append(found, otherAttempt{r.Attempt, r.Holders})
		}
	}
	return found
}

// sawOwn reports whether a holder still stores an attempt of own, because the
// abort of the attempt has not arrived.
func (v *view) sawOwn(own []Attempt) bool {
	for _, r := range v.replies {
		if r.State == Started && slices.Contains(own, r.Attempt) {
			return true
		}
	}
	return false
}

// mayBeRunning reports whether the other attempt may have a majority in each of
// its sets. A holder may have granted it unless it replied Absent or reported
// that another attempt is started.
func (v *view) mayBeRunning(other otherAttempt) bool {
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

// allAbsent reports whether every holder replied that it stores no attempt or
// refuses the attempt.
func (v *view) allAbsent(holders []string) bool {
	for _, vm := range holders {
		r, ok := v.replies[vm]
		if !ok || r.State != Absent && r.State != Aborted {
			return false
		}
	}
	return true
}
