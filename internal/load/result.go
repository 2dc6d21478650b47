package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Histogram bounds in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(2 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Second is what happened to the requests that started in one second.
type Second struct {
	Answered, NotRun, Unknown int
	// Slowest is the longest answered request.
	Slowest time.Duration
}

// Posting is the final outcome of one posting.
type Posting struct {
	ID      string          `json:"id"`
	Service string          `json:"service"`
	Outcome errkind.Outcome `json:"outcome"`
}

// Result is what callers saw. It is safe for concurrent use during the run.
type Result struct {
	mu       sync.Mutex
	seconds  []Second
	latency  map[string]*hdrhistogram.Histogram
	results  map[string]int
	keys     map[string]*keyHistory
	postings []Posting
	resends  int
	unsent   int
}

// keyHistory holds the time in which one key was not served: from the start of
// a failed request to the end of the first answered probe after it.
type keyHistory struct {
	failedSince time.Duration
	failing     bool
	unavailable time.Duration
	longest     time.Duration
}

func newResult(d time.Duration) *Result {
	return &Result{
		seconds: make([]Second, int(d/time.Second)+1),
		latency: make(map[string]*hdrhistogram.Histogram),
		results: make(map[string]int),
		keys:    make(map[string]*keyHistory),
	}
}

func (r *Result) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

func (r *Result) resent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resends++
}

// add counts one request with its final outcome.
func (r *Result) add(q request, outcome errkind.Outcome, kind string, at, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[kind]++
	second := &r.seconds[min(int(at/time.Second), len(r.seconds)-1)]
	switch outcome {
	case errkind.Answered:
		second.Answered++
		second.Slowest = max(second.Slowest, took)
		r.observe(q.stream.Service, took)
	case errkind.NotRun:
		second.NotRun++
	default:
		outcome = errkind.Unknown
		second.Unknown++
	}
	if q.id != "" {
		r.postings = append(r.postings, Posting{ID: q.id, Service: q.stream.Service, Outcome: outcome})
	}
	r.history(q)
}

func (r *Result) observe(service string, took time.Duration) {
	h, ok := r.latency[service]
	if !ok {
		h = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		r.latency[service] = h
	}
	_ = h.RecordValue(max(took.Microseconds(), lowestLatency))
}

func (r *Result) history(q request) *keyHistory {
	name := q.stream.Service + "/" + q.stream.Tenant + "/" + q.key
	h, ok := r.keys[name]
	if !ok {
		h = new(keyHistory)
		r.keys[name] = h
	}
	return h
}

// beginProbe notes that a key failed and reports whether it is not being
// probed yet.
func (r *Result) beginProbe(q request, at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history(q)
	if h.failing {
		return false
	}
	h.failing, h.failedSince = true, at
	return true
}

// endProbe notes that a probed key was served again.
func (r *Result) endProbe(q request, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history(q)
	gap := at - h.failedSince
	h.failing = false
	h.unavailable += gap
	h.longest = max(h.longest, gap)
}

// Postings returns the final outcome of every posting.
func (r *Result) Postings() []Posting {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Posting(nil), r.postings...)
}
