package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is an entry that may send to a cold target.
type Entry struct {
	Addr string
	// Near is true if the entry is in the target's region.
	Near bool
}

const (
	// coldPeriod is the time between two requests of an entry whose share is one
	// request per second. It is slightly longer than the second over which
	// requests to a cold target are counted, so that two of them never fall into
	// the same second.
	coldPeriod = 1050 * time.Millisecond
	// coldRateShare is the fraction of the permitted requests that is used. The rest
	// is reserved for requests already in flight to a target when it turns cold.
	coldRateShare = 0.85
)

// ColdInterval returns the minimum time between two requests of the entry self
// to a cold target, or 0 if the entry may send none. permitted is the number of
// requests per second that the target accepts from all entries together. They are
// divided evenly among the entries in whole numbers. If there are more entries
// than requests, some entries get one request each: entries in the target's
// region come first, and within that the order is a hash of target and entry,
// so that different targets use different entries.
func ColdInterval(permitted float64, target, self string, entries []Entry) time.Duration {
	share := int(coldRateShare * permitted)
	if each := share / max(len(entries), 1); each > 0 && slices.ContainsFunc(entries, func(s Entry) bool { return s.Addr == self }) {
		return coldPeriod / time.Duration(each)
	}
	if i, ok := rank(target, self, entries); ok && i < share {
		return coldPeriod
	}
	return 0
}

// rank returns the position of the entry self in the order in which entries get shares
// of a target that takes fewer requests than there are entries: those in the target's
// region first, and within that by a hash of target and entry, so that different targets
// use different entries. It is false if self is not among the entries.
//
// It compares self with each other entry instead of sorting them: an entry needs its
// position at hundreds of targets at once when these are replaced.
func rank(target, self string, entries []Entry) (int, bool) {
	i := slices.IndexFunc(entries, func(e Entry) bool { return e.Addr == self })
	if i < 0 {
		return 0, false
	}
	own, ahead := entries[i], 0
	ownHash := hashOf(target, self)
	for _, e := range entries {
		if e.Near != own.Near {
			if e.Near {
				ahead++
			}
			continue
		}
		if cmp.Or(cmp.Compare(hashOf(target, e.Addr), ownHash), cmp.Compare(e.Addr, self)) < 0 {
			ahead++
		}
	}
	return ahead, true
}

// hashOf returns a hash of a target and an entry.
func hashOf(target, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
