package main

import (
	"context"
	"math"
	"net/http"

	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/callers"
)

const (
	// maxOperatorHeadBytes limits the heads at the control, readiness and metrics
	// addresses. Those of the platform's calls and checks have a few hundred bytes.
	maxOperatorHeadBytes = 16 << 10
	// checkConnectionsFraction is the fraction of the bound on callers' connections that
	// the readiness and the metrics address get each, and maxCheckConnections the most:
	// load balancers and collectors hold one or two connections.
	checkConnectionsFraction = 1.0 / 8
	maxCheckConnections      = 64
)

// The listeners by the names in their metrics.
const (
	callerListener  = "callers"
	controlListener = "control"
	readyListener   = "readiness"
	metricsListener = "metrics"
)

// bound returns the bound for the connections of a listener, from the memory and the
// descriptors of this process.
func (p *process) bound(listener string) callers.Bound {
	var limit unix.Rlimit
	descriptors := int64(0)
	// The runtime has raised the soft limit to the hard limit. Without a known limit,
	// memory alone bounds.
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && limit.Cur < 1<<30 {
		descriptors = int64(limit.Cur)
	}
	b := callers.BoundFor(p.settings.MemoryBytes, descriptors)
	if listener == readyListener || listener == metricsListener {
		if b.Connections == 0 {
			b.Connections = math.MaxInt
		}
		b.Connections = min(int(checkConnectionsFraction*float64(b.Connections)), maxCheckConnections)
		b.HeadMemory = int64(checkConnectionsFraction * float64(b.HeadMemory))
	}
	return b
}

// limitConnections enforces limits on the connections of a listener until ctx ends.
func (p *process) limitConnections(ctx context.Context, listener string, connected *callers.Connections, limits func() callers.Limits) {
	connected.Limit(p.bound(listener), limits)
	if p.registry != nil {
		p.registry.MustRegister(connected.Collector(listener))
	}
	go connected.Report(ctx, listener, p.logger)
}

// operatorLimits are the limits at the control, readiness and metrics addresses. The
// time limits are those of the server.
func operatorLimits() callers.Limits { return callers.Limits{HeadBytes: maxOperatorHeadBytes} }

// trackRequests tells connected of each request before a handler serves it.
func trackRequests(connected *callers.Connections, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !connected.BeginRequest(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}
