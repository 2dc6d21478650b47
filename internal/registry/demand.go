package registry

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Samples holds observations of entry VMs (entries) for one service: the keys of
// requests and the service times of targets.
type Samples struct {
	Service      string        `msgpack:"s"`
	Keys         []int         `msgpack:"k"`
	ServiceTimes []ServiceTime `msgpack:"w"`
}

// ServiceTime is the mean service time of a target over some requests that were not queued.
type ServiceTime struct {
	Target fleet.Incarnation `msgpack:"t"`
	Mean   time.Duration     `msgpack:"m"`
	// Count is the number of these requests.
	Count int `msgpack:"c"`
}

// Limits of the values that one message may report about a target.
const (
	maxWorkCount = 64
	maxWorkMean  = time.Minute
)

// clamped returns the observation with its values limited to the valid range.
func (w ServiceTime) clamped() ServiceTime {
	w.Mean = min(max(w.Mean, 0), maxWorkMean)
	w.Count = min(max(w.Count, 1), maxWorkCount)
	return w
}

// merge returns the combination of two observations of one target, weighted by their
// number of requests.
func (w ServiceTime) merge(more ServiceTime) ServiceTime {
	w, more = w.clamped(), more.clamped()
	count := w.Count + more.Count
	w.Mean = (w.Mean*time.Duration(w.Count) + more.Mean*time.Duration(more.Count)) / time.Duration(count)
	w.Count = count
	return w
}

// Add adds further samples of the service. It drops keys above the limit and merges
// the observations of each target.
func (s *Samples) Add(more Samples) {
	room := max(maxSamples-len(s.Keys), 0)
	s.Keys = append(s.Keys, more.Keys[:min(room, len(more.Keys))]...)
	for _, w := range more.ServiceTimes {
		s.AddServiceTime(w)
	}
}

// AddServiceTime adds an observation of a target's service time.
func (s *Samples) AddServiceTime(w ServiceTime) {
	i := slices.IndexFunc(s.ServiceTimes, func(held ServiceTime) bool { return held.Target == w.Target })
	if i < 0 {
		s.ServiceTimes = append(s.ServiceTimes, w)
		return
	}
	s.ServiceTimes[i] = s.ServiceTimes[i].merge(w)
}

// Parameters of rebalancing.
const (
	// sampleWindow is how long a request counts as demand. Hot keys change within
	// seconds; at 50 requests per second the window holds 200 samples.
	sampleWindow = 4 * time.Second
	// maxSamples limits the samples of one service: four seconds at 2,000 requests
	// per second. At higher rates the samples cover a shorter time.
	maxSamples = 8000
	// minSamples is the minimum number of samples for which keys are moved away from
	// a target, so that random variation does not cause moves.
	minSamples = 8
	// rebalanceInterval is the minimum time between two rebalancings of a service: a
	// move takes up to a second, and its effect must be visible before the next one.
	rebalanceInterval = 1500 * time.Millisecond
	// minLatencyRatio is the minimum ratio between the latencies of two targets for
	// which keys are moved. A move delays the requests for its keys by up to two
	// heartbeat intervals, so smaller differences are not worth a move.
	minLatencyRatio = 1.6
	// minSampleWindow is the minimum time over which the request rate is computed.
	minSampleWindow = time.Second
	// maxMovesPerRebalance limits the number of ranges that one rebalancing moves.
	maxMovesPerRebalance = 12
	// maxUnsettledRows is the maximum number of unsettled rows at which a rebalancing
	// starts. The demand for a moving row is attributed to its next holder.
	maxUnsettledRows = 48
	// workAverageRequests is the number of requests over which the service time of a
	// target is averaged. With the usual variance the mean is then accurate to within
	// 10%.
	workAverageRequests = 60
	// priorRequests is the weight of the service's mean in the estimate for a target,
	// as a number of requests. The service times of single requests vary as much as
	// the means of the targets.
	priorRequests = 3
	// defaultWork is the assumed service time while there is no observation of any
	// target.
	defaultWork = 500 * time.Millisecond
)

// demand holds the recent observations for a service.
type demand struct {
	samples      []sample
	work         map[fleet.Incarnation]workAverage
	startedAt    time.Duration
	rebalancedAt time.Duration
	// utilisation is the utilisation of each target at the last evaluation.
	utilisation map[fleet.Incarnation]float64
}

