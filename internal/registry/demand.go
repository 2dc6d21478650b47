package registry

import (
	"cmp"
	"maps"
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

// Work is the mean time that a target took for some requests which did not wait.
type Work struct {
	Target fleet.Incarnation `msgpack:"t"`
	Mean   time.Duration     `msgpack:"m"`
	// Count is the number of these requests.
	Count int `msgpack:"c"`
}

// Bounds of what one message may say of a target's work.
const (
	maxWorkCount = 64
	longestWork  = time.Minute
)

// bounded returns the observation with values that a request can have.
func (w Work) bounded() Work {
	w.Mean = min(max(w.Mean, 0), longestWork)
	w.Count = min(max(w.Count, 1), maxWorkCount)
	return w
}

// with returns the mean of both observations of one target.
func (w Work) with(more Work) Work {
	w, more = w.bounded(), more.bounded()
	count := w.Count + more.Count
	w.Mean = (w.Mean*time.Duration(w.Count) + more.Mean*time.Duration(more.Count)) / time.Duration(count)
	w.Count = count
	return w
}

// Add takes in further samples of the service: keys up to the bound, and the
// mean of the observations of each target's work.
func (s *Samples) Add(more Samples) {
	room := max(maxSamples-len(s.Keys), 0)
	s.Keys = append(s.Keys, more.Keys[:min(room, len(more.Keys))]...)
	for _, w := range more.Works {
		s.AddWork(w)
	}
}

// AddWork takes in an observation of a target's work.
func (s *Samples) AddWork(w Work) {
	i := slices.IndexFunc(s.Works, func(held Work) bool { return held.Target == w.Target })
	if i < 0 {
		s.Works = append(s.Works, w)
		return
	}
	s.Works[i] = s.Works[i].with(w)
}

// Figures of the balance of keys.
const (
	// sampleWindow is how long a request counts as demand. Hot keys change within
	// seconds; at 50 requests a second the window holds 200 samples.
	sampleWindow = 4 * time.Second
	// maxSamples bounds the samples of one service: four seconds at 2,000 requests
	// a second. At more the samples cover a shorter time.
	maxSamples = 8000
	// minSamples is the number of samples that a target needs to count as
	// overloaded, so that chance does not move keys.
	minSamples = 8
	// balanceInterval is the time between two balancing moves of a service: a
	// move takes up to a second, and its effect must be seen first.
	balanceInterval = 1500 * time.Millisecond
	// moveRatio is how much longer requests must take at one target than at
	// another for keys to move. A move makes the requests for its keys wait for
	// up to two heartbeats, so small differences stay.
	moveRatio = 1.6
	// firstWindow is the shortest span over which demand is counted.
	firstWindow = time.Second
	// maxPieces bounds the rows that one balancing move touches.
	maxPieces = 12
	// maxHeld bounds the rows that balancing gives to one target: the answer to a
	// heartbeat may have 4 KiB, and a row with its handover takes 42 bytes.
	maxHeld = 88
	// maxMoving bounds the rows that are on their way when another balancing move
	// begins. The demand for them is counted where they go.
	maxMoving = 48
	// workMemory is the number of requests over which the work of a target is
	// averaged: with the usual spread its mean is then known within a tenth.
	workMemory = 60
	// priorWeight is the number of requests of a target that tell as much of it as
	// the mean of its service: work of single requests differs by as much as that
	// of targets.
	priorWeight = 3
	// defaultWork is assumed while no entry has measured any target.
	defaultWork = 500 * time.Millisecond
)

// demand is the recent demand for a service.
type demand struct {
	samples  []sample
	work     map[fleet.Incarnation]observed
	began    time.Duration
	balanced time.Duration
	// usage is the utilisation of each target at the last look.
	usage map[fleet.Incarnation]float64
}

// observed is the work that a target did of late, for a number of requests.
type observed struct {
	total time.Duration
	count float64
}

// take adds observations and lets earlier ones fade.
func (o observed) take(w Work) observed {
	w = w.bounded()
	if kept := workMemory - float64(w.Count); o.count > kept {
		keep := max(kept, 0) / o.count
		o.total, o.count = time.Duration(keep*float64(o.total)), keep*o.count
	}
	o.total += w.Mean * time.Duration(w.Count)
	o.count += float64(w.Count)
	return o
}

// usualWork is the mean work of a request over all targets of the service.
func (d *demand) usualWork() time.Duration {
	var all observed
	for _, o := range d.work {
		all.total += o.total
		all.count += o.count
	}
	if all.count == 0 {
		return defaultWork
	}
	return time.Duration(float64(all.total) / all.count)
}

// mean estimates the work of a request at the target, usual being that of the
// service.
func (o observed) mean(usual time.Duration) time.Duration {
	return time.Duration((float64(o.total) + priorWeight*float64(usual)) / (o.count + priorWeight))
}

type sample struct {
	key int
	at  time.Duration
}

// Sampled takes in what an entry saw.
func (r *Registry) Sampled(now time.Duration, s Samples) {
	d := r.demand[s.Service]
	if d == nil {
		d = &demand{work: make(map[fleet.Incarnation]observed), began: now}
		r.demand[s.Service] = d
	}
	for _, key := range s.Keys {
		d.samples = append(d.samples, sample{key, now})
	}
	d.expire(now)
	for _, w := range s.Works {
		d.work[w.Target] = d.work[w.Target].take(w)
	}
}

// expire drops old samples.
func (d *demand) expire(now time.Duration) {
	first := sort.Search(len(d.samples), func(i int) bool { return now-d.samples[i].at <= sampleWindow })
	first = max(first, len(d.samples)-maxSamples)
	d.samples = slices.Delete(d.samples, 0, first)
}

// window is the time that the samples cover.
func (d *demand) window(now time.Duration) time.Duration {
	if len(d.samples) == maxSamples {
		return max(now-d.samples[0].at, time.Millisecond)
	}
	return max(firstWindow, min(sampleWindow, now-d.began))
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
	// work is the mean time of a request at a target without load, rate what one
	// sampled request adds to the target's utilisation.
	work  map[fleet.Incarnation]time.Duration
	rate  map[fleet.Incarnation]float64
	count map[fleet.Incarnation]int
	// held is the number of rows that each target is to hold.
	held map[fleet.Incarnation]int
}

// usage is the utilisation of a target with more requests than it has now.
func (sc *scale) usage(in fleet.Incarnation, more int) float64 {
	return float64(sc.count[in]+more) * sc.rate[in]
}

// latency is about how long requests take at a target with more requests than
// it has now.
func (sc *scale) latency(in fleet.Incarnation, more int) time.Duration {
	u := sc.usage(in, more)
	if u > saturation {
		return time.Duration(float64(sc.work[in]) * (queueing(saturation) + (u-saturation)*saturatedSlope))
	}
	return time.Duration(float64(sc.work[in]) * queueing(u))
}

// Figures of the model of queueing.
const (
	// saturation is the utilisation above which the queue grows until the load
	// falls, and saturatedSlope what each further unit of load adds.
	saturation     = 0.9
	saturatedSlope = 20
)

// queueing is how much longer requests take at a utilisation than without load,
// for a handful of slots: little up to one half, then steeply more.
func queueing(u float64) float64 { return 1 + u*u*u/(1-u) }

// balance moves parts of rows from targets that are much busier than the others
// to those that are least busy. It reports whether it changed a row.
func (r *Registry) balance(now time.Duration, s *fleet.State, shard *fleet.Shard, usable []fleet.Incarnation) bool {
	d := r.demand[shard.Service]
	if d == nil || now-d.balanced < balanceInterval || len(usable) < 2 || unsettled(shard) > maxMoving {
		return false
	}
	d.expire(now)
	sc := newScale(now, d, s, shard, usable)
	d.usage = make(map[fleet.Incarnation]float64, len(usable))
	for _, in := range usable {
		d.usage[in] = sc.usage(in, 0)
	}
	changed := false
	for range maxPieces {
		if !sc.movePiece(shard, usable) {
			break
		}
		changed = true
	}
	if changed {
		d.balanced = now
	}
	return changed
}

// unsettled counts the rows that are on their way or that their holder has not
// been told of.
func unsettled(shard *fleet.Shard) int {
	count := 0
	for _, row := range shard.Rows {
		if row.Moving() || !row.Granted {
			count++
		}
	}
	return count
}

// Usage returns the utilisation of a target at the last look: the requests of a
// second times the work of one, divided by the slots.
func (r *Registry) Usage(service string, in fleet.Incarnation) float64 {
	if d := r.demand[service]; d != nil {
		return d.usage[in]
	}
	return 0
}

func newScale(now time.Duration, d *demand, s *fleet.State, shard *fleet.Shard, usable []fleet.Incarnation) *scale {
	sc := &scale{
		keys: d.sortedKeys(), work: make(map[fleet.Incarnation]time.Duration),
		rate: make(map[fleet.Incarnation]float64), count: make(map[fleet.Incarnation]int),
		held: make(map[fleet.Incarnation]int),
	}
	maps.DeleteFunc(d.work, func(in fleet.Incarnation, _ observed) bool {
		t, ok := s.Target(in.ID)
		return !ok || t.Born != in.Born
	})
	window, usual := d.window(now), d.usualWork()
	for _, in := range usable {
		work := d.work[in].mean(usual)
		t, _ := s.Target(in.ID)
		sc.work[in] = work
		sc.rate[in] = work.Seconds() / float64(max(t.Slots, 1)) / window.Seconds()
	}
	for _, row := range shard.Rows {
		holder := row.Holder
		if row.Moving() {
			holder = row.Next
		}
		sc.count[holder] += len(sc.within(row))
		sc.held[holder]++
	}
	return sc
}

// within returns the sampled keys of a row.
func (sc *scale) within(row fleet.Row) []int {
	from := sort.SearchInts(sc.keys, row.From)
	to := sort.SearchInts(sc.keys, row.To+1)
	return sc.keys[from:to]
}

// movePiece marks one part of a row of the target where requests take longest
// for the one where they then take least.
func (sc *scale) movePiece(shard *fleet.Shard, usable []fleet.Incarnation) bool {
	sources := slices.Clone(usable)
	slices.SortStableFunc(sources, func(a, b fleet.Incarnation) int {
		return cmp.Compare(sc.latency(b, 0), sc.latency(a, 0))
	})
	for _, from := range sources {
		if sc.count[from] < minSamples {
			continue
		}
		if sc.moveHotKey(shard, usable, from) {
			return true
		}
		to, wanted := sc.receiver(usable, from)
		if wanted > 0 && sc.cut(shard, from, to, wanted) {
			return true
		}
	}
	return false
}

// moveHotKey marks a single key that makes up most of a target's requests for a
// target that answers them much sooner. Such a key cannot be divided, so it
// belongs to the fastest target that has room.
func (sc *scale) moveHotKey(shard *fleet.Shard, usable []fleet.Incarnation, from fleet.Incarnation) bool {
	for i, row := range shard.Rows {
		if row.Holder != from || row.Moving() || !row.Granted {
			continue
		}
		key, samples := mode(sc.within(row))
		if samples < minSamples || 2*samples < sc.count[from] {
			continue
		}
		to := sc.quickest(usable, samples)
		if time.Duration(moveRatio*float64(sc.latency(to, samples))) > sc.latency(from, 0) {
			return false
		}
		sc.mark(shard, piece{row: i, from: key, to: key, samples: samples}, from, to)
		return true
	}
	return false
}

// mode returns the most frequent of ascending keys and how often it occurs.
func mode(keys []int) (key, count int) {
	for first := 0; first < len(keys); {
		next := sort.SearchInts(keys, keys[first]+1)
		if next-first > count {
			key, count = keys[first], next-first
		}
		first = next
	}
	return key, count
}

// quickest returns the target that answers soonest with further requests.
func (sc *scale) quickest(usable []fleet.Incarnation, more int) fleet.Incarnation {
	return slices.MinFunc(usable, func(a, b fleet.Incarnation) int {
		return cmp.Compare(sc.latency(a, more), sc.latency(b, more))
	})
}

// receiver returns the target that can take most requests of another one and
// still answer sooner by the ratio that justifies a move, and how many.
func (sc *scale) receiver(usable []fleet.Incarnation, from fleet.Incarnation) (fleet.Incarnation, int) {
	limit := time.Duration(float64(sc.latency(from, 0)) / moveRatio)
	best, most := from, 0
	for _, to := range usable {
		if to == from || sc.held[to] >= maxHeld {
			continue
		}
		n := sort.Search(sc.count[from], func(n int) bool {
			return sc.latency(to, n+1) > limit || sc.latency(to, n+1) > sc.latency(from, -(n+1))
		})
		if n > most {
			best, most = to, n
		}
	}
	return best, most
}

// piece is a part of a row that can move.
type piece struct {
	row      int
	from, to int
	samples  int
}

// cut marks the part of a target's rows that has most samples up to the wanted
// number. A key with more samples than that stays, and the others leave it.
func (sc *scale) cut(shard *fleet.Shard, from, to fleet.Incarnation, wanted int) bool {
	best := piece{row: -1}
	for i, row := range shard.Rows {
		if row.Holder != from || row.Moving() || !row.Granted {
			continue
		}
		for _, p := range sc.pieces(row, wanted) {
			if p.row = i; p.samples > best.samples {
				best = p
			}
		}
	}
	if best.row < 0 {
		return false
	}
	sc.mark(shard, best, from, to)
	return true
}

// mark cuts a part out of its row and marks it for another target.
func (sc *scale) mark(shard *fleet.Shard, p piece, from, to fleet.Incarnation) {
	i := p.row
	if p.to < shard.Rows[i].To {
		splitRow(shard, i, p.to+1)
	}
	if p.from > shard.Rows[i].From {
		i = splitRow(shard, i, p.from) + 1
	}
	shard.Rows[i].Next = to
	sc.count[from] -= p.samples
	sc.count[to] += p.samples
	sc.held[to]++
}

// pieces returns the parts at both ends of a row, and the whole row, that have
// no more samples than wanted. They end next to a sampled key, so that a part
// has few keys.
func (sc *scale) pieces(row fleet.Row, wanted int) []piece {
	keys := sc.within(row)
	if len(keys) <= wanted {
		return []piece{{from: row.From, to: row.To, samples: len(keys)}}
	}
	var parts []piece
	// The first key that must stay bounds the part at the low end.
	if n := sort.SearchInts(keys, keys[wanted]); n > 0 {
		parts = append(parts, piece{from: row.From, to: keys[n-1], samples: n})
	}
	last := keys[len(keys)-1-wanted]
	if n := len(keys) - sort.SearchInts(keys, last+1); n > 0 {
		parts = append(parts, piece{from: keys[len(keys)-n], to: row.To, samples: n})
	}
	return parts
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
