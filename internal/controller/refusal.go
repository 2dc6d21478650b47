package controller

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// Limits of the checks whether the processes of silent voters have ended.
const (
	// refusalInterval is the time between two checks of silent voters.
	refusalInterval = 100 * time.Millisecond
	// refusalTimeout bounds one check. A refusal takes a round trip.
	refusalTimeout = 100 * time.Millisecond
)

// silentVoters returns the voters that have missed a heartbeat and whose votes a learner
// could take at once, or that may be voters beyond the wanted number.
func (v memberView) silentVoters() []string {
	if len(v.current.Voters) < v.wanted || len(v.ready()) == 0 && len(v.current.Voters) == v.wanted {
		return nil
	}
	var ids []string
	for _, id := range v.current.Voters {
		r := v.replicas[id]
		if id != v.self && (!r.lost || r.ended) && r.silence >= refusalSilence {
			ids = append(ids, id)
		}
	}
	return ids
}

// replaceable reports whether a lost voter may lose its vote now. One whose process has just
// ended keeps it until a learner is known to run: both may have ended together, and a vote
// without a successor is missing until the voter is back as a learner.
func (v memberView) replaceable(lost string) bool {
	return !v.replicas[lost].ended || slices.ContainsFunc(v.ready(), func(id string) bool {
		return v.replicas[id].silence < refusalSilence
	})
}

// checkSilentVoters connects to the voters that have missed a heartbeat while a learner
// stands by. A refused connection shows that the process of the voter has ended: it need
// not be waited for as one that may be suspended.
func (l *loop) checkSilentVoters(now time.Duration) {
	m := l.replica.Membership()
	if now-l.lastRefusalCheck < refusalInterval || len(m.Learners) == 0 && len(m.Voters) <= l.roster.wanted {
		return
	}
	l.lastRefusalCheck = now
	for _, id := range l.roster.view(now, l.replica, nil).silentVoters() {
		go func() {
			at, refused := refusalOf(l.c.now, vmAddr(id))
			if !refused {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			l.post(ctx, urgent, func() {
				l.roster.refusals[id] = max(l.roster.refusals[id], at)
				l.lastMembershipCheck = 0
			})
		}()
	}
}

// refusalOf connects to an address. It returns since when the address is known to refuse
// connections, which is before the attempt: the process may start and reply to the leader
// between the refusal and its handling.
func refusalOf(now func() time.Duration, addr string) (at time.Duration, refused bool) {
	at = now()
	return at, refusesConnections(addr)
}

// refusesConnections reports whether an address refuses connections.
func refusesConnections(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, refusalTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
