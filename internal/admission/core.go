package admission

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Limits bounds the requests to one target.
type Limits struct {
	// Slots is the maximum number of requests in flight.
	Slots int
	// ColdSlots is the number of slots with which a cold target starts.
	ColdSlots int
	// QueueLimit is the maximum number of queued requests.
	QueueLimit int
}

// Request describes a request for a slot.
type Request struct {
	Tenant string
	Class  Class
	// Share is the tenant's weight; 0 counts as 1.
	Share int
	// Deadline is a time on the monotonic clock of the gate. If it is 0, only the
	// deadline of the context applies.
	Deadline time.Duration
	// Fingerprint identifies the request in Crashes.
	Fingerprint uint64
	// Alone demands that no other request is in flight to the target while this
	// one is.
	Alone bool
}

// Result describes how a request ended.
type Result struct {
	Latency time.Duration
	// OK reports whether the target responded. Only the latencies of such requests
	// are measured.
	OK bool
	// Crashed reports whether the connection broke while the request was in flight.
	Crashed bool
}

// waiter is a request in the queue or in flight.
type waiter struct {
	req     Request
	arrival uint64
	index   int
	state   waiterState
	refusal *errkind.Error
	// done is closed when the waiter leaves the queue.
	done chan struct{}
}

type waiterState uint8

const (
	waiting waiterState = iota
	inFlight
	refused
	released
)

// core is the deterministic state of a gate. Invariants: a request is admitted only
// while fewer requests than the ramp's limit are in flight, and a request that must
// run alone is the only one in flight.
type core struct {
	limits       Limits
	ramp         ramp
	queue        *queue
	running      map[*waiter]struct{}
	runningAlone bool   // a request that must run alone is in flight
	arrived      uint64 // number of submitted requests
	refused      [classCount]uint64
}

func newCore(l Limits) *core {
	return &core{
		limits:  l,
		ramp:    newRamp(l.Slots, l.ColdSlots),
		queue:   newQueue(),
		running: make(map[*waiter]struct{}),
	}
}

// submit admits, queues or refuses a request.
func (c *core) submit(now time.Duration, w *waiter) {
	c.arrived++
	w.arrival = c.arrived
	w.req.Class = min(w.req.Class, classCount-1)
	if w.req.Deadline <= now {
		c.refuse(w, errkind.New(errkind.QueueTimeout, "the deadline has passed"))
		return
	}
	if c.queue.length == 0 && c.mayRun(w) {
		c.run(w)
		return
	}
	if wait := c.expectedWait(now, w.req); w.req.Deadline-now < wait {
		c.refuse(w, errkind.New(errkind.QueueTimeout, "expected wait %s exceeds the deadline", wait))
		return
	}
	c.enqueue(now, w)
}

func (c *core) enqueue(now time.Duration, w *waiter) {
	if c.queue.length >= c.limits.QueueLimit {
		victim := c.queue.victim(w.req)
		if victim == nil {
			c.refuse(w, errkind.New(errkind.Overloaded, "the queue is full"))
			return
		}
		c.queue.remove(victim)
		c.refuse(victim, errkind.New(errkind.Overloaded, "shed for a request of class %s of tenant %s", w.req.Class, w.req.Tenant))
	}
	c.queue.push(w)
	c.admit(now)
}

// expectedWait returns a lower estimate of the time until a new request would be
// completed: it counts only the requests that are certainly served earlier.
func (c *core) expectedWait(now time.Duration, req Request) time.Duration {
	rounds := c.queue.ahead(req)/c.ramp.limit + 1
	return time.Duration(rounds) * c.ramp.serviceTime(now)
}

func (c *core) mayRun(w *waiter) bool {
	if c.runningAlone || len(c.running) >= c.ramp.limit {
		return false
	}
	return !w.req.Alone || len(c.running) == 0
}

func (c *core) run(w *waiter) {
	w.state = inFlight
	c.runningAlone = w.req.Alone
	c.running[w] = struct{}{}
	close(w.done)
}

func (c *core) refuse(w *waiter, err *errkind.Error) {
	w.state = refused
	w.refusal = err
	c.refused[w.req.Class]++
	close(w.done)
}

// admit runs queued requests while slots are free, and refuses those that cannot
// be completed before their deadline.
func (c *core) admit(now time.Duration) {
	for w := c.queue.peek(); w != nil; w = c.queue.peek() {
		left := w.req.Deadline - now
		if left <= 0 || left < c.ramp.serviceTime(now) {
			c.queue.remove(w)
			c.refuse(w, errkind.New(errkind.QueueTimeout, "the deadline cannot be met"))
			continue
		}
		if !c.mayRun(w) {
			return
		}
		c.queue.serve(w)
		c.run(w)
	}
}

// cancel removes a waiter from the queue; it has no effect on one in flight. If
// the waiter had to run alone, it may have blocked others, which are then admitted.
func (c *core) cancel(now time.Duration, w *waiter) {
	if w.state != waiting {
		return
	}
	c.queue.remove(w)
	c.refuse(w, errkind.New(errkind.QueueTimeout, "the request was cancelled or its deadline passed in the queue"))
	c.admit(now)
}

// release ends a request in flight. Later calls for the same waiter do nothing.
func (c *core) release(now time.Duration, w *waiter, r Result) {
	if w.state != inFlight {
		return
	}
	w.state = released
	delete(c.running, w)
	if w.req.Alone {
		c.runningAlone = false
	}
	if r.OK && !r.Crashed {
		c.ramp.completed(now, r.Latency)
	} else {
		c.ramp.failed()
	}
	c.admit(now)
}

func (c *core) setLimits(now time.Duration, l Limits) {
	c.limits = l
	c.ramp.setSlots(l.Slots, l.ColdSlots)
	c.admit(now)
}

func (c *core) restart(now time.Duration) {
	c.ramp.restart()
	c.admit(now)
}

// Stats is a snapshot of the state of a gate.
type Stats struct {
	InFlight, Queued int
	// Limit is the current maximum of requests in flight; it never exceeds Slots.
	Limit, Slots int
	// Load is InFlight divided by Slots.
	Load float64
	// ServiceTime is the mean latency of recent completions, 0 if unknown.
	ServiceTime time.Duration
	// ColdTransitions counts how often the latencies showed that a warm target had
	// become cold without announcing it.
	ColdTransitions int
	// Refused counts the refused requests by class.
	Refused [classCount]uint64
}

func (c *core) stats(now time.Duration) Stats {
	return Stats{
		InFlight:        len(c.running),
		Queued:          c.queue.length,
		Limit:           c.ramp.limit,
		Slots:           c.ramp.slots,
		Load:            float64(len(c.running)) / float64(c.ramp.slots),
		ServiceTime:     c.ramp.serviceTime(now),
		ColdTransitions: c.ramp.coldTransitions,
		Refused:         c.refused,
	}
}
