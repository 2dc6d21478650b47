package vm

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/record"
)

// collector exports the counters of links, records and control state.
type collector struct {
	v *VM

	leading, lostTargets, slices *prometheus.Desc

	linkBytes, linkFrames, linkDropped, linkRefused, linkConnects, badFrames *prometheus.Desc
	recordBytes, records, leaseValid, version, configNumber, contracts       *prometheus.Desc
	storageFailed, recordStarts                                              *prometheus.Desc
}

func newDesc(subsystem, name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName("flamingoreel", subsystem, name), help, labels, nil)
}

// registerMetrics registers the collector of the VM.
func (v *VM) registerMetrics() {
	if v.cfg.Registry == nil {
		return
	}
	v.cfg.Registry.MustRegister(&collector{
		v:             v,
		linkBytes:     newDesc("link", "bytes_total", "Bytes on links between VMs.", "peer", "class", "direction"),
		linkFrames:    newDesc("link", "frames_total", "Frames on links between VMs.", "peer", "class", "direction"),
		linkDropped:   newDesc("link", "dropped_total", "One-way messages that were not sent.", "peer", "class"),
		linkRefused:   newDesc("link", "refused_total", "Requests refused because too many handlers of the peer are running.", "peer", "class"),
		linkConnects:  newDesc("link", "connects_total", "Connections established to a peer.", "peer"),
		badFrames:     newDesc("link", "closed_total", "Connections closed because of what the peer sent.", "reason"),
		recordBytes:   newDesc("record", "bytes", "Memory accounted to request records in bytes."),
		records:       newDesc("record", "entries", "Request records held."),
		recordStarts:  newDesc("record", "starts_total", "Calls to start a request record by the resulting state.", "state"),
		leaseValid:    newDesc("control", "lease_valid", "1 while this VM holds a valid lease."),
		version:       newDesc("control", "version", "Index of the last applied command."),
		configNumber:  newDesc("control", "config_number", "Number of the applied configuration."),
		contracts:     newDesc("control", "contracts", "Targets to which this VM dispatches requests."),
		leading:       newDesc("control", "leading", "1 while this VM acts as control leader."),
		lostTargets:   newDesc("control", "lost_targets", "Targets whose grant expired without an answer."),
		slices:        newDesc("control", "slices", "Slices by phase of their assignment.", "phase"),
		storageFailed: newDesc("control", "storage_failed", "1 after a failed write to the data directory."),
	})
}

// collectTable exports the lost targets and the phases of the slices in the
// current routing table.
func (c *collector) collectTable(out chan<- prometheus.Metric) {
	table := c.v.Table()
	lost := 0
	for _, t := range table.Targets() {
		if t.Lost {
			lost++
		}
	}
	out <- prometheus.MustNewConstMetric(c.lostTargets, prometheus.GaugeValue, float64(lost))
	phases := map[contract.Phase]int{contract.Unassigned: 0, contract.Owned: 0, contract.Draining: 0, contract.Held: 0}
	for _, a := range table.Assignments() {
		phases[a.Assignment.Phase]++
	}
	for phase, n := range phases {
		out <- prometheus.MustNewConstMetric(c.slices, prometheus.GaugeValue, float64(n), phase.String())
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descs chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descs)
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	c.collectLinks(out, c.v.links.Stats())
	c.collectRecords(out, c.v.store.Stats())
	c.collectTable(out)
	gauge := func(d *prometheus.Desc, value float64) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value)
	}
	gauge(c.leaseValid, boolToFloat(c.v.LeaseValid()))
	gauge(c.version, float64(c.v.version.Load()))
	gauge(c.configNumber, float64(c.v.Table().ConfigNumber()))
	gauge(c.contracts, float64(c.v.dispatcher.ContractCount()))
	gauge(c.leading, boolToFloat(c.v.loop.leads.Load()))
	gauge(c.storageFailed, boolToFloat(c.v.loop.storageFailed.Load()))
}

func (c *collector) collectLinks(out chan<- prometheus.Metric, s link.Stats) {
	counter := func(d *prometheus.Desc, value uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	for _, p := range s.Peers {
		class := p.Class.String()
		counter(c.linkBytes, p.BytesIn, p.Peer, class, "in")
		counter(c.linkBytes, p.BytesOut, p.Peer, class, "out")
		counter(c.linkFrames, p.FramesIn, p.Peer, class, "in")
		counter(c.linkFrames, p.FramesOut, p.Peer, class, "out")
		counter(c.linkDropped, p.Dropped, p.Peer, class)
		counter(c.linkRefused, p.Refused, p.Peer, class)
		if p.Class == link.Control {
			counter(c.linkConnects, p.Connects, p.Peer)
		}
	}
	for reason, n := range s.ClosedByReason {
		counter(c.badFrames, n, reason)
	}
}

func (c *collector) collectRecords(out chan<- prometheus.Metric, s record.Stats) {
	out <- prometheus.MustNewConstMetric(c.recordBytes, prometheus.GaugeValue, float64(s.Bytes))
	out <- prometheus.MustNewConstMetric(c.records, prometheus.GaugeValue, float64(s.Records))
	for state, n := range s.Starts {
		out <- prometheus.MustNewConstMetric(c.recordStarts, prometheus.CounterValue, float64(n), state.String())
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
