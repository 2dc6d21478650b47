package dispatch

import (
	"container/heap"
	"math"
	"time"
)

// queue holds waiting requests: by class, within a class weighted fair across
// tenants, within a tenant by earliest deadline.
type queue struct {
	classes [classCount]fairQueue
	length  int
}

func newQueue() *queue {
	q := &queue{}
	for c := range q.classes {
		q.classes[c].tenants = make(map[string]*tenantQueue)
	}
	return q
}

func (q *queue) push(w *waiter) {
	q.classes[w.ticket.Class].push(w)
	q.length++
}

// peek returns the waiter to serve next, or nil.
func (q *queue) peek() *waiter {
	for c := range q.classes {
		if t := q.classes[c].next(); t != nil {
			return t.waiters[0]
		}
	}
	return nil
}

// serve removes the waiter that peek returned and charges its tenant.
func (q *queue) serve(w *waiter) {
	q.classes[w.ticket.Class].charge(w)
	q.remove(w)
}

// remove takes a waiter out without charging its tenant.
func (q *queue) remove(w *waiter) {
	q.classes[w.ticket.Class].remove(w)
	q.length--
}

// victim returns the waiter to shed for a new one of the class: of the lowest
// class below it, the latest deadline of the tenant with the most waiters.
func (q *queue) victim(class Class) *waiter {
	for c := classCount - 1; c > class; c-- {
		if w := q.classes[c].last(); w != nil {
			return w
		}
	}
	return nil
}

// ahead returns how many waiters are certainly served before a new ticket.
func (q *queue) ahead(t Ticket) int {
	count := 0
	for c := range t.Class {
		count += q.classes[c].length
	}
	own, ok := q.classes[t.Class].tenants[t.Tenant]
	if !ok {
		return count
	}
	for _, w := range own.waiters {
		if w.ticket.Deadline <= t.Deadline {
			count++
		}
	}
	return count
}

// fairQueue is start-time fair queueing over the tenants of one class. Only
// tenants with waiters, or served ahead of the virtual time, are remembered.
type fairQueue struct {
	tenants map[string]*tenantQueue
	// virtual is the virtual start time of the request served last.
	virtual float64
	length  int
	order   uint64
}

type tenantQueue struct {
	name    string
	waiters deadlineHeap
	// start is the virtual time at which the next request is due.
	start float64
	// order breaks ties in favour of the tenant that came first.
	order uint64
}

func (f *fairQueue) push(w *waiter) {
	t, ok := f.tenants[w.ticket.Tenant]
	if !ok {
		f.order++
		t = &tenantQueue{name: w.ticket.Tenant, start: f.virtual, order: f.order}
		f.tenants[t.name] = t
	}
	if len(t.waiters) == 0 {
		t.start = max(t.start, f.virtual)
	}
	heap.Push(&t.waiters, w)
	f.length++
}

func (f *fairQueue) next() *tenantQueue {
	var best *tenantQueue
	for _, t := range f.tenants {
		if len(t.waiters) == 0 {
			continue
		}
		if best == nil || t.start < best.start || t.start == best.start && t.order < best.order {
			best = t
		}
	}
	return best
}

func (f *fairQueue) charge(w *waiter) {
	t := f.tenants[w.ticket.Tenant]
	f.virtual = t.start
	t.start += 1 / float64(max(1, w.ticket.Share))
}

func (f *fairQueue) remove(w *waiter) {
	t := f.tenants[w.ticket.Tenant]
	heap.Remove(&t.waiters, w.index)
	f.length--
	f.forget()
}

// forget drops idle tenants that owe nothing. When the class is empty, all
// tenants start equal again.
func (f *fairQueue) forget() {
	for name, t := range f.tenants {
		if len(t.waiters) == 0 && (f.length == 0 || t.start <= f.virtual) {
			delete(f.tenants, name)
		}
	}
	if f.length == 0 {
		f.virtual = 0
	}
}

func (f *fairQueue) last() *waiter {
	var longest *tenantQueue
	for _, t := range f.tenants {
		if len(t.waiters) == 0 {
			continue
		}
		if longest == nil || len(t.waiters) > len(longest.waiters) ||
			len(t.waiters) == len(longest.waiters) && t.order > longest.order {
			longest = t
		}
	}
	if longest == nil {
		return nil
	}
	return longest.waiters.latest()
}

// deadlineHeap orders waiters by deadline, then by arrival.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].ticket.Deadline != h[j].ticket.Deadline {
		return h[i].ticket.Deadline < h[j].ticket.Deadline
	}
	return h[i].arrival < h[j].arrival
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

func (h deadlineHeap) latest() *waiter {
	latest := h[0]
	for _, w := range h {
		later := w.ticket.Deadline > latest.ticket.Deadline
		same := w.ticket.Deadline == latest.ticket.Deadline
		if later || same && w.arrival > latest.arrival {
			latest = w
		}
	}
	return latest
}

// noDeadline is the deadline of a ticket without one. Differences to any
// reading of a monotonic clock do not overflow.
const noDeadline = time.Duration(math.MaxInt64 / 4)
