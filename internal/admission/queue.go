package admission

import (
	"container/heap"
	"math"
	"time"
)

// queue holds the queued requests. It serves classes by priority, the tenants of a
// class by weighted fair queueing, and the requests of a tenant by earliest
// deadline.
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
	q.classes[w.req.Class].push(w)
	q.length++
}

// peek returns the waiter to serve next, or nil if the queue is empty.
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
	q.classes[w.req.Class].charge(w)
	q.remove(w)
}

// remove removes a waiter without charging its tenant.
func (q *queue) remove(w *waiter) {
	q.classes[w.req.Class].remove(w)
	q.length--
}

// victim returns the waiter to shed in favour of a new request, or nil. It takes
// the lowest class below that of the new request that has waiters. If there is
// none, it takes the class of the new request, and only if the load of the tenant
// with the highest load exceeds what that of the new request's tenant would be.
// Within the class, it selects the waiter with the latest deadline of the tenant
// with the highest load.
func (q *queue) victim(req Request) *waiter {
	for c := classCount - 1; c > req.Class; c-- {
		if mostLoaded := q.classes[c].mostLoaded(); mostLoaded != nil {
			return mostLoaded.waiters.latest()
		}
	}
	mostLoaded := q.classes[req.Class].mostLoaded()
	if mostLoaded == nil || mostLoaded.load() <= q.classes[req.Class].loadWith(req) {
		return nil
	}
	return mostLoaded.waiters.latest()
}

// ahead returns how many waiters are certainly served before a new request.
func (q *queue) ahead(req Request) int {
	count := 0
	for c := range req.Class {
		count += q.classes[c].length
	}
	own, ok := q.classes[req.Class].tenants[req.Tenant]
	if !ok {
		return count
	}
	for _, w := range own.waiters {
		if w.req.Deadline <= req.Deadline {
			count++
		}
	}
	return count
}

// maxIdleTenants bounds the tenants without waiters that a class keeps.
const maxIdleTenants = 256

// fairQueue implements start-time fair queueing over the tenants of one class. A
// tenant without waiters is kept while it has been served ahead of its share.
type fairQueue struct {
	tenants map[string]*tenantQueue
	// virtual is the virtual start time of the request served last.
	virtual float64
	length  int
	// order is the last tenantQueue.order that was assigned.
	order uint64
}

type tenantQueue struct {
	name    string
	waiters deadlineHeap
	// start is the virtual start time of the tenant's next request.
	start float64
	// order breaks ties: the tenant that was added first is served first.
	order uint64
	// share is the tenant's weight in its latest request.
	share int
}

// load returns the number of waiters divided by the tenant's share.
func (t *tenantQueue) load() float64 { return float64(len(t.waiters)) / float64(t.share) }

func (f *fairQueue) push(w *waiter) {
	t, ok := f.tenants[w.req.Tenant]
	if !ok {
		f.order++
		t = &tenantQueue{name: w.req.Tenant, start: f.virtual, order: f.order}
		f.tenants[t.name] = t
	}
	if len(t.waiters) == 0 {
		t.start = max(t.start, f.virtual)
	}
	t.share = max(1, w.req.Share)
	heap.Push(&t.waiters, w)
	f.length++
}

// loadWith returns the load that the request's tenant would have with the request.
func (f *fairQueue) loadWith(req Request) float64 {
	waiters := 1
	if own, ok := f.tenants[req.Tenant]; ok {
		waiters += len(own.waiters)
	}
	return float64(waiters) / float64(max(1, req.Share))
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
	t := f.tenants[w.req.Tenant]
	f.virtual = t.start
	t.start += 1 / float64(max(1, w.req.Share))
}

func (f *fairQueue) remove(w *waiter) {
	t := f.tenants[w.req.Tenant]
	heap.Remove(&t.waiters, w.index)
	f.length--
	f.prune(t)
}

// prune drops t if it has no waiters and was not served ahead of its share. If more
// than maxIdleTenants tenants plus one for each waiter are kept, it drops all
// tenants without waiters. When the class is empty, it drops all tenants and resets
// the virtual time, so that all tenants start equal again.
func (f *fairQueue) prune(t *tenantQueue) {
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

// mostLoaded returns the tenant with the highest load, or nil if none has waiters.
// Among tenants of equal load it returns the one that was added last.
func (f *fairQueue) mostLoaded() *tenantQueue {
	var mostLoaded *tenantQueue
	for _, t := range f.tenants {
		if len(t.waiters) == 0 {
			continue
		}
		if mostLoaded == nil || t.load() > mostLoaded.load() ||
			t.load() == mostLoaded.load() && t.order > mostLoaded.order {
			mostLoaded = t
		}
	}
	return mostLoaded
}

// deadlineHeap orders waiters by deadline, then by arrival.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].req.Deadline != h[j].req.Deadline {
		return h[i].req.Deadline < h[j].req.Deadline
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
		later := w.req.Deadline > latest.req.Deadline
		same := w.req.Deadline == latest.req.Deadline
		if later || same && w.arrival > latest.arrival {
			latest = w
		}
	}
	return latest
}

// noDeadline is the deadline of a request without one. Its difference to any
// reading of a monotonic clock does not overflow.
const noDeadline = time.Duration(math.MaxInt64 / 4)
