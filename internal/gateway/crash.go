package gateway

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// Limits of the checks whether a target crashed.
const (
	// crashCheckTimeout bounds a connection attempt: a crashed process refuses
	// it within a round trip, whereas a VM that does not respond did not crash
	// because of a request.
	crashCheckTimeout = 300 * time.Millisecond
	// crashCheckDelay gives a target time to exit after its connections broke.
	crashCheckDelay = 50 * time.Millisecond
	// maxCrashChecks bounds the concurrent checks. Overloaded targets break
	// many connections.
	maxCrashChecks = 2
	// crashCheckOthers is the number of other targets to which a check connects.
	crashCheckOthers = 2
)

// crashTracker detects requests that crash the targets that run them. Such a
// request is repeated by the same caller with the same path and body.
type crashTracker struct {
	*admission.Crashes
	// checkSlots is a semaphore that limits the concurrent checks.
	checkSlots chan struct{}
	// received marks the suspicions of other entry VMs received so far. Only
	// the goroutine that watches a control VM uses it.
	received watch.Cursor
}

func newCrashTracker() crashTracker {
	return crashTracker{Crashes: admission.NewCrashesForSharedTargets(), checkSlots: make(chan struct{}, maxCrashChecks)}
}

// fingerprint identifies the request by its caller, method, host, URI and body.
func (r *Request) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Caller, r.Method, r.RouteHost, r.URI} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

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

// crashFields returns the log fields of a suspected request.
func crashFields(fingerprint uint64) log.Fields {
	return log.Fields{"fingerprint": strconv.FormatUint(fingerprint, 16)}
}

// updateCrashes updates the suspicions after an attempt. A response that shows
// that the target ran the request clears it; after a lost connection, a check
// finds out whether the target crashed.
func (a *activeRequest) updateCrashes(res attemptResult) {
	g := a.g
	switch {
	case res.failure == nil && !res.info.NotRun:
		if g.crashes.Clear(a.fingerprint) {
			g.metrics.suspicions.WithLabelValues("cleared").Inc()
			g.cfg.Logger.WithFields(crashFields(a.fingerprint)).WithFields(log.Fields{
				"request": a.req.ID, "target": res.choice.endpoint.ID, "status": res.resp.Status,
			}).Info("crash suspicions cleared")
		}
	case res.failure != nil && res.failure.Kind == errkind.TargetLost && !errors.Is(res.failure, upstream.ErrUnbounded):
		select {
		case g.crashes.checkSlots <- struct{}{}:
			g.start(func(ctx context.Context) {
				defer func() { <-g.crashes.checkSlots }()
				a.recordCrashCheck(res, g.checkCrash(ctx, a.fingerprint, res.choice))
			})
		default:
			a.recordCrashCheck(res, crashNotChecked)
		}
	}
}

// recordCrashCheck logs and counts the outcome of a check after a lost attempt.
func (a *activeRequest) recordCrashCheck(res attemptResult, outcome crashCheck) {
	a.g.metrics.crashChecks.WithLabelValues(string(outcome)).Inc()
	a.g.cfg.Logger.WithFields(crashFields(a.fingerprint)).WithFields(log.Fields{
		"request": a.req.ID, "caller": a.req.Caller, "uri": a.req.URI, "body": len(a.req.Body),
		"target": res.choice.endpoint.ID, "born": res.choice.endpoint.StartMs, "cause": res.failure.Error(), "outcome": outcome,
	}).Info("crash check")
}

// checkCrash adds a suspicion if the target that lost the request refuses
// connections.
func (g *Gateway) checkCrash(ctx context.Context, fingerprint uint64, c choice) crashCheck {
	if !clock.Sleep(ctx, crashCheckDelay) {
		return crashNotChecked
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", c.endpoint.Address)
	if err == nil {
		_ = conn.Close()
		return crashAccepted
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return crashNoReaction
	}
	if !g.reachesOthers(ctx, c) {
		return crashPathInDoubt
	}
	now := g.now()
	g.crashes.RecordAmbiguousCrash(now, fingerprint, c.endpoint.ID, uint64(c.endpoint.StartMs))
	g.metrics.suspicions.WithLabelValues("recorded").Inc()
	if g.crashes.Refused(now, fingerprint) {
		g.cfg.Logger.WithFields(crashFields(fingerprint)).WithField("target", c.endpoint.ID).Warn("request crashes targets")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blockUntilHealthy(c)
	return crashConfirmed
}

// mergeSuspicions applies the suspicions that a control VM passes on.
func (g *Gateway) mergeSuspicions(received []admission.Suspicion) {
	now := g.now()
	for _, s := range g.crashes.Merge(now, received) {
		g.metrics.suspicions.WithLabelValues("received").Inc()
		g.cfg.Logger.WithFields(crashFields(s.Fingerprint)).WithFields(log.Fields{
			"target": s.Target, "born": s.Incarnation, "cleared": s.Cleared, "refused": g.crashes.Refused(now, s.Fingerprint),
		}).Info("crash suspicion received")
	}
}

// reachesOthers reports whether this VM reaches other targets than the lost one:
// if it reaches none, it cannot tell a crashed target from a broken path.
func (g *Gateway) reachesOthers(ctx context.Context, c choice) bool {
	now := g.now()
	g.mu.Lock()
	g.path.Lost(now, c.endpoint.Address)
	g.mu.Unlock()
	return !g.isolated() && g.tryTargets(ctx, g.samplePath(now, crashCheckOthers)).Reached > 0
}
