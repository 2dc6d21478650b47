package main

import (
	"context"

	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/callers"
)

// callerListener is the name of the callers' listener in metrics.
const callerListener = "callers"

// bound returns the bound for the connections of a listener, from the memory and the
// descriptors of this process.
func (p *process) bound() callers.Bound {
	var limit unix.Rlimit
	descriptors := int64(0)
	// The runtime has raised the soft limit to the hard limit. Without a known limit,
	// memory alone bounds.
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && limit.Cur < 1<<30 {
		descriptors = int64(limit.Cur)
	}
	return callers.BoundFor(p.settings.MemoryBytes, descriptors)
}

// limitConnections enforces limits on the connections of a listener until ctx ends.
func (p *process) limitConnections(ctx context.Context, listener string, connected *callers.Connections, limits func() callers.Limits) {
	connected.Limit(p.bound(), limits)
	if p.registry != nil {
		p.registry.MustRegister(connected.Collector(listener))
	}
	go connected.Report(ctx, listener, p.logger)
}
