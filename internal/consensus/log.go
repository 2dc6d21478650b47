package consensus

// entryLog is the part of the log that is held in memory. Invariants: entries
// are contiguous from base+1, terms do not decrease, base <= commit <= last.
type entryLog struct {
	// base and baseTerm are the index and the term of the entry before the
	// first one in entries.
	base, baseTerm uint64
	entries        []Entry
	// stable is the last index known to be synced to disk.
	stable uint64
	// commit is the last committed index.
	commit uint64
	// delivered is the last index that Ready returned for the state machine.
	delivered uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of index i, or false if the log does not hold it.
func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// matches reports whether the entry at index i has the given term. An index up
// to the commit index always matches, since every leader has the committed
// entries.
func (l *entryLog) matches(i, term uint64) bool {
	if i <= l.commit {
		return true
	}
	t, ok := l.term(i)
	return ok && t == term
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up-to-date as this log.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// between returns the entries from lo to hi inclusive. The result stays valid
// when the log changes.
func (l *entryLog) between(lo, hi uint64) []Entry {
	lo = max(lo, l.base+1)
	if lo > hi {
		return nil
	}
	from, to := lo-l.base-1, hi-l.base
	return l.entries[from:to:to]
}

// batch returns entries from lo on with at most maxBytes of data, but at
// least one entry if there is any.
func (l *entryLog) batch(lo uint64, maxBytes int) []Entry {
	entries := l.between(lo, l.last())
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return entries[:i:i]
		}
	}
	return entries
}

// conflictHint returns the index from which a leader should send entries after
// index i did not match: the first uncommitted index of the conflicting term,
// or the index after the last entry if the log ends before i.
func (l *entryLog) conflictHint(i uint64) uint64 {
	if i > l.last() {
		return l.last() + 1
	}
	conflict, _ := l.term(i)
	for i > l.commit+1 {
		if t, ok := l.term(i - 1); !ok || t != conflict {
			break
		}
		i--
	}
	return i
}

// truncate removes all entries after index i.
func (l *entryLog) truncate(i uint64) {
	kept := i - l.base
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, i)
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// compact removes entries up to and including index i.
func (l *entryLog) compact(i uint64) {
	term, ok := l.term(i)
	if !ok || i == l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, term
}

// reset removes all entries; the log continues after an installed snapshot with
// the given last index and term.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index, commit: index, delivered: index}
}
