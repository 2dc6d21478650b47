package admission

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

// victim returns the waiter to shed for a new one: the latest deadline of the
// tenant with the most waiters, of the lowest class below the new one, or of
// its own class if that tenant holds more of the queue than its share.
func (q *queue) victim(t Ticket) *waiter {
	for c := classCount - 1; c > t.Class; c-- {
		if longest := q.classes[c].longest(); longest != nil {
			return longest.waiters.latest()
		}
	}
	longest := q.classes[t.Class].longest()
	if longest == nil || longest.load() <= q.classes[t.Class].loadWith(t) {
		return nil
	}
	return longest.waiters.latest()
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

// maxIdleTenants bounds the remembered tenants of a class without waiters.
const maxIdleTenants = 256

// fairQueue is start-time fair queueing over the tenants of one class. Tenants
// without waiters are remembered while they were served ahead of their share.
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
	// share is the weight of the latest request.
	share int
}

// load is the number of waiters per share.
func (t *tenantQueue) load() float64 { return float64(len(t.waiters)) / float64(t.share) }

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
	t.share = max(1, w.ticket.Share)
	heap.Push(&t.waiters, w)
	f.length++
}

// loadWith is the load of the ticket's tenant with one more waiter.
func (f *fairQueue) loadWith(t Ticket) float64 {
	waiters := 1
	if own, ok := f.tenants[t.Tenant]; ok {
		waiters += len(own.waiters)
	}
	return float64(waiters) / float64(max(1, t.Share))
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
	f.forget(t)
}

// forget drops a tenant that is idle and owes nothing. When the class is empty
// all tenants start equal again.
func (f *fairQueue) forget(t *tenantQueue) {
	if f.length == 0 {
		clear(f.tenants)
		f.virtual = 0
		return
	}
	if len(t.waiters) == 0 && t.start <= f.virtual {
		delete(f.tenants, t.name)
	}
	if len(f.tenants) <= maxIdleTenants+f.length {
		return
	}
	for name, idle := range f.tenants {
		if len(idle.waiters) == 0 {
			delete(f.tenants, name)
		}
	}
}

// longest returns the tenant with the highest load, or nil.
func (f *fairQueue) longest() *tenantQueue {
	var longest *tenantQueue
	for _, t := range f.tenants {
		if len(t.waiters) == 0 {
			continue
		}
		if longest == nil || t.load() > longest.load() ||
			t.load() == longest.load() && t.order > longest.order {
			longest = t
		}
	}
	return longest
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
