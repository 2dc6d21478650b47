package record

import (
	"context"
	"slices"
	"time"
)

// finishWait bounds how long Finish waits for a majority when ctx allows more.
const finishWait = 2 * time.Second

// Running is an attempt that a majority of every holder set granted. No other
// attempt of its ID may send the request to a target.
type Running struct {
	session *session
	attempt Attempt
}

func (s *session) running(a Attempt) *Running { return &Running{session: s, attempt: a} }

// Attempt returns the identity of the attempt.
func (r *Running) Attempt() Attempt { return r.attempt }

// Finish stores the response at the holders. It returns when a majority of every
// set has stored it, ctx ends or finishWait has elapsed; deliveries to the other
// holders continue in the background with bounded retries. A response larger than
// MaxResponseBytes is stored as Dropped, with its status only.
func (r *Running) Finish(ctx context.Context, response Response) {
	s := r.session
	request := FinishRequest{
		ID:          s.request.ID,
		Attempt:     r.attempt,
		Fingerprint: s.request.Fingerprint,
		FirstSent:   s.request.FirstSent,
		Retention:   s.request.Retention,
		Holders:     s.sets,
		Response:    dropOversized(response),
	}
	s.deliverToAll(remaining(ctx, finishWait), s.holders, MethodFinish, request, s.majorityOfAll)
}

// Abort aborts the attempt. It must be called only if no byte of the request can
// have reached a target, or the target refused the request before running it.
func (r *Running) Abort(ctx context.Context) {
	s := r.session
	s.deliverToAll(remaining(ctx, abortWait), s.holders, MethodAbort, s.abortRequest(r.attempt, s.sets), s.majorityOfAll)
}

// majorityOfAll reports whether a majority of every holder set acknowledged.
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

// remaining returns the time until ctx ends, but at most limit.
func remaining(ctx context.Context, limit time.Duration) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if deadline, ok := ctx.Deadline(); ok {
		return max(0, min(limit, time.Until(deadline)))
	}
	return limit
}
