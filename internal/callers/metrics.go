package callers

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/clock"
)

// counts counts what was closed or refused because of the limits.
type counts struct {
	closed       [phases]uint64
	refusedHeads uint64
}

// String returns the metric label of the phase.
func (p phase) String() string { return [...]string{"reading", "receiving", "serving", "idle"}[p] }

// collector exports the state of the connections of one listener.
type collector struct {
	conns                                                *Connections
	open, bound, headMemory, headBound, closed, tooLarge *prometheus.Desc
}

// Collector returns the metrics of the connections with the name of their listener.
func (c *Connections) Collector(listener string) prometheus.Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, prometheus.Labels{"listener": listener})
	}
	return &collector{
		conns:      c,
		open:       desc("flamingoreel_connections", "Open connections by what they are doing.", "phase"),
		bound:      desc("flamingoreel_connections_bound", "Largest number of open connections; 0 for no bound."),
		headMemory: desc("flamingoreel_head_memory_bytes", "Estimated memory of heads beyond the usual size."),
		headBound:  desc("flamingoreel_head_memory_bound_bytes", "Bound of the memory of heads; 0 for no bound."),
		closed:     desc("flamingoreel_connections_closed_total", "Connections closed because of a bound by what they were doing.", "phase"),
		tooLarge:   desc("flamingoreel_heads_refused_total", "Heads refused while they arrived because they exceed the limit."),
	}
}

// Describe implements prometheus.Collector.
func (m *collector) Describe(to chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{m.open, m.bound, m.headMemory, m.headBound, m.closed, m.tooLarge} {
		to <- desc
	}
}

// Collect implements prometheus.Collector.
func (m *collector) Collect(to chan<- prometheus.Metric) {
	c := m.conns
	c.mu.Lock()
	defer c.mu.Unlock()
	gauge := func(desc *prometheus.Desc, value int64, labels ...string) {
		to <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
	}
	counter := func(desc *prometheus.Desc, value uint64, labels ...string) {
		to <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	for p := range phases {
		gauge(m.open, int64(c.roster.byPhase[p].Len()), p.String())
		counter(m.closed, c.counts.closed[p], p.String())
	}
	gauge(m.bound, int64(c.roster.bound.Connections))
	gauge(m.headMemory, c.roster.headMemory)
	gauge(m.headBound, c.roster.bound.HeadMemory)
	counter(m.tooLarge, c.counts.refusedHeads)
}

// reportInterval is the least time between two log lines of a listener.
const reportInterval = 10 * time.Second

// Report logs when connections begin and cease to exceed the limits, until ctx ends.
func (c *Connections) Report(ctx context.Context, listener string, logger log.Interface) {
	var last counts
	exceeded := false
	for clock.Sleep(ctx, reportInterval) {
		c.mu.Lock()
		now, open := c.counts, c.roster.count
		c.mu.Unlock()
		if changed := now != last; changed != exceeded {
			exceeded = changed
			entry := logger.WithFields(log.Fields{
				"listener": listener, "connections": open, "bound": c.roster.bound.Connections,
				"closed_reading": now.closed[reading] - last.closed[reading], "closed_receiving": now.closed[receiving] - last.closed[receiving],
				"closed_idle":   now.closed[idle] - last.closed[idle],
				"heads_refused": now.refusedHeads - last.refusedHeads,
			})
			if exceeded {
				entry.Warn("connections exceed limits")
			} else {
				entry.Info("connections within limits")
			}
		}
		last = now
	}
}
