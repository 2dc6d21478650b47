package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// latencyBuckets are the bounds of the latency histograms in seconds: from a
// fast response to the longest deadline of the deployments.
var latencyBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10}

// metrics counts requests by outcome and kind of route, and attempts by
// outcome.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	sends    *prometheus.CounterVec
	// unavailable counts the requests that were refused because of what targets
	// said about further requests.
	unavailable *prometheus.CounterVec
	probes      prometheus.Counter
	// lateProbes counts the requests that were sent although their response was expected
	// after the deadline.
	lateProbes prometheus.Counter
	faults     prometheus.Counter
	// abandoned counts the requests whose callers were found to have left right before
	// a send.
	abandoned prometheus.Counter
	// relayed counts requests relayed for this VM (sent) and by it (received).
	relayed    *prometheus.CounterVec
	pathChecks *prometheus.CounterVec
	// crashChecks counts the checks whether a target crashed by outcome, and
	// suspicions the crash suspicions that were recorded by this VM, received from
	// others or cleared by it.
	crashChecks *prometheus.CounterVec
	suspicions  *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingoreel_gateway_requests_total", Help: "Requests by kind of their route and outcome.",
		}, []string{"kind", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "flamingoreel_gateway_latency_seconds", Help: "Time to the final response by kind of the route.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingoreel_gateway_sends_total", Help: "Requests sent to targets by outcome.",
		}, []string{"outcome"}),
		unavailable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingoreel_gateway_unavailable_total", Help: "Requests refused because the targets that may run them are leaving, paused or limited.",
		}, []string{"service", "reason"}),
		probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingoreel_gateway_probes_total", Help: "Health checks of targets that failed before.",
		}),
		lateProbes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingoreel_gateway_late_probes_total", Help: "Requests sent although their response was expected too late, to notice that a target has recovered.",
		}),
		faults: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingoreel_gateway_faults_total", Help: "Panics that were caught.",
		}),
		abandoned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingoreel_gateway_abandoned_total", Help: "Requests that were not sent because their callers had left.",
		}),
	}
	m.relayed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingoreel_gateway_relayed_total", Help: "Requests relayed by other entry VMs (sent) and for them (received) by outcome.",
	}, []string{"direction", "outcome"})
	m.pathChecks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingoreel_gateway_path_checks_total", Help: "Checks whether this VM reaches targets by outcome.",
	}, []string{"outcome"})
	m.crashChecks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingoreel_gateway_crash_checks_total", Help: "Checks whether a target that lost a request crashed, by outcome.",
	}, []string{"outcome"})
	m.suspicions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingoreel_gateway_crash_suspicions_total", Help: "Suspicions that a request crashed a target: recorded by this VM, received from others, or cleared by it.",
	}, []string{"event"})
	if registry != nil {
		registry.MustRegister(m.requests, m.latency, m.sends, m.unavailable, m.probes, m.lateProbes, m.faults, m.abandoned, m.relayed, m.pathChecks, m.crashChecks, m.suspicions)
	}
	return m
}

// registerPath registers the gauges of the path to targets.
func (m *metrics) registerPath(registry prometheus.Registerer, g *Gateway) {
	if registry == nil {
		return
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "flamingoreel_gateway_path_state", Help: "Path of requests to targets: 0 direct, 1 isolated (relayed), 2 returning.",
	}, func() float64 { return float64(g.pathState()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "flamingoreel_gateway_targets_reached", Help: "Targets that responded to this VM within the last second.",
	}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.path.AnsweredTargets(g.now()))
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "flamingoreel_gateway_undecided_losses", Help: "Lost requests of which it is not known yet whether their target crashed.",
	}, func() float64 { return float64(g.crashes.CountUndecided(g.now())) }), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "flamingoreel_gateway_dropped_losses_total", Help: "Lost requests that did not count as crashes: the target lived on, the request completed, or no evidence came.",
	}, func() float64 { return float64(g.crashes.CountDropped()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "flamingoreel_gateway_known_crashers", Help: "Fingerprints of requests that are refused because they crash targets.",
	}, func() float64 { return float64(g.crashes.CountRefused(g.now())) }))
}
