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

// beatRequest is a heartbeat on its way to the leader.
type beatRequest struct {
	Beat registry.Beat `msgpack:"b"`
	// Shard is the revision of the division of keys that the asking VM knows; 0
	// for none.
	Shard uint64 `msgpack:"s"`
}

// beatAnswer is the leader's answer to a heartbeat.
type beatAnswer struct {
	Grant registry.Grant `msgpack:"g"`
	// Known says that the rows of the grant are left out: they are those of the
	// revision that the asking VM named. A target holds dozens of rows, and most
	// heartbeats cross regions.
	Known bool `msgpack:"k"`
}

// localView is what this VM's own state says of a target.
type localView struct {
	// nothingNew says that the heartbeat need not reach the leader.
	nothingNew bool
	// revision is that of the division of the target's service, rows what the
	// target is to hold by it.
	revision uint64
	rows     []fleet.Row
}

// localView looks up a target in the state of this VM.
func (c *Controller) localView(ctx context.Context, b registry.Beat) (localView, *errkind.Error) {
	return ask(ctx, c.loop, beatLane(b), func(views chan<- localView) {
		shard, _ := c.loop.state.Shard(b.Target.Service)
		views <- localView{
			nothingNew: c.loop.nothingNew(b), revision: shard.Revision, rows: registry.Held(shard, b.Target.Incarnation),
		}
	})
}

// beatLane puts targets that stop taking work before those that go on with it:
// they wait for the acknowledgement before they end.
func beatLane(b registry.Beat) lane {
	if b.Target.Condition > fleet.Ready {
		return urgent
	}
	return routine
}

// beatResult is an answer, or why there is none.
type beatResult struct {
	answer beatAnswer
	// done, if set, gets the result of the command that must be committed before
	// the heartbeat is acknowledged.
	done <-chan *errkind.Error
	err  *errkind.Error
}

// leadBeat handles a heartbeat as the leader. That a target stops taking work is
// acknowledged only once it is committed, because the acknowledgement binds all
// entries.
func (c *Controller) leadBeat(ctx context.Context, payload []byte) ([]byte, error) {
	var req beatRequest
	if err := wire.Unmarshal(payload, &req); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "heartbeat cannot be read")
	}
	if t := req.Beat.Target; t.ID == "" || t.Condition < fleet.Left && (t.Service == "" || t.Address == "" || t.Slots < 1) {
		return nil, errkind.New(errkind.BadRequest, "heartbeat of %q names no target to use", t.ID)
	}
	r, failure := ask(ctx, c.loop, beatLane(req.Beat), func(results chan<- beatResult) { results <- c.loop.beat(req) })
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
	return wire.Marshal(&r.answer)
}

// beat runs on the control goroutine.
func (l *loop) beat(req beatRequest) beatResult {
	now := l.c.now()
	if !l.leading(now) {
		return beatResult{err: errNotLeading}
	}
	b := req.Beat
	if b.Target.Condition >= fleet.Left {
		left, news := l.leaving(b.Target)
		if !news {
			return beatResult{}
		}
		b.Target = left
	}
	grant, commands := l.registry.Beat(now, l.state, b)
	result := beatResult{answer: l.shorten(grant, b.Target.Service, req.Shard)}
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

// leaving returns what to record of an incarnation that leaves. One that is not
// known is recorded as well: a heartbeat that it sent before may still arrive. It
// reports false for an incarnation that a later one has replaced.
func (l *loop) leaving(t fleet.Target) (fleet.Target, bool) {
	known, ok := l.state.Target(t.ID)
	switch {
	case !ok || t.Born > known.Born:
		return fleet.Target{Incarnation: t.Incarnation, Condition: fleet.Left}, true
	case t.Born != 0 && t.Born < known.Born:
		return fleet.Target{}, false
	}
	known.Condition, known.ColdFor = fleet.Left, 0
	return known, true
}

// shorten leaves out rows that the asking VM has at the same revision.
func (l *loop) shorten(grant registry.Grant, service string, known uint64) beatAnswer {
	shard, _ := l.state.Shard(service)
	if !grant.Renew || known == 0 || shard.Revision != known {
		return beatAnswer{Grant: grant}
	}
	grant.Rows = nil
	return beatAnswer{Grant: grant, Known: true}
}

// nothingNew reports whether a heartbeat repeats what the state holds of a
// target that gets no keys. Such heartbeats need not reach the leader.
func (l *loop) nothingNew(b registry.Beat) bool {
	t, ok := l.state.Target(b.Target.ID)
	service, standing := l.state.Items().Get(items.Key{Collection: items.Services, Name: b.Target.Service})
	return ok && standing && !service.Service.Sharded && b.Target.ColdFor == 0 && t.ColdFor == 0 &&
		b.Target.Condition == fleet.Ready && t.Condition == fleet.Ready &&
		t.Incarnation == b.Target.Incarnation && t.Service == b.Target.Service &&
		t.Address == b.Target.Address && t.Slots == b.Target.Slots
}
