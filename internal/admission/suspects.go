package admission

import (
	"slices"
	"sync"
	"time"
)

// Limits of what a VM remembers of lost and completed requests.
const (
	// lossRetention is how long a lost request is kept undecided. A target that crashed
	// is replaced within some seconds, and the control VMs report that.
	lossRetention = 15 * time.Second
	// maxLosses bounds the undecided losses. The oldest are dropped.
	maxLosses = 2048
	// provenTime is how long a completed request vouches for those with the same
	// fingerprint: longer than the interval between reads that are repeated all the
	// time, and shorter than a caller waits for the end of a fault.
	provenTime = 30 * time.Second
	// maxProven bounds each of the two sets of fingerprints of completed requests. An
	// entry VM that serves 6,000 requests a second fills one in about a second.
	maxProven = 8192
)

// Process identifies one start of a target.
type Process struct {
	Target      string
	Incarnation uint64
}

// loss is a request whose connection broke at a target.
type loss struct {
	at           time.Duration
	process      Process
	fingerprints []uint64
}

// Suspects decides on a VM that shares its targets with others which requests crash
// their targets. A broken connection has many causes, so a lost request stays
// undecided until there is evidence that its target ended or lived on; the order in
// which loss and evidence become known does not matter.
//
// A request has several fingerprints, because callers may change parts of a repeated
// request. It is refused if any of them has crashed ambiguousCrashesToRefuse targets
// and no request with that fingerprint has completed since.
//
// Invariants:
//   - A loss counts only against a target whose process ended.
//   - A fingerprint with which a request completed on this VM within provenTime gets
//     no suspicion on this VM.
//
// Suspects does no I/O; the time is an argument. It is safe for concurrent use.
type Suspects struct {
	*Crashes

	mu     sync.Mutex
	losses []loss // oldest first
	// ended holds processes that are known to have crashed, and when that became
	// known.
	ended map[Process]time.Duration
	// proven holds when a request with a fingerprint last completed. Once it is full,
	// it replaces olderProven.
	proven, olderProven map[uint64]time.Duration
	// running counts the requests in progress by each of their fingerprints.
	running map[uint64]int
	// dropped counts the losses that were dropped without evidence of a crash.
	dropped int
}

// NewSuspects returns an empty record.
func NewSuspects() *Suspects {
	return &Suspects{
		Crashes: NewCrashesForSharedTargets(), ended: make(map[Process]time.Duration),
		proven: make(map[uint64]time.Duration), running: make(map[uint64]int),
	}
}

// Lost records that the connection to a process broke during a request. It reports
// whether it is still to be found out whether the process ended.
func (s *Suspects) Lost(now time.Duration, p Process, fingerprints []uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	if _, ok := s.ended[p]; ok {
		s.count(now, p, fingerprints)
		return false
	}
	if len(s.losses) >= maxLosses {
		s.losses = slices.Delete(s.losses, 0, 1)
		s.dropped++
	}
	s.losses = append(s.losses, loss{now, p, fingerprints})
	return true
}

// Ended records that a process is known to have crashed. It returns the
// fingerprints of each undecided loss that counts as a crash because of that.
func (s *Suspects) Ended(now time.Duration, p Process) [][]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	s.ended[p] = now
	var counted [][]uint64
	for _, l := range s.losses {
		if l.process == p {
			s.count(now, p, l.fingerprints)
			counted = append(counted, l.fingerprints)
		}
	}
	s.losses = slices.DeleteFunc(s.losses, func(l loss) bool { return l.process == p })
	return counted
}

// Alive records that a process responded to a request that was sent at the given
// time, and drops the losses at it until then.
func (s *Suspects) Alive(p Process, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(func(l loss) bool { return l.process == p && l.at <= sent })
}

// drop removes losses that say nothing against their requests.
func (s *Suspects) drop(matches func(loss) bool) {
	before := len(s.losses)
	s.losses = slices.DeleteFunc(s.losses, matches)
	s.dropped += before - len(s.losses)
}

