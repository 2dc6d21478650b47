package record

import (
	"slices"
	"time"
	"unique"
)

// Sizes for the memory accounting, in bytes.
const (
	// entryBytes covers an entry, its map slot and its expiry bucket slot.
	entryBytes = 320
	// attemptBytes covers an aborted, refused or copied attempt.
	attemptBytes = 96
	// responseReserveBytes is charged for every entry from its creation, so that
	// a full holder can still mark an attempt as finished with a dropped
	// response.
	responseReserveBytes = 32
)

// ClockAllowance is the maximum difference between the clocks of callers and
// VMs.
const ClockAllowance = 5 * time.Second

// entry is the record of one ID on a holder.
type entry struct {
	id ID
	// attempt is the attempt that this incarnation of the holder granted, or the
	// finished attempt. It is not valid in phaseNone.
	attempt     Attempt
	phase       phase
	fingerprint uint64
	// firstSent and expiresAt are Unix times in ms.
	firstSent, expiresAt int64
	// holders are the joined holder sets of the ID.
	holders unique.Handle[string]
	// response is the encoded Response of a finished attempt.
	response []byte
	extras   *extras
	// bytes is the size by which the entry is accounted.
	bytes int
}

type phase uint8

const (
	phaseNone phase = iota
	phaseStarted
	phaseFinished
)

// extras holds the fields of an entry that are empty in most entries. It is
// allocated when it is first needed.
type extras struct {
	aborted []Attempt
	refused []Attempt
	// copied are attempts that were copied from other holders. They block other
	// attempts but are never granted.
	copied []StoredAttempt
}

// ensureExtras returns the extras of e and creates them if there are none.
func (e *entry) ensureExtras() *extras {
	if e.extras == nil {
		e.extras = &extras{}
	}
	return e.extras
}

func (e *entry) isAborted(a Attempt) bool {
	return e.extras != nil && slices.Contains(e.extras.aborted, a)
}

// refuses reports whether the attempt must never be granted.
func (e *entry) refuses(a Attempt) bool {
	return e.isAborted(a) || e.extras != nil && slices.Contains(e.extras.refused, a)
}

// stores reports whether this holder granted the attempt, or may have granted it
// before it restarted, since the attempt was copied from another holder.
func (e *entry) stores(a Attempt) bool {
	if e.phase != phaseNone && e.attempt == a {
		return true
	}
	return slices.ContainsFunc(e.copies(), func(h StoredAttempt) bool { return h.Attempt == a })
}

func (e *entry) copies() []StoredAttempt {
	if e.extras == nil {
		return nil
	}
	return e.extras.copied
}

// markAborted removes an attempt if it is stored. It is then never granted or
// copied again.
func (e *entry) markAborted(a Attempt) {
	if !e.isAborted(a) {
		e.ensureExtras().aborted = append(e.ensureExtras().aborted, a)
	}
	e.extras.copied = slices.DeleteFunc(e.extras.copied, func(h StoredAttempt) bool { return h.Attempt == a })
	if e.phase == phaseStarted && e.attempt == a {
		e.phase = phaseNone
	}
}

// size returns the memory that the entry is to be accounted with, in bytes.
func (e *entry) size() int {
	n := entryBytes + responseReserveBytes
	n += len(e.id.Tenant) + len(e.id.Service) + len(e.id.Key)
	n += max(0, len(e.response)-responseReserveBytes)
	if e.extras != nil {
		n += attemptBytes * (len(e.extras.aborted) + len(e.extras.refused) + len(e.extras.copied))
	}
	return n
}

// intern returns the attempt with an interned VM name.
func intern(a Attempt) Attempt {
	a.VM = unique.Make(a.VM).Value()
	return a
}

// expiry returns the Unix time in ms from which a record may be removed.
func expiry(firstSent int64, retention time.Duration) int64 {
	return firstSent + (retention + ClockAllowance).Milliseconds()
}
