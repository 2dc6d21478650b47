package controller

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/registry"
)

// Limits of what is kept about VMs and targets that are gone.
const (
	// forgetAfter is the time after which a control VM that neither introduces itself nor
	// is named by the leader is forgotten. It covers long partitions. A VM that returns
	// introduces itself again.
	forgetAfter = 10 * time.Minute
	// maxKnownVMs bounds the known control VMs, which each answer to a watch may list.
	maxKnownVMs = 64
	// refreshInterval is the time between two heartbeats of a target that a control VM
	// forwards although they repeat what is known. It is a fraction of the time after
	// which a silent target counts as ended.
	refreshInterval = time.Minute
	// refreshAbove is the number of targets above which they are forwarded. Below it no
	// target counts as ended because it is silent.
	refreshAbove = registry.MaxKnownTargets / 2
)

// forgetVMs forgets control VMs that are gone, except for those that the settings name.
func (c *Controller) forgetVMs(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr := range c.known {
		if _, ok := c.lastNamed[addr]; !ok {
			c.lastNamed[addr] = now
		}
	}
	seen := func(addr string) time.Duration { return max(c.lastNamed[addr], c.lastHello[addr]) }
	kept := func(addr string) bool {
		return addr == c.cfg.Addr || slices.Contains(c.cfg.Seeds, addr) || slices.Contains(c.reloadedSeeds, addr)
	}
	byAge := slices.SortedFunc(maps.Keys(c.known), func(a, b string) int { return cmp.Compare(seen(a), seen(b)) })
	for _, addr := range byAge {
		if !kept(addr) && (now-seen(addr) >= forgetAfter || len(c.known) > maxKnownVMs) {
			delete(c.known, addr)
		}
	}
	forgotten := func(addr string, _ time.Duration) bool {
		_, ok := c.known[addr]
		return !ok
	}
	maps.DeleteFunc(c.lastHello, forgotten)
	maps.DeleteFunc(c.lastNamed, forgotten)
}

// forget drops what is known of VMs that are gone.
func (r *roster) forget(now time.Duration, m consensus.Membership) {
	maps.DeleteFunc(r.candidates, func(_ string, c candidate) bool { return now-c.at >= forgetAfter })
	maps.DeleteFunc(r.stopping, func(id string, _ bool) bool { return !m.IsVoter(id) && !m.IsLearner(id) })
	maps.DeleteFunc(r.refusals, func(id string, _ time.Duration) bool { return !m.IsVoter(id) })
}

// allRefresh reports whether all control VMs that take heartbeats forward some of those
// that repeat what is known. Those of earlier builds don't.
func (r *roster) allRefresh(now time.Duration, self string, m consensus.Membership) bool {
	for _, c := range r.candidates {
		if now-c.at < maxContactAge && c.level < fleet.RefreshLevel {
			return false
		}
	}
	return r.lowestLevel(self, m) >= fleet.RefreshLevel
}

// refreshDue reports whether a heartbeat that repeats what is known is forwarded to the
// leader, so that it knows which targets are silent. The first one of a target is put off by
// a time that depends on its ID, so that those of many targets are spread.
func (l *loop) refreshDue(now time.Duration, in fleet.Incarnation) bool {
	if l.state.TargetCount() <= refreshAbove {
		return false
	}
	last, ok := l.refreshedAt[in]
	if !ok {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(in.ID))
		if len(l.refreshedAt) > 2*registry.MaxKnownTargets {
			clear(l.refreshedAt)
		}
		l.refreshedAt[in] = now - time.Duration(hash.Sum32())%refreshInterval
		return false
	}
	if now-last < refreshInterval {
		return false
	}
	l.refreshedAt[in] = now
	return true
}

// endSilentTargets records targets that left without notice as ended.
func (l *loop) endSilentTargets(now time.Duration) {
	if !l.roster.allRefresh(now, l.replicaID, l.replica.Membership()) {
		return
	}
	if cmd, due := l.registry.EndSilentTargets(now, l.state); due {
		l.logger.WithField("targets", len(cmd.Targets)).Warn("targets without heartbeats ended")
		l.propose(now, cmd, nil)
	}
}
