package controller

import (
	"context"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// lane is a priority class of the control goroutine's queue.
type lane int

const (
	// urgent events are handled first: messages of the control log, on which
	// elections, leases and commits depend, changes and reads of the operators, and
	// heartbeats of targets that stop taking work. They are few and cheap compared
	// with routine events.
	urgent lane = iota
	// routine events are all others: heartbeats, samples, watches and introductions.
	// Their number grows with the fleet, and their senders repeat them.
	routine
	laneCount
)

func (n lane) String() string {
	if n == urgent {
		return "urgent"
	}
	return "routine"
}

const (
	// laneCapacity bounds the number of queued events in a lane.
	laneCapacity = 1024
	// maxBatchEvents is the maximum number of events handled before their effects
	// are synced, and maxBatchTime is the time after which no further event of the
	// batch is started. The time limit keeps the replica's ticks frequent enough for
	// its heartbeats, which are due every 200 ms.
	maxBatchEvents = 64
	maxBatchTime   = 20 * time.Millisecond
)

// event is work for the control goroutine.
type event struct {
	// caller is done once nobody waits for the result any more; nil for an event
	// without a result.
	caller context.Context
	run    func()
	// queuedAt is when the event was queued.
	queuedAt time.Duration
	lane     lane
}

// queue holds the events for the control goroutine, one channel per lane.
type queue [laneCount]chan event

func newQueue() (q queue) {
	for n := range q {
		q[n] = make(chan event, laneCapacity)
	}
	return q
}

// next returns the next event without waiting, urgent ones first.
func (q *queue) next() (event, bool) {
	for _, events := range q {
		select {
		case e := <-events:
			return e, true
		default:
		}
	}
	return event{}, false
}

// length returns the number of queued events in all lanes.
func (q *queue) length() int {
	n := 0
	for _, events := range q {
		n += len(events)
	}
	return n
}

// post queues an event without waiting for a result.
func (l *loop) post(ctx context.Context, n lane, run func()) {
	l.enqueue(ctx, event{run: run, queuedAt: l.c.now(), lane: n})
}

// call queues an event and waits for its result. The event is not run if ctx ends
// before it is handled. Errors: AnswerTimeout.
func call[T any](ctx context.Context, l *loop, n lane, run func(chan<- T)) (T, *errkind.Error) {
	results := make(chan T, 1)
	l.enqueue(ctx, event{caller: ctx, run: func() { run(results) }, queuedAt: l.c.now(), lane: n})
	return await(ctx, results)
}

// await returns the first value received, or an AnswerTimeout error when ctx ends.
func await[T any](ctx context.Context, results <-chan T) (T, *errkind.Error) {
	select {
	case r := <-results:
		return r, nil
	case <-ctx.Done():
		var zero T
		return zero, errkind.Wrap(errkind.AnswerTimeout, ctx.Err(), "the control goroutine did not answer in time")
	}
}

// enqueue queues an event. It waits for room in the event's lane until ctx or the
// control goroutine ends.
func (l *loop) enqueue(ctx context.Context, e event) {
	select {
	case l.events[e.lane] <- e:
	case <-l.ended:
	case <-ctx.Done():
	}
}

// run handles events and ticks until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		// A due tick goes before all queued events.
		select {
		case <-ticker.C:
			l.runIteration(l.tick)
		default:
		}
		select {
		case <-ctx.Done():
			return
		case e := <-l.events[urgent]:
			l.runIteration(func() { l.handleBatch(e) })
		case e := <-l.events[routine]:
			l.runIteration(func() { l.handleBatch(e) })
		case <-ticker.C:
			l.runIteration(l.tick)
		}
	}
}

// runIteration runs work of the control goroutine and processes its effects on the
// replica.
func (l *loop) runIteration(work func()) {
	l.iteration = iteration{start: l.c.now()}
	work()
	l.processReady()
	l.logSlowIteration()
}

// handleBatch handles an event and further queued ones, urgent events first, within
// the limits of a batch.
func (l *loop) handleBatch(e event) {
	for range maxBatchEvents {
		l.handle(e)
		if l.c.now()-l.iteration.start >= maxBatchTime {
			return
		}
		var ok bool
		if e, ok = l.events.next(); !ok {
			return
		}
	}
}

// handle runs an event unless its caller has given up. Running abandoned events
// would delay later ones until their callers give up as well.
func (l *loop) handle(e event) {
	l.iteration.events++
	l.c.metrics.wait.WithLabelValues(e.lane.String()).Observe((l.c.now() - e.queuedAt).Seconds())
	if e.caller != nil && e.caller.Err() != nil {
		l.c.metrics.expired.WithLabelValues(e.lane.String()).Inc()
		return
	}
	l.timed(workEvent, e.run)
}
