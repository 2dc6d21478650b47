package controller

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// freshness tracks the age of a follower's state. A replica that lost its disk or
// was down receives appends long before it has caught up. The state therefore
// counts as up to date at the time of an append only once it contains everything
// that the leader had committed then.
type freshness struct {
	// known says that the state was up to date at least once since the start, the
	// last time at freshAt.
	known   bool
	freshAt time.Duration
	// waiting says that the state lacks entries up to the commit index pending,
	// which an append at pendingAt carried.
	waiting   bool
	pendingAt time.Duration
	pending   uint64
}

// appendReceived records an append of the leader. While the state still lacks an
// earlier commit index, it goes on waiting for that one.
func (f *freshness) appendReceived(now time.Duration, commit uint64) {
	if !f.waiting {
		f.waiting, f.pendingAt, f.pending = true, now, commit
	}
}

// applied records that the state contains the log up to an index.
func (f *freshness) applied(index uint64) {
	if f.waiting && index >= f.pending {
		f.known, f.waiting, f.freshAt = true, false, f.pendingAt
	}
}

// age returns the time since the state was last up to date, or watch.UnknownAge if it
// never was.
func (f *freshness) age(now time.Duration) time.Duration {
	if !f.known {
		return watch.UnknownAge
	}
	return now - f.freshAt
}
