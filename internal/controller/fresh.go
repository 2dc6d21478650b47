package controller

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// freshness tells how old the state of a follower is. A replica that lost its
// disk or was down hears from the leader long before it has caught up, so only
// a state that holds what the leader had committed when it was heard counts.
type freshness struct {
	// known says that the state was up to date at least once since the start.
	known bool
	at    time.Duration
	// pendingAt is when the leader was heard with the commit index pending.
	waiting   bool
	pendingAt time.Duration
	pending   uint64
}

// heard notes an append of the leader at now. While the state still lacks an
// earlier commit index, that one is waited for.
func (f *freshness) heard(now time.Duration, commit uint64) {
	if !f.waiting {
		f.waiting, f.pendingAt, f.pending = true, now, commit
	}
}

// applied notes that the state holds the log up to an index.
func (f *freshness) applied(index uint64) {
	if f.waiting && index >= f.pending {
		f.known, f.waiting, f.at = true, false, f.pendingAt
	}
}

// age is the time since the state was up to date, or watch.Unknown.
func (f *freshness) age(now time.Duration) time.Duration {
	if !f.known {
		return watch.Unknown
	}
	return now - f.at
}
