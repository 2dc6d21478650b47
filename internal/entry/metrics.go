package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/relay"
	"github.com/flamingoreel/flamingoreel/internal/tenant"
)

// totalBuckets are in seconds, up to the longest deadline a caller may ask for.
var totalBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.015, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 15, 60}

// metrics are the entry's histograms per class and bounded tenant.
type metrics struct {
	total    *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
	tenants  *tenant.Labels
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "flamingoreel", Subsystem: "entry", Name: "request_seconds",
			Help:    "Time from a request's arrival to its whole answer, in seconds.",
			Buckets: totalBuckets,
		}, []string{"class", "tenant"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "flamingoreel", Subsystem: "entry", Name: "outcomes_total",
			Help: "Answers to callers by outcome and error kind.",
		}, []string{"outcome", "kind"}),
		tenants: tenant.NewLabels(),
	}
	if reg != nil {
		reg.MustRegister(m.total, m.outcomes)
	}
	return m
}

// observe counts one answer. Requests refused before their residency was
// checked carry no tenant label, so that the name of a tenant never appears
// in the metrics of a VM outside its home regions.
func (m *metrics) observe(req *relay.Request, err *errkind.Error, d time.Duration) {
	if err == nil {
		m.outcomes.WithLabelValues(string(errkind.Answered), "").Inc()
		m.total.WithLabelValues(string(req.Class), m.tenants.For(req.Tenant)).Observe(d.Seconds())
		return
	}
	m.outcomes.WithLabelValues(string(err.Outcome()), string(err.Kind)).Inc()
}
