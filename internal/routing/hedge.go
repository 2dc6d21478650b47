package routing

import (
	"context"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/text"
)

// MayHedge reports whether a request may be sent a second time while the first
// send is unanswered, and counts it in the budget. Only idempotent requests to
// `any` services may: another target may not serve an exclusive service's key.
func MayHedge(b *Budget, ownership text.Ownership, idempotent bool) bool {
	return idempotent && ownership == text.Any && b.Spend()
}

// Hedge runs send and, if it has not ended after the given time and allow
// agrees, runs it a second time with hedge set. It returns the first success
// and cancels the context of the other send. An error is returned only when no
// other send is running. send may still run when Hedge returns; it must end
// soon after its context.
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
