package load

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// quantiles are the quantiles of the latency report, in percent.
var quantiles = []float64{50, 99, 99.9}

// Report writes the results of a run as text. watch may be nil.
func Report(w io.Writer, r *Result, watch *Monitor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeOutcomes(w)
	r.writeLatency(w)
	r.writeUnavailable(w)
	r.writeSeconds(w)
	if watch != nil {
		watch.write(w)
	}
}

func (r *Result) writeOutcomes(w io.Writer) {
	var total Second
	for _, s := range r.seconds {
		total.Answered += s.Answered
		total.NotRun += s.NotRun
		total.Unknown += s.Unknown
	}
	fmt.Fprintf(w, "requests: answered %d, not_run %d, unknown %d, resends of postings %d, not sent %d\n",
		total.Answered, total.NotRun, total.Unknown, r.retries, r.unsent)
	fmt.Fprintf(w, "postings: %d\n", len(r.postings))
	for _, kind := range sortedKeys(r.results) {
		fmt.Fprintf(w, "final answer %s: %d\n", kind, r.results[kind])
	}
}

func (r *Result) writeLatency(w io.Writer) {
	for _, service := range sortedKeys(r.latency) {
		h := r.latency[service]
		fmt.Fprintf(w, "latency %s: n %d", service, h.TotalCount())
		for _, q := range quantiles {
			d := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
			fmt.Fprintf(w, ", p%g %.2f ms", q, float64(d)/float64(time.Millisecond))
		}
		fmt.Fprintln(w)
	}
}

func (r *Result) writeUnavailable(w io.Writer) {
	var sum, longest time.Duration
	affected, open := 0, 0
	for _, h := range r.keys {
		if h.unavailable > 0 {
			affected++
		}
		if h.failing {
			open++
		}
		sum += h.unavailable
		longest = max(longest, h.longest)
	}
	fmt.Fprintf(w, "keys: %d used, %d with failed requests, %d failing at the end, longest unavailable time %.0f ms, sum %.0f ms\n",
		len(r.keys), affected, open, longest.Seconds()*1000, sum.Seconds()*1000)
}

func (r *Result) writeSeconds(w io.Writer) {
	fmt.Fprintln(w, "second answered not_run unknown slowest_ms")
	for i, s := range r.seconds {
		fmt.Fprintf(w, "%6d %8d %7d %7d %10.1f\n", i, s.Answered, s.NotRun, s.Unknown, s.Slowest.Seconds()*1000)
	}
}

func (w *Monitor) write(out io.Writer) {
	fmt.Fprintf(out, "churn: %d changes of a slice's owner\n", w.churn)
	for _, service := range sortedKeys(w.imbalance) {
		fmt.Fprintf(out, "imbalance %s: %.2f (most slices of a target over the mean)\n", service, w.imbalance[service])
	}
	for _, admin := range sortedKeys(w.after) {
		b, ok := w.before[admin]
		a := w.after[admin]
		if seconds := a.at.Sub(b.at).Seconds(); ok && seconds > 0 && a.cpuSeconds >= b.cpuSeconds {
			fmt.Fprintf(out, "VM %s: processor %.1f%% of a core, control %.0f B/s\n",
				admin, 100*(a.cpuSeconds-b.cpuSeconds)/seconds, (a.controlBytes-b.controlBytes)/seconds)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
