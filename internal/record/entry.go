package record

import (
	"slices"
	"time"
	"unique"
)

// Sizes by which memory is accounted, in bytes.
const (
	// entryBytes covers an entry, its map slot and its expiry bucket slot.
	entryBytes = 320
	// attemptBytes covers a refused or copied attempt.
	attemptBytes = 96
	// answerReserveBytes is charged at the start, so that a full holder can
	// still mark the attempt as finished with a dropped answer.
	answerReserveBytes = 32
)

// ClockAllowance bounds the difference between the clocks of callers and VMs.
const ClockAllowance = 5 * time.Second

// entry is what a holder knows of one ID.
type entry struct {
	id ID
	// attempt is the one granted in this incarnation, or the finished one.
	attempt     Attempt
	phase       phase
	fingerprint uint64
	// firstSent and expiresAt are unix times in ms.
	firstSent, expiresAt int64
	holders              unique.Handle[string]
	// answer is the encoded Answer of a finished attempt.
	answer []byte
	rare   *rare
	bytes  int
}

type phase uint8

const (
	phaseNone phase = iota
	phaseStarted
	phaseFinished
)

// rare holds what most entries do not have.
type rare struct {
	dead    []Attempt
	refused []Attempt
	// copied are attempts of other holders; they block but are never granted.
	copied []HeldAttempt
}

func (e *entry) extra() *rare {
	if e.rare == nil {
		e.rare = &rare{}
	}
	return e.rare
}

func (e *entry) isDead(a Attempt) bool {
	return e.rare != nil && slices.Contains(e.rare.dead, a)
}

// refuses reports whether the attempt must never be granted.
func (e *entry) refuses(a Attempt) bool {
	return e.isDead(a) || e.rare != nil && slices.Contains(e.rare.refused, a)
}

// stores reports whether the attempt may have been granted by this holder.
func (e *entry) stores(a Attempt) bool {
	if e.phase != phaseNone && e.attempt == a {
		return true
	}
	return slices.ContainsFunc(e.copies(), func(h HeldAttempt) bool { return h.Attempt == a })
}

func (e *entry) copies() []HeldAttempt {
	if e.rare == nil {
		return nil
	}
	return e.rare.copied
}

// kill removes an attempt for good.
func (e *entry) kill(a Attempt) {
	if !e.isDead(a) {
		e.extra().dead = append(e.extra().dead, a)
	}
	e.rare.copied = slices.DeleteFunc(e.rare.copied, func(h HeldAttempt) bool { return h.Attempt == a })
	if e.phase == phaseStarted && e.attempt == a {
		e.phase = phaseNone
	}
}

// size is the accounted memory of the entry in bytes.
func (e *entry) size() int {
	n := entryBytes + answerReserveBytes
	n += len(e.id.Tenant) + len(e.id.Service) + len(e.id.Key)
	n += max(0, len(e.answer)-answerReserveBytes)
	if e.rare != nil {
		n += attemptBytes * (len(e.rare.dead) + len(e.rare.refused) + len(e.rare.copied))
	}
	return n
}

func intern(a Attempt) Attempt {
	a.VM = unique.Make(a.VM).Value()
	return a
}

func expiry(firstSent int64, retention time.Duration) int64 {
	return firstSent + (retention + ClockAllowance).Milliseconds()
}
