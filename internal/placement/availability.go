package placement

import "time"

// Bounds of a pause and of the load after it.
const (
	// MaxPause is the longest pause that a target can ask for with one response. A
	// mistaken value must not exclude the target until its next start.
	MaxPause = time.Hour
	// rampStep is the time after a pause in which the number of requests that an
	// entry may have in flight at the target grows by one.
	rampStep = 50 * time.Millisecond
	// rampTime is the time after a pause at which that number is no longer limited.
	rampTime = 500 * time.Millisecond
)

// Availability is what one incarnation of a target has told an entry about further
// requests: that it is leaving, which it never takes back, or that it wants none
// for some time. The zero value is the availability of a target that has said
// nothing.
type Availability struct {
	leaving      bool
	leavingSince time.Duration
	// pausedUntil is the end of the longest pause that was asked for, or 0.
	pausedUntil time.Duration
}

// Leave records that the target is leaving. It reports whether that is new.
func (a *Availability) Leave(now time.Duration) bool {
	if a.leaving {
		return false
	}
	a.leaving, a.leavingSince = true, now
	return true
}

// Pause records that the target wants no requests for the given time, at most
// MaxPause. An earlier pause that ends later stays in force. It reports whether the
// target was not paused before.
func (a *Availability) Pause(now, length time.Duration) bool {
	if length <= 0 {
		return false
	}
	began := !a.Paused(now)
	a.pausedUntil = max(a.pausedUntil, now+min(length, MaxPause))
	return began
}

// Leaving reports whether the target is leaving.
func (a *Availability) Leaving() bool { return a.leaving }

// LeavingSince returns the time at which the target first said that it is leaving.
func (a *Availability) LeavingSince() time.Duration { return a.leavingSince }

// Paused reports whether the target wants no requests at now.
func (a *Availability) Paused(now time.Duration) bool { return now < a.pausedUntil }

// PausedUntil returns the end of the last pause, or 0 if there was none.
func (a *Availability) PausedUntil() time.Duration { return a.pausedUntil }

// Open reports whether a request may reach the target at now.
func (a *Availability) Open(now time.Duration) bool { return !a.leaving && !a.Paused(now) }

// Accepts reports whether one more request may be sent while inFlight requests of
// the entry are at the target.
func (a *Availability) Accepts(now time.Duration, inFlight int) bool {
	return !a.leaving && a.OpensAt(now, inFlight) <= now
}

// OpensAt returns the time from which the target accepts one more request, if it is
// not leaving and the number of requests in flight does not change. After a pause
// requests that waited for its end must not all arrive at once, so their number in
// flight is limited at first.
func (a *Availability) OpensAt(now time.Duration, inFlight int) time.Duration {
	if a.pausedUntil == 0 {
		return now
	}
	return max(now, a.pausedUntil+min(time.Duration(inFlight)*rampStep, rampTime))
}
