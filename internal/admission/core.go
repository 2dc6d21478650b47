package admission

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Limits bounds the requests of one target.
type Limits struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// ColdSlots is the number of slots with which a cold target begins.
	ColdSlots int
	// QueueLimit bounds the requests that wait.
	QueueLimit int
}

// Ticket describes a request that asks for a slot.
type Ticket struct {
	Tenant string
	Class  Class
	// Share is the tenant's weight; 0 counts as 1.
	Share int
	// Deadline is on the monotonic clock of the gate; 0 is taken from the
	// context.
	Deadline time.Duration
	// Fingerprint identifies the request in crash counts.
	Fingerprint uint64
	// Alone asks to run without any other request on the target.
	Alone bool
}

// Result is how a request ended.
type Result struct {
	Latency time.Duration
	// OK says that the target answered; only such latencies are measured.
	OK bool
	// Crashed says that the connection broke with the request in flight.
	Crashed bool
}

// waiter is a request in the queue or in flight.
type waiter struct {
	ticket  Ticket
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

// core is the pure state of a gate. Invariants: a request is admitted only
// while fewer than the ramp's limit are in flight, and one that asked to run
// alone shares the target with no other.
type core struct {
	limits  Limits
	ramp    ramp
	queue   *queue
	running map[*waiter]struct{}
	alone   bool // a request without company is in flight
	arrived uint64
	refused [classCount]uint64
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
	w.ticket.Class = min(w.ticket.Class, classCount-1)
	if w.ticket.Deadline <= now {
		c.refuse(w, errkind.New(errkind.QueueTimeout, "the deadline has passed"))
		return
	}
	if c.queue.length == 0 && c.mayRun(w) {
		c.run(w)
		return
	}
	if wait := c.expectedWait(now, w.ticket); w.ticket.Deadline-now < wait {
		c.refuse(w, errkind.New(errkind.QueueTimeout, "expected wait %s exceeds the deadline", wait))
		return
	}
	c.enqueue(now, w)
}

func (c *core) enqueue(now time.Duration, w *waiter) {
	if c.queue.length >= c.limits.QueueLimit {
		victim := c.queue.victim(w.ticket)
		if victim == nil {
			c.refuse(w, errkind.New(errkind.Overloaded, "the queue is full"))
			return
		}
		c.queue.remove(victim)
		c.refuse(victim, errkind.New(errkind.Overloaded, "shed for a request of class %s of tenant %s", w.ticket.Class, w.ticket.Tenant))
	}
	c.queue.push(w)
	c.admit(now)
}

// expectedWait is the time until a new request would be answered, if only the
// requests that are certainly served earlier are counted.
func (c *core) expectedWait(now time.Duration, t Ticket) time.Duration {
	rounds := c.queue.ahead(t)/c.ramp.limit + 1
	return time.Duration(rounds) * c.ramp.serviceTime(now)
}

func (c *core) mayRun(w *waiter) bool {
	if c.alone || len(c.running) >= c.ramp.limit {
		return false
	}
	return !w.ticket.Alone || len(c.running) == 0
}

func (c *core) run(w *waiter) {
	w.state = inFlight
	c.alone = w.ticket.Alone
	c.running[w] = struct{}{}
	close(w.done)
}

func (c *core) refuse(w *waiter, err *errkind.Error) {
	w.state = refused
	w.refusal = err
	c.refused[w.ticket.Class]++
	close(w.done)
}

// admit runs waiters while there is room, and refuses those that cannot be
// answered in time.
func (c *core) admit(now time.Duration) {
	for w := c.queue.peek(); w != nil; w = c.queue.peek() {
		left := w.ticket.Deadline - now
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

// cancel takes a waiter out of the queue; one in flight is not touched. Others
// may have waited for it to run alone.
func (c *core) cancel(now time.Duration, w *waiter) {
	if w.state != waiting {
		return
	}
	c.queue.remove(w)
	c.refuse(w, errkind.New(errkind.QueueTimeout, "the request ended in the queue"))
	c.admit(now)
}

// release ends a request in flight. It may be called once per waiter.
func (c *core) release(now time.Duration, w *waiter, r Result) {
	if w.state != inFlight {
		return
	}
	w.state = released
	delete(c.running, w)
	if w.ticket.Alone {
		c.alone = false
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

// Stats is a reading of a gate.
type Stats struct {
	InFlight, Queued int
	// Limit is the current bound of requests in flight, Slots the highest.
	Limit, Slots int
	// Load is InFlight divided by Slots.
	Load float64
	// ServiceTime is the mean latency of recent completions, 0 if unknown.
	ServiceTime time.Duration
	// ColdTurns counts how often a warm target turned cold unannounced.
	ColdTurns int
	// Refused counts refusals by class.
	Refused [classCount]uint64
}

func (c *core) stats(now time.Duration) Stats {
	return Stats{
		InFlight:    len(c.running),
		Queued:      c.queue.length,
		Limit:       c.ramp.limit,
		Slots:       c.ramp.slots,
		Load:        float64(len(c.running)) / float64(c.ramp.slots),
		ServiceTime: c.ramp.serviceTime(now),
		ColdTurns:   c.ramp.turns,
		Refused:     c.refused,
	}
}