// workAverage is a moving average of the service time of a target: the total for a
// number of recent requests.
type workAverage struct {
	total time.Duration
	count float64
}

// add adds an observation. It scales earlier ones down so that the average covers
// about workAverageRequests requests.
func (o workAverage) add(w ServiceTime) workAverage {
	w = w.clamped()
	if kept := workAverageRequests - float64(w.Count); o.count > kept {
		keep := max(kept, 0) / o.count
		o.total, o.count = time.Duration(keep*float64(o.total)), keep*o.count
	}
	o.total += w.Mean * time.Duration(w.Count)
	o.count += float64(w.Count)
	return o
}

// meanWork returns the mean service time over all targets of the service.
func (d *demand) meanWork() time.Duration {
	var all workAverage
	for _, o := range d.work {
		all.total += o.total
		all.count += o.count
	}
	if all.count == 0 {
		return defaultWork
	}
	return time.Duration(float64(all.total) / all.count)
}

// mean returns the estimated service time of the target, given the mean of the
// service.
func (o workAverage) mean(serviceMean time.Duration) time.Duration {
	return time.Duration((float64(o.total) + priorRequests*float64(serviceMean)) / (o.count + priorRequests))
}

// sample is a request for a key.
type sample struct {
	key int
	at  time.Duration
}

// AddSamples adds samples that an entry reported.
func (r *Registry) AddSamples(now time.Duration, s Samples) {
	d := r.demand[s.Service]
	if d == nil {
		d = &demand{work: make(map[fleet.Incarnation]workAverage), startedAt: now}
		r.demand[s.Service] = d
	}
	for _, key := range s.Keys {
		d.samples = append(d.samples, sample{key, now})
	}
	d.expire(now)
	for _, w := range s.ServiceTimes {
		d.work[w.Target] = d.work[w.Target].add(w)
	}
}

// expire drops samples that are older than the window or above the limit.
func (d *demand) expire(now time.Duration) {
	first := sort.Search(len(d.samples), func(i int) bool { return now-d.samples[i].at <= sampleWindow })
	first = max(first, len(d.samples)-maxSamples)
	d.samples = slices.Delete(d.samples, 0, first)
}

