package main

import (
	"fmt"
	"strings"
	"time"
)

// Parameters of targets in trouble in a soak.
const (
	// limitTime is how long a target names a limit, and maxSoakLimit the highest one.
	limitTime    = limitStability + 2*time.Second
	maxSoakLimit = 8
	// crashCopies is the number of copies of the crashing request in a series, and
	// crashInterval the time between two of them.
	crashCopies   = 8
	crashInterval = 250 * time.Millisecond
	// lossAfterCrash is how long requests may get lost after a copy was sent: its
	// deadline and the time until the target is up again.
	lossAfterCrash = soakDeadline + crashedFor
)

// limitTarget lets a target name a limit for a time and checks that it is kept.
func (s *soak) limitTarget(target *platformTarget) {
	key := target.id + " limit"
	rate := 1 + s.rng.Float64()*(maxSoakLimit-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faulty[key] {
		return
	}
	s.faulty[key] = true
	s.faults.Go(func() {
		target.limiter.setLimit(rate)
		time.Sleep(limitTime)
		if most, allowed := target.limiter.excess(func(entry string, told, at time.Time) bool {
			return s.excuses(target, entry, told.Add(-longestProxyFault), at)
		}); most > allowed {
			s.t.Errorf("%d requests in %v reached %s at a limit of %.1f/s, %d are allowed", most, limitWindow, target.id, rate, allowed)
		}
		target.limiter.setLimit(0)
		s.mu.Lock()
		delete(s.faulty, key)
		s.mu.Unlock()
	})
}

// excuses reports whether a fault of an entry VM, or of the connections to a target,
// explains a request in a span.
func (s *soak) excuses(target *platformTarget, entry string, from, to time.Time) bool {
	return target.proxy.faultBetween(from, to) || s.disruptedBetween("entry-"+strings.TrimPrefix(entry, "e"), from, to)
}

// sendCrashing sends copies of a request that crashes targets to random entry VMs.
func (s *soak) sendCrashing() {
	for i := range crashCopies {
		entry := s.rng.IntN(len(s.entries))
		id := entryID(entry, fmt.Sprintf("crash-%d", s.rng.Uint64()))
		end := s.unplanned(allEntries)
		s.faults.Go(func() {
			defer end()
			time.Sleep(time.Duration(i) * crashInterval)
			began := time.Now()
			s.request(entry, "POST", "/post"+crashPath, id, "")
			time.Sleep(time.Until(began.Add(lossAfterCrash)))
		})
	}
}

// checkCrashes checks that a request which crashed three targets was not sent on. Its
// entry VM and the control VMs had no fault in the time in which the entry VM must
// learn of the crashes.
func (s *soak) checkCrashes() {
	late, all := s.crashes.lateArrivals(func(entry string, third, at time.Time) bool {
		since := at.Add(-crashStability)
		disturbed := s.disruptedBetween("entry-"+strings.TrimPrefix(entry, "e"), since, at)
		for i := range s.controls {
			disturbed = disturbed || s.disruptedBetween(fmt.Sprint("control-", i), since, at)
		}
		return disturbed
	})
	s.t.Logf("%d crashing requests reached targets, %d of them late", all, late)
	if late > lateCrashes {
		s.t.Errorf("%d crashing requests reached targets late, %d are allowed", late, lateCrashes)
	}
}
