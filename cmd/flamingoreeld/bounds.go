package main

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/callers"
)

const (
	// headerTimeout bounds how long a client may take to send its headers, where the
	// configuration doesn't.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection of an operator may stay idle.
	idleTimeout = 75 * time.Second
	// writeTimeout bounds the time in which a client receives one part of a response.
	writeTimeout = 10 * time.Second
	// softMemoryFraction is the fraction of the VM's memory that the Go runtime gets
	// as its soft limit: the garbage collector runs more often as memory use nears it.
	softMemoryFraction = 0.5
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
	adminListener   = "admin"
)

// listeners serves the addresses of a process within its memory and descriptors.
type listeners struct {
	// memoryBytes is the memory of the VM; 0 means that it is not known.
	memoryBytes int64
	// requests is the part of it that requests may take at all addresses together.
	requests *callers.Memory
	logger   log.Interface
	registry *prometheus.Registry
	// failures receives the errors of servers that failed.
	failures chan error
}

func newListeners(memoryBytes int64, logger log.Interface, registry *prometheus.Registry) listeners {
	l := listeners{
		memoryBytes: memoryBytes, requests: callers.NewMemory(memoryBytes), logger: logger, registry: registry, failures: make(chan error, 4),
	}
	if registry != nil {
		registry.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "flamingoreel_request_memory_bytes", Help: "Memory reserved for the bodies of requests and for what they are decoded to.",
			}, func() float64 { return float64(l.requests.Used()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "flamingoreel_request_memory_bound_bytes", Help: "Bound of that memory; 0 for no bound.",
			}, func() float64 { return float64(callers.RequestMemory(memoryBytes)) }),
		)
	}
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryFraction * float64(memoryBytes)))
	}
	return l
}

// bodies returns the reader of the bodies that are received on some connections.
func (l *listeners) bodies(connected *callers.Connections) *callers.BodyReader {
	return callers.NewBodyReader(l.requests, connected)
}

// serve listens on an address and serves it until the server is shut down or fails. ctx ends
// the checks of its connections. name is that of the listener in metrics.
func (l *listeners) serve(ctx context.Context, name, addr string, cfg callers.ServerConfig) (*callers.Server, error) {
	cfg.WriteTimeout, cfg.MemoryBytes, cfg.Logger = writeTimeout, l.memoryBytes, l.logger
	server := callers.NewServer(cfg)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	cfg.Connections.Limit(l.bound(name), cfg.Limits)
	if l.registry != nil {
		l.registry.MustRegister(cfg.Connections.Collector(name))
		if name == callerListener {
			l.registry.MustRegister(server.Collectors()...)
		}
	}
	go cfg.Connections.Report(ctx, name, l.logger)
	go cfg.Connections.Sweep(ctx, cfg.Limits)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			l.failures <- err
		}
	}()
	return server, nil
}

// serveOperators serves the address of operators, load balancers or collectors.
func (l *listeners) serveOperators(ctx context.Context, name, addr string, handler http.Handler, connected *callers.Connections) (*callers.Server, error) {
	return l.serve(ctx, name, addr, callers.ServerConfig{Handler: handler, Connections: connected, Limits: operatorLimits})
}

// bound returns the bound for the connections of a listener.
func (l *listeners) bound(listener string) callers.Bound {
	var limit unix.Rlimit
	descriptors := int64(0)
	// The runtime has raised the soft limit to the hard limit. Without a known limit,
	// memory alone bounds.
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && limit.Cur < 1<<30 {
		descriptors = int64(limit.Cur)
	}
	b := callers.BoundFor(l.memoryBytes, descriptors)
	if listener == readyListener || listener == metricsListener || listener == adminListener {
		if b.Connections == 0 {
			b.Connections = math.MaxInt
		}
		b.Connections = min(int(checkConnectionsFraction*float64(b.Connections)), maxCheckConnections)
		b.HeadMemory = int64(checkConnectionsFraction * float64(b.HeadMemory))
		b.UsualWindows = int(math.Ceil(checkConnectionsFraction * float64(b.UsualWindows)))
	}
	return b
}

// operatorLimits are the limits at the addresses of operators, load balancers and collectors.
func operatorLimits() callers.Limits {
	return callers.Limits{HeadBytes: maxOperatorHeadBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
}
