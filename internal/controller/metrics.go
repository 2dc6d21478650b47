package controller

import (
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// waitBuckets are the bounds in seconds of the histograms: from an idle control
// goroutine to the time after which operators ask another VM.
var waitBuckets = []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5}

// Kinds of work of the control goroutine, for its metrics.
const (
	workEvent   = "event"
	workPlan    = "plan"
	workMembers = "members"
	workPersist = "persist"
	workSend    = "send"
	workApply   = "apply"
	workCompact = "compact"
)

// Outcomes of changes beside the names of error kinds.
const (
	outcomeAccepted = "accepted"
	// outcomeVotersMissing is a change that came while too few replicas voted.
	outcomeVotersMissing = "voters_missing"
)

// metrics tell where a call to the control goroutine spends its time.
type metrics struct {
	wait     *prometheus.HistogramVec
	expired  *prometheus.CounterVec
	work     *prometheus.HistogramVec
	changes  *prometheus.CounterVec
	commit   prometheus.Histogram
	answered *prometheus.HistogramVec
}

func newMetrics(registry prometheus.Registerer, queued func() int) *metrics {
	m := &metrics{
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "flamingoreel_control_wait_seconds", Help: "Time of events in the queue of the control goroutine by lane.", Buckets: waitBuckets,
		}, []string{"lane"}),
		expired: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingoreel_control_expired_total", Help: "Events that were dropped because their sender no longer waited, by lane.",
		}, []string{"lane"}),
		work: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "flamingoreel_control_work_seconds", Help: "Time that the control goroutine spends on one piece of work.", Buckets: waitBuckets,
		}, []string{"work"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingoreel_control_changes_total", Help: "Attempts to commit a change of the operators at the leader by outcome.",
		}, []string{"outcome"}),
		commit: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "flamingoreel_control_commit_seconds", Help: "Time of accepted changes from their arrival at the leader to their commit.", Buckets: waitBuckets,
		}),
		answered: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "flamingoreel_control_change_seconds", Help: "Time to the answer of a change at the VM that was asked by outcome.", Buckets: waitBuckets,
		}, []string{"outcome"}),
	}
	if registry != nil {
		registry.MustRegister(m.wait, m.expired, m.work, m.changes, m.commit, m.answered, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "flamingoreel_control_queue_length", Help: "Events that wait for the control goroutine.",
		}, func() float64 { return float64(queued()) }))
	}
	return m
}

// outcome names the result of a change.
func outcome(failure *errkind.Error) string {
	switch failure {
	case nil:
		return outcomeAccepted
	case errVotersMissing:
		return outcomeVotersMissing
	}
	return string(failure.Kind)
}

// slowTurn is the length of a turn of the control goroutine that is logged. It
// is a fourth of the leader's lease.
const slowTurn = 100 * time.Millisecond

// turn adds up the work of the control goroutine between two waits.
type turn struct {
	begun  time.Duration
	events int
	// longest is the longest piece of work.
	longest     string
	longestTime time.Duration
}

// timed runs one piece of work of the control goroutine and measures it.
func (l *loop) timed(work string, run func()) {
	begun := l.c.now()
	run()
	took := l.c.now() - begun
	l.c.metrics.work.WithLabelValues(work).Observe(took.Seconds())
	if took > l.turn.longestTime {
		l.turn.longest, l.turn.longestTime = work, took
	}
}

// endTurn logs a turn that kept all callers of the control goroutine waiting.
func (l *loop) endTurn() {
	if took := l.c.now() - l.turn.begun; took >= slowTurn {
		l.logger.WithFields(log.Fields{
			"took": took, "events": l.turn.events, "queued": l.events.length(), "longest": l.turn.longest, "longest_time": l.turn.longestTime,
		}).Warn("control goroutine was busy")
	}
}
