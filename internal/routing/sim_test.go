package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of the simulation: idempotent requests to an `any` service arrive at
// random at entry VMs, each of which chooses targets by itself.
const (
	simTargets = 12
	simEntries = 9
	// simHop is the network delay in each direction.
	simHop = 500 * time.Microsecond
	// simFixed and simRandom are the fixed part and the mean of the exponentially
	// distributed part of the service time.
	simFixed    = 2 * time.Millisecond
	simRandom   = 8 * time.Millisecond
	simDeadline = 2 * time.Second
	// simSlowdown multiplies the service time of slow targets.
	simSlowdown = 10
	// reportAge is the age of the load reports, reportStep the time between them.
	reportAge  = 2 * time.Second
	reportStep = 100 * time.Millisecond
)

// policy chooses a target other than exclude for a request at an entry VM.
type policy func(now time.Duration, entry, exclude int) int

var policies = []string{"round robin", "least loaded, report 2 s old", "two choices"}

func (s *sim) roundRobin(now time.Duration, entry, exclude int) int {
	s.turns[entry]++
	if t := (s.turns[entry] + entry) % simTargets; t != exclude {
		return t
	}
	return s.roundRobin(now, entry, exclude)
}

// leastReported chooses the target with the least load among the reports of reportAge
// ago.
func (s *sim) leastReported(_ time.Duration, _, exclude int) int {
	order := s.rng.Perm(simTargets)
	order = slices.DeleteFunc(order, func(t int) bool { return t == exclude })
	return slices.MinFunc(order, func(a, b int) int { return s.reports[0][a] - s.reports[0][b] })
}

func (s *sim) twoChoices(now time.Duration, entry, exclude int) int {
	name := ""
	if exclude >= 0 {
		name = s.all[exclude].Target
	}
	c, _ := s.selectors[entry].Pick(now, s.all, name)
	return slices.Index(s.all, c)
}

type simRequest struct {
	entry    int
	at       time.Duration
	done     bool
	attempts []*attempt
}

type attempt struct {
	req     *simRequest
	target  int
	at      time.Duration
	running bool
	ended   bool
}

type simEvent struct {
	at  time.Duration
	run func(now time.Duration)
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)        { *h = append(*h, e.(simEvent)) }
func (h *eventHeap) Pop() any          { e := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return e }

// sim is one run of the simulation. The first `slowed` targets are slow from slowFrom
// until slowUntil, and the requests that arrive in that time are measured.
type sim struct {
	rng                 *rand.Rand
	slots, slowed       int
	slowFrom, slowUntil time.Duration
	hedging             bool
	policy              policy
	turns               [simEntries]int
	all                 []Candidate
	selectors           [simEntries]*Selector
	budgets             [simEntries]*Budget
	busy                [simTargets]int
	queues              [simTargets][]*attempt
	reports             [][simTargets]int
	events              eventHeap
	latencies           []time.Duration
	missed, extra       int
}

func newSim(slots, slowed int, length time.Duration, hedging bool) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(1, 2)), slots: slots, slowed: slowed, hedging: hedging,
		slowFrom: length / 6, slowUntil: length * 5 / 6, all: targets(simTargets),
		reports: make([][simTargets]int, int(reportAge/reportStep)+1),
	}
	for i := range s.selectors {
		s.selectors[i], s.budgets[i] = NewSelector(uint64(i+1)), NewBudget(0.05)
	}
	return s
}

func (s *sim) at(at time.Duration, run func(time.Duration)) {
	heap.Push(&s.events, simEvent{at, run})
}

// run simulates the given length of time with requests for half of the capacity of
// targets that are not slowed.
func (s *sim) run(length time.Duration) {
	rate := 0.5 * float64(simTargets*s.slots) / (simFixed + simRandom).Seconds()
	var arrive, report func(time.Duration)
	arrive = func(now time.Duration) {
		s.begin(now)
		if next := now + time.Duration(s.rng.ExpFloat64()/rate*1e9); next < length {
			s.at(next, arrive)
		}
	}
	report = func(now time.Duration) {
		var loads [simTargets]int
		for t := range loads {
			loads[t] = s.busy[t] + len(s.queues[t])
		}
		s.reports = append(s.reports[1:], loads)
		if now < length {
			s.at(now+reportStep, report)
		}
	}
	s.at(0, arrive)
	s.at(0, report)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		e.run(e.at)
	}
}

func (s *sim) begin(now time.Duration) {
	r := &simRequest{entry: s.rng.IntN(simEntries), at: now}
	s.budgets[r.entry].Earn()
	s.send(now, r, s.policy(now, r.entry, -1))
	s.at(now+simDeadline, func(now time.Duration) { s.finish(now, r, nil) })
	if !s.hedging {
		return
	}
	s.at(now+s.selectors[r.entry].HedgeAfter(now), func(now time.Duration) {
		if r.done || !s.budgets[r.entry].Spend() {
			return
		}
		s.extra++
		s.send(now, r, s.policy(now, r.entry, r.attempts[0].target))
	})
}

