package vm

import (
	"context"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// heartbeatTimeout bounds one heartbeat; a later answer could only give a
// lease that has run out.
const heartbeatTimeout = contract.VMLease

// leaderHint remembers which VM answered last as control leader.
type leaderHint struct {
	mu   sync.Mutex
	name string
	// granted is the time of the last granted renewal.
	granted time.Duration
}

func (h *leaderHint) note(name string, granted bool, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if name != "" {
		h.name = name
	}
	if granted {
		h.granted = now
	}
}

// get returns the hint and whether it renewed the lease recently.
func (h *leaderHint) get(now time.Duration) (name string, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.name, h.name != "" && now-h.granted < 2*contract.HeartbeatInterval
}

// heartbeats sends a heartbeat every interval: to the leader while it answers,
// to all voters while it is not known or silent.
func (v *VM) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(contract.HeartbeatInterval)
	defer ticker.Stop()
	for {
		leader, fresh := v.leader.get(v.now())
		if fresh {
			go v.heartbeat(ctx, leader)
		} else {
			for _, voter := range v.cfg.Voters {
				go v.heartbeat(ctx, voter)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// heartbeat sends one heartbeat and hands the answer to the control goroutine.
func (v *VM) heartbeat(ctx context.Context, to string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	hb := v.buildHeartbeat()
	payload, err := wire.Marshal(hb)
	if err != nil {
		return
	}
	data, err := v.links.Call(ctx, to, methodHeartbeat, payload)
	if err != nil {
		return
	}
	var renewal control.Renewal
	if err := wire.Unmarshal(data, &renewal); err != nil {
		return
	}
	v.leader.note(renewal.Leader, renewal.Granted, v.now())
	v.loop.post(func() { v.loop.renewed(renewal) })
	v.probes.start(v, renewal.Probe)
}

func (v *VM) buildHeartbeat() control.Heartbeat {
	table := v.Table()
	probed, unreachable := v.probes.take()
	return control.Heartbeat{
		VM:            v.self(),
		SentAt:        v.now(),
		Version:       v.version.Load(),
		ConfigNumber:  table.ConfigNumber(),
		Reports:       v.dispatcher.Reports(),
		Announcements: v.announcements.fresh(v.now(), table),
		Probed:        probed,
		Unreachable:   unreachable,
		ReplicaID:     v.loop.replicaID,
	}
}

// self describes this VM.
func (v *VM) self() control.VM {
	return control.VM{
		Name: v.cfg.Name, DataCentre: v.cfg.DataCentre, Region: v.cfg.Region,
		LinkAddr: v.cfg.LinkAddr, CallerAddr: v.cfg.CallerAddr,
		Incarnation: v.cfg.Incarnation, Stopping: v.stopping.Load(),
	}
}
