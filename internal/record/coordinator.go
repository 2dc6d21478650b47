package record

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Time limits of a coordinator.
const (
	// startTimeout bounds one round of starts, promises or queries, so that a
	// paused holder does not use up the deadline.
	startTimeout = 500 * time.Millisecond
	// abortWait is how long an attempt waits for its own abort.
	abortWait = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the wait between two rounds.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// backgroundLimit bounds the calls that continue after their request ended.
const backgroundLimit = 4096

// Coordinator begins and ends attempts on behalf of one dispatcher VM.
type Coordinator struct {
	vm          string
	incarnation uint64
	transport   Transport
	number      atomic.Uint64
	background  chan struct{}
	deliveries  sync.WaitGroup
	fenced      atomic.Pointer[func(vm string, incarnation uint64) bool]

	mu   sync.Mutex
	rand *rand.Rand
}

// NewCoordinator returns the coordinator of one incarnation of a VM. The same
// incarnation must never be used by two coordinators.
func NewCoordinator(vm string, incarnation uint64, t Transport) *Coordinator {
	return &Coordinator{
		vm:          vm,
		incarnation: incarnation,
		transport:   t,
		background:  make(chan struct{}, backgroundLimit),
		rand:        rand.New(rand.NewPCG(xxhash.Sum64String(vm), incarnation)),
	}
}

// jitter returns a random duration between d/2 and 3d/2.
func (c *Coordinator) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.rand.Int64N(int64(d)))
}

// SetFenced gives the coordinator a source that tells whether an incarnation
// of a VM has lost its lease for good. Attempts of such a VM may be taken over.
// Without it only earlier incarnations of the own VM are regarded as fenced.
func (c *Coordinator) SetFenced(fenced func(vm string, incarnation uint64) bool) {
	c.fenced.Store(&fenced)
}

