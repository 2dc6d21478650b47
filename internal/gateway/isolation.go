package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/reach"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// Parameters of the checks whether this VM reaches targets.
const (
	// pathCheckTargets is the number of targets to which a check tries to connect.
	pathCheckTargets = 6
	// pathCheckTimeout bounds a check: a round trip between regions takes 16 ms.
	pathCheckTimeout = 400 * time.Millisecond
	// acceptedWindow is how long after a target has accepted a connection targets that
	// refuse or reset connections count as overloaded or crashed.
	acceptedWindow = 500 * time.Millisecond
	// pathPollInterval is the interval at which an entry VM that is not in the state
	// Direct decides whether a check is due.
	pathPollInterval = 250 * time.Millisecond
)

// updatePath records what an attempt shows about this VM's path to its target, and
// starts a check if targets seem to be out of reach; the mutex is held.
func (g *Gateway) updatePath(now time.Duration, addr string, failure *errkind.Error) {
	switch {
	case failure == nil:
		g.path.Answered(now, addr)
		return
	case errors.Is(failure, context.Canceled), errors.Is(failure, upstream.ErrWithdrawn):
		return
	case errors.Is(failure, upstream.ErrResetBeforeRequest), errors.Is(failure, syscall.ECONNRESET):
		g.path.Reset(now, addr)
	case failure.Kind == errkind.TargetUnreachable, errors.Is(failure, syscall.ETIMEDOUT):
		g.path.Lost(now, addr)
	default:
		return
	}
	g.checkPathIfDue(now)
}

// notePathIfBlocked starts a check of the path if all targets that may run a request
// wait for a successful health check; the mutex is held.
func (g *Gateway) notePathIfBlocked(now time.Duration, endpoints []*fleet.Endpoint) {
	for _, e := range endpoints {
		if !g.stateOf(e).recovering {
			return
		}
	}
	g.path.NoneUsable(now)
	g.checkPathIfDue(now)
}

// checkPathIfDue starts a check of the path if one is due; the mutex is held. None is
// needed while targets accept connections: it could not show that the path is broken.
func (g *Gateway) checkPathIfDue(now time.Duration) {
	if state, _ := g.path.State(); state != reach.Isolated && g.pool.AcceptedWithin(acceptedWindow) {
		return
	}
	if g.path.BeginCheck(now) {
		g.start(g.checkPath)
	}
}

// checkPath tries to connect to some targets and records the result.
func (g *Gateway) checkPath(ctx context.Context) {
	result := g.tryTargets(ctx, g.samplePath(g.now(), pathCheckTargets))
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	result.Accepted = g.pool.AcceptedWithin(acceptedWindow)
	result.NoPeer = g.relayPeers.Failing(now)
	lost := g.path.LostTargets(now)
	outcome := "reached"
	if result.Reached == 0 {
		outcome = "unreached"
	}
	g.metrics.pathChecks.WithLabelValues(outcome).Inc()
	if !g.path.Checked(now, result) {
		return
	}
	state, _ := g.path.State()
	entry := g.cfg.Logger.WithFields(log.Fields{"state": state, "tried": result.Tried, "reached": result.Reached, "refused": result.Refused, "lost": lost})
	if state == reach.Isolated {
		entry.Warn("targets out of reach, relaying requests")
		g.start(g.followPath)
	} else {
		entry.Info("targets reached again")
		g.unblockTargets()
	}
	g.wakeWaiting()
}

// samplePath returns the targets for a check.
func (g *Gateway) samplePath(now time.Duration, n int) []reach.Target {
	view := g.view.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	var targets []reach.Target
	for _, e := range view.AllEndpoints() {
		state := g.targetStates[e.Incarnation]
		lost := g.path.IsLost(now, e.Address) || state != nil && state.recovering
		targets = append(targets, reach.Target{Addr: e.Address, DataCentre: e.DataCentre, Lost: lost})
	}
	return reach.Sample(g.rng, g.cfg.DataCentre, targets, n)
}

// tryTargets connects to targets and returns how they reacted.
func (g *Gateway) tryTargets(ctx context.Context, targets []reach.Target) reach.Result {
	ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()
	var all sync.WaitGroup
	var reached, refused atomic.Int64
	for _, t := range targets {
		all.Go(func() {
			err := g.pool.Connect(ctx, t.Addr)
			switch {
			case err == nil:
				reached.Add(1)
			case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, upstream.ErrResetBeforeRequest):
				refused.Add(1)
			}
		})
	}
	all.Wait()
	return reach.Result{Tried: len(targets), Reached: int(reached.Load()), Refused: int(refused.Load())}
}

// followPath checks the path until targets are reached and closes the links to
// peers that are no longer used.
func (g *Gateway) followPath(ctx context.Context) {
	for clock.Sleep(ctx, pathPollInterval) {
		now := g.now()
		g.mu.Lock()
		if g.path.Advance(now) {
			g.cfg.Logger.WithField("state", reach.Direct).Info("requests go directly to targets again")
		}
		state, _ := g.path.State()
		if state == reach.Isolated {
			g.checkPathIfDue(now)
		}
		g.mu.Unlock()
		if g.closeIdleLinks(now) && state == reach.Direct {
			return
		}
	}
}

// unblockTargets makes targets usable again that were lost while this VM reached
// none; the mutex is held. A target that did crash is lost again at the first try.
func (g *Gateway) unblockTargets() {
	for _, t := range g.targetStates {
		if t.recovering {
			t.recovering = false
			t.checks++
			t.Unblock()
		}
	}
}

// wakeWaiting wakes the requests that wait for a change; the mutex is held.
func (g *Gateway) wakeWaiting() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Gateway) pathState() reach.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	state, _ := g.path.State()
	return state
}

// Accepting reports whether this VM can serve callers: it has a configuration and
// reaches targets, or other entry VMs relay its requests.
func (g *Gateway) Accepting() bool {
	if !g.Ready() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state, _ := g.path.State()
	return state != reach.Isolated || !g.relayPeers.Failing(g.now())
}
