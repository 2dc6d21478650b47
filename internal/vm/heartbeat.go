package vm

import (
	"context"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// heartbeatTimeout bounds one heartbeat. A later response could grant only a
// lease that has already expired.
const heartbeatTimeout = contract.VMLease

// leaderHint stores the control leader that the last heartbeat response named.
type leaderHint struct {
	mu   sync.Mutex
	name string
	// grantedAt is the time at which the last granted renewal was received.
	grantedAt time.Duration
}

func (h *leaderHint) update(name string, granted bool, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if name != "" {
		h.name = name
	}
	if granted {
		h.grantedAt = now
	}
}

// get returns the last known leader. recent reports whether the lease was
// renewed within the last two heartbeat intervals.
func (h *leaderHint) get(now time.Duration) (name string, recent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.name, h.name != "" && now-h.grantedAt < 2*contract.HeartbeatInterval
}

// heartbeats sends a heartbeat every interval: to the leader while it renews
// the lease, to all voters while the leader is unknown or unresponsive.
func (v *VM) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(contract.HeartbeatInterval)
	defer ticker.Stop()
	for {
		leader, recent := v.leader.get(v.now())
		if recent {
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

// heartbeat sends one heartbeat and posts the response to the control goroutine.
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
	var renewal control.LeaseRenewal
	if err := wire.Unmarshal(data, &renewal); err != nil {
		return
	}
	v.leader.update(renewal.Leader, renewal.Granted, v.now())
	v.loop.post(func() { v.loop.renewalReceived(renewal) })
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
		Announcements: v.announcements.pending(v.now(), table),
		Probed:        probed,
		Unreachable:   unreachable,
		ReplicaID:     v.loop.replicaID,
	}
}

// self returns the description of this VM that heartbeats carry.
func (v *VM) self() control.VM {
	return control.VM{
		Name: v.cfg.Name, DataCentre: v.cfg.DataCentre, Region: v.cfg.Region,
		LinkAddr: v.cfg.LinkAddr, CallerAddr: v.cfg.CallerAddr,
		Incarnation: v.cfg.Incarnation, Stopping: v.stopping.Load(),
	}
}
