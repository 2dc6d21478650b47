package record

import (
	"context"
	"slices"
	"time"
)

// finishWait bounds how long Finish waits for a majority when ctx allows more.
const finishWait = 2 * time.Second

// Running is an attempt that a majority of every holder set granted: the only
// one of its ID that may send.
type Running struct {
	session *session
	attempt Attempt
}

func (s *session) running(a Attempt) *Running { return &Running{session: s, attempt: a} }

// Attempt returns the name of the attempt.
func (r *Running) Attempt() Attempt { return r.attempt }

// Finish stores the answer at the holders. It returns when a majority of every
// set stored it, ctx ends or finishWait is over; the other holders are told in
// the background with bounded retries. Answers above MaxAnswerBytes are kept
// as dropped.
func (r *Running) Finish(ctx context.Context, answer Answer) {
	s := r.session
	request := FinishRequest{
		ID:          s.request.ID,
		Attempt:     r.attempt,
		Fingerprint: s.request.Fingerprint,
		FirstSent:   s.request.FirstSent,
		Retention:   s.request.Retention,
		Holders:     s.sets,
		Answer:      trim(answer),
	}
	s.tell(remaining(ctx, finishWait), s.holders, MethodFinish, request, s.majorityOfAll)
}

// Abort gives the attempt up. It must be called only if no byte of the request
// can have reached a target, or the target refused it before running it.
func (r *Running) Abort(ctx context.Context) {
	s := r.session
	s.tell(remaining(ctx, abortWait), s.holders, MethodAbort, s.abortRequest(r.attempt, s.sets), s.majorityOfAll)
}

func (s *session) majorityOfAll(acked []string) bool {
	for _, set := range s.sets {
		count := 0
		for _, vm := range set {
			if slices.Contains(acked, vm) {
				count++
			}
		}
		if count < majority(len(set)) {
			return false
		}
	}
	return true
}

// remaining is the time until ctx ends, at most limit.
func remaining(ctx context.Context, limit time.Duration) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if deadline, ok := ctx.Deadline(); ok {
		return max(0, min(limit, time.Until(deadline)))
	}
	return limit
}
