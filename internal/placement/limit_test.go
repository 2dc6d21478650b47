package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	// limitWindow, limitFactor and limitSlack are the bound on the requests to a
	// limited target: limitFactor times what the limit allows in the window, plus
	// limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// toldDelay is the time after which requests of an entry that has heard of the
	// limit count.
	toldDelay = 500 * time.Millisecond
)

// limitSim plays entries with different views of each other that send as often as
// their throttles allow.
type limitSim struct {
	rng      *rand.Rand
	rate     float64
	all      []Entry
	entries  []*limitEntry
	arrivals []time.Duration
}

type limitEntry struct {
	addr string
	// known are the entries that this one knows of.
	known    []Entry
	throttle Throttle
	share    LimitShare
	toldAt   time.Duration
	told     bool
	// delay is how long its requests take to the target.
	delay time.Duration
	busy  bool
	// silentFrom and silentTo bound a time in which it sends nothing.
	silentFrom, silentTo time.Duration
}

func newLimitSim(seed int64) *limitSim {
	s := &limitSim{rng: rand.New(rand.NewPCG(uint64(seed), 3))}
	s.rate = math.Exp(s.rng.Float64()*8 - 2)
	n := int(math.Exp(s.rng.Float64() * math.Log(800)))
	for i := range n {
		s.all = append(s.all, Entry{Addr: fmt.Sprint("e", i), Near: i%3 == 0})
	}
	for _, e := range s.all {
		entry := &limitEntry{addr: e.Addr, known: s.all, delay: time.Duration(s.rng.IntN(20)) * time.Millisecond, busy: s.rng.IntN(4) > 0}
		entry.silentFrom = time.Duration(s.rng.IntN(20)) * time.Second
		entry.silentTo = entry.silentFrom + time.Duration(s.rng.IntN(4))*time.Second
		s.entries = append(s.entries, entry)
	}
	return s
}

// change lets one entry leave or return. Each entry learns of it at a time of its own.
func (s *limitSim) change(present []Entry) func(e *limitEntry, now, at time.Duration) {
	return func(e *limitEntry, now, at time.Duration) {
		if now >= at && len(e.known) != len(present) {
			e.known = present
			e.share = ShareLimit(s.rate, "t", e.addr, present)
		}
	}
}

// run returns the most requests that arrived in any window from entries that had been
// told.
func (s *limitSim) run() int {
	const step, length = 10 * time.Millisecond, 20 * time.Second
	gone := s.rng.IntN(len(s.all))
	fewer := append(append([]Entry{}, s.all[:gone]...), s.all[gone+1:]...)
	var learn func(*limitEntry, time.Duration, time.Duration)
	learnAt := make([]time.Duration, len(s.entries))
	if len(fewer) > 0 && s.rng.IntN(2) == 0 {
		learn = s.change(fewer)
		for i := range learnAt {
			learnAt[i] = 8*time.Second + time.Duration(s.rng.IntN(2000))*time.Millisecond
		}
	}
	for i, e := range s.entries {
		e.toldAt = time.Duration(s.rng.IntN(3000)) * time.Millisecond
		if i == gone && learn != nil {
			e.silentFrom, e.silentTo = 8*time.Second, length
		}
	}
	for now := time.Duration(0); now < length; now += step {
		for i, e := range s.entries {
			if now < e.toldAt || now >= e.silentFrom && now < e.silentTo || !e.busy && s.rng.IntN(20) > 0 {
				continue
			}
			if !e.told {
				e.told = true
				e.throttle.Update(Limit{Named: true, Rate: s.rate})
				e.share = ShareLimit(s.rate, "t", e.addr, e.known)
			}
			if learn != nil {
				learn(e, now, learnAt[i])
			}
			e.throttle.Share(now, e.share)
			for range 1000 {
				opens, ok := e.throttle.OpensAt(now)
				if !ok || opens > now {
					break
				}
				e.throttle.Take(now)
				if now >= e.toldAt+toldDelay {
					s.arrivals = append(s.arrivals, now+e.delay)
				}
			}
		}
	}
	return mostInWindow(s.arrivals)
}

func mostInWindow(arrivals []time.Duration) int {
	counts := make(map[time.Duration]int)
	var last time.Duration
	for _, at := range arrivals {
		counts[at/time.Millisecond]++
		last = max(last, at/time.Millisecond)
	}
	most, inWindow := 0, 0
	for at := time.Duration(0); at <= last; at++ {
		inWindow += counts[at] - counts[at-limitWindow/time.Millisecond]
		most = max(most, inWindow)
	}
	return most
}

// Guards against more requests to a limited target than it takes from all entries
// together: from 1 to 800 entries that hear of the limit at different times, that know
// of different numbers of entries and some of which stop and start to send.
func TestEntriesTogetherKeepTheLimit(t *testing.T) {
	seed, err := strconv.ParseInt(cmp.Or(os.Getenv("FLAMINGOREEL_TEST_SEED"), "1"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("the limit is kept", prop.ForAll(func(seed int64) (string, error) {
		s := newLimitSim(seed)
		allowed := limitFactor*s.rate*limitWindow.Seconds() + limitSlack
		if got := s.run(); float64(got) > allowed {
			return fmt.Sprintf("%d entries sent %d requests at a limit of %.2f/s, want %.0f at most", len(s.entries), got, s.rate, allowed), nil
		}
		return "", nil
	}, gen.Int64()))
	properties.TestingRun(t)
}

// Guards against a limit that leaves most of its rate unused.
func TestLimitIsUsed(t *testing.T) {
	for _, n := range []int{1, 9, 91, 195, 800} {
		for _, rate := range []float64{0.2, 1.3, 3.1, 6.5, 50, 1000} {
			var entries []Entry
			for i := range n {
				entries = append(entries, Entry{Addr: fmt.Sprint("e", i)})
			}
			sum := 0.0
			for _, e := range entries {
				if share := ShareLimit(rate, "t", e.Addr, entries); share.Interval > 0 {
					sum += 1 / share.Interval.Seconds()
				}
			}
			if sum < 0.8*rate || sum > rate {
				t.Errorf("%d entries may send %.2f/s at a limit of %.2f/s", n, sum, rate)
			}
		}
	}
	for _, rate := range []float64{0, -1, math.NaN()} {
		if share := ShareLimit(rate, "t", "e", []Entry{{Addr: "e"}}); share.Interval != 0 {
			t.Errorf("a limit of %v allows %+v", rate, share)
		}
	}
}

// Guards against a limit that ends because a response does not show it, or that does
// not end.
func TestLimitFollowsResponses(t *testing.T) {
	var th Throttle
	steps := []struct {
		limit   Limit
		changed bool
		limited bool
	}{
		{Limit{}, false, false}, {Limit{Named: true, Rate: 2}, true, true}, {Limit{Named: true, Rate: 2}, false, true},
		{Limit{Unknown: true}, false, true}, {Limit{Named: true, Rate: 0}, true, true}, {Limit{}, true, false}, {Limit{Unknown: true}, false, false},
	}
	for i, s := range steps {
		if changed := th.Update(s.limit); changed != s.changed || th.Limited() != s.limited {
			t.Errorf("step %d: changed %v, limited %v", i, changed, th.Limited())
		}
	}
}
