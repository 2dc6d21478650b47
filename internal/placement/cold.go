package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sharer is an entry that may send to a cold target.
type Sharer struct {
	Addr string
	// Near says that the entry is in the target's region.
	Near bool
}

const (
	// coldSecond is slightly above the second over which requests to a cold
	// target are counted, so that one request in it is never two.
	coldSecond = 1050 * time.Millisecond
	// coldShare is the part of the permitted requests that is used: a request may
	// be under way to a target that turns cold.
	coldShare = 0.85
)

// ColdInterval returns the time between two requests of an entry to a cold
// target, or 0 when the entry may send none. The permitted requests of a second
// are divided among the entries: each gets the same whole number, or, where
// there are more entries than requests, some get one. Those are near the target
// first, and otherwise differ by target.
func ColdInterval(permitted float64, target, self string, entries []Sharer) time.Duration {
	share := int(coldShare * permitted)
	if each := share / max(len(entries), 1); each > 0 && slices.ContainsFunc(entries, func(s Sharer) bool { return s.Addr == self }) {
		return coldSecond / time.Duration(each)
	}
	type ranked struct {
		Sharer
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
			return coldSecond
		}
	}
	return 0
}
