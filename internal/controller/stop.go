package controller

import (
	"context"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

const (
	// resignTimeout bounds how long a stopping VM waits for a successor to take its
	// vote: two membership changes, and an election if the leader stops as well. It
	// is well below the time after which a stopping process is killed.
	resignTimeout = 1500 * time.Millisecond
	// resignInterval is the time between two calls of a stopping VM. A membership
	// change takes a round trip between regions and two syncs.
	resignInterval = 50 * time.Millisecond
)

// resignation is the message of a VM that stops.
type resignation struct {
	ReplicaID string `msgpack:"r"`
}

// resignationReply tells a stopping VM whether a successor is taking its vote.
type resignationReply struct {
	Pending bool `msgpack:"p"`
}

// Resign gives the vote of this VM to a learner that has caught up. It returns once
// the learner has the vote, or at once if this VM has no vote or no learner can take
// it: the vote then stays, because a restarted process continues to use it. The VM
// must be closed afterwards.
func (c *Controller) Resign(ctx context.Context) {
	c.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	start, asked := c.now(), 0
	for {
		votes, failure := call(ctx, c.loop, urgent, func(results chan<- bool) {
			results <- c.loop.replica.CommittedMembership().IsVoter(c.loop.replicaID)
		})
		if failure == nil && votes {
			votes, failure = c.askForSuccessor(ctx)
			asked++
		}
		line := c.cfg.Logger.WithField("took", c.now()-start).WithField("attempts", asked)
		switch {
		case failure != nil:
			line.WithError(failure).Warn("vote not handed over")
			return
		case !votes:
			line.Info("replica has no vote or keeps it")
			return
		}
		clock.Sleep(ctx, resignInterval)
	}
}

// askForSuccessor announces to the leader that this VM stops and reports whether a
// successor is taking its vote.
func (c *Controller) askForSuccessor(ctx context.Context) (pending bool, failure *errkind.Error) {
	payload, err := wire.Marshal(&resignation{ReplicaID: c.loop.replicaID})
	if err != nil {
		return false, errkind.From(err)
	}
	data, _, failure := c.callLeader(ctx, methodResign, payload, func(ctx context.Context, payload []byte) ([]byte, error) {
		return c.handleResign(ctx, c.cfg.Addr, payload)
	})
	if failure != nil {
		return false, failure
	}
	var reply resignationReply
	if err := wire.Unmarshal(data, &reply); err != nil {
		return false, errkind.From(err)
	}
	return reply.Pending, nil
}

// handleResign records on the leader that a VM stops.
func (c *Controller) handleResign(ctx context.Context, from string, payload []byte) ([]byte, error) {
	var r resignation
	if err := wire.Unmarshal(payload, &r); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "resignation cannot be read")
	}
	if vmAddr(r.ReplicaID) != from {
		return nil, errkind.New(errkind.BadRequest, "%s resigned for the replica %q", from, r.ReplicaID)
	}
	reply, failure := call(ctx, c.loop, urgent, func(results chan<- resignationReply) {
		results <- c.loop.resign(c.now(), r.ReplicaID)
	})
	if failure != nil {
		return nil, failure
	}
	return wire.Marshal(&reply)
}

// resign marks a replica as stopping and makes the membership check due.
func (l *loop) resign(now time.Duration, replicaID string) resignationReply {
	if !l.leading(now) {
		return resignationReply{Pending: true} // The next leader decides.
	}
	l.lastMembershipCheck = 0
	return resign(now, l.roster, l.replica, replicaID)
}

// resign marks a replica as stopping on the leader. The reply is pending while the
// replica has a vote that a learner can take or is taking.
func resign(now time.Duration, r *roster, leader *consensus.Node, replicaID string) resignationReply {
	r.stops(replicaID)
	committed := leader.CommittedMembership()
	if !committed.IsVoter(replicaID) {
		return resignationReply{}
	}
	changing := len(committed.Voters) > r.wanted || !leader.Membership().IsVoter(replicaID)
	return resignationReply{Pending: changing || len(r.view(now, leader, nil).ready()) > 0}
}
