package placement

import (
	"math"
	"time"
)

// Limit is what one response of a target says about the requests per second that the
// target takes from all entries together. The zero value says that there is no limit.
type Limit struct {
	// Named reports that the response names a limit, and Rate is that limit.
	Named bool
	Rate  float64
	// Unknown reports that the response does not show whether there is a limit.
	Unknown bool
}

// Parameters of the shares of a limit.
const (
	// limitShare is the fraction of the named rate that is used. The rest is reserved
	// for entries that count the entries differently.
	limitShare = 0.9
	// minLimitSharers is the number of entries that share a limit of less than one
	// request per second. Each further request per second adds one.
	minLimitSharers = 3
	// maxLimitInterval bounds the time between two requests of a sharer.
	maxLimitInterval = time.Hour
)

// LimitShare is the share of one entry in the limit of a target.
type LimitShare struct {
	// Interval is the minimum time between two requests of the entry; 0 if it may
	// send none.
	Interval time.Duration
	// Phase is the time from the start of the share to its first request. It differs
	// between the entries, so that they do not all send at once.
	Phase time.Duration
}

// ShareLimit returns the share of the entry self in a limit of rate requests per
// second. An entry knows neither what others send nor whether they know of the limit,
// so the rate is divided evenly. If there are many entries, only the first ones of
// rank get a share.
//
// Invariant: in any time all sharers together send at most rate times that time, plus
// rate + minLimitSharers requests if their intervals begin at the same moment.
func ShareLimit(rate float64, target, self string, entries []Entry) LimitShare {
	if !(rate > 0) {
		return LimitShare{}
	}
	sharers := int(math.Min(float64(len(entries)), minLimitSharers+math.Floor(rate)))
	i, ok := rank(target, self, entries)
	if !ok || i >= sharers {
		return LimitShare{}
	}
	seconds := math.Min(float64(sharers)/(limitShare*rate), maxLimitInterval.Seconds())
	interval := max(time.Duration(seconds*float64(time.Second)), 1)
	return LimitShare{Interval: interval, Phase: time.Duration(float64(interval) * (float64(i) + 0.5) / float64(sharers))}
}

// Throttle limits the requests of one entry to one incarnation of a target that named
// a limit. The zero value is that of a target that named none.
type Throttle struct {
	limited bool
	rate    float64
	share   LimitShare
	// next is the time from which the next request may be sent.
	next time.Duration
}

// Update records what a response says about the limit. It reports whether that is
// new.
func (t *Throttle) Update(l Limit) bool {
	switch {
	case l.Unknown, l.Named && t.limited && t.rate == l.Rate, !l.Named && !t.limited:
		return false
	case !l.Named:
		*t = Throttle{}
	default:
		t.limited, t.rate = true, l.Rate
	}
	return true
}

// Limited reports whether the target named a limit, and Rate returns it.
func (t *Throttle) Limited() bool { return t.limited }

// Rate returns the requests per second that the target takes from all entries.
func (t *Throttle) Rate() float64 { return t.rate }

// Share sets the share of the entry at now. A share that begins waits for its phase.
func (t *Throttle) Share(now time.Duration, share LimitShare) {
	if t.share.Interval == 0 {
		t.next = max(t.next, now+share.Phase)
	}
	t.share = share
}

// OpensAt returns the time from which a request may be sent, and false if the entry
// has no share.
func (t *Throttle) OpensAt(now time.Duration) (time.Duration, bool) {
	switch {
	case !t.limited:
		return now, true
	case t.share.Interval == 0:
		return 0, false
	}
	return max(now, t.next), true
}

// Take counts a request that is sent as soon as the throttle opens.
func (t *Throttle) Take(now time.Duration) {
	if t.limited {
		t.next = max(now, t.next) + t.share.Interval
	}
}
