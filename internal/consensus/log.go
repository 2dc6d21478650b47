package consensus

// entryLog is the part of the log in memory. Invariants: entries are
// contiguous from base+1, terms do not decrease, base <= commit <= last.
type entryLog struct {
	// base and baseTerm are the position before the first entry.
	base, baseTerm uint64
	entries        []Entry
	// stable is the last index known to be synced.
	stable uint64
	// commit is the last committed index.
	commit uint64
	// handed is the last index given to the state machine.
	handed uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of index i, or false when the log does not hold it.
func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// matches reports whether the entry at index i has the given term. Everything
// up to the commit index matches every leader.
func (l *entryLog) matches(i, term uint64) bool {
	if i <= l.commit {
		return true
	}
	t, ok := l.term(i)
	return ok && t == term
}

// upToDate reports whether a log that ends at the given position holds at
// least what this log holds.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// between returns the entries from lo to hi inclusive. The result stays valid
// after later changes of the log.
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
// index i did not match: the first index of the conflicting term.
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

// reset empties the log at the position of an installed snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index, commit: index, handed: index}
}
