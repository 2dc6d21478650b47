package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const testWork = 200 * time.Millisecond

func choose(t *testing.T, now time.Duration, candidates ...Candidate) int {
	t.Helper()
	i, _ := Choose(now, testWork, 0, rand.New(rand.NewPCG(1, 1)), candidates)
	return i
}

// Guards against choosing a target that is currently slowed down by noisy
// neighbours, and against avoiding it because of an outdated report.
func TestSlowNeighboursAreAvoidedWhileTheReportIsFresh(t *testing.T) {
	slow, usual := new(TargetStats), new(TargetStats)
	for range 20 {
		slow.AddReport(0, Load{Slots: 4, Slowdown: 1})
		usual.AddReport(0, Load{Slots: 4, Slowdown: 1.4})
	}
	slow.AddReport(time.Second, Load{Slots: 4, Slowdown: 3})
	candidates := []Candidate{{Stats: slow, Slots: 4}, {Stats: usual, Slots: 4}}
	if got := choose(t, time.Second, candidates...); got != 1 {
		t.Error("the target that is slowed down by its neighbours was chosen")
	}
	if got := choose(t, 4*time.Second, candidates...); got != 0 {
		t.Error("the faster target was avoided because of an outdated report")
	}
}

// Guards against queueing at one target while another one has free slots.
func TestFullTargetIsAvoided(t *testing.T) {
	full, empty := new(TargetStats), new(TargetStats)
	for range 6 {
		full.Started()
	}
	if got := choose(t, 0, Candidate{Stats: full, Slots: 4}, Candidate{Stats: empty, Slots: 4, Distance: SameRegion}); got != 1 {
		t.Error("a full target was chosen although another one in the region has free slots")
	}
}

// Guards against traffic between regions for a small gain in latency.
func TestOtherRegionsOnlyForALargeGain(t *testing.T) {
	near, far := new(TargetStats), new(TargetStats)
	for range 4 {
		near.Started()
	}
	candidates := []Candidate{{Stats: near, Slots: 4}, {Stats: far, Slots: 4, Distance: OtherRegion}}
	if got := choose(t, 0, candidates...); got != 0 {
		t.Error("a request left its region because of a single queued request")
	}
	for range 8 {
		near.Started()
	}
	if got := choose(t, 0, candidates...); got != 1 {
		t.Error("a request waits in a long queue while another region has free slots")
	}
}

// Guards against traffic between regions for a request that is answered within its
// latency objective in its own region, and against a request that stays and is late
// although another region would answer in time.
func TestRequestsInTimeStayInTheirRegion(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for waiting, want := range map[int]int{0: 0, 4: 0, 8: 0, 16: 1} {
		near, far := new(TargetStats), new(TargetStats)
		for range waiting {
			near.Started()
		}
		// With eight requests at four slots, a new one takes less than three times its
		// service time, which is half of the budget.
		const left = 6 * testWork
		if got, _ := Choose(0, testWork, left, rng, []Candidate{{Stats: near, Slots: 4}, {Stats: far, Slots: 4, Distance: OtherRegion}}); got != want {
			t.Errorf("%d requests at the near target: chose %d, want %d", waiting, got, want)
		}
	}
}

// Guards against new targets that never get a request.
func TestUnusedTargetIsExplored(t *testing.T) {
	used, unused := new(TargetStats), new(TargetStats)
	used.Started()
	used.Ended()
	if got := choose(t, 0, Candidate{Stats: used, Slots: 4, Explore: true}, Candidate{Stats: unused, Slots: 4, Cold: true, Explore: true}); got != 1 {
		t.Error("the new target was not tried")
	}
}

// Guards against choosing a straggler whose load reports look normal: its observed
// latency must correct the estimate.
func TestLatencyCorrectsReports(t *testing.T) {
	straggler, other := new(TargetStats), new(TargetStats)
	for range 40 {
		straggler.Succeeded(0, 5*testWork, testWork, 4)
		other.Succeeded(0, testWork, testWork, 4)
	}
	if got := choose(t, 0, Candidate{Stats: straggler, Slots: 4}, Candidate{Stats: other, Slots: 4}); got != 1 {
		t.Error("the straggler was chosen")
	}
}

// Guards against sending a cold target more requests per second than permitted, for
// any number of entries, when each entry sends as often as it may.
func TestColdSharesStayWithinTheBound(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("all entries together stay within the permitted rate", prop.ForAll(
		func(count, permitted, near int) bool {
			var entries []Entry
			for i := range count {
				entries = append(entries, Entry{Addr: fmt.Sprintf("10.0.0.%d:1", i), Near: i < near})
			}
			total := 0
			for _, s := range entries {
				if interval := ColdInterval(float64(permitted), "t", s.Addr, entries); interval > 0 {
					total += int(time.Second/interval) + 1
				}
			}
			return total <= permitted
		}, gen.IntRange(1, 90), gen.IntRange(1, 40), gen.IntRange(0, 30)))
	properties.TestingRun(t)
}

// Guards against requests of an entry that is not in the list of entries yet: the
// others use the whole permitted rate, and its share would come on top.
func TestUnknownEntrySendsNothingToColdTargets(t *testing.T) {
	if got := ColdInterval(100, "t", "10.0.0.9:1", []Entry{{Addr: "10.0.0.1:1"}}); got != 0 {
		t.Errorf("interval is %v, want none", got)
	}
}

// loadPattern simulates in virtual time the requests of one entry to targets with
// noisy neighbours.
type loadPattern struct {
	rng *rand.Rand
	// relativeTime is the service time of each target relative to the average.
	relativeTime []float64
	// slowdown is the current slowdown of each target by its neighbours.
	slowdown []float64
	// slotsFreeAt is when each slot of each target becomes free.
	slotsFreeAt [][]time.Duration
}

