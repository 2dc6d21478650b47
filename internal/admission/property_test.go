package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// envInt returns a positive number from the environment, or the fallback if the
// variable is not set to one.
func envInt(name string, fallback int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil && n > 0 {
		return n
	}
	return fallback
}

// randomOps applies random operations to a core.
type randomOps struct {
	c    *core
	r    *rand.Rand
	now  time.Duration
	live []*waiter
}

func (o *randomOps) limits() Limits {
	slots := 1 + o.r.IntN(6)
	return Limits{Slots: slots, ColdSlots: 1 + o.r.IntN(slots), QueueLimit: o.r.IntN(12)}
}

func (o *randomOps) step() {
	o.now += time.Duration(o.r.IntN(10)) * time.Millisecond
	switch op := o.r.IntN(20); {
	case op < 9:
		w := &waiter{done: make(chan struct{})}
		w.req = Request{
			Tenant: string(rune('a' + o.r.IntN(4))), Class: Class(o.r.IntN(4)), Share: o.r.IntN(3),
			Deadline: o.now + time.Duration(o.r.IntN(200))*time.Millisecond, Alone: o.r.IntN(10) == 0,
		}
		o.live = append(o.live, w)
		o.c.submit(o.now, w)
	case op < 17 && len(o.live) > 0:
		r := Result{Latency: time.Duration(o.r.IntN(50)) * time.Millisecond, OK: o.r.IntN(5) > 0}
		o.c.release(o.now, o.live[o.r.IntN(len(o.live))], r)
	case op == 17 && len(o.live) > 0:
		o.c.cancel(o.now, o.live[o.r.IntN(len(o.live))])
	case op == 18:
		o.c.setLimits(o.now, o.limits())
	case op == 19:
		o.c.restart(o.now)
	}
}

// check compares the state of the core with that of the waiters and returns the
// first violation, or "". The waiters in before were in flight before the last
// operation.
func (o *randomOps) check(before map[*waiter]struct{}) string {
	running, queued, alone, admitted := 0, 0, 0, 0
	for _, w := range o.live {
		switch w.state {
		case waiting:
			queued++
		case refused:
			if w.refusal.Outcome() != errkind.NotRun {
				return "refused with outcome " + string(w.refusal.Outcome())
			}
		case inFlight:
			running++
			if w.req.Alone {
				alone++
			}
			if _, ran := before[w]; !ran {
				admitted++
			}
		}
	}
	switch limit := o.c.ramp.limit; {
	case limit < 1 || limit > o.c.limits.Slots:
		return fmt.Sprintf("limit %d of %d slots", limit, o.c.limits.Slots)
	case admitted > 0 && running > limit:
		return fmt.Sprintf("%d in flight with limit %d", running, limit)
	case alone > 0 && running > 1:
		return fmt.Sprintf("%d others in flight with a request that must run alone", running-1)
	case running != len(o.c.running) || queued != o.c.queue.length:
		return "counts differ"
	case running == 0 && queued > 0:
		return "requests are queued for an idle target"
	case queued > 0 && o.c.mayRun(o.c.queue.peek()):
		return fmt.Sprintf("%d requests are queued while a slot is free", queued)
	}
	return ""
}

func (o *randomOps) run() string {
	for range 150 {
		before := maps.Clone(o.c.running)
		o.step()
		if violation := o.check(before); violation != "" {
			return violation
		}
	}
	for range o.live {
		for w := range o.c.running {
			o.c.release(o.now, w, Result{})
		}
	}
	return o.check(maps.Clone(o.c.running))
}

// Guards against more requests in flight than the limit allows, other requests in
// flight with one that must run alone, and requests that wait for ever.
func TestAdmissionInvariants(t *testing.T) {
	seed := envInt("FLAMINGOREEL_TEST_SEED", 1)
	cases := envInt("FLAMINGOREEL_SOAK_SEEDS", 500)
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = int(cases)
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	properties.Property("the limit is never exceeded and every request ends", prop.ForAll(
		func(seed uint64) string {
			o := &randomOps{r: rand.New(rand.NewPCG(seed, 0))}
			o.c = newCore(o.limits())
			if violation := o.run(); violation != "" {
				return fmt.Sprintf("seed %d: %s", seed, violation)
			}
			return ""
		}, gen.UInt64()))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Fatalf("run again: FLAMINGOREEL_TEST_SEED=%d FLAMINGOREEL_SOAK_SEEDS=%d go test -run %s ./internal/admission", seed, cases, t.Name())
	}
}
