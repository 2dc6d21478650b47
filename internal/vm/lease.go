package vm

import (
	"sync/atomic"
	"time"
)

// lease is the VM's permission to accept requests and send them to targets. It
// starts at the time at which the VM sent the granted heartbeat, so that it ends
// no later on the VM than at the control leader.
type lease struct {
	// until is the end of the lease in nanoseconds since the VM started.
	until atomic.Int64
}

// valid reports whether the lease has not expired at now.
func (l *lease) valid(now time.Duration) bool { return int64(now) < l.until.Load() }

// extend moves the end of the lease to until, but never to an earlier time.
func (l *lease) extend(until time.Duration) {
	for {
		old := l.until.Load()
		if int64(until) <= old || l.until.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}