// Undecided reports whether losses at a process are undecided.
func (s *Suspects) Undecided(now time.Duration, p Process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	return slices.ContainsFunc(s.losses, func(l loss) bool { return l.process == p })
}

// CountUndecided returns the number of undecided losses.
func (s *Suspects) CountUndecided(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	return len(s.losses)
}

// CountDropped returns the number of losses that were dropped because their target
// lived on, their request completed, or no evidence came.
func (s *Suspects) CountDropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Completed records that a target completed a request, and reports whether that
// cleared a suspicion.
func (s *Suspects) Completed(now time.Duration, fingerprints []uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cleared := false
	for _, f := range fingerprints {
		if len(s.proven) >= maxProven {
			s.olderProven, s.proven = s.proven, make(map[uint64]time.Duration)
		}
		s.proven[f] = now
		cleared = s.Clear(f) || cleared
	}
	s.drop(func(l loss) bool { return slices.Contains(fingerprints, l.fingerprints[0]) })
	return cleared
}

// Receive applies the suspicions of other VMs and returns those that were new. A
// process that one of them reports as crashed has ended for this VM too.
func (s *Suspects) Receive(now time.Duration, suspicions []Suspicion) []Suspicion {
	for _, received := range suspicions {
		if !received.Cleared {
			s.Ended(now, Process{received.Target, received.Incarnation})
		}
	}
	return s.Merge(now, suspicions)
}

// Verdict says how a request must be treated.
type Verdict uint8

// Verdicts, from the mildest on.
const (
	// Sound means that nothing speaks against the request.
	Sound Verdict = iota
	// Suspected means that the request may have crashed a target: it may be sent to
	// one target, and to no other one while it is in progress.
	Suspected
	// Refused means that the request crashes targets.
	Refused
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"sound", "suspected", "refused"}[v] }

// Judge returns the verdict on a request with the given fingerprints.
func (s *Suspects) Judge(now time.Duration, fingerprints []uint64) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judge(now, fingerprints)
}

func (s *Suspects) judge(now time.Duration, fingerprints []uint64) Verdict {
	verdict := Sound
	for _, f := range fingerprints {
		if s.Crashes.Refused(now, f) {
			return Refused
		}
		if s.MustRunAlone(now, f) {
			verdict = Suspected
		}
	}
	s.forget(now)
	if slices.ContainsFunc(s.losses, func(l loss) bool {
		return slices.Contains(fingerprints, l.fingerprints[0]) && !s.isProven(now, l.fingerprints[0])
	}) {
		verdict = Suspected
	}
	return verdict
}

// Begin records that a request is about to be sent. It reports false, and records
// nothing, if the request is suspected and another one in progress shares a suspected
// fingerprint with it. The caller calls End for each request that Begin accepted.
func (s *Suspects) Begin(now time.Duration, fingerprints []uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range fingerprints {
		if s.running[f] > 0 && (i == 0 && s.judge(now, fingerprints) != Sound || s.MustRunAlone(now, f)) {
			return false
		}
	}
	for _, f := range fingerprints {
		s.running[f]++
	}
	return true
}

// End records that a request for which Begin reported true is no longer in progress.
func (s *Suspects) End(fingerprints []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range fingerprints {
		if s.running[f]--; s.running[f] <= 0 {
			delete(s.running, f)
		}
	}
}

// count records a crash against each fingerprint that is not proven.
func (s *Suspects) count(now time.Duration, p Process, fingerprints []uint64) {
	for _, f := range fingerprints {
		if !s.isProven(now, f) {
			s.RecordAmbiguousCrash(now, f, p.Target, p.Incarnation)
		}
	}
}

func (s *Suspects) isProven(now time.Duration, fingerprint uint64) bool {
	at, ok := s.proven[fingerprint]
	if !ok {
		at, ok = s.olderProven[fingerprint]
	}
	return ok && now-at < provenTime
}

// forget drops what is too old to matter.
func (s *Suspects) forget(now time.Duration) {
	s.drop(func(l loss) bool { return now-l.at >= lossRetention })
	for p, at := range s.ended {
		if now-at >= lossRetention {
			delete(s.ended, p)
		}
	}
}