// Wait returns when all deliveries in the background ended or ctx ended. A VM
// that stops calls it after its last request, so that answers reach the holders.
func (c *Coordinator) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { c.deliveries.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (c *Coordinator) isFenced(a Attempt) bool {
	if a.VM == c.vm {
		return a.VMIncarnation < c.incarnation
	}
	fenced := c.fenced.Load()
	return fenced != nil && (*fenced)(a.VM, a.VMIncarnation)
}

// BeginRequest describes a request that is to run at most once.
type BeginRequest struct {
	ID          ID
	Fingerprint uint64
	// FirstSent is the unix time in ms at which the caller first sent the ID.
	FirstSent int64
	Retention time.Duration
	// HolderSets are the candidate VM names, the current set first, then every
	// set that was replaced within the retention.
	HolderSets [][]string
	// NoWait makes Begin return StartedElsewhere as soon as another attempt may
	// be Running, so that the caller can give up its slot and call Await.
	NoWait bool
}

func (b BeginRequest) check(now int64) *errkind.Error {
	if b.FirstSent > now+ClockAllowance.Milliseconds() {
		return errkind.New(errkind.ExpiredID, "first sent %d ms in the future", b.FirstSent-now)
	}
	if b.FirstSent+b.Retention.Milliseconds() < now {
		return errkind.New(errkind.ExpiredID, "first sent %d ms ago, retention is %s", now-b.FirstSent, b.Retention)
	}
	return nil
}

// Begin returns a Running attempt that may send, or the stored answer of an
// earlier attempt, or an error. Exactly one result is not nil. An error with
// outcome not_run means that neither this attempt nor one seen by it may run.
func (c *Coordinator) Begin(ctx context.Context, b BeginRequest) (*Running, *Answer, *errkind.Error) {
	s, err := c.newSession(b)
	if err != nil {
		return nil, nil, err
	}
	return s.run(ctx)
}

// newSession checks a request and picks its holders.
func (c *Coordinator) newSession(b BeginRequest) (*session, *errkind.Error) {
	if err := b.check(time.Now().UnixMilli()); err != nil {
		return nil, err
	}
	sets := make([][]string, len(b.HolderSets))
	for i, candidates := range b.HolderSets {
		sets[i] = Holders(b.ID, candidates)
	}
	if len(sets) == 0 || slices.ContainsFunc(sets, func(s []string) bool { return len(s) == 0 }) {
		return nil, errkind.New(errkind.RecordUnavailable, "no record holders are known")
	}
	return &session{coordinator: c, request: b, sets: sets, holders: union(sets), backoff: minBackoff}, nil
}

// session is one call of Begin, which may need several attempts.
type session struct {
	coordinator *Coordinator
	request     BeginRequest
	sets        [][]string
	holders     []string
	own         []Attempt
	backoff     time.Duration
	// contended says that another attempt was seen that may be Running.
	contended bool
}

func (s *session) run(ctx context.Context) (*Running, *Answer, *errkind.Error) {
	for ctx.Err() == nil {
		a := s.nextAttempt()
		v := s.ask(ctx, a, false)
		if v.granted() {
			return s.running(a), nil, nil
		}
		if answer, err := v.verdict(); answer != nil || err != nil {
			s.abortOwn(a, 0)
			return nil, answer, err
		}
		s.abortOwn(a, remaining(ctx, abortWait))
		v.dropGrants()
		answer, again, err := s.resolve(ctx, v)
		if answer != nil || err != nil {
			return nil, answer, err
		}
		if !again {
			break
		}
	}
	return nil, nil, s.failure("record holders gave no majority before the deadline")
}

// resolve waits until no other attempt can be Running, so that a new attempt
// makes sense, or returns what ended the session.
func (s *session) resolve(ctx context.Context, v *view) (answer *Answer, again bool, err *errkind.Error) {
	for first := true; ; first = false {
		if answer, err := v.verdict(); answer != nil || err != nil {
			return answer, false, err
		}
		others := v.others(s.own)
		if len(others) == 0 && first && !v.sawOwn(s.own) {
			return nil, false, s.failure("too few record holders are ready")
		}
		again := s.settle(ctx, v, others)
		if !again && s.request.NoWait {
			return nil, false, s.failure("")
		}
		if !s.pause(ctx) {
			return nil, false, nil
		}
		if again {
			return nil, true, nil
		}
		v = s.ask(ctx, Attempt{}, true)
	}
}

// settle takes over attempts of fenced VMs, and reports whether none of the
// others can be Running now. One that is not dead may still become Running by a
// late start, so it keeps the session contended until every holder was seen
// without an attempt.
func (s *session) settle(ctx context.Context, v *view, others []heldBy) bool {
	again := true
	alive := 0
	for _, other := range others {
		if s.coordinator.isFenced(other.attempt) && s.takeover(ctx, other) {
			continue
		}
		alive++
		again = again && !v.mayBeRunning(other)
	}
	if alive > 0 {
		s.contended = true
	} else if v.allAbsent(s.holders) {
		s.contended = false
	}
	return again
}

// failure is RecordUnavailable unless an attempt was seen that may be Running.
func (s *session) failure(message string) *errkind.Error {
	if s.contended {
		return errkind.New(errkind.StartedElsewhere, "another attempt of the request may be running")
	}
	return errkind.New(errkind.RecordUnavailable, "%s", message)
}

func (s *session) pause(ctx context.Context) bool {
	d := s.coordinator.jitter(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
	return clock.Pause(ctx, d)
}

func (s *session) nextAttempt() Attempt {
	c := s.coordinator
	a := Attempt{VM: c.vm, VMIncarnation: c.incarnation, Number: c.number.Add(1)}
	s.own = append(s.own, a)
	return a
}

// abortOwn gives an attempt up at every holder and waits at most the given
// time; a holder that cannot be reached now
// is told in the background. A holder that never hears of it keeps a record
// that blocks the ID but grants nothing.
func (s *session) abortOwn(a Attempt, wait time.Duration) {
	s.tell(wait, s.holders, MethodAbort, s.abortRequest(a, s.sets), nil)
}

func (s *session) abortRequest(a Attempt, sets [][]string) AbortRequest {
	return AbortRequest{
		ID:        s.request.ID,
		Attempt:   a,
		FirstSent: s.request.FirstSent,
		Retention: s.request.Retention,
		Holders:   sets,
	}
}
