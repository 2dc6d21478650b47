package vm

import (
	"context"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

// announcementAge is how long heartbeats repeat an announcement to the control
// leader. Targets announce themselves every second.
const announcementAge = 3 * time.Second

// announcements holds the latest announcement of each target at this VM.
type announcements struct {
	mu     sync.Mutex
	latest map[string]announced
}

type announced struct {
	target control.Target
	at     time.Duration
}

func (a *announcements) add(t control.Target, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.latest == nil {
		a.latest = make(map[string]announced)
	}
	a.latest[t.ID] = announced{target: t, at: now}
}

// pending returns the announcements that are not older than announcementAge and
// differ from the control state.
func (a *announcements) pending(now time.Duration, table *control.Table) []control.Target {
	known := make(map[string]control.Target)
	for _, t := range table.Targets() {
		known[t.ID] = t
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []control.Target
	for id, an := range a.latest {
		if now-an.at > announcementAge {
			delete(a.latest, id)
			continue
		}
		if k, ok := known[id]; !ok || k != an.target {
			out = append(out, an.target)
		}
	}
	return out
}

// Announce implements entry.Router.
func (v *VM) Announce(a target.Announcement) *errkind.Error {
	if a.ID == "" || a.Service == "" || a.Address == "" || a.Incarnation == 0 {
		return errkind.New(errkind.BadRequest, "an announcement needs id, service, address and incarnation")
	}
	state := control.TargetState(a.State)
	switch state {
	case control.Cold, control.Warm, control.Leaving:
	default:
		return errkind.New(errkind.BadRequest, "state %q is not cold, warm or draining", a.State)
	}
	v.announcements.add(control.Target{
		ID: a.ID, Service: a.Service, DataCentre: a.DataCentre, Address: a.Address,
		Incarnation: a.Incarnation, ChecksGrants: a.ChecksGrants, Slots: a.Slots, State: state,
	}, v.now())
	return nil
}

// probeTimeout bounds one probe of a target.
const probeTimeout = 100 * time.Millisecond

// probes holds the running probes and their results. The leader requests a
// probe of a target that another VM reports as lost.
type probes struct {
	mu          sync.Mutex
	running     map[string]bool
	probed      []string
	unreachable []string
}

// start probes each target once in the background, unless a probe of it is
// running.
func (p *probes) start(v *VM, ids []string) {
	if len(ids) == 0 {
		return
	}
	addresses := make(map[string]string)
	for _, t := range v.Table().Targets() {
		addresses[t.ID] = t.Address
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		p.running = make(map[string]bool)
	}
	for _, id := range ids {
		if addr, ok := addresses[id]; ok && !p.running[id] {
			p.running[id] = true
			go p.probe(v, id, addr)
		}
	}
}

func (p *probes) probe(v *VM, id, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	client := target.NewClient(addr, 1, v.cfg.DialTarget)
	defer client.Close()
	_, err := client.Grant(ctx, target.GrantRequest{Target: id, VM: v.cfg.Name})
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, id)
	p.probed = append(p.probed, id)
	if err != nil {
		p.unreachable = append(p.unreachable, id)
	}
}

// take returns the results since the previous call.
func (p *probes) take() (probed, unreachable []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probed, unreachable = p.probed, p.unreachable
	p.probed, p.unreachable = nil, nil
	return probed, unreachable
}
