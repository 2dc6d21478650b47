package controller

import (
	"context"
	"errors"
	"net"
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
		if id != v.self && !v.replicas[id].lost && v.replicas[id].silence >= refusalSilence {
			ids = append(ids, id)
		}
	}
	return ids
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
			if !refusesConnections(vmAddr(id)) {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			l.post(ctx, urgent, func() {
				l.roster.refusals[id] = l.c.now()
				l.lastMembershipCheck = 0
			})
		}()
	}
}

// refusesConnections reports whether an address refuses connections.
func refusesConnections(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, refusalTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
