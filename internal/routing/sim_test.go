package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The load of the simulation: callers of an idempotent request to an `any`
// service arrive at random at entries, each of which chooses by itself.
const (
	simTargets  = 12
	simEntries  = 9
	simHop      = 500 * time.Microsecond
	simFixed    = 2 * time.Millisecond
	simRandom   = 8 * time.Millisecond
	simDeadline = 2 * time.Second
	simSlowdown = 10
	reportAge   = 2 * time.Second
	reportStep  = 100 * time.Millisecond
)

// policy chooses a target; learn and the like are for Selector only.
type policy interface {
	pick(now time.Duration, entry, exclude int) int
}

type roundRobin struct{ next [simEntries]int }

func (p *roundRobin) pick(_ time.Duration, entry, exclude int) int {
	p.next[entry]++
	if t := (p.next[entry] + entry) % simTargets; t != exclude {
		return t
	}
	return p.pick(0, entry, exclude)
}

// leastReported takes the least load that targets reported reportAge ago.
type leastReported struct{ s *sim }

func (p leastReported) pick(_ time.Duration, _, exclude int) int {
	best, ties := -1, 0
	for t, load := range p.s.reports[0] {
		if t == exclude {
			continue
		}
		if best < 0 || load < p.s.reports[0][best] {
			best, ties = t, 1
		} else if load == p.s.reports[0][best] {
			if ties++; p.s.rng.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

type twoChoices struct{ s *sim }

func (p twoChoices) pick(now time.Duration, entry, exclude int) int {
	name := ""
	if exclude >= 0 {
		name = p.s.all[exclude].Target
	}
	c, _ := p.s.selectors[entry].Pick(now, p.s.all, name)
	return slices.IndexFunc(p.s.all, func(o Candidate) bool { return o.Target == c.Target })
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
	over    bool
}

type simEvent struct {
	at  time.Duration
	seq int
	run func(now time.Duration)
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)   { *h = append(*h, e.(simEvent)) }
func (h *eventHeap) Pop() any     { e := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return e }

// sim is one run. The first `slowed` targets are slow in the middle of it, and
// the requests of that time are measured.
type sim struct {
	rng                 *rand.Rand
	slots, slowed       int
	slowFrom, slowUntil time.Duration
	hedging             bool
	policy              policy
	all                 []Candidate
	selectors           [simEntries]*Selector
	budgets             [simEntries]*Budget
	busy                [simTargets]int
	queues              [simTargets][]*attempt
	reports             [][simTargets]int
	events              eventHeap
	seq                 int
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
	s.seq++
	heap.Push(&s.events, simEvent{at, s.seq, run})
}

// run plays the whole length at half of the healthy targets' capacity.
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
	s.send(now, r, s.policy.pick(now, r.entry, -1))
	s.at(now+simDeadline, func(now time.Duration) { s.finish(now, r, nil) })
	if !s.hedging {
		return
	}
	s.at(now+s.selectors[r.entry].HedgeAfter(now), func(now time.Duration) {
		if r.done || !s.budgets[r.entry].Spend() {
			return
		}
		s.extra++
		s.send(now, r, s.policy.pick(now, r.entry, r.attempts[0].target))
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

// serve starts queued work while there are free slots.
func (s *sim) serve(now time.Duration, target int) {
	for s.busy[target] < s.slots && len(s.queues[target]) > 0 {
		a := s.queues[target][0]
		s.queues[target] = s.queues[target][1:]
		if a.over {
			continue
		}
		a.running = true
		s.busy[target]++
		d := simFixed + time.Duration(s.rng.ExpFloat64()*float64(simRandom))
		if target < s.slowed && now >= s.slowFrom && now < s.slowUntil {
			d *= simSlowdown
		}
		s.at(now+d, func(now time.Duration) {
			s.free(now, a)
			s.at(now+simHop, func(now time.Duration) { s.finish(now, a.req, a) })
		})
	}
}

// free ends running work, by itself or by cancellation.
func (s *sim) free(now time.Duration, a *attempt) {
	if a.running {
		a.running = false
		s.busy[a.target]--
		s.serve(now, a.target)
	}
}

// finish ends a request by one of its attempts, or by its deadline, and
// cancels the others.
func (s *sim) finish(now time.Duration, r *simRequest, by *attempt) {
	if r.done {
		return
	}
	r.done = true
	for _, a := range r.attempts {
		a.over = true
		s.free(now, a)
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

// simulate runs one policy.
func simulate(name string, slots, slowed int, hedging bool, length time.Duration) *sim {
	s := newSim(slots, slowed, length, hedging)
	s.policy = map[string]policy{
		"round robin": &roundRobin{}, "least loaded, report 2 s old": leastReported{s}, "two choices": twoChoices{s},
	}[name]
	s.run(length)
	return s
}

var policies = []string{"round robin", "least loaded, report 2 s old", "two choices"}

// Guards against a choice of targets, or hedging, that is no better than the
// baselines while targets are slowed, and against hedges beyond their budget.
func TestStragglersCostLittle(t *testing.T) {
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

// BenchmarkStragglers prints the table of docs/decisions.md.
func BenchmarkStragglers(b *testing.B) {
	for b.Loop() {
		for _, slots := range []int{4, 6} {
			for _, slowed := range []int{0, 1, 2} {
				for _, name := range policies {
					for _, hedging := range []bool{false, true} {
						s := simulate(name, slots, slowed, hedging, 60*time.Second)
						n, ms := float64(len(s.latencies)), func(q float64) float64 { return s.quantile(q).Seconds() * 1e3 }
						fmt.Printf("| %d | %d | %s | %v | %.1f | %.1f | %.1f | %.2f%% | %.1f%% |\n", slots, slowed, name, hedging,
							ms(0.5), ms(0.99), ms(0.999), 100*float64(s.missed)/n, 100*float64(s.extra)/(n*1.5))
					}
				}
			}
		}
	}
}
