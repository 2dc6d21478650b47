package admission

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// Bounds of crash counts.
const (
	// refusalTime is how long a fingerprint is remembered after its last crash.
	refusalTime = 10 * time.Minute
	// crashesToRefuse is the number of different crashes after which a
	// fingerprint is refused.
	crashesToRefuse = 2
	// crashesInCompany is the number of different crashes after which a
	// fingerprint is refused that never was the only one in flight, where nobody
	// sees all requests of a target. One that ran to its end anywhere is cleared.
	crashesInCompany = 3
	// maxCrashes bounds the remembered crashes of one fingerprint.
	maxCrashes = 4
	// maxFingerprints bounds the remembered fingerprints, and maxDrained the
	// suspicions that wait to be sent; the oldest are dropped.
	maxFingerprints = 4096
	maxDrained      = 4096
)

// Suspicion says that a request was in flight when a target crashed, or that
// it was cleared by running alone. VMs exchange suspicions.
type Suspicion struct {
	Fingerprint uint64 `msgpack:"f"`
	Target      string `msgpack:"t"`
	Incarnation uint64 `msgpack:"i"`
	// Certain says that no other request was in flight.
	Certain bool `msgpack:"c"`
	// Cleared says that the request ran alone and the target lived.
	Cleared bool `msgpack:"k"`
}

// Crashes counts target crashes by the fingerprint of the requests in flight.
// A fingerprint with two different crashes, at least one of them certain, is
// refused. It is safe for concurrent use.
type Crashes struct {
	// inCompany says that three crashes that are not certain suffice as well.
	inCompany bool

	mu      sync.Mutex
	records map[uint64]*list.Element // of *suspect
	byAge   *list.List               // least recently crashed first
	drained []Suspicion
}

type suspect struct {
	fingerprint uint64
	last        time.Duration
	crashes     []crash
}

// dropOne forgets the oldest crash with company, or else the oldest one.
func (s *suspect) dropOne() {
	oldest := max(0, slices.IndexFunc(s.crashes, func(k crash) bool { return !k.certain }))
	s.crashes = slices.Delete(s.crashes, oldest, oldest+1)
}

type crash struct {
	target      string
	incarnation uint64
	certain     bool
}

// NewCrashes returns empty counts.
func NewCrashes() *Crashes {
	return &Crashes{records: make(map[uint64]*list.Element), byAge: list.New()}
}

// NewCrashesInCompany returns empty counts for VMs that share their targets with
// others and so never know that a request was the only one in flight.
func NewCrashesInCompany() *Crashes {
	c := NewCrashes()
	c.inCompany = true
	return c
}

// Crash records that an incarnation of a target crashed with the given
// fingerprints in flight. A single one is certain, several are suspects.
// Further reports of the same crash never turn a suspect into a certain one.
func (c *Crashes) Crash(now time.Duration, target string, incarnation uint64, inFlight []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	different := slices.Compact(slices.Sorted(slices.Values(inFlight)))
	for _, fingerprint := range different {
		c.report(now, Suspicion{
			Fingerprint: fingerprint,
			Target:      target,
			Incarnation: incarnation,
			Certain:     len(different) == 1,
		})
	}
}

// Suspect records a crash with other requests in flight.
func (c *Crashes) Suspect(now time.Duration, fingerprint uint64, target string, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(now, Suspicion{Fingerprint: fingerprint, Target: target, Incarnation: incarnation})
}

// Clear records that a suspect ran alone and the target lived.
func (c *Crashes) Clear(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.records[fingerprint]; !ok {
		return
	}
	s := Suspicion{Fingerprint: fingerprint, Cleared: true}
	c.enter(0, s)
	c.queue(s)
}

func (c *Crashes) report(now time.Duration, s Suspicion) {
	if c.enter(now, s) {
		c.queue(s)
	}
}

func (c *Crashes) queue(s Suspicion) {
	if len(c.drained) >= maxDrained {
		c.drained = slices.Delete(c.drained, 0, maxDrained/2)
	}
	c.drained = append(c.drained, s)
}

// enter updates the counts and reports whether the suspicion was new.
func (c *Crashes) enter(now time.Duration, s Suspicion) bool {
	if s.Cleared {
		return c.clear(s.Fingerprint)
	}
	record := c.record(s.Fingerprint)
	record.last = max(record.last, now)
	c.byAge.MoveToBack(c.records[s.Fingerprint])
	for i, known := range record.crashes {
		if known.target == s.Target && known.incarnation == s.Incarnation {
			changed := known.certain && !s.Certain
			record.crashes[i].certain = known.certain && s.Certain
			return changed
		}
	}
	if len(record.crashes) >= maxCrashes {
		record.dropOne()
	}
	record.crashes = append(record.crashes, crash{s.Target, s.Incarnation, s.Certain})
	return true
}

// clear forgets the crashes with company; certain ones stay.
func (c *Crashes) clear(fingerprint uint64) bool {
	element, ok := c.records[fingerprint]
	if !ok {
		return false
	}
	record := element.Value.(*suspect)
	record.crashes = slices.DeleteFunc(record.crashes, func(k crash) bool { return !k.certain })
	if len(record.crashes) == 0 {
		c.forget(element)
	}
	return true
}

func (c *Crashes) record(fingerprint uint64) *suspect {
	if element, ok := c.records[fingerprint]; ok {
		return element.Value.(*suspect)
	}
	if len(c.records) >= maxFingerprints {
		c.forget(c.byAge.Front())
	}
	record := &suspect{fingerprint: fingerprint}
	c.records[fingerprint] = c.byAge.PushBack(record)
	return record
}

func (c *Crashes) forget(element *list.Element) {
	delete(c.records, element.Value.(*suspect).fingerprint)
	c.byAge.Remove(element)
}

// Refused reports whether the request must be refused as known_crasher.
func (c *Crashes) Refused(now time.Duration, fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.current(now, fingerprint)
	if record == nil || len(record.crashes) < crashesToRefuse {
		return false
	}
	if c.inCompany && len(record.crashes) >= crashesInCompany {
		return true
	}
	return slices.ContainsFunc(record.crashes, func(k crash) bool { return k.certain })
}

// Alone reports whether the request must run without company, because it was
// in flight at a crash.
func (c *Crashes) Alone(now time.Duration, fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current(now, fingerprint) != nil
}

// current forgets what expired and returns the record of a fingerprint or nil.
func (c *Crashes) current(now time.Duration, fingerprint uint64) *suspect {
	for front := c.byAge.Front(); front != nil; front = c.byAge.Front() {
		if now-front.Value.(*suspect).last < refusalTime {
			break
		}
		c.forget(front)
	}
	if element, ok := c.records[fingerprint]; ok {
		return element.Value.(*suspect)
	}
	return nil
}

// Merge enters the suspicions of another VM. They are not drained again.
func (c *Crashes) Merge(now time.Duration, suspicions []Suspicion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range suspicions {
		c.enter(now, s)
	}
}

// Drain returns the own suspicions since the last call.
func (c *Crashes) Drain() []Suspicion {
	c.mu.Lock()
	defer c.mu.Unlock()
	drained := c.drained
	c.drained = nil
	return drained
}
