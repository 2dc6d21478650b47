package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Bounds of the latency histograms in microseconds, and their precision in
// significant digits.
const (
	lowestLatency  = 1
	highestLatency = int64(2 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Second counts the requests that started in one second by their outcome.
type Second struct {
	Answered, NotRun, Unknown int
	// Slowest is the longest time of an answered request, retries included.
	Slowest time.Duration
}

// PostResult is the final outcome of one POST request.
type PostResult struct {
	// ID is the idempotency key.
	ID      string          `json:"id"`
	Service string          `json:"service"`
	Outcome errkind.Outcome `json:"outcome"`
}

// Result holds the results of a run as callers observe them. It is safe for
// concurrent use during the run.
type Result struct {
	mu       sync.Mutex
	seconds  []Second
	latency  map[string]*hdrhistogram.Histogram
	results  map[string]int
	keys     map[string]*keyHistory
	postings []PostResult
	retries  int
	unsent   int
}

// keyHistory measures the time in which one key was unavailable: from the start
// of a failed request to the end of the first answered probe after it. Times are
// relative to the start of the run.
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

// countUnsent counts a request that was not sent because too many were in flight.
func (r *Result) countUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

// countRetry counts a retry of a POST request.
func (r *Result) countRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries++
}

// add counts one request with its final outcome. The request started at the given
// time after the start of the run and took the time latency, retries included.
func (r *Result) add(q request, outcome errkind.Outcome, kind string, at, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[kind]++
	second := &r.seconds[min(int(at/time.Second), len(r.seconds)-1)]
	switch outcome {
	case errkind.Answered:
		second.Answered++
		second.Slowest = max(second.Slowest, latency)
		r.observe(q.stream.Service, latency)
	case errkind.NotRun:
		second.NotRun++
	default:
		outcome = errkind.Unknown
		second.Unknown++
	}
	if q.id != "" {
		r.postings = append(r.postings, PostResult{ID: q.id, Service: q.stream.Service, Outcome: outcome})
	}
	r.history(q)
}

// observe adds a latency to the histogram of the service.
func (r *Result) observe(service string, latency time.Duration) {
	h, ok := r.latency[service]
	if !ok {
		h = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		r.latency[service] = h
	}
	_ = h.RecordValue(max(latency.Microseconds(), lowestLatency))
}

// history returns the history of the request's key.
func (r *Result) history(q request) *keyHistory {
	name := q.stream.Service + "/" + q.stream.Tenant + "/" + q.key
	h, ok := r.keys[name]
	if !ok {
		h = new(keyHistory)
		r.keys[name] = h
	}
	return h
}

// beginProbe marks the key of a failed request as failing. It reports false if the
// key was failing before, so that it is already probed or its probes have ended.
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

// endProbe records that a probed key is available again and adds the time in which
// it was unavailable.
func (r *Result) endProbe(q request, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history(q)
	gap := at - h.failedSince
	h.failing = false
	h.unavailable += gap
	h.longest = max(h.longest, gap)
}

// PostResults returns the final outcome of every POST request.
func (r *Result) PostResults() []PostResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]PostResult(nil), r.postings...)
}
