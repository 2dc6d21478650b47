package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
	"github.com/flamingoreel/flamingoreel/internal/watch"
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

// crashTracker detects requests that crash the targets that run them. Such a
// request is repeated by the same caller with the same path and body.
type crashTracker struct {
	*admission.Suspects
	// received marks the suspicions of other entry VMs received so far. Only
	// the goroutine that watches a control VM uses it.
	received watch.Cursor

	mu sync.Mutex
	// checking holds the processes that are being checked.
	checking map[admission.Process]bool
}

func newCrashTracker() crashTracker {
	return crashTracker{Suspects: admission.NewSuspects(), checking: make(map[admission.Process]bool)}
}

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

// processOf returns the identity of a target's process.
func processOf(in fleet.Incarnation) admission.Process {
	return admission.Process{Target: in.ID, Incarnation: uint64(in.StartMs)}
}

// fingerprints identify the request among those that crash targets. The first one
// includes all that stays the same when a caller repeats a request. The others leave
// out the query, the caller or both, because callers may change the query and reach
// the entry VMs from several addresses.
func (r *Request) fingerprints() []uint64 {
	body := xxhash.Sum64(r.Body)
	var all []uint64
	for _, parts := range [][2]string{{r.Caller, r.URI}, {r.Caller, r.Path}, {"", r.URI}, {"", r.Path}} {
		h := xxhash.New()
		for _, part := range []string{parts[0], r.Method, r.RouteHost, parts[1], strconv.FormatUint(body, 16)} {
			// Writing to a hash does not fail.
			_, _ = h.WriteString(part)
			_, _ = h.Write([]byte{0})
		}
		if sum := h.Sum64(); !slices.Contains(all, sum) {
			all = append(all, sum)
		}
	}
	return all
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

// crashEvidence says how it became known that a target crashed.
type crashEvidence string

const (
	evidenceRefused  crashEvidence = "refuses_connections"
	evidenceReplaced crashEvidence = "replaced"
)

// crashFields returns the log fields of a suspected request.
func crashFields(fingerprint uint64) log.Fields {
	return log.Fields{"fingerprint": strconv.FormatUint(fingerprint, 16)}
}

// updateCrashes updates the suspicions after an attempt that was sent at the given
// time. A response shows that the process lived on, and unless it is an error that
// the request is sound; after a lost connection, a check finds out whether the
// target crashed.
func (a *activeRequest) updateCrashes(res attemptResult, sent time.Duration) {
	g := a.g
	p := processOf(res.choice.endpoint.Incarnation)
	switch {
	case res.failure == nil:
		if !res.info.Misdirected {
			g.crashes.Alive(p, sent)
		}
		if !res.info.NotRun && res.resp.Status < http.StatusInternalServerError && g.crashes.Completed(g.now(), a.fingerprints) {
			g.metrics.suspicions.WithLabelValues("cleared").Inc()
			g.cfg.Logger.WithFields(crashFields(a.fingerprints[0])).WithFields(log.Fields{
				"request": a.req.ID, "target": p.Target, "status": res.resp.Status,
			}).Info("crash suspicions cleared")
		}
	case res.failure.Kind == errkind.TargetLost && !errors.Is(res.failure, upstream.ErrUnbounded):
		undecided := g.crashes.Lost(g.now(), p, a.fingerprints)
		g.cfg.Logger.WithFields(crashFields(a.fingerprints[0])).WithFields(log.Fields{
			"request": a.req.ID, "caller": a.req.Caller, "uri": a.req.URI, "body": len(a.req.Body), "target": p.Target, "born": p.Incarnation,
			"cause": res.failure.Error(), "undecided": undecided, "verdict": g.crashes.Judge(g.now(), a.fingerprints).String(),
		}).Info("target lost a request")
		if undecided {
			g.startCrashCheck(res.choice)
		}
	}
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

// targetCrashed counts the losses at a process that crashed against the lost
// requests.
func (g *Gateway) targetCrashed(p admission.Process, evidence crashEvidence) {
	fingerprints := g.crashes.Ended(g.now(), p)
	if len(fingerprints) == 0 {
		return
	}
	g.metrics.suspicions.WithLabelValues("recorded").Add(float64(len(fingerprints)))
	g.cfg.Logger.WithFields(log.Fields{"target": p.Target, "born": p.Incarnation, "evidence": evidence, "lost_requests": len(fingerprints)}).Warn("target crashed")
	for _, f := range fingerprints {
		if g.crashes.Judge(g.now(), []uint64{f}) == admission.Refused {
			g.cfg.Logger.WithFields(crashFields(f)).WithField("target", p.Target).Warn("request crashes targets")
		}
	}
}

// noteReplaced records which targets crashed according to a change of the view: they
// were in service and another process has their ID or their address.
func (g *Gateway) noteReplaced(old *fleet.View, d fleet.Delta) {
	for _, t := range d.Targets {
		e, ok := old.Endpoint(t.ID)
		if !ok || e.Condition != fleet.Ready || t.Condition != fleet.Ended && t.StartMs <= e.StartMs {
			continue
		}
		g.mu.Lock()
		state := g.targetStates[e.Incarnation]
		left := state != nil && state.Leaving()
		g.mu.Unlock()
		if !left {
			g.targetCrashed(processOf(e.Incarnation), evidenceReplaced)
		}
	}
}

// mergeSuspicions applies the suspicions that a control VM passes on.
func (g *Gateway) mergeSuspicions(received []admission.Suspicion) {
	now := g.now()
	for _, s := range g.crashes.Receive(now, received) {
		g.metrics.suspicions.WithLabelValues("received").Inc()
		g.cfg.Logger.WithFields(crashFields(s.Fingerprint)).WithFields(log.Fields{
			"target": s.Target, "born": s.Incarnation, "cleared": s.Cleared, "verdict": g.crashes.Judge(now, []uint64{s.Fingerprint}).String(),
		}).Info("crash suspicion received")
	}
}

// judgeCrasher returns why a request is refused because of the crashes of its copies,
// or nil. An accepted request must be ended with crashes.End.
func (a *activeRequest) judgeCrasher(now time.Duration) *errkind.Error {
	a.verdict = a.g.crashes.Judge(now, a.fingerprints)
	if a.verdict == admission.Refused {
		return errkind.New(errkind.KnownCrasher, "this request crashed several targets")
	}
	if !a.g.crashes.Begin(now, a.fingerprints) {
		return errkind.New(errkind.Overloaded, "a copy of this request, which may crash targets, is in progress")
	}
	return nil
}

// mayCrashAnother reports whether a request whose target was lost must not go to
// another one: its copies are suspected too.
func (a *activeRequest) mayCrashAnother(failure *errkind.Error) bool {
	if failure.Kind != errkind.TargetLost {
		return false
	}
	return a.verdict != admission.Sound || a.g.crashes.Judge(a.g.now(), a.fingerprints) == admission.Refused
}
