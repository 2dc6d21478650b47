package placement

import (
	"math"
	"time"
)

// Origin says why a target is in slow start.
type Origin string

// The origins of slow start.
const (
	// OriginCold is a target that started, returned or turned cold.
	OriginCold Origin = "cold"
	// OriginReleased is a target that passed a health check after it had failed.
	OriginReleased Origin = "released"
	// OriginSlow is a target that was much slower than others of its service.
	OriginSlow Origin = "slow"
)

// Parameters of slow start.
const (
	// slowStartShare is the part of the requests permitted to a cold target with which
	// slow start begins: a target that has just started takes twice the time for each request.
	slowStartShare = 0.5
	// minGrowthTime is the least time between two changes of the pace. A change counts
	// only responses to requests that were sent after the change before it, so the pace
	// also grows no faster than responses come.
	minGrowthTime = 300 * time.Millisecond
	// maxSlowStart bounds slow start: an entry that rarely sends to the target has no
	// responses from which the pace could grow.
	maxSlowStart = 30 * time.Second
	// dueRate is the number of requests per second that a target in slow start gets from
	// all its senders together even if others are expected to respond sooner, and
	// maxFirstDue the time after which each sender makes the first of them.
	dueRate     = 2
	maxFirstDue = 2800 * time.Millisecond
	// unsafeDelay is the time by which a due request is later if it must not run twice,
	// so that idempotent requests come first where there are some. Together with
	// maxFirstDue it is below the 4 s within which a target gets requests.
	unsafeDelay = time.Second
	// trialRate is the number of trials per second that a slow target gets from all its
	// senders together, and maxTrialInterval bounds the time up to which that between
	// two trials of a sender doubles while they show no recovery. A trial is usually
	// late, so it must cost few requests.
	trialRate        = 2
	maxTrialInterval = 4 * time.Second
	// minTrialInterval is the least time between two trials of one entry.
	minTrialInterval = time.Second
	// avoidedRatio is the ratio of the expected latency to that at an average target from
	// which a target counts as slow. A slow target also has a queue. Targets differ by up to a factor of 2.3, and noisy
	// neighbours triple service times for less than a second.
	avoidedRatio = 4
	// avoidedAge is the time without a response after which a slow target counts as avoided.
	// The responses of a target that is in use correct its estimates, and without this
	// condition queues of an overload made sound targets count as slow.
	avoidedAge = 1500 * time.Millisecond
	// minAvoidedReports is the number of reports from which a target may count as slow. Its
	// first response alone, in a moment of noise, can give it a high estimate.
	minAvoidedReports = 8
	// goodLatency and badLatency are ratios of the latency to the service time on an
	// average target with its average queue. Service times of one route vary by a factor
	// of two, and are doubled at a target that has just started.
	goodLatency, badLatency = 4, 8
	// goodFill and badFill are the parts of the slots, or of the average load if that is
	// higher, up to which the pace grows and from which it shrinks.
	goodFill, badFill = 1, 1.5
)

// Pace is from where slow start of a target begins at one entry.
type Pace struct {
	// Permitted is the number of requests per second that a cold target takes from all
	// entries together.
	Permitted float64
	// Senders is the estimated number of entries that send to the target as this one does.
	Senders int
	// InSubset reports that the target is in the entry's subset.
	InSubset bool
	// ColdInterval is the entry's minimum time between two requests while the target is
	// cold, 0 if it may send none.
	ColdInterval time.Duration
	// Phase, from 0 to 1, spreads the first requests of the senders.
	Phase float64
}

// interval returns the first time between two requests of the entry.
func (p Pace) interval() time.Duration {
	rate := slowStartShare * coldRateShare * math.Max(p.Permitted, 1)
	return time.Duration(float64(max(p.Senders, 1)) / rate * float64(time.Second))
}

// every returns the time between two requests of the entry if all senders together make
// perSecond requests per second.
func (p Pace) every(perSecond float64) time.Duration {
	return time.Duration(float64(max(p.Senders, 1)) / perSecond * float64(time.Second))
}

// SlowStart decides how many requests one entry sends to a target that started,
// returned or recovered. The zero value is that of a target in steady state, which
// it does not limit.
type SlowStart struct {
	origin Origin
	pace   Pace
	// trying is true while the target counts as slow: it gets trials, and otherwise what
	// its estimates give it.
	trying bool
	// coldUntil is the end of the time in which the target is cold.
	coldUntil time.Duration
	// from is the start of the growth, and interval the current time between two
	// requests. next is the time from which the next one may be sent, due that from which
	// it is sent even if others are expected to respond sooner, and dueInterval the time
	// from one due request to the next.
	from, interval, next, due, dueInterval time.Duration
	// changedAt is the time of the last change of the interval.
	changedAt time.Duration
	// trialAt is the time of the last trial of a slow target.
	trialAt time.Duration
}

