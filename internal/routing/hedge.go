package routing

import (
	"context"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/text"
)

// MayHedge reports whether a request may be sent a second time before the response
// to the first send, and counts the hedge in the budget. Only idempotent requests to
// `any` services may be hedged: another target must not serve a key of an exclusive
// service.
func MayHedge(b *Budget, ownership text.Ownership, idempotent bool) bool {
	return idempotent && ownership == text.AnyTarget && b.Spend()
}

// Hedge runs send and, if it has not returned after the given time and allow
// returns true, runs it a second time with hedge set. It returns the first success
// and cancels the context of the other send. An error is returned only when no
// other send is running. send may still run when Hedge returns; it must return
// soon after its context is cancelled.
func Hedge[T any](ctx context.Context, after time.Duration, allow func() bool,
	send func(ctx context.Context, hedge bool) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 2)
	run := func(hedge bool) {
		v, err := send(ctx, hedge)
		results <- result{v, err}
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	due := timer.C
	running := 1
	go run(false)
	for {
		select {
		case r := <-results:
			running--
			if r.err == nil || running == 0 {
				return r.value, r.err
			}
		case <-due:
			due = nil
			if ctx.Err() == nil && allow() {
				running++
				go run(true)
			}
		}
	}
}
