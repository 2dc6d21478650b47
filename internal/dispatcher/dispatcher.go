// Package dispatcher sends all requests to the targets that this VM has a
// dispatch contract for. It renews the targets' grants, admits requests, keeps
// the records of non-idempotent requests and reports to the control leader.
package dispatcher

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/record"
)

// LateResponseTimeout is how long after the deadline of a non-idempotent request the
// dispatcher still waits for the target's response, to store it in the record.
const LateResponseTimeout = 30 * time.Second

// Config holds the settings and dependencies of a Dispatcher.
type Config struct {
	VM          string
	Incarnation uint64
	Region      string
	// Now returns the monotonic time since the process started.
	Now func() time.Duration
	// LeaseValid reports whether the VM holds a valid lease and may send work.
	LeaseValid func() bool
	// Table returns the current routing table.
	Table   func() *control.Table
	Records *record.Coordinator
	// ShareSuspicions sends crash suspicions to the other VMs.
	ShareSuspicions func([]admission.Suspicion)
	// Dial replaces TCP when it is not nil.
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	Logger   log.Interface
	Registry prometheus.Registerer
}

// Dispatcher owns one worker for each target that this VM dispatches.
type Dispatcher struct {
	cfg     Config
	crashes *admission.Crashes
	metrics *metrics

	mu      sync.RWMutex
	workers map[string]*worker
	// background counts the non-idempotent requests in flight, including those
	// whose deadline has passed.
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns a dispatcher without contracts.
func New(cfg Config) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		cfg:     cfg,
		crashes: admission.NewCrashes(),
		metrics: newMetrics(cfg.Registry),
		workers: make(map[string]*worker),
		ctx:     ctx,
		cancel:  cancel,
	}
}

// Update starts, updates and stops workers to match the routing table. The
// control goroutine calls it after each change of the table.
func (d *Dispatcher) Update(table *control.Table) {
	contracts := table.Contracts(d.cfg.VM, d.cfg.Incarnation)
	d.mu.Lock()
	defer d.mu.Unlock()
	held := make(map[string]bool, len(contracts))
	for _, c := range contracts {
		held[c.Target.ID] = true
		d.updateWorker(c)
	}
	for id, w := range d.workers {
		if !held[id] {
			w.stop()
			delete(d.workers, id)
		}
	}
}

// updateWorker starts, updates or replaces the worker of one contract. A new
// incarnation, epoch or address gets a new worker, because the clock readings
// and grants of the earlier one do not apply to it.
func (d *Dispatcher) updateWorker(c control.Contract) {
	w := d.workers[c.Target.ID]
	if w != nil && w.matches(c) {
		w.update(c)
		return
	}
	if w != nil {
		w.stop()
	}
	w = newWorker(d, c)
	d.workers[c.Target.ID] = w
	go w.run(d.ctx)
}

func (d *Dispatcher) worker(target string) *worker {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.workers[target]
}

// Reports returns the reports on the targets for the next heartbeat. It omits
// targets whose last renewal was not sent for lack of a lease.
func (d *Dispatcher) Reports() []control.TargetReport {
	d.mu.RLock()
	defer d.mu.RUnlock()
	reports := make([]control.TargetReport, 0, len(d.workers))
	for _, w := range d.workers {
		if r, known := w.report(); known {
			reports = append(reports, r)
		}
	}
	return reports
}

// ContractCount returns the number of targets that this VM dispatches.
func (d *Dispatcher) ContractCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.workers)
}

// MergeSuspicions applies crash suspicions received from another VM.
func (d *Dispatcher) MergeSuspicions(s []admission.Suspicion) { d.crashes.Merge(d.cfg.Now(), s) }

// WaitBackground waits until no non-idempotent request is in flight or ctx ends.
func (d *Dispatcher) WaitBackground(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close stops all workers.
func (d *Dispatcher) Close() {
	d.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, w := range d.workers {
		w.stop()
		delete(d.workers, id)
	}
}
