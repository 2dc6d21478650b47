package linkshare

import (
	"math"
	"slices"
	"time"
)

// Demand describes a request whose response may be long.
type Demand struct {
	Route string
	// Objective is when the response becomes late.
	Objective time.Duration
	// Service is the usual time from the send to a target to the head of the response.
	Service time.Duration
	// Limited reports that the request may be refused and held back if the responses of
	// its route are long.
	Limited bool
}

// Refusal says when a refused download should be tried again.
type Refusal struct {
	// After is when the backlog will have drained so far that the download would be
	// admitted.
	After time.Duration
	// Expected is the expected time to delivery, and Owed the bytes that are owed to
	// other downloads.
	Expected time.Duration
	Owed     int64
}

// Admit returns the download for a request, or why it is refused. A download of a route
// whose responses aren't known to be long is always admitted.
//
// A download is refused if its response would be late, given the bytes that are already
// owed: it would use capacity that others need to be in time. While nothing is owed to
// others, a download is always admitted: a late response is worth more than none, and an
// expected size or service time that is too high is only corrected by a response. For the
// same reason one download of a route is admitted if there was none for probeInterval.
func (s *Share) Admit(now time.Duration, q Demand) (*Download, *Refusal) {
	size := s.Expected(q.Route)
	d := &Download{
		route: q.Route, objective: q.Objective, service: q.Service, active: now,
		limited: q.Limited && size > BulkBytes,
	}
	if !d.limited {
		d.started, d.startedAt = true, now
		s.admittedAt[q.Route] = now
		return d, nil
	}
	d.left = [directions]int64{int64(size), int64(size)}
	d.probe = s.mayProbe(now, q.Route)
	if refusal := s.judge(now, d); refusal != nil {
		return nil, refusal
	}
	s.admittedAt[q.Route] = now
	s.downloads = append(s.downloads, d)
	return d, nil
}

// mayProbe reports whether a download of a route is admitted whatever is expected of it:
// none was for some time, and none is under way, so that probes don't add up.
func (s *Share) mayProbe(now time.Duration, route string) bool {
	at, known := s.admittedAt[route]
	underWay := slices.ContainsFunc(s.downloads, func(d *Download) bool { return d.route == route })
	return !underWay && (!known || now-at >= probeInterval)
}

// Track counts a download that turned out to be long among those that are owed bytes.
func (s *Share) Track(d *Download) {
	if !d.limited && !d.ended && d.bulk {
		d.limited = true
		s.downloads = append(s.downloads, d)
	}
}

// judge returns why a download that hasn't been sent can't be delivered in time, or nil.
func (s *Share) judge(now time.Duration, d *Download) *Refusal {
	expected := s.expected(now, d)
	late := now + expected - d.objective
	owed := s.owed(now, func(other *Download) bool { return other != d })
	if late <= 0 || owed == 0 || d.probe {
		return nil
	}
	drained := s.duration(float64(owed) / s.bulkRate(now))
	return &Refusal{After: min(max(late, 0), drained), Expected: expected, Owed: owed}
}

// expected returns the expected time to the delivery of a download that hasn't been sent,
// after those that are due before it: the service time is spent while the link carries
// them, the held part passes both directions one after the other.
func (s *Share) expected(now time.Duration, d *Download) time.Duration {
	rate := s.bulkRate(now)
	due := s.due(now, d)
	before := s.owed(now, func(other *Download) bool { return other != d && s.due(now, other) <= due })
	own, held := float64(d.left[Out])/rate, float64(min(d.left[Out], holdBytes))/rate
	return max(d.service+s.duration(held), s.duration(float64(before)/rate)) + s.duration(own)
}

func (s *Share) duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// Owed returns the bytes that are owed to the admitted downloads.
func (s *Share) Owed(now time.Duration) int64 {
	return s.owed(now, func(*Download) bool { return true })
}

// owed returns the bytes that are owed to some downloads, in the busier direction.
func (s *Share) owed(now time.Duration, counts func(*Download) bool) int64 {
	var owed [directions]int64
	for _, d := range s.downloads {
		if d.stalled(now) || !counts(d) {
			continue
		}
		for dir := range owed {
			owed[dir] += d.left[dir]
		}
	}
	return max(owed[In], owed[Out])
}

// stalled reports whether a download leaves its part of the link unused because its
// target or its caller makes no progress. It counts again as soon as it goes on.
func (d *Download) stalled(now time.Duration) bool {
	switch {
	case !d.started || d.asking > 0:
		return false
	case d.active <= d.startedAt:
		return now-d.startedAt > max(maxServiceExcess*d.service, stallAfter)
	}
	return now-d.active > stallAfter
}

// StartNext returns the next admitted download that may be sent to a target; or one that
// can no longer be delivered in time, which it ends, and why. It returns nil if none may
// be sent yet: one that waits for the link would occupy its target and memory.
func (s *Share) StartNext(now time.Duration) (*Download, *Refusal) {
	running := 0
	var first *Download
	for _, d := range s.downloads {
		if !d.started && (first == nil || d.objective < first.objective) {
			first = d
		}
	}
	if first == nil {
		return nil, nil
	}
	due := s.due(now, first)
	for _, d := range s.downloads {
		// Those that are late in any case use what others leave of the link.
		givesWay := s.due(now, d) > max(d.objective, due)
		if d.started && !d.stalled(now) && !givesWay {
			running++
		}
	}
	if refusal := s.judge(now, first); refusal != nil {
		s.End(first)
		return first, refusal
	}
	if running >= s.maxRunning(now, first) {
		return nil, nil
	}
	first.started, first.startedAt, first.active = true, now, now
	return first, nil
}

// maxRunning returns how many downloads keep the link busy: those on their way in each
// direction, and as many as the link carries while a target works on one.
func (s *Share) maxRunning(now time.Duration, d *Download) int {
	waiting := s.bulkRate(now) * d.service.Seconds() / max(float64(d.left[In]), BulkBytes)
	return pipelineDownloads + int(math.Ceil(waiting))
}

// Started reports whether a download may be sent to a target.
func (d *Download) Started() bool { return d.started }

// Waiting reports whether a download was admitted but not sent yet.
func (s *Share) Waiting() bool {
	for _, d := range s.downloads {
		if !d.started {
			return true
		}
	}
	return false
}
