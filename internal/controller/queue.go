package controller

import (
	"context"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// lane is one of the queues of the control goroutine.
type lane int

const (
	// urgent events go first: messages of the control log, on which elections,
	// leases and commits depend, changes and reads of the operators, and targets
	// that stop taking work. They are few and cheap compared with the routine.
	urgent lane = iota
	// routine events are heartbeats, samples, watches and introductions. Their
	// number grows with the fleet, and their senders repeat them.
	routine
	lanes
)

func (n lane) String() string {
	if n == urgent {
		return "urgent"
	}
	return "routine"
}

const (
	// eventQueue bounds the events that wait in a lane.
	eventQueue = 1024
	// eventBatch is the number of events handled before their effects are synced,
	// and batchLimit the time after which no further one begins. It keeps ticks of
	// the replica in time for its heartbeats, which are due every 200 ms.
	eventBatch = 64
	batchLimit = 20 * time.Millisecond
)

// event is work for the control goroutine, queued at a time.
type event struct {
	// caller ends when nobody waits for the result any more; nil for an event
	// whose sender waits for none.
	caller context.Context
	run    func()
	at     time.Duration
	lane   lane
}

// queue holds the events that wait for the control goroutine.
type queue [lanes]chan event

func newQueue() (q queue) {
	for n := range q {
		q[n] = make(chan event, eventQueue)
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

// length returns the number of events that wait in all lanes.
func (q *queue) length() int {
	n := 0
	for _, events := range q {
		n += len(events)
	}
	return n
}

// post hands over an event whose sender waits for no result.
func (l *loop) post(ctx context.Context, n lane, run func()) {
	l.enqueue(ctx, event{run: run, at: l.c.now(), lane: n})
}

// ask hands over an event and waits for its result. The event is not run if ctx
// ends before its turn. Error: AnswerTimeout.
func ask[T any](ctx context.Context, l *loop, n lane, run func(chan<- T)) (T, *errkind.Error) {
	results := make(chan T, 1)
	l.enqueue(ctx, event{caller: ctx, run: func() { run(results) }, at: l.c.now(), lane: n})
	return await(ctx, results)
}

// await returns the first value of a result, or an error when ctx ends.
func await[T any](ctx context.Context, results <-chan T) (T, *errkind.Error) {
	select {
	case r := <-results:
		return r, nil
	case <-ctx.Done():
		var zero T
		return zero, errkind.Wrap(errkind.AnswerTimeout, ctx.Err(), "the control goroutine did not answer in time")
	}
}

// enqueue waits for room in the event's lane until ctx or the control goroutine
// ends.
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
		// Nothing that is queued may hold up a tick that is due.
		select {
		case <-ticker.C:
			l.takeTurn(l.tick)
		default:
		}
		select {
		case <-ctx.Done():
			return
		case e := <-l.events[urgent]:
			l.takeTurn(func() { l.handleBatch(e) })
		case e := <-l.events[routine]:
			l.takeTurn(func() { l.handleBatch(e) })
		case <-ticker.C:
			l.takeTurn(l.tick)
		}
	}
}

// takeTurn runs work of the control goroutine and carries out its effects.
func (l *loop) takeTurn(work func()) {
	l.turn = turn{begun: l.c.now()}
	work()
	l.process()
	l.endTurn()
}

// handleBatch handles an event and some of those that wait, urgent ones first.
func (l *loop) handleBatch(e event) {
	for range eventBatch {
		l.handle(e)
		if l.c.now()-l.turn.begun >= batchLimit {
			return
		}
		var ok bool
		if e, ok = l.events.next(); !ok {
			return
		}
	}
}

// handle runs an event unless its caller has given up: work for callers who have
// left would make those who came after them wait in vain as well.
func (l *loop) handle(e event) {
	l.turn.events++
	l.c.metrics.wait.WithLabelValues(e.lane.String()).Observe((l.c.now() - e.at).Seconds())
	if e.caller != nil && e.caller.Err() != nil {
		l.c.metrics.expired.WithLabelValues(e.lane.String()).Inc()
		return
	}
	l.timed(workEvent, e.run)
}
