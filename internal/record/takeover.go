package record

import (
	"context"
	"time"
)

// takeover aborts an attempt of a fenced VM if a majority of one of its holder
// sets did not grant it and promises never to grant it. It reports whether the
// attempt is aborted.
func (s *session) takeover(ctx context.Context, other otherAttempt) bool {
	request := s.abortRequest(other.attempt, other.sets)
	request.Promise = true
	refusals := s.collectPromises(ctx, union(other.sets), request)
	for _, set := range other.sets {
		if refusals.majorityRefuses(set) {
			request.Promise = false
			s.deliverToAll(remaining(ctx, abortWait), union(other.sets), MethodAbort, request, nil)
			return true
		}
	}
	return false
}

// promises are the replies to promise requests by holder.
type promises map[string]AbortReply

// majorityRefuses reports whether a majority of the set refuses the attempt, not
// counting holders that restarted after their promise.
func (p promises) majorityRefuses(set []string) bool {
	proofs := make([]Proof, 0, len(p))
	for _, r := range p {
		proofs = append(proofs, r.Proof)
	}
	count := 0
	for _, vm := range set {
		r, ok := p[vm]
		if ok && r.Refused && !superseded(vm, r.Proof.Incarnation, proofs) {
			count++
		}
	}
	return count >= majority(len(set))
}

func (s *session) collectPromises(ctx context.Context, holders []string, request AbortRequest) promises {
	type result struct {
		vm    string
		reply AbortReply
		err   error
	}
	replies := make(chan result, len(holders))
	for _, vm := range holders {
		go func() {
			r := result{vm: vm}
			r.err = call(ctx, s.coordinator.transport, startTimeout, vm, MethodAbort, request, &r.reply)
			replies <- r
		}()
	}
	found := make(promises, len(holders))
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	for range holders {
		select {
		case r := <-replies:
			if r.err == nil {
				found[r.vm] = r.reply
			}
		case <-ctx.Done():
			return found
		case <-timeout.C:
			return found
		}
	}
	return found
}
