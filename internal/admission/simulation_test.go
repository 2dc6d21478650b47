package admission

import (
	"bytes"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// simulation runs requests on a core in steps of 1 ms.
type simulation struct {
	c    *core
	now  time.Duration
	live []*simulatedRequest
	// latency returns the latency of a request that starts with n requests in
	// flight, itself included.
	latency func(now time.Duration, n int) time.Duration
	// counts are the numbers of ended requests by "tenant class outcome".
	counts map[string]int
	log    *bytes.Buffer
}

type simulatedRequest struct {
	w     *waiter
	start time.Duration
	end   time.Duration
}

const step = time.Millisecond

func (s *simulation) arrive(tenant string, class Class, timeout time.Duration) {
	w := &waiter{
		req:  Request{Tenant: tenant, Class: class, Deadline: s.now + timeout},
		done: make(chan struct{}),
	}
	s.live = append(s.live, &simulatedRequest{w: w})
	s.c.submit(s.now, w)
}

// run simulates steps up to the given time and calls arrivals in each of them.
func (s *simulation) run(until time.Duration, arrivals func()) {
	for ; s.now < until; s.now += step {
		arrivals()
		// A release may start another request in the same step.
		for range 2 {
			s.live = s.advance(s.live)
		}
	}
}

// advance starts admitted requests, ends those that are due, counts the outcomes
// and returns the requests that have not ended.
func (s *simulation) advance(live []*simulatedRequest) []*simulatedRequest {
	var remaining []*simulatedRequest
	for _, l := range live {
		if l.w.state == inFlight && l.end == 0 {
			l.start = s.now
			l.end = s.now + s.latency(s.now, len(s.c.running))
		}
		if l.w.state == inFlight && l.end <= s.now {
			s.c.release(s.now, l.w, Result{Latency: l.end - l.start, OK: true})
		}
		if l.w.state == waiting || l.w.state == inFlight {
			remaining = append(remaining, l)
			continue
		}
		outcome := "answered"
		if l.w.state == refused {
			outcome = string(l.w.refusal.Kind)
		} else if l.end > l.w.req.Deadline {
			outcome = "late"
		}
		s.counts[l.w.req.Tenant+" "+l.w.req.Class.String()+" "+outcome]++
	}
	return remaining
}

// report logs the state and the outcomes since the last report.
func (s *simulation) report(label string) {
	stats := s.c.stats(s.now)
	fmt.Fprintf(s.log, "  %6s limit %d, in flight %d, queued %d: %s\n", s.now, stats.Limit, stats.InFlight, stats.Queued, label)
	var names []string
	for name := range s.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(s.log, "         %s %d\n", name, s.counts[name])
	}
	clear(s.counts)
}

var simulations = []struct {
	name   string
	limits Limits
	run    func(s *simulation)
}{
	{"cold start under full load", Limits{Slots: 6, ColdSlots: 1, QueueLimit: 48}, func(s *simulation) {
		// A cold target can run one more request at its normal latency after every
		// 100 ms.
		s.latency = func(now time.Duration, n int) time.Duration {
			if n > 1+int(now/(100*time.Millisecond)) {
				return 100 * time.Millisecond
			}
			return 10 * time.Millisecond
		}
		for end := 100 * time.Millisecond; end <= 800*time.Millisecond; end += 100 * time.Millisecond {
			s.run(end, func() { s.arrive("club", Interactive, 100*time.Millisecond) })
			s.report("1000 requests/s")
		}
	}},
	{"unannounced cold transition", Limits{Slots: 4, ColdSlots: 1, QueueLimit: 32}, func(s *simulation) {
		s.latency = func(now time.Duration, n int) time.Duration {
			if now > time.Second && now < 1500*time.Millisecond {
				return 20 * time.Millisecond * time.Duration(n)
			}
			return 5 * time.Millisecond
		}
		arrivals := func() {
			if s.now%(2*step) == 0 {
				s.arrive("shop", Interactive, 100*time.Millisecond)
			}
		}
		for _, end := range []int{900, 1060, 1100, 1200, 1500, 2000} {
			s.run(time.Duration(end)*time.Millisecond, arrivals)
			s.report(fmt.Sprintf("%d cold transitions", s.c.stats(s.now).ColdTransitions))
		}
	}},
	{"shedding by class", Limits{Slots: 2, ColdSlots: 2, QueueLimit: 8}, func(s *simulation) {
		s.latency = func(time.Duration, int) time.Duration { return 10 * time.Millisecond }
		s.run(500*time.Millisecond, func() {
			switch s.now % (30 * step) {
			case 0, 10 * step:
				s.arrive("club", Interactive, 200*time.Millisecond)
				s.arrive("club", Write, 200*time.Millisecond)
			}
			if s.now%(3*step) == 0 {
				s.arrive("club", Batch, time.Second)
			}
		})
		s.report("interactive 67/s, write 67/s, batch 333/s on 200/s")
		for range 9 {
			s.arrive("club", Interactive, time.Second)
		}
		s.run(s.now+step, func() {})
		s.report("9 interactive at once")
	}},
	{"one greedy tenant", Limits{Slots: 2, ColdSlots: 2, QueueLimit: 16}, func(s *simulation) {
		s.latency = func(time.Duration, int) time.Duration { return 10 * time.Millisecond }
		s.run(time.Second, func() {
			s.arrive("greedy", Write, 500*time.Millisecond)
			if s.now%(20*step) == 0 {
				s.arrive("modest", Write, 500*time.Millisecond)
			}
		})
		s.report("greedy 1000/s, modest 50/s on 200/s")
	}},
	{"deadlines that cannot be met", Limits{Slots: 1, ColdSlots: 1, QueueLimit: 64}, func(s *simulation) {
		s.latency = func(time.Duration, int) time.Duration { return 50 * time.Millisecond }
		s.run(time.Second, func() {
			if s.now%(20*step) == 0 {
				s.arrive("club", Interactive, 120*time.Millisecond)
			}
		})
		s.report("50/s on 20/s, deadline 120 ms")
	}},
}

// Guards against sending a cold target its full load at once, a class or tenant
// that starves others, and work on requests whose deadline has passed.
func TestSimulations(t *testing.T) {
	var log bytes.Buffer
	for _, sim := range simulations {
		fmt.Fprintf(&log, "%s\n", sim.name)
		sim.run(&simulation{c: newCore(sim.limits), counts: make(map[string]int), log: &log})
	}
	goldie.New(t).Assert(t, "simulations", log.Bytes())
}
