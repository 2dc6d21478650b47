package gateway

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against more retries than the ratio allows.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	b := &retryBudget{}
	retries := 0
	for range 1000 {
		b.earn(retryLimit{ratio: 0.2}, 1)
		if b.spend() {
			retries++
		}
	}
	if retries > 200 {
		t.Errorf("%d of 1000 requests were retried, 200 are allowed", retries)
	}
}

// Guards against retries of all entry VMs together that exceed the limit in
// some window, for any number of entry VMs, any load and any start of the
// failures, and even if all entry VMs are killed once.
func TestRetriesOfAllEntriesStayWithinTheLimit(t *testing.T) {
	const steps, window = 400, 100
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("every window stays within the limit", prop.ForAll(func(entries, perStep, slackTenths int, seed uint64) bool {
		// The required slack is at least two for each entry VM.
		limit := retryLimit{ratio: 0.2, slack: float64(entries) * (2 + float64(slackTenths)/10)}
		rng := rand.New(rand.NewPCG(seed, 1))
		budgets := make([]*retryBudget, entries)
		for i := range budgets {
			budgets[i] = newRetryBudget(limit, entries)
		}
		requests, retries := make([]int, steps), make([]int, steps)
		failing, killed := rng.IntN(steps), rng.IntN(steps)
		for step := range steps {
			for range rng.IntN(2*perStep + 1) {
				b := budgets[rng.IntN(entries)]
				b.earn(limit, entries)
				requests[step]++
				for step >= failing && b.spend() {
					retries[step]++
				}
			}
			if step == killed {
				for i := range budgets {
					budgets[i] = newRetryBudget(limit, entries)
				}
			}
		}
		return withinLimit(limit, requests, retries, window)
	}, gen.IntRange(1, 300), gen.IntRange(1, 200), gen.IntRange(0, 60), gen.UInt64()))
	properties.TestingRun(t)
}

// withinLimit checks every window against the largest number of requests in the
// window itself, in the one before it and in the one half a window before it.
func withinLimit(limit retryLimit, requests, retries []int, window int) bool {
	sum := func(counts []int, from int) int {
		total := 0
		for i := max(from, 0); i < from+window && i < len(counts); i++ {
			total += counts[i]
		}
		return total
	}
	for from := range requests {
		counted := max(sum(requests, from), sum(requests, from-window), sum(requests, from-window/2))
		if float64(sum(retries, from)) > limit.ratio*float64(counted)+limit.slack {
			return false
		}
	}
	return true
}
