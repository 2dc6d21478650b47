package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/clock"
)

// Limits of the checks whether a target crashed.
const (
	// crashCheckTimeout bounds a connection attempt: a crashed process refuses
	// it within a round trip, whereas a VM that does not respond did not crash
	// because of a request.
	crashCheckTimeout = 300 * time.Millisecond
	// crashCheckDelay gives a target time to exit after its connections broke. It
	// doubles with each check until maxCrashCheckDelay.
	crashCheckDelay    = 50 * time.Millisecond
	maxCrashCheckDelay = 800 * time.Millisecond
	// maxCrashChecks bounds the targets that are checked at the same time. The
	// losses at others are decided by what control VMs and other entry VMs report.
	maxCrashChecks = 64
	// crashCheckOthers is the number of other targets to which a check connects.
	crashCheckOthers = 2
)

// crashCheck is the outcome of a check whether a target crashed, and the value of the
// metrics label.
type crashCheck string

// Outcomes of crash checks.
const (
	crashConfirmed crashCheck = "crashed"
	// crashAccepted means that the target accepted a connection, and crashNoReaction
	// that it neither accepted nor refused one.
	crashAccepted   crashCheck = "accepted"
	crashNoReaction crashCheck = "no_reaction"
	// crashPathInDoubt means that this VM reached no other target either.
	crashPathInDoubt crashCheck = "path_in_doubt"
	// crashNotChecked means that too many checks were in progress.
	crashNotChecked crashCheck = "not_checked"
)

// beginCheck reports whether a check of a process is to be started.
func (c *crashTracker) beginCheck(p admission.Process) (begin, tooMany bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checking[p] {
		return false, false
	}
	if len(c.checking) >= maxCrashChecks {
		return false, true
	}
	c.checking[p] = true
	return true, false
}

func (c *crashTracker) endCheck(p admission.Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.checking, p)
}

// startCrashCheck checks whether a target crashed unless a check is in progress.
func (g *Gateway) startCrashCheck(c choice) {
	p := processOf(c.endpoint.Incarnation)
	begin, tooMany := g.crashes.beginCheck(p)
	if tooMany {
		g.metrics.crashChecks.WithLabelValues(string(crashNotChecked)).Inc()
	}
	if !begin {
		return
	}
	g.start(func(ctx context.Context) {
		defer g.crashes.endCheck(p)
		g.checkCrash(ctx, c, p)
	})
}

// checkCrash checks a target that lost requests until there is evidence whether it
// crashed.
func (g *Gateway) checkCrash(ctx context.Context, c choice, p admission.Process) {
	lostAt := g.now()
	for delay := crashCheckDelay; clock.Sleep(ctx, delay) && g.crashes.Undecided(g.now(), p); delay = min(2*delay, maxCrashCheckDelay) {
		outcome := g.probeCrash(ctx, c, lostAt)
		g.metrics.crashChecks.WithLabelValues(string(outcome)).Inc()
		switch outcome {
		case crashAccepted:
			// Another process may have the address by now; the control VMs report it.
			return
		case crashConfirmed:
			g.targetCrashed(p, evidenceRefused)
			g.mu.Lock()
			defer g.mu.Unlock()
			g.blockUntilHealthy(c)
			return
		}
	}
}

// probeCrash tries once to find out whether a target that lost a request at lostAt
// crashed. Refused connections show it only if the path to other targets is sound
// meanwhile.
func (g *Gateway) probeCrash(ctx context.Context, c choice, lostAt time.Duration) crashCheck {
	if outcome := dialCrashed(ctx, c); outcome != crashConfirmed {
		return outcome
	}
	if !g.reachesOthers(ctx, c, lostAt) {
		return crashPathInDoubt
	}
	return dialCrashed(ctx, c)
}

// dialCrashed returns crashConfirmed if a target refuses a connection.
func dialCrashed(ctx context.Context, c choice) crashCheck {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", c.endpoint.Address)
	switch {
	case err == nil:
		_ = conn.Close()
		return crashAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashConfirmed
	}
	return crashNoReaction
}

// reachesOthers reports whether this VM reaches other targets than the one lost at
// lostAt: if it reaches none, it cannot tell a crashed target from a broken path.
func (g *Gateway) reachesOthers(ctx context.Context, c choice, lostAt time.Duration) bool {
	now := g.now()
	g.mu.Lock()
	g.path.Lost(now, c.endpoint.Address)
	g.mu.Unlock()
	return g.pool.AcceptedWithin(now-lostAt) || g.tryTargets(ctx, g.samplePath(now, crashCheckOthers)).Reached > 0
}
