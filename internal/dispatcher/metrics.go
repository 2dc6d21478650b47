package dispatcher

import (
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/tenant"
)

// latencyBuckets are the histogram buckets in seconds, from far below the time of
// one network hop to the default deadline.
var latencyBuckets = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.015, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5}

// metrics holds the dispatcher's histograms by service, class and tenant and its
// error counter. tenants bounds the number of tenant label values.
type metrics struct {
	queue   *prometheus.HistogramVec
	service *prometheus.HistogramVec
	errors  *prometheus.CounterVec
	tenants *tenant.Labels
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		queue:   newHistogram("queue_seconds", "Time that a request waited for a slot, in seconds."),
		service: newHistogram("target_seconds", "Time from sending a request to the whole answer of the target, in seconds."),
		errors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "flamingoreel", Subsystem: "dispatcher", Name: "errors_total",
			Help: "Requests that a target did not answer, by error kind.",
		}, []string{"service", "kind"}),
		tenants: tenant.NewLabels(),
	}
	if reg != nil {
		reg.MustRegister(m.queue, m.service, m.errors)
	}
	return m
}

func newHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "flamingoreel", Subsystem: "dispatcher", Name: name, Help: help,
		Buckets: latencyBuckets,
	}, []string{"service", "class", "tenant"})
}

func (m *metrics) observe(h *prometheus.HistogramVec, j *job, d time.Duration) {
	h.WithLabelValues(j.req.Service, string(j.req.Class), m.tenants.For(j.req.Tenant)).Observe(d.Seconds())
}

func (m *metrics) countError(j *job, k errkind.Kind) {
	m.errors.WithLabelValues(j.req.Service, string(k)).Inc()
}

// logFields returns the log fields of a request. They contain no key, because log
// lines may be collected outside the tenant's home regions.
func logFields(j *job) log.Fields {
	return log.Fields{"service": j.req.Service, "target": j.req.Target, "class": string(j.req.Class)}
}
