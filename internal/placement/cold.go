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
	type ranked struct {
		Entry
		hash uint64
	}
	list := make([]ranked, 0, len(entries))
	for _, s := range entries {
		list = append(list, ranked{s, xxhash.Sum64String(target + "\x00" + s.Addr)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.Near != b.Near {
			if a.Near {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	for _, r := range list[:min(share, len(list))] {
		if r.Addr == self {
			return coldPeriod
		}
	}
	return 0
}
