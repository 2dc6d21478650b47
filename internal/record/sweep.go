package record

import "time"

// bucket returns the Unix minute of a Unix time in ms.
func bucket(unixMs int64) int64 { return unixMs / time.Minute.Milliseconds() }

// Sweep removes the entries that expired before the current minute. Entries that
// have not expired are never removed.
func (s *Store) Sweep(nowUnixMs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for minute := range s.buckets {
		if minute < bucket(nowUnixMs) {
			s.sweepBucket(minute)
		}
	}
}

func (s *Store) sweepBucket(minute int64) {
	for _, e := range s.buckets[minute] {
		if bucket(e.expiresAt) != minute {
			continue
		}
		delete(s.entries, e.id)
		s.bytes -= e.bytes
		s.readiness.swept = max(s.readiness.swept, e.firstSent)
	}
	delete(s.buckets, minute)
}
