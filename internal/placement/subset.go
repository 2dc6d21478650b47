package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetLeast is the fewest targets that an entry prefers, where there are as
	// many: with 25 requests a second it hears of each of them three times a
	// second, within the time for which a report is worth something.
	subsetLeast = 8
	// subsetOverlap is how many entries prefer each target, at least.
	subsetOverlap = 2
)

// Subset returns the targets that an entry prefers. Every entry of the same place
// gets about the same number, and every target is preferred by about as many
// entries. An entry that spread its requests over hundreds of targets would know
// the load of none and open a connection for most requests.
func Subset(self string, entries, targets []string) map[string]bool {
	order := slices.Clone(targets)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	place := slices.Clone(entries)
	slices.Sort(place)
	at := max(slices.Index(place, self), 0)
	count, n := len(order), max(len(place), 1)
	size := min(count, max(subsetLeast, (subsetOverlap*count+n-1)/n))
	chosen := make(map[string]bool, size)
	for i := range size {
		chosen[order[(at*count/n+i)%count]] = true
	}
	return chosen
}
