package record

// Stats are the counters of a store, for export as metrics.
type Stats struct {
	// Records is the number of IDs with a record.
	Records int
	// Bytes is the accounted memory. New attempts are refused when it would
	// exceed MaxBytes.
	Bytes, MaxBytes int
	// Starts counts start requests by the state in the reply.
	Starts map[State]uint64
}

// Stats returns the current counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{
		Records:  len(s.entries),
		Bytes:    s.bytes,
		MaxBytes: s.maxBytes,
		Starts:   make(map[State]uint64, len(s.starts)),
	}
	for state, count := range s.starts {
		stats.Starts[State(state)] = count
	}
	return stats
}