// window returns the time that the samples cover.
func (d *demand) window(now time.Duration) time.Duration {
	if len(d.samples) == maxSamples {
		return max(now-d.samples[0].at, time.Millisecond)
	}
	return max(minSampleWindow, min(sampleWindow, now-d.startedAt))
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

// loadModel estimates the load of the targets of a service.
type loadModel struct {
	// keys are the sampled keys in ascending order.
	keys []int
	// work is the mean service time of a target without load, rate the utilisation
	// that one sampled request adds to a target, and samples the number of sampled
	// requests for keys of a target.
	work    map[fleet.Incarnation]time.Duration
	rate    map[fleet.Incarnation]float64
	samples map[fleet.Incarnation]int
	// rows is the number of rows that each target is to hold, limit the number above
	// which it gets no others.
	rows  map[fleet.Incarnation]int
	limit int
}

// utilisation returns the utilisation of a target with more sampled requests than it
// has now.
func (m *loadModel) utilisation(in fleet.Incarnation, more int) float64 {
	return float64(m.samples[in]+more) * m.rate[in]
}

// latency returns the estimated latency of a target with more sampled requests than
// it has now.
func (m *loadModel) latency(in fleet.Incarnation, more int) time.Duration {
	u := m.utilisation(in, more)
	if u > saturation {
		return time.Duration(float64(m.work[in]) * (queueingFactor(saturation) + (u-saturation)*saturatedSlope))
	}
	return time.Duration(float64(m.work[in]) * queueingFactor(u))
}

// Parameters of the queueing model.
const (
	// saturation is the utilisation above which the queue grows until the load falls.
	// saturatedSlope is the increase of the queueing factor per unit of utilisation
	// above it.
	saturation     = 0.9
	saturatedSlope = 20
)

// queueingFactor returns the ratio of the latency at a utilisation to the latency
// without load, for a target with a few slots. It rises slowly up to a utilisation
// of one half and steeply above it.
func queueingFactor(u float64) float64 { return 1 + u*u*u/(1-u) }

// rebalance plans to move ranges of keys from targets with high latency to targets
// with low latency. It reports whether it changed a row.
func (r *Registry) rebalance(now time.Duration, s *fleet.State, shard *fleet.ShardMap, usable []fleet.Incarnation) bool {
	d := r.demand[shard.Service]
	if d == nil || now-d.rebalancedAt < rebalanceInterval || len(usable) < 2 || unsettledRows(shard) > maxUnsettledRows {
		return false
	}
	d.expire(now)
	m := newLoadModel(now, d, s, shard, usable)
	m.limit = r.rowLimit()
	d.utilisation = make(map[fleet.Incarnation]float64, len(usable))
	for _, in := range usable {
		d.utilisation[in] = m.utilisation(in, 0)
	}
	changed := false
	for range maxMovesPerRebalance {
		if !m.moveOneRange(shard, usable) {
			break
		}
		changed = true
	}
	if changed {
		d.rebalancedAt = now
	}
	return changed
}

// unsettledRows counts the rows that are moving or that their holder has not been
// granted yet.
func unsettledRows(shard *fleet.ShardMap) int {
	count := 0
	for _, row := range shard.Rows {
		if row.Moving() || !row.Granted {
			count++
		}
	}
	return count
}

// Utilisation returns the utilisation of a target at the last evaluation: the requests per
// second times the service time, divided by the slots.
func (r *Registry) Utilisation(service string, in fleet.Incarnation) float64 {
	if d := r.demand[service]; d != nil {
		return d.utilisation[in]
	}
	return 0
}

// newLoadModel returns the model for the recent demand and the current rows. It also
// drops the averages of incarnations that are no longer current.
func newLoadModel(now time.Duration, d *demand, s *fleet.State, shard *fleet.ShardMap, usable []fleet.Incarnation) *loadModel {
	m := &loadModel{
		keys: d.sortedKeys(), work: make(map[fleet.Incarnation]time.Duration),
		rate: make(map[fleet.Incarnation]float64), samples: make(map[fleet.Incarnation]int),
		rows: make(map[fleet.Incarnation]int), limit: maxRowsPerTarget,
	}
	maps.DeleteFunc(d.work, func(in fleet.Incarnation, _ workAverage) bool {
		t, ok := s.Target(in.ID)
		return !ok || t.StartMs != in.StartMs
	})
	window, serviceMean := d.window(now), d.meanWork()
	for _, in := range usable {
		work := d.work[in].mean(serviceMean)
		t, _ := s.Target(in.ID)
		m.work[in] = work
		m.rate[in] = work.Seconds() / float64(max(t.Slots, 1)) / window.Seconds()
	}
	for _, row := range shard.Rows {
		holder := row.Holder
		if row.Moving() {
			holder = row.Next
		}
		m.samples[holder] += len(m.sampledKeys(row))
		m.rows[holder]++
	}
	return m
}

// sampledKeys returns the sampled keys in a row.
func (m *loadModel) sampledKeys(row fleet.Row) []int {
	from := sort.SearchInts(m.keys, row.From)
	to := sort.SearchInts(m.keys, row.To+1)
	return m.keys[from:to]
}

// moveOneRange marks one range of keys to move away from the target with the highest
// latency for which a move is possible. It reports whether it marked one.
func (m *loadModel) moveOneRange(shard *fleet.ShardMap, usable []fleet.Incarnation) bool {
	sources := slices.Clone(usable)
	slices.SortStableFunc(sources, func(a, b fleet.Incarnation) int {
		return cmp.Compare(m.latency(b, 0), m.latency(a, 0))
	})
	for _, from := range sources {
		if m.samples[from] < minSamples || m.rows[from] >= m.limit+maxSplitRows-maxRowsPerTarget {
			continue
		}
		if m.moveHotKey(shard, usable, from) {
			return true
		}
		to, wanted := m.destination(usable, from)
		if wanted > 0 && m.moveRange(shard, from, to, wanted) {
			return true
		}
	}
	return false
}

// moveHotKey marks a single key that accounts for at least half of a target's
// requests to move to a target with a much lower latency. The load of a single key
// cannot be divided, so the key belongs to the fastest target with enough capacity.
func (m *loadModel) moveHotKey(shard *fleet.ShardMap, usable []fleet.Incarnation, from fleet.Incarnation) bool {
	for i, row := range shard.Rows {
		if row.Holder != from || row.Moving() || !row.Granted {
			continue
		}
		key, samples := mode(m.sampledKeys(row))
		if samples < minSamples || 2*samples < m.samples[from] {
			continue
		}
		to := m.fastestTarget(usable, samples)
		if m.rows[to] >= m.limit || time.Duration(minLatencyRatio*float64(m.latency(to, samples))) > m.latency(from, 0) {
			return false
		}
		m.markMove(shard, movableRange{row: i, from: key, to: key, samples: samples}, from, to)
		return true
	}
	return false
}

// mode returns the most frequent key of an ascending list and its number of
// occurrences.
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

// fastestTarget returns the target with the lowest latency when it gets more
// requests.
func (m *loadModel) fastestTarget(usable []fleet.Incarnation, more int) fleet.Incarnation {
	return slices.MinFunc(usable, func(a, b fleet.Incarnation) int {
		return cmp.Compare(m.latency(a, more), m.latency(b, more))
	})
}

// destination returns the target that can take over the most sampled requests from
// another one, and their number. With them, its latency must still be lower by
// minLatencyRatio than the current latency of the other target, and no higher than
// the latency that remains there.
func (m *loadModel) destination(usable []fleet.Incarnation, from fleet.Incarnation) (fleet.Incarnation, int) {
	limit := time.Duration(float64(m.latency(from, 0)) / minLatencyRatio)
	best, most := from, 0
	for _, to := range usable {
		if to == from || m.rows[to] >= m.limit {
			continue
		}
		n := sort.Search(m.samples[from], func(n int) bool {
			return m.latency(to, n+1) > limit || m.latency(to, n+1) > m.latency(from, -(n+1))
		})
		if n > most {
			best, most = to, n
		}
	}
	return best, most
}

// movableRange is a part of a row that can move. row is the index of the row.
type movableRange struct {
	row      int
	from, to int
	samples  int
}

// moveRange marks the range of a target's rows with the most samples that has at most
// the wanted number of samples. A key with more samples than that stays, and the
// keys next to it move instead.
func (m *loadModel) moveRange(shard *fleet.ShardMap, from, to fleet.Incarnation, wanted int) bool {
	best := movableRange{row: -1}
	for i, row := range shard.Rows {
		if row.Holder != from || row.Moving() || !row.Granted {
			continue
		}
		for _, p := range m.movableRanges(row, wanted) {
			if p.row = i; p.samples > best.samples {
				best = p
			}
		}
	}
	if best.row < 0 {
		return false
	}
	m.markMove(shard, best, from, to)
	return true
}

// markMove splits a range off its row and marks it to move to another target.
func (m *loadModel) markMove(shard *fleet.ShardMap, p movableRange, from, to fleet.Incarnation) {
	i := p.row
	m.rows[from]--
	if p.to < shard.Rows[i].To {
		splitRow(shard, i, p.to+1)
		m.rows[from]++
	}
	if p.from > shard.Rows[i].From {
		i = splitRow(shard, i, p.from) + 1
		m.rows[from]++
	}
	shard.Rows[i].Next = to
	m.samples[from] -= p.samples
	m.samples[to] += p.samples
	m.rows[to]++
}

// movableRanges returns the ranges of a row with at most the wanted number of
// samples: the whole row if possible, otherwise ranges at both of its ends. The
// inner boundary of such a range is a sampled key, so that the range has few keys.
func (m *loadModel) movableRanges(row fleet.Row, wanted int) []movableRange {
	keys := m.sampledKeys(row)
	if len(keys) <= wanted {
		return []movableRange{{from: row.From, to: row.To, samples: len(keys)}}
	}
	var ranges []movableRange
	// The range at the lower end stops before the first key that must stay.
	if n := sort.SearchInts(keys, keys[wanted]); n > 0 {
		ranges = append(ranges, movableRange{from: row.From, to: keys[n-1], samples: n})
	}
	last := keys[len(keys)-1-wanted]
	if n := len(keys) - sort.SearchInts(keys, last+1); n > 0 {
		ranges = append(ranges, movableRange{from: keys[len(keys)-n], to: row.To, samples: n})
	}
	return ranges
}

// splitRow splits a row so that its second part starts at the given key. It returns
// the index of the first part.
func splitRow(shard *fleet.ShardMap, i, at int) int {
	second := shard.Rows[i]
	second.From = at
	shard.Rows[i].To = at - 1
	shard.Rows = slices.Insert(shard.Rows, i+1, second)
	return i
}
