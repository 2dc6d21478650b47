package admission

import (
	"container/list"
	"maps"
	"slices"
	"sync"
	"time"
)

// Limits of the crash counts.
const (
	// crashRetention is how long a fingerprint is kept after its last crash.
	crashRetention = 10 * time.Minute
	// crashesToRefuse is the number of different crashes after which a
	// fingerprint is refused.
	crashesToRefuse = 2
	// ambiguousCrashesToRefuse is the number of different crashes after which a
	// fingerprint is refused although it was never the only one in flight. It
	// applies where targets are shared, so that no VM sees all requests of a
	// target. A fingerprint is cleared when its request completes on any target.
	ambiguousCrashesToRefuse = 3
	// maxCrashes bounds the crashes kept for one fingerprint. One that is dropped no
	// longer explains the crashes of others. A crashing request caused 28 in a fleet of
	// 195 VMs before all of them refused it.
	maxCrashes = 32
	// maxFingerprints bounds the fingerprints that are kept, and maxPending the
	// suspicions that wait to be sent. The oldest are dropped.
	maxFingerprints = 4096
	maxPending      = 4096
)

// Suspicion is a message between VMs: a request was in flight when a target
// crashed, or the request was cleared.
type Suspicion struct {
	Fingerprint uint64 `msgpack:"f"`
	Target      string `msgpack:"t"`
	Incarnation uint64 `msgpack:"i"`
	// Certain reports whether no other request was in flight. If others were, the
	// crash is ambiguous.
	Certain bool `msgpack:"c"`
	// Cleared reports that the request completed without a crash of its target.
	// Target, Incarnation and Certain are then not set.
	Cleared bool `msgpack:"k"`
}

// Crashes counts target crashes by the fingerprints of the requests in flight.
// A fingerprint with two different crashes, at least one of them certain, is
// refused. Where targets are shared, so is one with ambiguousCrashesToRefuse ambiguous
// crashes, unless those of other fingerprints explain them; see isExplained. Crashes is
// safe for concurrent use.
type Crashes struct {
	// sharedTargets reports whether a fingerprint is also refused after
	// ambiguousCrashesToRefuse ambiguous crashes.
	sharedTargets bool

	mu          sync.Mutex
	records     map[uint64]*list.Element // of *crashRecord
	byLastCrash *list.List               // least recently crashed first
	pending     []Suspicion              // to be returned by Drain
	// changes counts the changes of records. Results of isExplained are kept until the
	// next one.
	changes uint64
}

type crashRecord struct {
	fingerprint uint64
	lastCrash   time.Duration
	crashes     []crash
	// spread reports that other VMs may have a suspicion of the fingerprint.
	spread bool
	// explained is the result of isExplained when Crashes.changes was explainedAt.
	explained   bool
	explainedAt uint64
}

func (r *crashRecord) has(k crash) bool {
	return slices.ContainsFunc(r.crashes, func(known crash) bool { return known.target == k.target && known.incarnation == k.incarnation })
}

// evictOldest removes the oldest ambiguous crash, or the oldest crash if all are
// certain.
func (r *crashRecord) evictOldest() {
	oldest := max(0, slices.IndexFunc(r.crashes, func(k crash) bool { return !k.certain }))
	r.crashes = slices.Delete(r.crashes, oldest, oldest+1)
}

type crash struct {
	target      string
	incarnation uint64
	certain     bool
}

// NewCrashes returns empty counts.
func NewCrashes() *Crashes {
	return &Crashes{records: make(map[uint64]*list.Element), byLastCrash: list.New()}
}

// NewCrashesForSharedTargets returns empty counts for a VM that shares its targets with
// other VMs, so that it cannot know whether a request was the only one in flight.
func NewCrashesForSharedTargets() *Crashes {
	c := NewCrashes()
	c.sharedTargets = true
	return c
}

// RecordCrash records that an incarnation of a target crashed with the given
// fingerprints in flight. The crash is certain if there is a single fingerprint
// and ambiguous if there are several. Further reports of the same crash never
// turn an ambiguous crash into a certain one.
func (c *Crashes) RecordCrash(now time.Duration, target string, incarnation uint64, inFlight []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	distinct := slices.Compact(slices.Sorted(slices.Values(inFlight)))
	for _, fingerprint := range distinct {
		c.recordLocal(now, Suspicion{
			Fingerprint: fingerprint,
			Target:      target,
			Incarnation: incarnation,
			Certain:     len(distinct) == 1,
		})
	}
}

// RecordAmbiguousCrash records an ambiguous crash.
func (c *Crashes) RecordAmbiguousCrash(now time.Duration, fingerprint uint64, target string, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLocal(now, Suspicion{Fingerprint: fingerprint, Target: target, Incarnation: incarnation})
}

// Clear records that a request completed without a crash of its target: alone, or
// at all if the targets are shared. It removes the ambiguous crashes of the
// fingerprint and reports whether there was a suspicion.
func (c *Crashes) Clear(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	element, ok := c.records[fingerprint]
	if !ok {
		return false
	}
	s := Suspicion{Fingerprint: fingerprint, Cleared: true}
	spread := element.Value.(*crashRecord).spread
	c.apply(0, s)
	if !spread {
		// Many requests are in flight at a crash, and most complete at another target
		// before other VMs are told.
		c.pending = slices.DeleteFunc(c.pending, func(p Suspicion) bool { return p.Fingerprint == fingerprint && !p.Certain })
		return true
	}
	c.enqueue(s)
	return true
}

// recordLocal applies a suspicion of this VM and queues it for the other VMs if it
// is new.
func (c *Crashes) recordLocal(now time.Duration, s Suspicion) {
	if c.apply(now, s) {
		c.enqueue(s)
	}
}

