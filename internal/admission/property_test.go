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

// envInt reads a positive number from the environment.
func envInt(name string, otherwise int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil && n > 0 {
		return n
	}
	return otherwise
}

// machine applies random operations to a core.
type machine struct {
	c    *core
	r    *rand.Rand
	now  time.Duration
	live []*waiter
}

func (m *machine) limits() Limits {
	slots := 1 + m.r.IntN(6)
	return Limits{Slots: slots, ColdSlots: 1 + m.r.IntN(slots), QueueLimit: m.r.IntN(12)}
}

func (m *machine) step() {
	m.now += time.Duration(m.r.IntN(10)) * time.Millisecond
	switch op := m.r.IntN(20); {
	case op < 9:
		w := &waiter{done: make(chan struct{})}
		w.ticket = Ticket{
			Tenant: string(rune('a' + m.r.IntN(4))), Class: Class(m.r.IntN(4)), Share: m.r.IntN(3),
			Deadline: m.now + time.Duration(m.r.IntN(200))*time.Millisecond, Alone: m.r.IntN(10) == 0,
		}
		m.live = append(m.live, w)
		m.c.submit(m.now, w)
	case op < 17 && len(m.live) > 0:
		r := Result{Latency: time.Duration(m.r.IntN(50)) * time.Millisecond, OK: m.r.IntN(5) > 0}
		m.c.release(m.now, m.live[m.r.IntN(len(m.live))], r)
	case op == 17 && len(m.live) > 0:
		m.c.cancel(m.now, m.live[m.r.IntN(len(m.live))])
	case op == 18:
		m.c.setLimits(m.now, m.limits())
	case op == 19:
		m.c.restart(m.now)
	}
}

// check compares the core with the waiters; before are those in flight before
// the last operation.
func (m *machine) check(before map[*waiter]struct{}) string {
	running, queued, alone, admitted := 0, 0, 0, 0
	for _, w := range m.live {
		switch w.state {
		case waiting:
			queued++
		case refused:
			if w.refusal.Outcome() != errkind.NotRun {
				return "refused with outcome " + string(w.refusal.Outcome())
			}
		case inFlight:
			running++
			if w.ticket.Alone {
				alone++
			}
			if _, ran := before[w]; !ran {
				admitted++
			}
		}
	}
	switch limit := m.c.ramp.limit; {
	case limit < 1 || limit > m.c.limits.Slots:
		return fmt.Sprintf("limit %d of %d slots", limit, m.c.limits.Slots)
	case admitted > 0 && running > limit:
		return fmt.Sprintf("%d in flight with limit %d", running, limit)
	case alone > 0 && running > 1:
		return fmt.Sprintf("%d in flight beside one that runs alone", running-1)
	case running != len(m.c.running) || queued != m.c.queue.length:
		return "counts differ"
	case running == 0 && queued > 0:
		return "requests wait for an idle target"
	case queued > 0 && m.c.mayRun(m.c.queue.peek()):
		return fmt.Sprintf("%d wait beside a free slot", queued)
	}
	return ""
}

func (m *machine) run() string {
	for range 150 {
		before := maps.Clone(m.c.running)
		m.step()
		if fault := m.check(before); fault != "" {
			return fault
		}
	}
	for range m.live {
		for w := range m.c.running {
			m.c.release(m.now, w, Result{})
		}
	}
	return m.check(maps.Clone(m.c.running))
}

// Guards against a slot count that is exceeded, company for a suspect of a
// crash, and requests that wait for ever.
func TestAdmissionInvariants(t *testing.T) {
	seed := envInt("FLAMINGOREEL_TEST_SEED", 1)
	cases := envInt("FLAMINGOREEL_SOAK_SEEDS", 500)
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = int(cases)
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	properties.Property("slots are exact and every request ends", prop.ForAll(
		func(seed uint64) string {
			m := &machine{r: rand.New(rand.NewPCG(seed, 0))}
			m.c = newCore(m.limits())
			if fault := m.run(); fault != "" {
				return fmt.Sprintf("seed %d: %s", seed, fault)
			}
			return ""
		}, gen.UInt64()))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Fatalf("run again: FLAMINGOREEL_TEST_SEED=%d FLAMINGOREEL_SOAK_SEEDS=%d go test -run %s ./internal/admission", seed, cases, t.Name())
	}
}
