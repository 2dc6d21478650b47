// Package gateway is the entry of a deployment whose targets check themselves
// for whom a request is meant and which keys they hold. It follows the state of
// the fleet and sends each request directly to a target.
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/placement"
	"github.com/flamingoreel/flamingoreel/internal/registry"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// Dialect is how the system and its targets speak: the names of headers.
type Dialect interface {
	// Prepare sets the headers of a request that the system itself decides.
	Prepare(h http.Header, left time.Duration, target string)
	// Read returns what a response says besides its body.
	Read(resp *upstream.Response) Signals
}

// Signals are what the headers of a response say.
type Signals struct {
	// RequestID is the ID of the request that the response answers.
	RequestID string
	// Signed says that the target itself made the response.
	Signed bool
	// NotRun says that the target did not run the request.
	NotRun bool
	// Misdirected says that another target has the address, or that the target
	// does not hold the key.
	Misdirected bool
	// Target is the ID of the target that answered a health check.
	Target string
	// ColdFor is how long the target stays cold, from a health check.
	ColdFor time.Duration
	// Load is the target's load, or nil.
	Load *placement.Load
}

// Config are the settings of an entry.
type Config struct {
	// Addr is the IP:port of the links and the name of this VM.
	Addr               string
	Region, DataCentre string
	// Regions maps data centres to their regions.
	Regions map[string]string
	// Seeds are the link addresses of control VMs known at the start.
	Seeds   []string
	Dialect Dialect
	// ColdFactor and ColdSlack bound what a cold target gets in a second over all
	// entries: its rate times the factor plus the slack.
	ColdFactor float64
	ColdSlack  float64
	// RetryRatio is the share of requests that all entries together may repeat in
	// some seconds, and RetrySlack a number of repeats beside it.
	RetryRatio, RetrySlack float64
	Seed                   uint64
	Logger                 log.Interface
	Registry               prometheus.Registerer
}

// Gateway is a running entry.
type Gateway struct {
	cfg     Config
	clock   clock.Since
	links   *link.Node
	pool    *upstream.Pool
	metrics *metrics

	view atomic.Pointer[fleet.View]
	// contact is the monotonic time of the leader's state that the view shows.
	contact  atomic.Int64
	crashers crashers
	// seeds are control VMs of changed settings that are not taken in yet.
	seeds atomic.Pointer[[]watch.Peer]

	mu sync.Mutex
	// changed is closed and replaced with each view.
	changed chan struct{}
	tracks  map[fleet.Incarnation]*tracked
	// norms is what the targets of each service usually report.
	norms   map[string]*placement.Norm
	budgets map[string]*budget
	// pressures is how much work waits at the targets of each service.
	pressures map[string]*placement.Pressure
	splits    map[string]*split
	// subsets holds the preferred targets of each service under the present view.
	subsets map[string]map[string]bool
	// works is the usual work of each route by name.
	works map[string]time.Duration
	// samples are what was seen of sharded services since the last watch.
	samples map[string]*registry.Samples
	rng     *rand.Rand

	stopping   stopping
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	// closing orders the start of goroutines before the wait for their end.
	closing sync.Mutex
}

// tracked is what the entry knows of a target.
type tracked struct {
	placement.Track
	// coldUntil is from the target's own health check.
	coldUntil time.Duration
	// reviving says that a goroutine checks whether the target is back.
	reviving bool
	// asked says that a request was sent since the last look at cold targets.
	asked bool
}

// New starts an entry. It can serve once Ready reports true.
func New(cfg Config) (*Gateway, error) {
	links, err := link.Listen(watch.LinkConfig(cfg.Addr, cfg.Seed, cfg.Logger))
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg: cfg, clock: clock.Start(), links: links, pool: upstream.NewPool(),
		metrics: newMetrics(cfg.Registry), crashers: newCrashers(), changed: make(chan struct{}),
		tracks:  make(map[fleet.Incarnation]*tracked),
		norms:   make(map[string]*placement.Norm),
		budgets: make(map[string]*budget), pressures: make(map[string]*placement.Pressure), splits: make(map[string]*split),
		works:   make(map[string]time.Duration),
		subsets: make(map[string]map[string]bool),
		samples: make(map[string]*registry.Samples), stopping: newStopping(),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	g.view.Store(fleet.NewView())
	g.ctx, g.cancel = context.WithCancel(context.Background())
	links.Serve()
	g.start(g.follow)
	g.start(g.sweep)
	g.start(g.watchCold)
	return g, nil
}

// start runs a goroutine that ends with the gateway. After Close it does nothing.
// One that panics is run again: an entry that lost a goroutine would go on with
// an old state.
func (g *Gateway) start(run func(ctx context.Context)) {
	g.closing.Lock()
	defer g.closing.Unlock()
	if g.ctx.Err() != nil {
		return
	}
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		for g.caught(func() { run(g.ctx) }) && clock.Pause(g.ctx, restartPause) {
		}
	}()
}

// restartPause is the time until a goroutine that panicked is run again.
const restartPause = 200 * time.Millisecond

// caught runs a function and reports whether it panicked. A fault in the handling
// of one message or response must not end the process.
func (g *Gateway) caught(run func()) (panicked bool) {
	defer func() {
		if r := recover(); r != nil {
			panicked = true
			g.metrics.faults.Inc()
			g.cfg.Logger.WithFields(log.Fields{"panic": fmt.Sprint(r), "stack": string(debug.Stack())}).Error("internal fault")
		}
	}()
	run()
	return false
}

// Close ends the entry at once.
func (g *Gateway) Close() {
	g.closing.Lock()
	g.cancel()
	g.EndService()
	g.closing.Unlock()
	g.background.Wait()
	_ = g.links.Close()
}

func (g *Gateway) now() time.Duration { return g.clock.Now() }

// Ready reports whether the entry knows a configuration.
func (g *Gateway) Ready() bool { return g.view.Load().Configured() }

// staleAfter is the age of the state above which the entry no longer says that
// a route does not exist: a change may be in force that it has not seen.
const staleAfter = 1500 * time.Millisecond

// stale reports whether the view may miss changes.
func (g *Gateway) stale(now time.Duration) bool {
	return now-time.Duration(g.contact.Load()) > staleAfter
}

// sweepInterval is the time between two looks at idle connections.
const sweepInterval = 2 * time.Second

func (g *Gateway) sweep(ctx context.Context) {
	for clock.Pause(ctx, sweepInterval) {
		g.pool.Sweep()
	}
}
