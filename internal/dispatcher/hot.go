package dispatcher

import "sort"

// hotKeyCounter finds the hashes that receive a large share of a target's
// requests, with the Space-Saving algorithm. Counts are halved at hotHalvingTotal,
// so that recent requests weigh more.
type hotKeyCounter struct {
	counts map[uint64]int
	total  int
}

const (
	// hotCounters is the maximum number of hashes counted at the same time.
	hotCounters = 64
	// hotHalvingTotal is the total count at which all counts are halved, so that
	// keys that are no longer hot leave the list.
	hotHalvingTotal = 4096
	// hotMinRequests is the total count below which no key is regarded as hot.
	hotMinRequests = 256
	// hotShare is the minimum share of requests of a hot key.
	hotShare = 0.1
)

func newHotKeyCounter() *hotKeyCounter {
	return &hotKeyCounter{counts: make(map[uint64]int, hotCounters)}
}

// add counts one request.
func (h *hotKeyCounter) add(hash uint64) {
	h.total++
	if _, ok := h.counts[hash]; ok || len(h.counts) < hotCounters {
		h.counts[hash]++
	} else {
		h.replaceSmallest(hash)
	}
	if h.total >= hotHalvingTotal {
		h.halve()
	}
}

// replaceSmallest replaces the hash with the smallest count by a new one. The new
// hash inherits the count, so that its counter is an upper bound of its requests.
func (h *hotKeyCounter) replaceSmallest(hash uint64) {
	var smallest uint64
	least := -1
	for k, n := range h.counts {
		if least < 0 || n < least || (n == least && k < smallest) {
			smallest, least = k, n
		}
	}
	delete(h.counts, smallest)
	h.counts[hash] = least + 1
}

func (h *hotKeyCounter) halve() {
	h.total /= 2
	for k, n := range h.counts {
		if n /= 2; n == 0 {
			delete(h.counts, k)
		} else {
			h.counts[k] = n
		}
	}
}

// top returns the hot hashes with their shares, hottest first.
func (h *hotKeyCounter) top() (hashes []uint64, shares []float64) {
	if h.total < hotMinRequests {
		return nil, nil
	}
	for k, n := range h.counts {
		if float64(n) >= hotShare*float64(h.total) {
			hashes = append(hashes, k)
		}
	}
	sort.Slice(hashes, func(i, j int) bool {
		ni, nj := h.counts[hashes[i]], h.counts[hashes[j]]
		return ni > nj || (ni == nj && hashes[i] < hashes[j])
	})
	for _, k := range hashes {
		shares = append(shares, float64(h.counts[k])/float64(h.total))
	}
	return hashes, shares
}
