package gateway

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
	"github.com/flamingoreel/flamingoreel/internal/watch"
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

// targetCrashed counts the losses at a process that crashed against the lost
// requests.
func (g *Gateway) targetCrashed(p admission.Process, evidence crashEvidence) {
	lost := g.crashes.Ended(g.now(), p)
	if len(lost) == 0 {
		return
	}
	g.metrics.suspicions.WithLabelValues("recorded").Add(float64(len(lost)))
	g.cfg.Logger.WithFields(log.Fields{"target": p.Target, "born": p.Incarnation, "evidence": evidence, "lost_requests": len(lost)}).Warn("target crashed")
	for _, fingerprints := range lost {
		if g.crashes.Judge(g.now(), fingerprints) == admission.Refused {
			g.cfg.Logger.WithFields(crashFields(fingerprints[0])).WithField("target", p.Target).Warn("request crashes targets")
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
	applied := g.crashes.Receive(now, received)
	if len(applied) == 0 {
		return
	}
	g.metrics.suspicions.WithLabelValues("received").Add(float64(len(applied)))
	g.cfg.Logger.WithField("new", len(applied)).Info("crash suspicions received")
	// Most are of requests that were only in flight, so each has no line of its own.
	for _, s := range applied {
		if !s.Cleared && g.crashes.Refused(now, s.Fingerprint) {
			g.cfg.Logger.WithFields(crashFields(s.Fingerprint)).WithFields(log.Fields{"target": s.Target, "born": s.Incarnation}).Warn("request crashes targets")
		}
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