// Parameters of the simulated load: the zdbs ledger targets of one region on a day
// of high load. The average service time is 220 ms. Noisy neighbours slow down a
// fifth of the targets by a factor of three for 400 ms at a time.
const (
	patternSlots         = 6
	patternRequests      = 4000
	requestInterval      = 14 * time.Millisecond
	patternTargetLatency = 600 * time.Millisecond
	patternServiceTime   = 220 * time.Millisecond
	slowdownInterval     = 400 * time.Millisecond
)

func newLoadPattern(seed uint64) *loadPattern {
	return &loadPattern{
		rng: rand.New(rand.NewPCG(seed, 3)), relativeTime: []float64{0.6, 1, 1.4, 0.6, 1, 1.4},
		slowdown: make([]float64, 6), slotsFreeAt: make([][]time.Duration, 6),
	}
}

// finish returns the time at which a request sent to the target at now is answered,
// and occupies a slot of the target until then.
func (p *loadPattern) finish(now time.Duration, target int) time.Duration {
	slots := p.slotsFreeAt[target]
	if len(slots) < patternSlots {
		slots = append(slots, 0)
		p.slotsFreeAt[target] = slots
	}
	first := 0
	for i := range slots {
		if slots[i] < slots[first] {
			first = i
		}
	}
	work := time.Duration(float64(patternServiceTime) * p.relativeTime[target] * p.slowdown[target] * (0.5 + p.rng.Float64()))
	slots[first] = max(now, slots[first]) + work
	return slots[first]
}

// response is the response to one request.
type response struct {
	target int
	sent   time.Duration
	at     time.Duration
}

// replay runs the requests under a policy and returns the fraction that is answered
// within the latency objective. It calls done for each response.
func (p *loadPattern) replay(policy func(now time.Duration) int, done func(r response, load Load)) float64 {
	within := 0
	var open []response
	for i := range patternRequests {
		now := time.Duration(i) * requestInterval
		if now%slowdownInterval < requestInterval {
			for t := range p.slowdown {
				p.slowdown[t] = 1
				if p.rng.Float64() < 0.2 {
					p.slowdown[t] = 3
				}
			}
		}
		kept := open[:0]
		for _, r := range open {
			if r.at > now {
				kept = append(kept, r)
				continue
			}
			running := 0
			for _, o := range open {
				if o.target == r.target && o.at > now {
					running++
				}
			}
			done(r, Load{Running: min(running, patternSlots), Waiting: max(running-patternSlots, 0), Slots: patternSlots, Slowdown: p.relativeTime[r.target] * p.slowdown[r.target]})
		}
		open = kept
		r := response{target: policy(now), sent: now}
		r.at = p.finish(now, r.target)
		open = append(open, r)
		if r.at-now <= patternTargetLatency {
			within++
		}
	}
	return float64(within) / patternRequests
}

// Guards against losing the advantage of selection by expected latency over round
// robin in the situation for which it is designed: fast and slow targets with noisy
// neighbours, close to their capacity.
func TestExpectedLatencyBeatsRoundRobin(t *testing.T) {
	next := 0
	baseline := newLoadPattern(5).replay(func(time.Duration) int { next++; return next % 6 }, func(response, Load) {})
	stats := make([]*TargetStats, 6)
	for i := range stats {
		stats[i] = new(TargetStats)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	chosen := newLoadPattern(5).replay(func(now time.Duration) int {
		var candidates []Candidate
		for _, s := range stats {
			candidates = append(candidates, Candidate{Stats: s, Slots: patternSlots})
		}
		i, _ := Choose(now, patternServiceTime, 0, rng, candidates)
		stats[i].Started()
		return i
	}, func(r response, l Load) {
		stats[r.target].Ended()
		stats[r.target].Succeeded(r.at, r.at-r.sent, patternServiceTime, patternSlots)
		stats[r.target].AddReport(r.at, l)
	})
	t.Logf("within the latency objective: round robin %.3f, expected latency %.3f", baseline, chosen)
	if chosen < baseline+0.05 {
		t.Errorf("%.3f of the requests are within their latency objective, %.3f with round robin", chosen, baseline)
	}
}

// Guards against targets that are in no subset, and against targets that are in
// several times as many subsets as others and get a multiple of their load.
func TestSubsetsCoverTargetsEvenly(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("every target is preferred by about the same number of entries", prop.ForAll(
		func(entryCount, targetCount int) bool {
			var entries, targets []string
			for i := range entryCount {
				entries = append(entries, fmt.Sprint("entry-", i))
			}
			for i := range targetCount {
				targets = append(targets, fmt.Sprint("target-", i))
			}
			users := make(map[string]int)
			for _, e := range entries {
				for id := range Subset(e, entries, targets) {
					users[id]++
				}
			}
			least, most := entryCount, 0
			for _, id := range targets {
				least, most = min(least, users[id]), max(most, users[id])
			}
			return least >= min(minEntriesPerTarget, entryCount) && most-least <= 2
		}, gen.IntRange(1, 30), gen.IntRange(1, 80)))
	properties.TestingRun(t)
}

// Guards against queueing at a target of the subset while one outside it has free
// slots.
func TestPreferenceYieldsToLoad(t *testing.T) {
	preferred, other := new(TargetStats), new(TargetStats)
	candidates := []Candidate{{Stats: preferred, Slots: 4}, {Stats: other, Slots: 4, OutsideSubset: true}}
	if got := choose(t, 0, candidates...); got != 0 {
		t.Error("a target outside the subset was chosen although one in it is idle")
	}
	for range 6 {
		preferred.Started()
	}
	if got := choose(t, 0, candidates...); got != 1 {
		t.Error("a request is queued at a preferred target although another one has free slots")
	}
}