// Origin returns why the target is in slow start at now, "" if it is not.
func (s *SlowStart) Origin(now time.Duration) Origin {
	if s.origin != "" && !s.trying && now >= s.from+maxSlowStart {
		return ""
	}
	return s.origin
}

// ColdUntil returns the end of the time in which the target is cold, 0 if it was not.
func (s *SlowStart) ColdUntil() time.Duration { return s.coldUntil }

// Cold records that the target is cold until the given time. Until then ColdInterval
// limits its requests further, and entries without a share of them begin afterwards. It
// reports whether slow start is new.
func (s *SlowStart) Cold(now, until time.Duration, pace Pace) bool {
	if s.Origin(now) == OriginCold && now < s.coldUntil {
		if s.pace.ColdInterval == 0 && until > s.from {
			s.next += until - s.from
			s.from = until
		}
		s.coldUntil = until
		return false
	}
	began, from := s.Origin(now) == "", now
	if pace.ColdInterval == 0 {
		from = until
	}
	s.begin(from, OriginCold, pace)
	s.coldUntil = until
	return began
}

// Released records that the target passed a health check after it had failed. It
// reports whether slow start is new.
func (s *SlowStart) Released(now time.Duration, pace Pace) bool {
	began := s.Origin(now) == ""
	s.begin(now, OriginReleased, pace)
	return began
}

// Avoided records that the target counts as slow. It reports whether that is new.
func (s *SlowStart) Avoided(now time.Duration, pace Pace) bool {
	if s.Origin(now) != "" {
		return false
	}
	interval := max(pace.every(trialRate), minTrialInterval)
	*s = SlowStart{origin: OriginSlow, pace: pace, trying: true, from: now, dueInterval: interval}
	s.due = now + max(minTrialInterval, time.Duration(pace.Phase*float64(interval)))
	return true
}

// NotAvoided records that the target no longer counts as slow by estimates that its
// responses corrected: the entry has kept using it.
func (s *SlowStart) NotAvoided() (ended bool) {
	if s.trying {
		*s, ended = SlowStart{}, true
	}
	return ended
}

// begin starts the growth at from.
func (s *SlowStart) begin(from time.Duration, origin Origin, pace Pace) {
	interval := pace.interval()
	*s = SlowStart{origin: origin, pace: pace, from: from, interval: interval, changedAt: from}
	s.next = from + time.Duration(pace.Phase*float64(min(interval, maxSlowStart)))
	s.dueInterval = max(pace.every(dueRate), minTrialInterval)
	first := s.dueInterval
	if pace.InSubset || pace.ColdInterval > 0 {
		first = min(first, maxFirstDue)
	}
	s.due = from + time.Duration(pace.Phase*float64(first))
}

// Accepts reports whether a request may be sent. While the target counts as slow, its
// estimates decide.
func (s *SlowStart) Accepts(now time.Duration) bool {
	return s.Origin(now) == "" || s.trying || now >= s.next
}

// Due reports whether a request is to be sent even if others are expected to respond
// sooner. Only requests that may run more than once are trials of a slow target.
func (s *SlowStart) Due(now time.Duration, idempotent bool) bool {
	switch {
	case s.Origin(now) == "" || !s.Accepts(now):
		return false
	case idempotent:
		return now >= s.due
	}
	return !s.trying && now >= s.due+unsafeDelay
}

// Sent records a request to the target.
func (s *SlowStart) Sent(now time.Duration) {
	if s.origin == "" {
		return
	}
	if s.trying && now >= s.due {
		s.trialAt = now
	}
	s.due = now + s.dueInterval
	if now >= s.from {
		// Half an interval is caught up, since requests don't come when they are permitted.
		s.next = max(s.next, now-s.interval/2) + s.interval
	}
}

// Quality is what one response says about the pace.
type Quality int

// The qualities, in ascending order.
const (
	// Failed is a refusal, a lost request or a timeout.
	Failed Quality = iota
	// Strained is a response of a target with more load than others, or a very late one.
	Strained
	// Busy is a response that is no reason to send more or less.
	Busy
	// Good is a response of a target that can take more.
	Good
)

