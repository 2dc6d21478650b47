package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSubsetSize is the minimum number of targets in an entry's subset, if the
	// service has that many. An entry with 25 requests per second then receives
	// about three load reports per second from each of them, often enough that the
	// latest report is still meaningful.
	minSubsetSize = 8
	// minEntriesPerTarget is the minimum number of entries that prefer each target,
	// if there are that many entries.
	minEntriesPerTarget = 2
)

// Subset returns the targets that the entry self prefers. All entries in the list
// get subsets of the same size, and every target is in about the same number of
// subsets. Without subsets, an entry that spreads its requests over hundreds of
// targets would have no recent load report of any of them and would have to open a
// connection for most requests.
func Subset(self string, entries, targets []string) map[string]bool {
	byHash := slices.Clone(targets)
	slices.SortFunc(byHash, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	sortedEntries := slices.Clone(entries)
	slices.Sort(sortedEntries)
	index := max(slices.Index(sortedEntries, self), 0)
	count, n := len(byHash), max(len(sortedEntries), 1)
	size := min(count, max(minSubsetSize, (minEntriesPerTarget*count+n-1)/n))
	chosen := make(map[string]bool, size)
	for i := range size {
		chosen[byHash[(index*count/n+i)%count]] = true
	}
	return chosen
}
