package gateway

import (
	"context"
	"errors"
	"net"
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

// Bounds of the checks whether a target crashed.
const (
	// crashCheckTimeout bounds a connection attempt: a crashed process refuses it
	// within a round trip, a silent VM did not crash by what it ran.
	crashCheckTimeout = 300 * time.Millisecond
	// crashCheckPause leaves the target the time to end after its connections broke.
	crashCheckPause = 50 * time.Millisecond
	// crashChecks bounds the checks that run at the same time. Full targets break
	// connections in great numbers.
	crashChecks = 2
)

// crashers recognises requests that crash what runs them. Such a request comes
// again from the same caller with the same path and body.
type crashers struct {
	*admission.Crashes
	// checks has room for the checks that run.
	checks chan struct{}
	// heard is up to where the entry knows the suspicions of others. It is used by
	// the goroutine that follows a control VM.
	heard watch.Mark
}

func newCrashers() crashers {
	return crashers{Crashes: admission.NewCrashesInCompany(), checks: make(chan struct{}, crashChecks)}
}

// fingerprint identifies what a caller asks for.
func (r *Request) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Caller, r.Method, r.Name, r.URI} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// noteEnd takes in whether the target lived when a send ended. Any response of the
// target clears the request.
func (a *attempt) noteEnd(o outcome) {
	g := a.g
	switch {
	case o.failure == nil && !o.signals.NotRun:
		g.crashers.Clear(a.fingerprint)
	case o.failure != nil && o.failure.Kind == errkind.TargetLost && !errors.Is(o.failure, upstream.ErrUnbounded):
		select {
		case g.crashers.checks <- struct{}{}:
			g.start(func(ctx context.Context) {
				defer func() { <-g.crashers.checks }()
				g.checkCrash(ctx, a.fingerprint, o.choice)
			})
		default:
		}
	}
}

// checkCrash suspects a request if the target that lost it refuses connections.
func (g *Gateway) checkCrash(ctx context.Context, fingerprint uint64, c choice) {
	if !clock.Pause(ctx, crashCheckPause) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", c.endpoint.Address)
	if err == nil {
		_ = conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	now := g.now()
	g.crashers.Suspect(now, fingerprint, c.endpoint.ID, uint64(c.endpoint.Born))
	if g.crashers.Refused(now, fingerprint) {
		g.cfg.Logger.WithFields(log.Fields{"fingerprint": fingerprint, "target": c.endpoint.ID}).Warn("request crashes targets")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revive(c)
}
