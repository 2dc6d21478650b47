package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/vm"
)

// watchInterval is the interval at which the control state is polled.
const watchInterval = 200 * time.Millisecond

// Monitor polls the control state of the VMs during a run, and reads their processor
// time and control traffic at its start and end, through their admin addresses.
type Monitor struct {
	client *http.Client
	admins []string
	// fences holds the highest fencing token seen for each slice.
	fences map[uint32]uint64
	// churn counts the changes of slice owners since a slice was first seen.
	churn int
	// imbalance holds, by service, the largest ratio of the most slices of a target
	// to the mean over targets.
	imbalance map[string]float64
	// before and after hold the costs of the VMs at the start and the end of the
	// run, by admin URL.
	before map[string]cost
	after  map[string]cost
}

// cost is the processor time and the control traffic of a VM up to a time.
type cost struct {
	cpuSeconds   float64
	controlBytes float64
	at           time.Time
}

// NewMonitor returns a watch of the VMs with the given admin base URLs.
func NewMonitor(admins []string) *Monitor {
	return &Monitor{
		client: &http.Client{Timeout: time.Second}, admins: admins,
		fences: make(map[uint32]uint64), imbalance: make(map[string]float64),
	}
}

// Run polls the VMs until ctx ends.
func (w *Monitor) Run(ctx context.Context) {
	w.before = w.readCosts()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		w.poll()
		select {
		case <-ctx.Done():
			w.after = w.readCosts()
			return
		case <-ticker.C:
		}
	}
}

// poll reads the control state from the first VM that has a valid lease.
func (w *Monitor) poll() {
	for _, admin := range w.admins {
		var s vm.Status
		if w.read(admin+"/v1/status", &s) == nil && s.LeaseValid {
			w.observe(s)
			return
		}
	}
}

// read decodes the JSON response of a URL.
func (w *Monitor) read(url string, into any) error {
	resp, err := w.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// observe counts increases of fencing tokens, each of which is a change of the
// slice's owner, and keeps the highest imbalance of each service: the most slices
// of one target divided by the mean.
func (w *Monitor) observe(s vm.Status) {
	owned, slices := make(map[string]int), make(map[string]int)
	for _, slice := range s.Slices {
		id, fence := uint32(slice.ID), uint64(slice.Fence)
		if last, ok := w.fences[id]; ok && fence > last {
			w.churn += int(fence - last)
		}
		w.fences[id] = max(fence, w.fences[id])
		owned[slice.Target]++
		slices[slice.Service]++
	}
	targets, most := make(map[string]int), make(map[string]int)
	for _, t := range s.Targets {
		if !t.Lost {
			targets[t.Service]++
			most[t.Service] = max(most[t.Service], owned[t.ID])
		}
	}
	for service, n := range targets {
		mean := float64(slices[service]) / float64(n)
		if mean > 0 {
			w.imbalance[service] = max(w.imbalance[service], float64(most[service])/mean)
		}
	}
}

// readCosts reads the processor time and control traffic of all VMs that respond.
func (w *Monitor) readCosts() map[string]cost {
	out := make(map[string]cost)
	for _, admin := range w.admins {
		resp, err := w.client.Get(admin + "/metrics")
		if err != nil {
			continue
		}
		c := cost{at: time.Now()}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			name, value := parseMetric(lines.Text())
			switch {
			case name == "process_cpu_seconds_total":
				c.cpuSeconds = value
			case strings.HasPrefix(name, "flamingoreel_link_bytes_total") && strings.Contains(name, `class="control"`):
				c.controlBytes += value
			}
		}
		_ = resp.Body.Close()
		out[admin] = c
	}
	return out
}

// parseMetric splits one line of the Prometheus text format into the metric with
// its labels and the value. For a comment it returns an empty name.
func parseMetric(line string) (name string, value float64) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", 0
	}
	value, _ = strconv.ParseFloat(line[i+1:], 64)
	return line[:i], value
}
