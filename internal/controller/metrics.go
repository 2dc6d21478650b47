package controller

import (
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// waitBuckets are the bucket bounds of the histograms in seconds. They range from
// the wait at an idle control goroutine to beyond the second after which operators
// try another VM.
var waitBuckets = []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5}

// Kinds of work of the control goroutine, as values of the metric label "work".
const (
	workEvent   = "event"
	workPlan    = "plan"
	workMembers = "members"
	workPersist = "persist"
	workSend    = "send"
	workApply   = "apply"
	workCompact = "compact"
)

// Outcomes of changes other than the names of error kinds.
const (
	outcomeAccepted = "accepted"
	// outcomeVotersMissing is the outcome of a change that arrived while there were
	// too few voters.
	outcomeVotersMissing = "voters_missing"
)

// metrics are the metrics of the control goroutine and of changes. They show where
// a call spends its time.
type metrics struct {
	wait     *prometheus.HistogramVec
	expired  *prometheus.CounterVec
	work     *prometheus.HistogramVec
	changes  *prometheus.CounterVec
	commit   prometheus.Histogram
	answered *prometheus.HistogramVec
	// oddHeartbeats counts heartbeats that were refused because of their values.
	oddHeartbeats prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, queued func() int) *metrics {
	m := &metrics{
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "flamingoreel_control_wait_seconds", Help: "Time that events spend in the queue of the control goroutine, by lane.", Buckets: waitBuckets,
		}, []string{"lane"}),
		expired: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingoreel_control_expired_total", Help: "Events dropped because their caller had given up, by lane.",
		}, []string{"lane"}),
		work: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "flamingoreel_control_work_seconds", Help: "Time that the control goroutine spends on one piece of work, by kind.", Buckets: waitBuckets,
		}, []string{"work"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingoreel_control_changes_total", Help: "Attempts of the leader to commit an operator's change, by outcome.",
		}, []string{"outcome"}),
		commit: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "flamingoreel_control_commit_seconds", Help: "Time from the arrival of an accepted change at the leader to its commit.", Buckets: waitBuckets,
		}),
		answered: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "flamingoreel_control_change_seconds", Help: "Time from the request for a change to the response at the VM that received it, by outcome.", Buckets: waitBuckets,
		}, []string{"outcome"}),
	}
	m.oddHeartbeats = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "flamingoreel_control_odd_heartbeats_total", Help: "Heartbeats refused because their values describe no target.",
	})
	if registry != nil {
		registry.MustRegister(m.wait, m.expired, m.work, m.changes, m.commit, m.answered, m.oddHeartbeats, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "flamingoreel_control_queue_length", Help: "Events queued for the control goroutine.",
		}, func() float64 { return float64(queued()) }))
	}
	return m
}

// outcome returns the name of a change's result, for metrics and logs.
func outcome(failure *errkind.Error) string {
	switch failure {
	case nil:
		return outcomeAccepted
	case errVotersMissing:
		return outcomeVotersMissing
	}
	return string(failure.Kind)
}

// slowIteration is the duration from which an iteration of the control goroutine
// is logged, about a quarter of leaderLease.
const slowIteration = 100 * time.Millisecond

// iteration records the work of the control goroutine between two waits.
type iteration struct {
	start  time.Duration
	events int
	// longest is the kind of the piece of work that took longest, longestTime its
	// duration.
	longest     string
	longestTime time.Duration
}

// timed runs one piece of work of the control goroutine and records its duration.
func (l *loop) timed(work string, run func()) {
	start := l.c.now()
	run()
	took := l.c.now() - start
	l.c.metrics.work.WithLabelValues(work).Observe(took.Seconds())
	if took > l.iteration.longestTime {
		l.iteration.longest, l.iteration.longestTime = work, took
	}
}

// logSlowIteration logs an iteration that kept all callers of the control
// goroutine waiting for slowIteration or longer.
func (l *loop) logSlowIteration() {
	if took := l.c.now() - l.iteration.start; took >= slowIteration {
		l.logger.WithFields(log.Fields{
			"took": took, "events": l.iteration.events, "queued": l.events.length(), "longest": l.iteration.longest, "longest_time": l.iteration.longestTime,
		}).Warn("control goroutine was busy")
	}
}
