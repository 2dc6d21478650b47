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

// watchInterval is the time between two looks at the control state.
const watchInterval = 200 * time.Millisecond

// Watch follows the control state and the cost of control through the admin
// addresses of the VMs during a run.
type Watch struct {
	client *http.Client
	admins []string
	fences map[uint32]uint64
	// churn counts changes of the owner of a slice after the first owner.
	churn     int
	imbalance map[string]float64
	before    map[string]cost
	after     map[string]cost
}

// cost is what a VM has spent.
type cost struct {
	cpuSeconds   float64
	controlBytes float64
	at           time.Time
}

// NewWatch returns a watch over the admin base URLs.
func NewWatch(admins []string) *Watch {
	return &Watch{
		client: &http.Client{Timeout: time.Second}, admins: admins,
		fences: make(map[uint32]uint64), imbalance: make(map[string]float64),
	}
}

// Run follows the VMs until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	w.before = w.costs()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		w.look()
		select {
		case <-ctx.Done():
			w.after = w.costs()
			return
		case <-ticker.C:
		}
	}
}

// look reads the control state from the first VM that has a valid lease.
func (w *Watch) look() {
	for _, admin := range w.admins {
		var s vm.Status
		if w.read(admin+"/v1/status", &s) == nil && s.LeaseValid {
			w.note(s)
			return
		}
	}
}

func (w *Watch) read(url string, into any) error {
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

// note counts fence changes and keeps the highest imbalance of each service:
// the most slices of one target over the mean.
func (w *Watch) note(s vm.Status) {
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

// costs reads processor time and control bytes of all VMs that answer.
func (w *Watch) costs() map[string]cost {
	out := make(map[string]cost)
	for _, admin := range w.admins {
		resp, err := w.client.Get(admin + "/metrics")
		if err != nil {
			continue
		}
		c := cost{at: time.Now()}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			name, value := metric(lines.Text())
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

// metric splits one line of the exposition format.
func metric(line string) (name string, value float64) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", 0
	}
	value, _ = strconv.ParseFloat(line[i+1:], 64)
	return line[:i], value
}
