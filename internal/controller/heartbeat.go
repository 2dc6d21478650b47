package controller

import (
	"context"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/registry"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// heartbeatRequest is a heartbeat that a VM forwards to the leader.
type heartbeatRequest struct {
	Heartbeat registry.Heartbeat `msgpack:"b"`
	// ShardMapRevision is the revision of the service's shard map at the forwarding VM, 0 if
	// it has none.
	ShardMapRevision uint64 `msgpack:"s"`
}

// heartbeatResponse is the leader's response to a heartbeat.
type heartbeatResponse struct {
	Grant registry.Grant `msgpack:"g"`
	// RowsOmitted says that the rows of the grant are omitted because the forwarding VM
	// has them at the revision that it sent. A target holds dozens of rows, and
	// most heartbeats cross regions.
	RowsOmitted bool `msgpack:"k"`
}

// localView is what the local state contains about a target.
type localView struct {
	// redundant says that the heartbeat need not be forwarded to the leader.
	redundant bool
	// revision is the revision of the shard map of the target's service, rows are
	// the rows that it assigns to the target.
	revision uint64
	rows     []fleet.Row
}

// localView looks up the sender of a heartbeat in the local state.
func (c *Controller) localView(ctx context.Context, b registry.Heartbeat) (localView, *errkind.Error) {
	return call(ctx, c.loop, heartbeatLane(b), func(views chan<- localView) {
		shard, _ := c.loop.state.ShardMap(b.Target.Service)
		views <- localView{
			redundant: c.loop.redundant(b) && !c.loop.refreshDue(c.now(), b.Target.Incarnation), revision: shard.Revision, rows: registry.HeldRows(shard, b.Target.Incarnation),
		}
	})
}

// heartbeatLane returns the lane of a heartbeat. Heartbeats of targets that stop
// taking work are urgent, because such a target waits for the acknowledgement
// before it exits.
func heartbeatLane(b registry.Heartbeat) lane {
	if b.Target.Condition > fleet.Ready {
		return urgent
	}
	return routine
}

// heartbeatResult is the response to a heartbeat, or the reason why there is none.
type heartbeatResult struct {
	response heartbeatResponse
	// done, if not nil, receives the result of the command that must be committed
	// before the heartbeat is acknowledged.
	done <-chan *errkind.Error
	err  *errkind.Error
}

// handleHeartbeat handles a heartbeat on the leader. If it reports that the target
// stops taking work, it is acknowledged only after that is committed, because the
// acknowledgement is binding for all entry VMs.
func (c *Controller) handleHeartbeat(ctx context.Context, payload []byte) ([]byte, error) {
	var req heartbeatRequest
	if err := wire.Unmarshal(payload, &req); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "heartbeat cannot be read")
	}
	// The VM that forwards it may be of an earlier build.
	if err := req.Heartbeat.Check(); err != nil {
		c.metrics.oddHeartbeats.Inc()
		return nil, errkind.Wrap(errkind.BadRequest, err, "heartbeat of %.64q names", req.Heartbeat.Target.ID)
	}
	req.Heartbeat = req.Heartbeat.WithoutOddRows()
	r, failure := call(ctx, c.loop, heartbeatLane(req.Heartbeat), func(results chan<- heartbeatResult) { results <- c.loop.heartbeat(req) })
	if failure != nil {
		return nil, failure
	}
	if r.err != nil {
		return nil, r.err
	}
	if r.done != nil {
		committed, failure := await(ctx, r.done)
		if failure != nil {
			return nil, failure
		}
		if committed != nil {
			return nil, committed
		}
	}
	return wire.Marshal(&r.response)
}

// heartbeat evaluates a heartbeat and proposes the resulting commands. It runs on
// the control goroutine.
func (l *loop) heartbeat(req heartbeatRequest) heartbeatResult {
	now := l.c.now()
	if !l.leading(now) {
		return heartbeatResult{err: errNotLeading}
	}
	b := req.Heartbeat
	if b.Target.Condition >= fleet.Leaving {
		left, current := l.leavingRecord(b.Target)
		if !current {
			return heartbeatResult{}
		}
		b.Target = left
	}
	grant, commands := l.registry.HandleHeartbeat(now, l.state, b)
	result := heartbeatResult{response: l.omitKnownRows(grant, b.Target.Service, req.ShardMapRevision)}
	for _, cmd := range commands {
		var done chan *errkind.Error
		if len(cmd.Targets) > 0 {
			t := cmd.Targets[0]
			l.logger.WithFields(log.Fields{
				"target": t.ID, "service": t.Service, "address": t.Address, "condition": t.Condition.String(), "cold_for": t.ColdFor,
			}).Info("target changed")
			if t.Condition > fleet.Ready {
				done = make(chan *errkind.Error, 1)
				result.done = done
			}
		}
		l.propose(now, cmd, done)
	}
	return result
}

// leavingRecord returns what to record for an incarnation that leaves. An unknown
// incarnation is recorded as well, because a heartbeat that it sent earlier may
// still arrive. It reports false for an incarnation that a later one has replaced.
func (l *loop) leavingRecord(t fleet.Target) (fleet.Target, bool) {
	known, ok := l.state.Target(t.ID)
	switch {
	case !ok || t.StartMs > known.StartMs:
		return fleet.Target{Incarnation: t.Incarnation, Condition: fleet.Leaving}, true
	case t.StartMs != 0 && t.StartMs < known.StartMs:
		return fleet.Target{}, false
	}
	known.Condition, known.ColdFor = fleet.Leaving, 0
	return known, true
}

// omitKnownRows returns the response to a heartbeat, without the rows if the
// forwarding VM has the shard map at the same revision.
func (l *loop) omitKnownRows(grant registry.Grant, service string, known uint64) heartbeatResponse {
	shard, _ := l.state.ShardMap(service)
	if !grant.Renew || known == 0 || shard.Revision != known {
		return heartbeatResponse{Grant: grant}
	}
	grant.Rows = nil
	return heartbeatResponse{Grant: grant, RowsOmitted: true}
}

// redundant reports whether a heartbeat only repeats what the state contains about
// a target of a service without sharding. Such heartbeats need not be forwarded to
// the leader.
func (l *loop) redundant(b registry.Heartbeat) bool {
	t, ok := l.state.Target(b.Target.ID)
	service, inForce := l.state.Items().Get(items.Key{Collection: items.Services, Name: b.Target.Service})
	return ok && inForce && !service.Service.Sharded && b.Target.ColdFor == 0 && t.ColdFor == 0 &&
		b.Target.Condition == fleet.Ready && t.Condition == fleet.Ready &&
		t.Incarnation == b.Target.Incarnation && t.Service == b.Target.Service &&
		t.Address == b.Target.Address && t.Slots == b.Target.Slots
}
