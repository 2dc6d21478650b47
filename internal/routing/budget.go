package routing

import "sync"

// budgetBurst is the number of requests whose share a Budget may accumulate.
const budgetBurst = 100

// Budget is a token bucket that allows extra sends, such as retries or hedges,
// for a share of the requests. It starts full. It is safe for concurrent use.
//
// Invariant: after n calls of Earn at most share × (n + budgetBurst) calls of
// Spend, but at least one, returned true.
type Budget struct {
	mu           sync.Mutex
	share, burst float64
	tokens       float64
}

// NewBudget returns a Budget for a share between 0 and 1 of the requests. A
// share of 0 allows nothing.
func NewBudget(share float64) *Budget {
	b := &Budget{share: max(share, 0)}
	if b.share > 0 {
		b.burst = max(b.share*budgetBurst, 1)
	}
	b.tokens = b.burst
	return b
}

// Earn records one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Spend reports whether one extra send is allowed and counts it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
