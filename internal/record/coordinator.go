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

// Timeouts and backoff of a coordinator.
const (
	// startTimeout bounds one round of starts, queries or promise requests, so
	// that an unresponsive holder does not use up the deadline of the request.
	startTimeout = 500 * time.Millisecond
	// abortWait bounds how long a coordinator waits for the holders to
	// acknowledge an abort.
	abortWait = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the wait between two rounds.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// retriedDeliveriesLimit bounds the deliveries in progress that may be retried. Further
// deliveries make only one try.
const retriedDeliveriesLimit = 4096

// Coordinator begins and ends attempts on behalf of one dispatcher VM.
type Coordinator struct {
	vm          string
	incarnation uint64
	transport   Transport
	lastNumber  atomic.Uint64 // of an attempt
	retrySlots  chan struct{} // holds a value for each delivery that may be retried
	deliveries  sync.WaitGroup
	fenced      atomic.Pointer[func(vm string, incarnation uint64) bool]

	mu   sync.Mutex
	rand *rand.Rand
}

// NewCoordinator returns the coordinator of one incarnation of a VM. Two
// coordinators must never use the same incarnation.
func NewCoordinator(vm string, incarnation uint64, t Transport) *Coordinator {
	return &Coordinator{
		vm:          vm,
		incarnation: incarnation,
		transport:   t,
		retrySlots:  make(chan struct{}, retriedDeliveriesLimit),
		rand:        rand.New(rand.NewPCG(xxhash.Sum64String(vm), incarnation)),
	}
}

// jitter returns a random duration between d/2 and 3d/2.
func (c *Coordinator) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.rand.Int64N(int64(d)))
}

// SetFenced sets the function that reports whether an incarnation of a VM has
// permanently lost its lease. Attempts of such an incarnation may be taken over.
// Without the function, only earlier incarnations of the coordinator's own VM
// count as fenced.
func (c *Coordinator) SetFenced(fenced func(vm string, incarnation uint64) bool) {
	c.fenced.Store(&fenced)
}

// Wait returns when all background deliveries have ended or ctx ends. A VM that
// shuts down calls it after its last request, so that responses reach the
// holders.
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

// BeginRequest describes a request that must run at most once.
type BeginRequest struct {
	ID          ID
	Fingerprint uint64
	// FirstSent is the Unix time in ms at which the caller first sent the ID.
	FirstSent int64
	Retention time.Duration
	// HolderSets are sets of candidate VM names: the current set first, then
	// every set that was replaced within the retention.
	HolderSets [][]string
	// NoWait makes Begin return StartedElsewhere as soon as another attempt may
	// be Running, so that the caller can release its slot and call Await.
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

// Begin returns a Running attempt that may send the request to a target, or the
// stored response of an earlier attempt, or an error. Exactly one result is not
// nil. An error with outcome not_run means that neither this attempt nor any
// other attempt that it saw may run.
func (c *Coordinator) Begin(ctx context.Context, b BeginRequest) (*Running, *Response, *errkind.Error) {
	s, err := c.newSession(b)
	if err != nil {
		return nil, nil, err
	}
	return s.run(ctx)
}

// newSession validates a request and selects its holders.
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

// session is the state of one call of Begin, Await or Lookup. Begin may need
// several attempts.
type session struct {
	coordinator *Coordinator
	request     BeginRequest
	sets        [][]string
	holders     []string
	ownAttempts []Attempt
	backoff     time.Duration
	// contended is set while another attempt that was seen may be or become
	// Running.
	contended bool
}

func (s *session) run(ctx context.Context) (*Running, *Response, *errkind.Error) {
	for ctx.Err() == nil {
		a := s.nextAttempt()
		v := s.startOrQuery(ctx, a, false)
		if v.granted() {
			return s.running(a), nil, nil
		}
		if response, err := v.finalResult(); response != nil || err != nil {
			s.abortOwn(a, 0)
			return nil, response, err
		}
		s.abortOwn(a, remaining(ctx, abortWait))
		v.dropGrants()
		response, retry, err := s.waitForOthers(ctx, v)
		if response != nil || err != nil {
			return nil, response, err
		}
		if !retry {
			break
		}
	}
	return nil, nil, s.failure("no majority of record holders granted the attempt before the deadline")
}

// waitForOthers waits until no other attempt can be Running. retry reports that
// a new attempt can then be made; otherwise the session has ended with the
// response or the error, or, if both are nil, because ctx ended.
func (s *session) waitForOthers(ctx context.Context, v *view) (response *Response, retry bool, err *errkind.Error) {
	for first := true; ; first = false {
		if response, err := v.finalResult(); response != nil || err != nil {
			return response, false, err
		}
		others := v.others(s.ownAttempts)
		if len(others) == 0 && first && !v.sawOwn(s.ownAttempts) {
			return nil, false, s.failure("too few record holders are ready")
		}
		retry := s.takeOverFenced(ctx, v, others)
		if !retry && s.request.NoWait {
			return nil, false, s.failure("")
		}
		if !s.pause(ctx) {
			return nil, false, nil
		}
		if retry {
			return nil, true, nil
		}
		v = s.startOrQuery(ctx, Attempt{}, true)
	}
}

// takeOverFenced takes over the attempts of fenced VMs and reports whether none
// of the others can be Running now. An attempt that is not aborted may still
// become Running through a delayed start, so the session stays contended until
// every holder has reported that it stores no attempt.
func (s *session) takeOverFenced(ctx context.Context, v *view, others []otherAttempt) bool {
	noneRunning := true
	unaborted := 0
	for _, other := range others {
		if s.coordinator.isFenced(other.attempt) && s.takeover(ctx, other) {
			continue
		}
		unaborted++
		noneRunning = noneRunning && !v.mayBeRunning(other)
	}
	if unaborted > 0 {
		s.contended = true
	} else if v.allAbsent(s.holders) {
		s.contended = false
	}
	return noneRunning
}

// failure returns RecordUnavailable with the message, or StartedElsewhere if
// another attempt may be Running.
func (s *session) failure(message string) *errkind.Error {
	if s.contended {
		return errkind.New(errkind.StartedElsewhere, "another attempt of the request may be running")
	}
	return errkind.New(errkind.RecordUnavailable, "%s", message)
}

func (s *session) pause(ctx context.Context) bool {
	d := s.coordinator.jitter(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
	return clock.Sleep(ctx, d)
}

func (s *session) nextAttempt() Attempt {
	c := s.coordinator
	a := Attempt{VM: c.vm, VMIncarnation: c.incarnation, Number: c.lastNumber.Add(1)}
	s.ownAttempts = append(s.ownAttempts, a)
	return a
}

// abortOwn aborts an attempt of this session at every holder and waits at most
// the given time; deliveries to holders that cannot be reached are retried in
// the background. A holder that never receives the abort keeps the attempt, which
// blocks other attempts of the ID but never becomes Running.
func (s *session) abortOwn(a Attempt, wait time.Duration) {
	s.deliverToAll(wait, s.holders, MethodAbort, s.abortRequest(a, s.sets), nil)
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
