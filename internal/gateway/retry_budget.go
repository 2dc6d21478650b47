package gateway

// retryLimit bounds the retries for a service by all entry VMs together: in any
// window of the required length they are at most ratio times the requests in it
// plus slack. A retry is every attempt beyond the first one of a request.
type retryLimit struct{ ratio, slack float64 }

// Shares of the limit that a budget uses.
const (
	// earnedShare is the part of the ratio that requests earn. More retries
	// would add to an overload, and a window may have fewer requests than the
	// one before.
	earnedShare = 0.7
	// maxSavedShare is the part of the slack that all entry VMs together can
	// save.
	maxSavedShare = 0.6
	// initialShare is the part of the slack that entry VMs have at startup. All
	// of them may be killed after they have spent their savings.
	initialShare = 0.3
)

// retryBudget bounds the retries for one service by one entry VM. Each request
// earns a part of a retry. Unused parts are kept up to the entry VM's share of
// the slack.
//
// Invariant: the retries of all entry VMs in any window are at most ratio times
// the requests in it plus slack, even if each entry VM restarts once in it.
type retryBudget struct{ tokens float64 }

func newRetryBudget(limit retryLimit, entries int) *retryBudget {
	return &retryBudget{tokens: initialShare * limit.slack / float64(max(entries, 1))}
}

// earn adds the share of a retry that a request earns.
func (b *retryBudget) earn(limit retryLimit, entries int) {
	saved := max(1, maxSavedShare*limit.slack/float64(max(entries, 1)))
	b.tokens = min(saved, b.tokens+limit.ratio*earnedShare)
}

// spend takes one retry from the budget and reports whether there was one.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
