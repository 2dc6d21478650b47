package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Guards against a waiter that waits beyond its deadline or is never woken, and
// against more requests in flight than the target has slots.
func TestAcquireReturnsByDeadlineAndRespectsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := time.Now()
		clock := func() time.Duration { return time.Since(origin) }
		g := NewGateWithClock(Limits{Slots: 4, ColdSlots: 2, QueueLimit: 16}, clock)
		var running, admitted atomic.Int32
		var wg sync.WaitGroup
		for n := range 400 {
			r := rand.New(rand.NewPCG(1, uint64(n)))
			wg.Go(func() {
				time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
				limit := time.Duration(1+r.IntN(100)) * time.Millisecond
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				defer cancel()
				req := Request{Tenant: string(rune('a' + n%3)), Class: Class(n % 3), Alone: n%50 == 0}
				if n%2 == 0 {
					limit /= 2
					req.Deadline = clock() + limit
				}
				start := clock()
				slot, err := g.Acquire(ctx, req)
				if clock()-start > limit {
					t.Errorf("request %d waited %s of %s", n, clock()-start, limit)
				}
				if err != nil {
					if err.Outcome() != errkind.NotRun {
						t.Errorf("request %d was refused with outcome %s", n, err.Outcome())
					}
					return
				}
				now := running.Add(1)
				if now > 4 || req.Alone && now != 1 {
					t.Errorf("%d requests run, alone: %v", now, req.Alone)
				}
				admitted.Add(1)
				time.Sleep(time.Duration(1+r.IntN(15)) * time.Millisecond)
				running.Add(-1)
				slot.Release(Result{Latency: clock() - start, OK: true})
				slot.Release(Result{}) // a second release must not free a slot
			})
		}
		wg.Wait()
		if s := g.Snapshot(); s.InFlight != 0 || s.Queued != 0 || admitted.Load() < 100 {
			t.Errorf("after %d admitted requests: %+v", admitted.Load(), s)
		}
	})
}

// Guards against a cancelled request that stays in the queue, and against waiters
// that are not admitted after a restart.
func TestCancelAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Limits{Slots: 2, ColdSlots: 1, QueueLimit: 4})
		first, _ := g.Acquire(t.Context(), Request{Fingerprint: 1})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		if _, err := g.Acquire(ctx, Request{}); err == nil || err.Kind != errkind.QueueTimeout {
			t.Errorf("cancelled: %v", err)
		}
		if _, err := g.Acquire(ctx, Request{}); err == nil {
			t.Error("a cancelled context gets a slot")
		}
		// The context has no deadline: without a timer on the request's deadline this
		// call would never return.
		late := Request{Deadline: Monotonic() + time.Second}
		if _, err := g.Acquire(t.Context(), late); err == nil || err.Kind != errkind.QueueTimeout {
			t.Errorf("past its deadline: %v", err)
		}
		time.AfterFunc(time.Second, func() { g.SetLimits(Limits{Slots: 2, ColdSlots: 2, QueueLimit: 4}); g.Restart(0) })
		second, err := g.Acquire(t.Context(), Request{Fingerprint: 2})
		if err != nil || len(g.InFlight()) != 2 {
			t.Errorf("after the restart: %v, in flight %v", err, g.InFlight())
		}
		first.Release(Result{Crashed: true})
		second.Release(Result{})
	})
}

func BenchmarkGateAcquireRelease(b *testing.B) {
	g := NewGate(Limits{Slots: 64, ColdSlots: 64, QueueLimit: 512})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			slot, err := g.Acquire(context.Background(), Request{Tenant: "club"})
			if err != nil {
				b.Error(err)
				return
			}
			slot.Release(Result{Latency: time.Millisecond, OK: true})
		}
	})
}