// Judge returns the quality of a successful response with the given latency to a request
// whose usual service time is work. load is nil if the target reported none. average may
// be nil.
func Judge(now, latency, work time.Duration, slots int, load *Load, average *ServiceAverage) Quality {
	usual := math.Max(float64(max(slots, 1)), average.averageLoad(now))
	slowdown := average.averageSlowdown(now)
	ratio := float64(latency) / math.Max(1, float64(work)*slowdown*usual/float64(max(slots, 1)))
	quality := Good
	switch {
	case ratio > badLatency:
		quality = Strained
	case ratio > goodLatency:
		quality = Busy
	}
	if load == nil {
		return quality
	}
	current := float64(load.Running + load.Waiting)
	switch {
	case current > badFill*usual:
		return min(quality, Strained)
	case current > math.Max(goodFill*float64(slots), average.averageLoad(now)) || load.Slowdown > goodLatency*slowdown:
		return min(quality, Busy)
	}
	return quality
}

// Responded records the quality of the response to a request that was sent at the given
// time. capacity is the least time between two requests that the whole target serves.
// recovered reports that the target no longer counts as slow, so that what the entry
// remembers of it is outdated, and ended that slow start has ended.
func (s *SlowStart) Responded(now, sent, capacity time.Duration, q Quality) (recovered, ended bool) {
	switch {
	case s.origin == "":
		return false, false
	case s.trying && q == Good && sent == s.trialAt:
		s.begin(now, OriginSlow, s.pace)
		return true, false
	case s.trying && q < Busy && sent >= s.changedAt:
		s.changedAt = now
		s.dueInterval = max(min(2*s.dueInterval, maxTrialInterval), s.dueInterval)
		s.due = max(s.due, now+s.dueInterval)
		return false, false
	case s.trying || now < s.from || sent < s.changedAt || now-s.changedAt < minGrowthTime:
		return false, false
	}
	switch q {
	case Good:
		s.interval, s.changedAt = s.interval/2, now
		if now < s.coldUntil {
			s.interval = max(s.interval, s.pace.ColdInterval)
		}
		s.next = min(s.next, now+s.interval)
	case Strained:
		s.slower(now, 1.4)
	case Failed:
		s.slower(now, 2)
	}
	if s.interval <= capacity && now >= s.coldUntil {
		*s = SlowStart{}
		return false, true
	}
	return false, false
}

// slower lengthens the interval, at most to the first one.
func (s *SlowStart) slower(now time.Duration, factor float64) {
	s.interval = min(time.Duration(factor*float64(s.interval)), s.pace.interval())
	s.next, s.changedAt = max(s.next, now+s.interval), now
}

// Expire ends slow start after its longest time. It reports whether it ended.
func (s *SlowStart) Expire(now time.Duration) bool {
	if s.origin == "" || s.Origin(now) != "" {
		return false
	}
	*s = SlowStart{}
	return true
}

// NewPace returns the pace at a target. Entries whose subsets contain the target send to
// it in the first place: preferred is the number of targets in this entry's subset,
// targets and entries are those of its region, and all is the number of all entries.
// coldInterval is the entry's ColdInterval.
func NewPace(permitted float64, coldInterval time.Duration, inSubset bool, preferred, targets, entries, all int) Pace {
	p := Pace{Permitted: permitted, ColdInterval: coldInterval, InSubset: inSubset, Senders: max(all, 1)}
	if coldInterval > 0 {
		p.Senders = min(p.Senders, max(int(coldRateShare*permitted), 1))
	}
	if inSubset {
		p.Senders = min(p.Senders, max((preferred*entries+targets-1)/max(targets, 1), 1))
	}
	return p
}

// FirstDue returns the index of the first candidate that is due and in the entry's
// region, and its expected latency, or -1 if there is none. Requests between regions cost
// too much to be sent for the sake of the target.
func FirstDue(now, work time.Duration, candidates []Candidate) (int, time.Duration) {
	for i, c := range candidates {
		if c.Due && c.Distance != OtherRegion {
			return i, c.expected(now, work)
		}
	}
	return -1, 0
}

// Avoided reports whether the target is estimated to be so much slower than others of
// its service that the entry has not used it for some time.
func (t *TargetStats) Avoided(now time.Duration, slots int) bool {
	return t.correction != 0 && t.reports >= minAvoidedReports && now-t.evidenceAt >= avoidedAge && t.Slow(now, slots)
}

// Slow reports whether a response of the target is expected much later than one of an
// average target of its service with its average load.
func (t *TargetStats) Slow(now time.Duration, slots int) bool {
	fill := (t.ServiceAverage.averageLoad(now) + 1) / float64(max(slots, 1))
	usual := math.Max(fill, 1) * math.Max(t.ServiceAverage.averageSlowdown(now), 1)
	return float64(t.ExpectedLatency(now, slots, time.Second)) >= avoidedRatio*usual*float64(time.Second)
}
