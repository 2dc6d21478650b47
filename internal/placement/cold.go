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
	ranked := rankEntries(target, entries)
	for _, e := range ranked[:min(share, len(ranked))] {
		if e.Addr == self {
			return coldPeriod
		}
	}
	return 0
}

// rankEntries returns the entries in the order in which they get shares of a target that
// takes fewer requests than there are entries: those in the target's region first, and
// within that by a hash of target and entry, so that different targets use different
// entries.
func rankEntries(target string, entries []Entry) []Entry {
	ranked := slices.Clone(entries)
	hashes := make(map[string]uint64, len(entries))
	for _, e := range entries {
		hashes[e.Addr] = xxhash.Sum64String(target + "\x00" + e.Addr)
	}
	slices.SortFunc(ranked, func(a, b Entry) int {
		if a.Near != b.Near {
			if a.Near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(hashes[a.Addr], hashes[b.Addr]), cmp.Compare(a.Addr, b.Addr))
	})
	return ranked
}
