package record

import (
	"context"
	"time"
)

// takeover removes an attempt of a fenced VM if a majority of one of its
// holder sets did not grant it and promises never to. It reports whether the
// attempt is dead.
func (s *session) takeover(ctx context.Context, other heldBy) bool {
	request := s.abortRequest(other.attempt, other.sets)
	request.Promise = true
	refusals := s.collectPromises(ctx, union(other.sets), request)
	for _, set := range other.sets {
		if refusals.majorityOf(set) {
			request.Promise = false
			s.tell(remaining(ctx, abortWait), union(other.sets), MethodAbort, request, nil)
			return true
		}
	}
	return false
}

type promises map[string]AbortReply

// majorityOf reports whether a majority of the set refuses, not counting
// holders that restarted after their promise.
func (p promises) majorityOf(set []string) bool {
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
	type named struct {
		vm    string
		reply AbortReply
		err   error
	}
	replies := make(chan named, len(holders))
	for _, vm := range holders {
		go func() {
			n := named{vm: vm}
			n.err = call(ctx, s.coordinator.transport, startTimeout, vm, MethodAbort, request, &n.reply)
			replies <- n
		}()
	}
	found := make(promises, len(holders))
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	for range holders {
		select {
		case n := <-replies:
			if n.err == nil {
				found[n.vm] = n.reply
			}
		case <-ctx.Done():
			return found
		case <-timeout.C:
			return found
		}
	}
	return found
}
