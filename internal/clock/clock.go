// Package clock reads the time since the machine booted. Unlike the runtime's
// monotonic time it also advances while the machine is suspended, so that a VM
// notices after a suspension that its leases have expired.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a clock that counts from the call of Start.
type Clock struct{ start time.Duration }

// Start returns a clock that reads zero now.
func Start() Clock { return Clock{read()} }

// Now returns the time since the clock was started, including suspensions.
func (s Clock) Now() time.Duration { return read() - s.start }

// read returns the time since boot. Linux has had this clock since 2.6.39, so a
// failure can only mean wrong arguments.
func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
