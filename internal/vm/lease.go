package vm

import (
	"sync/atomic"
	"time"
)

// lease is the VM's permission to take and send work. It counts from the
// moment at which the VM sent the heartbeat that was answered, so that it ends
// no later on the VM than at the control leader.
type lease struct {
	// until is the end in nanoseconds of monotonic time.
	until atomic.Int64
}

// valid reports whether the lease covers the moment.
func (l *lease) valid(now time.Duration) bool { return int64(now) < l.until.Load() }

// extend moves the end of the lease; it never moves back.
func (l *lease) extend(until time.Duration) {
	for {
		old := l.until.Load()
		if int64(until) <= old || l.until.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}
