package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Guards against a waiter that outlives its deadline or is never woken.
func TestAcquireWaitsAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Limits{Slots: 1, ColdSlots: 1, QueueLimit: 2})
		first, err := g.Acquire(context.Background(), Ticket{Tenant: "a"})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := g.Acquire(ctx, Ticket{Tenant: "a"}); err == nil || err.Kind != errkind.QueueTimeout {
			t.Fatalf("got %v", err)
		}
		time.AfterFunc(time.Second, func() { first.Release(Result{Latency: time.Second, OK: true}) })
		second, err := g.Acquire(context.Background(), Ticket{Tenant: "b"})
		if err != nil {
			t.Fatal(err)
		}
		second.Release(Result{})
		if s := g.Snapshot(); s.InFlight != 0 || s.Queued != 0 {
			t.Fatalf("got %+v", s)
		}
	})
}
