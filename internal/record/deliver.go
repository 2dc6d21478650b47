package record

import (
	"context"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/clock"
)

// deliverToAll delivers a request to the holders with bounded retries. It
// returns once enough reports true for the holders that acknowledged, all
// deliveries have ended, or wait has elapsed; the remaining deliveries continue
// in the background. If enough is nil, it waits for all deliveries.
func (s *session) deliverToAll(wait time.Duration, holders []string, method string, request any, enough func(acked []string) bool) {
	timeout := time.After(wait)
	acks := make(chan string, len(holders))
	var pending sync.WaitGroup
	for _, vm := range holders {
		s.coordinator.deliveries.Add(1)
		pending.Go(func() {
			defer s.coordinator.deliveries.Done()
			if s.coordinator.deliver(vm, method, request) {
				acks <- vm
			}
		})
	}
	go func() { pending.Wait(); close(acks) }()
	var acked []string
	for {
		select {
		case vm, open := <-acks:
			if !open {
				return
			}
			acked = append(acked, vm)
			if enough != nil && enough(acked) {
				return
			}
		case <-timeout:
			return
		}
	}
}

// Retries of background deliveries; the backoff doubles after every retry.
const (
	deliverTries   = 6
	deliverTimeout = time.Second
	deliverBackoff = 50 * time.Millisecond
)

// deliver sends a request to a holder with bounded retries and reports whether
// the holder acknowledged it. When too many deliveries are pending, it makes only
// one try.
func (c *Coordinator) deliver(vm, method string, request any) bool {
	tries := 1
	select {
	case c.retrySlots <- struct{}{}:
		defer func() { <-c.retrySlots }()
		tries = deliverTries
	default:
	}
	backoff := deliverBackoff
	for try := range tries {
		if try > 0 {
			clock.Sleep(context.Background(), c.jitter(backoff))
			backoff *= 2
		}
		var reply AbortReply
		if call(context.Background(), c.transport, deliverTimeout, vm, method, request, &reply) == nil {
			return true
		}
	}
	return false
}