func (s *sim) send(now time.Duration, r *simRequest, target int) {
	a := &attempt{req: r, target: target, at: now}
	r.attempts = append(r.attempts, a)
	s.selectors[r.entry].Started(s.all[target].Target)
	s.at(now+simHop, func(now time.Duration) {
		s.queues[target] = append(s.queues[target], a)
		s.serve(now, target)
	})
}

// serve starts queued attempts while there are free slots.
func (s *sim) serve(now time.Duration, target int) {
	for s.busy[target] < s.slots && len(s.queues[target]) > 0 {
		a := s.queues[target][0]
		s.queues[target] = s.queues[target][1:]
		if a.ended {
			continue
		}
		a.running = true
		s.busy[target]++
		d := simFixed + time.Duration(s.rng.ExpFloat64()*float64(simRandom))
		if target < s.slowed && now >= s.slowFrom && now < s.slowUntil {
			d *= simSlowdown
		}
		s.at(now+d, func(now time.Duration) {
			s.release(now, a)
			s.at(now+simHop, func(now time.Duration) { s.finish(now, a.req, a) })
		})
	}
}

// release frees the slot of a running attempt that has completed or was cancelled.
func (s *sim) release(now time.Duration, a *attempt) {
	if a.running {
		a.running = false
		s.busy[a.target]--
		s.serve(now, a.target)
	}
}

// finish ends a request by the response to one of its attempts, or by its deadline if
// the attempt is nil, and cancels the other attempts.
func (s *sim) finish(now time.Duration, r *simRequest, by *attempt) {
	if r.done {
		return
	}
	r.done = true
	for _, a := range r.attempts {
		a.ended = true
		s.release(now, a)
		name := s.all[a.target].Target
		if a == by || by == nil {
			s.selectors[r.entry].Done(now, name, now-a.at, by != nil)
		} else {
			s.selectors[r.entry].Cancelled(now, name, now-a.at)
		}
	}
	if r.at < s.slowFrom || r.at >= s.slowUntil {
		return
	}
	s.latencies = append(s.latencies, now-r.at)
	if by == nil {
		s.missed++
	}
}

func (s *sim) quantile(q float64) time.Duration {
	slices.Sort(s.latencies)
	return s.latencies[int(q*float64(len(s.latencies)-1))]
}

// simulate runs the simulation with one policy.
func simulate(name string, slots, slowed int, hedging bool, length time.Duration) *sim {
	s := newSim(slots, slowed, length, hedging)
	s.policy = []policy{s.roundRobin, s.leastReported, s.twoChoices}[slices.Index(policies, name)]
	s.run(length)
	return s
}

// Guards against a p99 of two choices above half of that of the baselines while
// targets are slowed, against hedging that raises the p99.9, and against hedges
// beyond their budget.
func TestStragglersRaiseTailLatencyLittle(t *testing.T) {
	const length = 4 * time.Second
	for _, slowed := range []int{1, 2} {
		plain, hedged := simulate("two choices", 4, slowed, false, length), simulate("two choices", 4, slowed, true, length)
		for _, name := range policies[:2] {
			base := simulate(name, 4, slowed, false, length)
			if 2*plain.quantile(0.99) > base.quantile(0.99) {
				t.Errorf("%d slowed: p99 %v, %s %v, want at most half", slowed, plain.quantile(0.99), name, base.quantile(0.99))
			}
		}
		if hedged.quantile(0.999) > plain.quantile(0.999) {
			t.Errorf("%d slowed: p99.9 %v with hedges, %v without", slowed, hedged.quantile(0.999), plain.quantile(0.999))
		}
		if sent := hedged.extra * 100; sent > 5*len(hedged.latencies)*3/2+100*5*simEntries {
			t.Errorf("%d slowed: %d hedges for %d measured requests", slowed, hedged.extra, len(hedged.latencies))
		}
	}
}

// BenchmarkStragglers prints the rows of the table in docs/decisions.md.
func BenchmarkStragglers(b *testing.B) {
	for b.Loop() {
		for i := range 36 {
			slots, slowed, name, hedging := 4+i/18*2, i/6%3, policies[i/2%3], i%2 == 1
			s := simulate(name, slots, slowed, hedging, 60*time.Second)
			n, ms := float64(len(s.latencies)), func(q float64) float64 { return s.quantile(q).Seconds() * 1e3 }
			fmt.Printf("| %d | %d | %s | %v | %.1f | %.1f | %.1f | %.2f%% | %.1f%% |\n", slots, slowed, name, hedging,
				ms(0.5), ms(0.99), ms(0.999), 100*float64(s.missed)/n, 100*float64(s.extra)/(n*1.5))
		}
	}
}