func (c *Crashes) enqueue(s Suspicion) {
	if len(c.pending) >= maxPending {
		c.pending = slices.Delete(c.pending, 0, maxPending/2)
	}
	c.pending = append(c.pending, s)
}

// apply updates the counts and reports whether the suspicion is new. A further
// report of a known crash is new only if it makes a certain crash ambiguous.
func (c *Crashes) apply(now time.Duration, s Suspicion) bool {
	if s.Cleared {
		return c.clear(s.Fingerprint)
	}
	c.changes++
	record := c.getOrCreate(s.Fingerprint)
	record.lastCrash = max(record.lastCrash, now)
	c.byLastCrash.MoveToBack(c.records[s.Fingerprint])
	for i, known := range record.crashes {
		if known.target == s.Target && known.incarnation == s.Incarnation {
			changed := known.certain && !s.Certain
			record.crashes[i].certain = known.certain && s.Certain
			return changed
		}
	}
	if len(record.crashes) >= maxCrashes {
		record.evictOldest()
	}
	record.crashes = append(record.crashes, crash{s.Target, s.Incarnation, s.Certain})
	return true
}

// clear removes the ambiguous crashes of a fingerprint, keeps the certain ones and
// reports whether the fingerprint was known.
func (c *Crashes) clear(fingerprint uint64) bool {
	element, ok := c.records[fingerprint]
	if !ok {
		return false
	}
	c.changes++
	record := element.Value.(*crashRecord)
	record.crashes = slices.DeleteFunc(record.crashes, func(k crash) bool { return !k.certain })
	if len(record.crashes) == 0 {
		c.remove(element)
	}
	return true
}

func (c *Crashes) getOrCreate(fingerprint uint64) *crashRecord {
	if element, ok := c.records[fingerprint]; ok {
		return element.Value.(*crashRecord)
	}
	if len(c.records) >= maxFingerprints {
		c.remove(c.byLastCrash.Front())
	}
	record := &crashRecord{fingerprint: fingerprint}
	c.records[fingerprint] = c.byLastCrash.PushBack(record)
	return record
}

func (c *Crashes) remove(element *list.Element) {
	c.changes++
	delete(c.records, element.Value.(*crashRecord).fingerprint)
	c.byLastCrash.Remove(element)
}

// Refused reports whether the request must be refused with the error kind
// known_crasher.
func (c *Crashes) Refused(now time.Duration, fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.lookup(now, fingerprint)
	if record == nil || len(record.crashes) < crashesToRefuse {
		return false
	}
	if slices.ContainsFunc(record.crashes, func(k crash) bool { return k.certain }) {
		return true
	}
	return c.sharedTargets && len(record.crashes) >= ambiguousCrashesToRefuse && !c.isExplained(record)
}

// isExplained reports whether at each crash of a record another fingerprint with more
// crashes was in flight. Each of those is refused, or its crashes are explained by
// fingerprints with still more: those of the one with the most never are. A request
// whose crashes are explained is only suspected, so it runs alone, and either completes
// or has a crash that nothing explains.
func (c *Crashes) isExplained(r *crashRecord) bool {
	if r.explainedAt == c.changes {
		return r.explained
	}
	left := slices.Clone(r.crashes)
	for element := c.byLastCrash.Back(); element != nil && len(left) > 0; element = element.Prev() {
		if other := element.Value.(*crashRecord); len(other.crashes) > len(r.crashes) {
			left = slices.DeleteFunc(left, other.has)
		}
	}
	r.explained, r.explainedAt = len(left) == 0, c.changes
	return r.explained
}

// CountRefused returns the number of fingerprints that are refused.
func (c *Crashes) CountRefused(now time.Duration) int {
	c.mu.Lock()
	fingerprints := slices.Collect(maps.Keys(c.records))
	c.mu.Unlock()
	return len(slices.DeleteFunc(fingerprints, func(f uint64) bool { return !c.Refused(now, f) }))
}

// MustRunAlone reports whether the request must run as the only one in flight, because
// it was in flight during a crash.
func (c *Crashes) MustRunAlone(now time.Duration, fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lookup(now, fingerprint) != nil
}

// lookup removes expired records and returns the record of a fingerprint, or nil.
func (c *Crashes) lookup(now time.Duration, fingerprint uint64) *crashRecord {
	for front := c.byLastCrash.Front(); front != nil; front = c.byLastCrash.Front() {
		if now-front.Value.(*crashRecord).lastCrash < crashRetention {
			break
		}
		c.remove(front)
	}
	if element, ok := c.records[fingerprint]; ok {
		return element.Value.(*crashRecord)
	}
	return nil
}

// Merge applies the suspicions of another VM and returns those that were new. Drain
// does not return them.
func (c *Crashes) Merge(now time.Duration, suspicions []Suspicion) []Suspicion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var applied []Suspicion
	for _, s := range suspicions {
		if c.apply(now, s) {
			applied = append(applied, s)
		}
		c.markSpread(s)
	}
	return applied
}

// Requeue returns suspicions to the queue that Drain took out and that could not be
// sent.
func (c *Crashes) Requeue(suspicions []Suspicion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(slices.Clone(suspicions[max(0, len(suspicions)+len(c.pending)-maxPending):]), c.pending...)
}

// markSpread records that other VMs may have a suspicion.
func (c *Crashes) markSpread(s Suspicion) {
	if element, ok := c.records[s.Fingerprint]; ok {
		element.Value.(*crashRecord).spread = true
	}
}

// Drain returns the suspicions that this VM recorded since the last call.
func (c *Crashes) Drain() []Suspicion {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.pending
	c.pending = nil
	for _, s := range pending {
		c.markSpread(s)
	}
	return pending
}
