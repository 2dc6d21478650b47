package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/relay"
	"github.com/flamingoreel/flamingoreel/internal/tenant"
)

// requestBuckets are the bounds of the histogram buckets in seconds, up to
// maxDeadline.
var requestBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.015, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 15, 60}

// metrics holds the metrics of an entry. The number of tenants with a label of
// their own is bounded.
type metrics struct {
	duration *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
	tenants  *tenant.Labels
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "flamingoreel", Subsystem: "entry", Name: "request_seconds",
			Help:    "Time from the arrival of a request to its complete response, in seconds.",
			Buckets: requestBuckets,
		}, []string{"class", "tenant"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "flamingoreel", Subsystem: "entry", Name: "outcomes_total",
			Help: "Responses to callers by outcome and error kind.",
		}, []string{"outcome", "kind"}),
		tenants: tenant.NewLabels(),
	}
	if reg != nil {
		reg.MustRegister(m.duration, m.outcomes)
	}
	return m
}

// observe counts one response. A failed request is counted without its tenant:
// it may have been refused before its residency was checked, and the name of a
// tenant must never appear in the metrics of a VM outside its home regions.
func (m *metrics) observe(req *relay.Request, err *errkind.Error, d time.Duration) {
	if err == nil {
		m.outcomes.WithLabelValues(string(errkind.Answered), "").Inc()
		m.duration.WithLabelValues(string(req.Class), m.tenants.For(req.Tenant)).Observe(d.Seconds())
		return
	}
	m.outcomes.WithLabelValues(string(err.Outcome()), string(err.Kind)).Inc()
}
