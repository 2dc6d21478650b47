package registry

import (
	"slices"
	"sort"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Samples are the keys that entries were asked for and the work that targets
// took, of one service.
type Samples struct {
	Service string `msgpack:"s"`
	Keys    []int  `msgpack:"k"`
	Works   []Work `msgpack:"w"`
}

// Work is the mean time that one entry saw a target take for a request that did
// not wait.
type Work struct {
	Target fleet.Incarnation `msgpack:"t"`
	Mean   time.Duration     `msgpack:"m"`
}

// Figures of the balance of keys.
const (
	// sampleWindow is how long a request counts as demand. Hot keys change within
	// seconds; at 50 requests a second the window holds 200 samples.
	sampleWindow = 4 * time.Second
	// maxSamples bounds the samples of one service: four seconds at the rate of a
	// deployment that has grown tenfold.
	maxSamples = 2400
	// minSamples is the number of samples that a target needs to count as
	// overloaded, so that chance does not move keys.
	minSamples = 8
	// balanceInterval is the time between two balancing moves of a service: a
	// move takes up to a second, and its effect must be seen first.
	balanceInterval = 1500 * time.Millisecond
	// overloadRatio is the utilisation of a target, as a multiple of the mean,
	// above which keys are moved away, and settledRatio the one at which a
	// balancing move ends.
	overloadRatio = 1.5
	settledRatio  = 1.15
	// overloadFloor is the utilisation below which a target keeps its keys however
	// idle the others are.
	overloadFloor = 0.45
	// maxPieces bounds the rows that one balancing move touches.
	maxPieces = 12
	// rowsPerTarget bounds the rows of a service, and with them the answers to
	// heartbeats, which may have 4 KiB.
	rowsPerTarget = 8
	// workShare is the weight of a new observation of a target's work.
	workShare = 0.3
	// defaultWork is assumed for targets that no entry has measured.
	defaultWork = 500 * time.Millisecond
)

// demand is the recent demand for a service.
type demand struct {
	samples  []sample
	work     map[fleet.Incarnation]time.Duration
	balanced time.Duration
}

type sample struct {
	key int
	at  time.Duration
}

// Sampled takes in what an entry saw.
func (r *Registry) Sampled(now time.Duration, s Samples) {
	d := r.demand[s.Service]
	if d == nil {
		d = &demand{work: make(map[fleet.Incarnation]time.Duration)}
		r.demand[s.Service] = d
	}
	for _, key := range s.Keys {
		d.samples = append(d.samples, sample{key, now})
	}
	d.expire(now)
	for _, w := range s.Works {
		if old := d.work[w.Target]; old > 0 {
			w.Mean = old + time.Duration(workShare*float64(w.Mean-old))
		}
		d.work[w.Target] = w.Mean
	}
}

// expire drops old samples.
func (d *demand) expire(now time.Duration) {
	first := sort.Search(len(d.samples), func(i int) bool { return now-d.samples[i].at <= sampleWindow })
	first = max(first, len(d.samples)-maxSamples)
	d.samples = slices.Delete(d.samples, 0, first)
}

// sortedKeys returns the sampled keys in ascending order.
func (d *demand) sortedKeys() []int {
	keys := make([]int, len(d.samples))
	for i, s := range d.samples {
		keys[i] = s.key
	}
	slices.Sort(keys)
	return keys
}

// scale is a model of how busy the targets of a service are.
type scale struct {
	keys []int
	// cost is the utilisation that one sampled request causes at a target.
	cost  map[fleet.Incarnation]float64
	usage map[fleet.Incarnation]float64
	count map[fleet.Incarnation]int
}

// balance moves parts of rows from targets that are much busier than the others
// to those that are least busy. It reports whether it changed a row.
func (r *Registry) balance(now time.Duration, s *fleet.State, shard *fleet.Shard, usable []fleet.Incarnation) bool {
	d := r.demand[shard.Service]
	if d == nil || now-d.balanced < balanceInterval || len(usable) < 2 || len(shard.Rows) >= rowsPerTarget*len(usable) {
		return false
	}
	for _, row := range shard.Rows {
		if row.Moving() || !row.Granted {
			return false
		}
	}
	d.expire(now)
	sc := newScale(d, s, shard, usable)
	changed := false
	for range maxPieces {
		if !sc.movePiece(shard, usable, changed) {
			break
		}
		changed = true
	}
	if changed {
		d.balanced = now
	}
	return changed
}

func newScale(d *demand, s *fleet.State, shard *fleet.Shard, usable []fleet.Incarnation) *scale {
	sc := &scale{
		keys: d.sortedKeys(), cost: make(map[fleet.Incarnation]float64),
		usage: make(map[fleet.Incarnation]float64), count: make(map[fleet.Incarnation]int),
	}
	for _, in := range usable {
		work := d.work[in]
		if work == 0 {
			work = defaultWork
		}
		t, _ := s.Target(in.ID)
		sc.cost[in] = work.Seconds() / float64(max(t.Slots, 1)) / sampleWindow.Seconds()
		sc.usage[in] = 0
	}
	for _, row := range shard.Rows {
		n := len(sc.within(row))
		sc.count[row.Holder] += n
		sc.usage[row.Holder] += float64(n) * sc.cost[row.Holder]
	}
	return sc
}

// within returns the sampled keys of a row.
func (sc *scale) within(row fleet.Row) []int {
	from := sort.SearchInts(sc.keys, row.From)
	to := sort.SearchInts(sc.keys, row.To+1)
	return sc.keys[from:to]
}

// movePiece marks one part of a row of the busiest target for the least busy
// one. Once a move is under way it goes on to a lower ratio.
func (sc *scale) movePiece(shard *fleet.Shard, usable []fleet.Incarnation, under bool) bool {
	mean, busiest, idlest := 0.0, usable[0], usable[0]
	for _, in := range usable {
		mean += sc.usage[in] / float64(len(usable))
		if sc.usage[in] > sc.usage[busiest] {
			busiest = in
		}
		if sc.usage[in] < sc.usage[idlest] {
			idlest = in
		}
	}
	ratio := overloadRatio
	if under {
		ratio = settledRatio
	}
	if sc.count[busiest] < minSamples || sc.usage[busiest] < max(ratio*mean, overloadFloor) {
		return false
	}
	// Moving n samples evens the two out when n times both costs is the gap.
	wanted := int((sc.usage[busiest] - sc.usage[idlest]) / (sc.cost[busiest] + sc.cost[idlest]))
	return wanted > 0 && sc.cut(shard, busiest, idlest, wanted)
}

// cut marks the part with about the wanted number of samples at the end of the
// busiest row of a target, where that part has few keys.
func (sc *scale) cut(shard *fleet.Shard, from, to fleet.Incarnation, wanted int) bool {
	best, most := -1, 0
	for i, row := range shard.Rows {
		if n := len(sc.within(row)); row.Holder == from && !row.Moving() && n > most {
			best, most = i, n
		}
	}
	if best < 0 {
		return false
	}
	row := shard.Rows[best]
	keys := sc.within(row)
	if wanted < most {
		low, high := keys[wanted-1], keys[most-wanted]
		switch {
		case low-row.From <= row.To-high && low < row.To:
			best = splitRow(shard, best, low+1)
		case high > row.From:
			best = splitRow(shard, best, high) + 1
		case low < row.To:
			best = splitRow(shard, best, low+1)
		default:
			return false // a single key cannot be divided
		}
	} else if most == sc.count[from] {
		return false // the target would have nothing left
	}
	moved := len(sc.within(shard.Rows[best]))
	shard.Rows[best].Next = to
	sc.count[from] -= moved
	sc.count[to] += moved
	sc.usage[from] -= float64(moved) * sc.cost[from]
	sc.usage[to] += float64(moved) * sc.cost[to]
	return moved > 0
}

// splitRow divides a row so that the second part begins at a key. It returns
// the index of the first part.
func splitRow(shard *fleet.Shard, i, at int) int {
	second := shard.Rows[i]
	second.From = at
	shard.Rows[i].To = at - 1
	shard.Rows = slices.Insert(shard.Rows, i+1, second)
	return i
}
