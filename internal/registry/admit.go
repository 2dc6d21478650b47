package registry

import (
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

const (
	// silentHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which a target may have ended. It allows for a heartbeat that comes a little late
	// and is below the time after which an address is used again.
	silentHeartbeats = 1.25
	// continuedHeartbeats is the number of heartbeats, and continuedIntervals that of
	// heartbeat intervals from the first to the last, after which a target that counts
	// as ended runs: a heartbeat that was delayed arrives once.
	continuedHeartbeats = 3
	continuedIntervals  = 2
	// defaultHeartbeatInterval is the interval of a deployment that names none.
	defaultHeartbeatInterval = time.Second
)

// Deployment is what the registry knows of the deployment from the settings.
type Deployment struct {
	// HeartbeatInterval is the time between two heartbeats of a target; 0 stands for
	// the default.
	HeartbeatInterval time.Duration
	// Regions maps the data centres of the deployment to their regions. Nil stands for
	// any.
	Regions map[string]string
}

func (d Deployment) heartbeatInterval() time.Duration {
	if d.HeartbeatInterval > 0 {
		return d.HeartbeatInterval
	}
	return defaultHeartbeatInterval
}

// silentAfter is the time without a heartbeat after which a target may have ended.
func (d Deployment) silentAfter() time.Duration {
	return time.Duration(silentHeartbeats * float64(d.heartbeatInterval()))
}

// admits reports whether the state may follow a heartbeat or a leave call. Anyone may
// send one, so that what it says of itself can add a target, but ends no other:
//
//   - Within an incarnation, service, address and data centre never change.
//   - A new incarnation must be of a service that is in force.
//   - It replaces an earlier one with its ID, or a target at its address, only if its
//     data centre is known and the other sends no heartbeats any more.
func (r *Registry) admits(now time.Duration, s *fleet.State, t fleet.Target) bool {
	known, ok := s.Target(t.ID)
	if ok && known.Incarnation == t.Incarnation {
		return known.Condition >= fleet.Leaving ||
			known.Service == t.Service && known.Address == t.Address && known.DataCentre == t.DataCentre
	}
	if ok && !r.mayHaveEnded(now, s, known) {
		return false
	}
	if t.Condition >= fleet.Leaving {
		return true
	}
	if !inForce(s, t.Service) {
		return false
	}
	replaces := ok && known.Condition < fleet.Leaving
	for _, other := range s.AtAddress(t.Address) {
		if other.ID == t.ID || other.Condition == fleet.Ended {
			continue
		}
		if !r.mayHaveEnded(now, s, other) {
			return false
		}
		replaces = true
	}
	return !replaces || r.deployment.Regions == nil || r.deployment.Regions[t.DataCentre] != ""
}

func inForce(s *fleet.State, service string) bool {
	item, ok := s.Items().Get(items.Key{Collection: items.Services, Name: service})
	return ok && !item.Removed
}

// mayHaveEnded reports whether a target that another one replaces has nothing left to
// lose: it sends no heartbeats any more, or has left and holds no keys. Heartbeats of
// services without sharding that repeat what is known don't reach the leader; their
// targets hold no keys, and count as silent.
func (r *Registry) mayHaveEnded(now time.Duration, s *fleet.State, t fleet.Target) bool {
	if t.Condition == fleet.Ended || t.Condition == fleet.Leaving && !holdsKeys(s, t) {
		return true
	}
	return now-r.livenessOf(t.Incarnation).lastHeartbeat >= r.deployment.silentAfter()
}

func holdsKeys(s *fleet.State, t fleet.Target) bool {
	shard, _ := s.ShardMap(t.Service)
	return slices.ContainsFunc(shard.Rows, func(row fleet.Row) bool { return row.Holder == t.Incarnation })
}

// recordRefusal counts the heartbeats of an incarnation that the state doesn't follow.
func (l *liveness) recordRefusal(now time.Duration) {
	if l.refused == 0 {
		l.refusedSince = now
	}
	l.refused++
}

// revival returns the command that brings back a target that counts as ended although
// its heartbeats go on, and whether it is due: those of another target that claimed its
// address or its end were mistaken for its successor.
func (r *Registry) revival(now time.Duration, s *fleet.State, l *liveness, t fleet.Target) (fleet.Command, bool) {
	known, ok := s.Target(t.ID)
	if !ok || known.Incarnation != t.Incarnation || known.Condition != fleet.Ended || t.Condition >= fleet.Leaving || !r.Revives {
		return fleet.Command{}, false
	}
	l.recordRefusal(now)
	if l.refused < continuedHeartbeats || now-l.refusedSince < continuedIntervals*r.deployment.heartbeatInterval() {
		return fleet.Command{}, false
	}
	for _, other := range s.AtAddress(t.Address) {
		if other.ID != t.ID && !r.mayHaveEnded(now, s, other) {
			return fleet.Command{}, false
		}
	}
	l.refused = 0
	return fleet.Command{Revived: []fleet.Target{t}}, true
}
