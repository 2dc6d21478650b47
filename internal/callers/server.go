package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
)

// ServerConfig configures a Server. Handler, Connections and Limits are required.
type ServerConfig struct {
	Handler     http.Handler
	Connections *Connections
	// Limits returns the limits in force; it is called for each request.
	Limits func() Limits
	// Stopping reports that the process is about to stop: a connection then closes
	// after the last request that was read. Nil means never.
	Stopping func() bool
	// WriteTimeout bounds the time in which each part of a response is written, unless its
	// handler sets a deadline; 0 means no limit.
	WriteTimeout time.Duration
	// MemoryBytes is the memory of the VM, of which requests that are read ahead may
	// take readAheadMemoryFraction; 0 means no limit.
	MemoryBytes int64
	// Logger logs panics of the handler; nil logs nothing.
	Logger log.Interface
}

// Bounds on requests that are read ahead.
const (
	// maxPipelined is the maximum number of requests in progress on one connection.
	maxPipelined = 8
	// maxBuffered is how many bytes of a response are buffered while earlier responses
	// of its connection are incomplete. A typical response to a read has 400 bytes.
	maxBuffered = 64 << 10
	// readAheadMemoryFraction is the fraction of a VM's memory that requests which are
	// read ahead may take.
	readAheadMemoryFraction = 0.1
	// readAheadBytes is the memory that one such request may take: its buffered
	// response, the part of the target's response that the gateway buffers (64 KiB),
	// and 16 KiB for its head and goroutine.
	readAheadBytes = 2*maxBuffered + 16<<10
)

// Server serves the requests of callers over HTTP/1.0 and 1.1. In contrast to
// http.Server, it runs pipelined requests with a safe method concurrently. It is
// safe for concurrent use.
type Server struct {
	cfg ServerConfig
	// slots has an element for each request in progress that is read ahead; nil means
	// no limit.
	slots   chan struct{}
	metrics serverMetrics
	// draining is true once keep-alives are disabled.
	draining atomic.Bool

	mu sync.Mutex
	// closed is true once the listeners are closed, aborted once all connections are.
	closed, aborted bool
	listeners       map[net.Listener]struct{}
	conns           map[*conn]struct{}
}

// NewServer returns a Server that serves no listener yet.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{
		cfg: cfg, metrics: newServerMetrics(),
		listeners: make(map[net.Listener]struct{}), conns: make(map[*conn]struct{}),
	}
	if cfg.MemoryBytes > 0 {
		s.slots = make(chan struct{}, max(1, int(readAheadMemoryFraction*float64(cfg.MemoryBytes)/readAheadBytes)))
	}
	return s
}

// serverMetrics counts what pipelining does.
type serverMetrics struct {
	inProgress prometheus.Histogram
	dropped    prometheus.Counter
	waited     prometheus.Counter
	refused    *prometheus.CounterVec
}

func newServerMetrics() serverMetrics {
	return serverMetrics{
		inProgress: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "flamingoreel_caller_requests_in_progress", Buckets: []float64{1, 2, 3, 4, 6, 8},
			Help: "Requests in progress on the connection of a request that was read, with the request itself.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingoreel_caller_pipelined_dropped_total",
			Help: "Requests that were read and got no response because their connection had ended or an earlier response closed it.",
		}),
		waited: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingoreel_caller_pipelined_waited_total",
			Help: "Requests that were not run ahead at once because those of other connections take the available memory.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingoreel_caller_refused_total", Help: "Requests that were refused because of their heads, by status.",
		}, []string{"status"}),
	}
}

// Collectors returns the metrics of the server.
func (s *Server) Collectors() []prometheus.Collector {
	return []prometheus.Collector{s.metrics.inProgress, s.metrics.dropped, s.metrics.waited, s.metrics.refused}
}

// stopping reports whether connections close after the requests that were read.
func (s *Server) stopping() bool {
	return s.draining.Load() || s.cfg.Stopping != nil && s.cfg.Stopping()
}

// Delays after a failed accept, for example for lack of descriptors.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Serve accepts connections until the server is closed or shut down, and then returns
// http.ErrServerClosed. It closes the listener.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	defer func() { _ = l.Close() }()
	accepting := s.cfg.Connections.WrapListener(l)
	var delay time.Duration
	for {
		rwc, err := accepting.Accept()
		if err == nil {
			delay = 0
			s.start(rwc)
			continue
		}
		if s.isClosed() {
			return http.ErrServerClosed
		}
		if !acceptMaySucceed(err) {
			return err
		}
		delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
		if s.cfg.Logger != nil {
			s.cfg.Logger.WithError(err).WithField("delay", delay).Warn("connection not accepted")
		}
		time.Sleep(delay)
	}
}

// acceptMaySucceed reports whether another connection may be accepted after an error:
// the connection was aborted, or descriptors or memory ran out.
func acceptMaySucceed(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	return errno.Temporary() || errno == syscall.ECONNABORTED || errno == syscall.ENOBUFS || errno == syscall.ENOMEM
}

// start serves a connection in the background.
func (s *Server) start(rwc net.Conn) {
	c := newConn(s, rwc)
	s.mu.Lock()
	if s.aborted {
		s.mu.Unlock()
		_ = rwc.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.cfg.Connections.ConnState(rwc, http.StateNew)
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// openConns returns the connections that are being served.
func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// closeListeners ends Serve. A connection that it has accepted meanwhile is served unless
// the server is aborted: its caller may have sent a request.
func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for l := range s.listeners {
		_ = l.Close()
	}
	clear(s.listeners)
}

// SetKeepAlivesEnabled says whether connections stay open after their responses. If
// not, it closes idle connections, and each other one after the requests that were
// read.
func (s *Server) SetKeepAlivesEnabled(enabled bool) {
	s.draining.Store(!enabled)
	if !enabled {
		s.closeIdle()
	}
}

func (s *Server) closeIdle() {
	for _, c := range s.openConns() {
		c.closeIfIdle()
	}
}

// shutdownPollInterval is the interval at which Shutdown looks for idle connections.
const shutdownPollInterval = 5 * time.Millisecond

// Shutdown closes the listeners and idle connections, and waits until the responses of
// all requests that were read are written or ctx ends, whose error it returns then.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.closeListeners()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		s.closeIdle()
		if len(s.openConns()) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.aborted = true
	s.mu.Unlock()
	s.closeListeners()
	for _, c := range s.openConns() {
		c.end()
		_ = c.rwc.Close()
	}
	return nil
}
