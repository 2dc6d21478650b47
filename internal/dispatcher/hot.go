package dispatcher

import "sort"

// hotKeys finds the hashes that take a large share of a target's requests,
// with the Space-Saving algorithm over a sliding pair of windows.
type hotKeys struct {
	counts map[uint64]int
	total  int
}

const (
	// hotCounters bounds the hashes counted at once.
	hotCounters = 64
	// hotWindow is the number of requests after which counts are halved, so
	// that keys that cooled down leave the list.
	hotWindow = 4096
	// hotMinimum is the number of requests below which no key counts as hot.
	hotMinimum = 256
	// hotShare is the share of requests from which a key counts as hot.
	hotShare = 0.1
)

func newHotKeys() *hotKeys { return &hotKeys{counts: make(map[uint64]int, hotCounters)} }

// add counts one request.
func (h *hotKeys) add(hash uint64) {
	h.total++
	if _, ok := h.counts[hash]; ok || len(h.counts) < hotCounters {
		h.counts[hash]++
	} else {
		h.replaceSmallest(hash)
	}
	if h.total >= hotWindow {
		h.halve()
	}
}

// replaceSmallest gives the counter of the rarest hash to a new one, which
// inherits the count as the upper bound of its own.
func (h *hotKeys) replaceSmallest(hash uint64) {
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

func (h *hotKeys) halve() {
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
func (h *hotKeys) top() (hashes []uint64, shares []float64) {
	if h.total < hotMinimum {
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
