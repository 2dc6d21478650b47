// Package gateway implements the entry VM of a deployment whose targets verify
// for themselves that a request is meant for them and which keys they hold. It
// follows the fleet state and sends each request directly to a target.
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
	"github.com/flamingoreel/flamingoreel/internal/reach"
	"github.com/flamingoreel/flamingoreel/internal/registry"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// Dialect defines the headers by which the system and its targets exchange
// information.
type Dialect interface {
	// Prepare sets the request headers that the system itself controls. left is
	// the time until the request's deadline.
	Prepare(h http.Header, left time.Duration, target string)
	// Read returns the information that a response carries in its status and
	// headers.
	Read(resp *upstream.Response) ResponseInfo
}

// ResponseInfo is the information that the status and headers of a response carry.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response answers.
	RequestID string
	// FromTarget reports that the target itself made the response.
	FromTarget bool
	// NotRun reports that the target did not run the request.
	NotRun bool
	// Misdirected reports that another target has the address or that the
	// target does not hold the key.
	Misdirected bool
	// Target is the ID of the target that answered a health check.
	Target string
	// ColdFor is how long the target stays cold, as reported by a health check.
	ColdFor time.Duration
	// Load is the load that the target reported, or nil.
	Load *placement.Load
	// Leaving reports that the target says that it is leaving.
	Leaving bool
	// Pause is how long the target wants no requests from this entry VM, or 0.
	Pause time.Duration
	// Limit is what the target says about the rate of requests from all entry VMs.
	Limit placement.Limit
}

// Config holds the settings of a gateway.
type Config struct {
	// Addr is the IP:port of the links and also the name of this VM.
	Addr               string
	Region, DataCentre string
	// Regions maps data centres to their regions.
	Regions map[string]string
	// Seeds are the link addresses of the control VMs known at startup.
	Seeds   []string
	Dialect Dialect
	// ColdFactor and ColdSlack bound the requests per second that all entry VMs
	// together send to a cold target: its rate times the factor plus the slack.
	ColdFactor float64
	ColdSlack  float64
	// RetryRatio is the share of requests that all entry VMs together may retry
	// within a window of some seconds, and RetrySlack is a number of retries
	// allowed in addition.
	RetryRatio, RetrySlack float64
	// RelayBytes bounds the memory for requests that this VM serves for other entry
	// VMs; 0 means 32 MiB.
	RelayBytes int64
	// LinkBytes is the capacity of this VM's network link in bytes per second; 0 means
	// that it is not known, and that neither downloads nor the requests of other entry
	// VMs are limited.
	LinkBytes float64
	// SlowStart lets the share of targets that start or recover grow with their
	// responses, where their service names a cold start.
	SlowStart bool
	Seed      uint64
	Logger    log.Interface
	Registry  prometheus.Registerer
	// now replaces the clock in tests.
	now func() time.Duration
}

// Gateway is a running entry VM.
type Gateway struct {
	cfg     Config
	clock   clock.Clock
	links   *link.Node
	pool    *upstream.Pool
	metrics *metrics

	view atomic.Pointer[fleet.View]
	// stateTime is the monotonic time of the leader's state that the view
	// shows.
	stateTime atomic.Int64
	crashes   crashTracker
	// pendingSeeds holds control VMs of changed settings that the watcher has
	// not added yet.
	pendingSeeds atomic.Pointer[[]watch.Peer]

	mu sync.Mutex
	// changed is closed and replaced whenever the view changes.
	changed      chan struct{}
	targetStates map[fleet.Incarnation]*targetState
	// averages holds, by service, the averages of what its targets report.
	averages     map[string]*placement.ServiceAverage
	retryBudgets map[string]*retryBudget
	// pressures holds, by service, the queue pressure at its targets.
	pressures map[string]*placement.LoadShedder
	splits    map[string]*split
	// subsets holds the preferred targets of each service under the current
	// view.
	subsets map[string]map[string]bool
	// routeWork holds, by route name, the usual service time of a request.
	routeWork map[string]*placement.WorkEstimate
	// samples holds, by service, the keys and service times of sharded services
	// observed since the last watch.
	samples map[string]*registry.Samples
	// path is the state of this VM's own path to targets, and relayPeers selects the
	// entry VMs that relay requests while it is broken.
	path       *reach.Path
	relayPeers *reach.Peers
	// linkBudget limits the requests that this VM serves for others.
	linkBudget *reach.LinkBudget
	// link shares the link between short messages and downloads; nil if its capacity is
	// not known or high.
	link *linkScheduler
	rng  *rand.Rand
	// regionEntries is the number of entries in the region, and slowStartEntries the
	// least one at which slow start applies.
	regionEntries    countedEntries
	slowStartEntries int

	// relayLimit bounds the requests that this VM serves for others, relayCopies the
	// copies of bodies that it sends to others.
	relayLimit, relayCopies *relayLimiter

	stopping   stopping
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	// startMu ensures that no goroutine starts once Close waits for the
	// goroutines to end.
	startMu sync.Mutex
}

// targetState is what the gateway knows of a target.
type targetState struct {
	placement.TargetStats
	placement.Availability
	// throttle holds the limit that the target named, and followsLimit reports that a
	// goroutine looks for its end.
	throttle     placement.Throttle
	followsLimit bool
	limitShare   *knownShare
	// healthNamesLimit reports that the responses to health checks name the limit, so
	// that one without a limit shows its end.
	healthNamesLimit bool
	coldInterval     *knownColdInterval
	// coldUntil comes from the target's own health check.
	coldUntil time.Duration
	slowStart placement.SlowStart
	// recovering reports that a goroutine checks the target until it is
	// healthy.
	recovering bool
	// checks distinguishes that goroutine from earlier ones that have not ended yet.
	checks int
	// usedSinceCheck reports that a request was sent since the last check of
	// cold targets.
	usedSinceCheck bool
}

// New starts a gateway. It can serve once Ready reports true.
func New(cfg Config) (*Gateway, error) {
	relayLimit := newRelayLimiter(cfg.RelayBytes)
	linkConfig := watch.LinkConfig(cfg.Addr, cfg.Seed, cfg.Logger)
	// Only relayed requests are long; the limiter sees them once they were received.
	linkConfig.MaxReceiving = max(relayLimit.maxBytes, maxRelayedBody+relayOverhead)
	links, err := link.Listen(linkConfig)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg: cfg, clock: clock.Start(), links: links, pool: upstream.NewPool(),
		metrics: newMetrics(cfg.Registry), crashes: newCrashTracker(), changed: make(chan struct{}),
		targetStates: make(map[fleet.Incarnation]*targetState),
		averages:     make(map[string]*placement.ServiceAverage),
		retryBudgets: make(map[string]*retryBudget), pressures: make(map[string]*placement.LoadShedder), splits: make(map[string]*split),
		routeWork: make(map[string]*placement.WorkEstimate),
		subsets:   make(map[string]map[string]bool),
		samples:   make(map[string]*registry.Samples), stopping: newStopping(),
		path: reach.NewPath(), relayPeers: reach.NewPeers(reach.Peer{Addr: cfg.Addr, DataCentre: cfg.DataCentre, Region: cfg.Region}),
		relayLimit: relayLimit, relayCopies: newRelayLimiter(cfg.RelayBytes), linkBudget: reach.NewLinkBudget(cfg.LinkBytes),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), slowStartEntries: defaultSlowStartEntries,
	}
	g.view.Store(fleet.NewView())
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.metrics.registerPath(cfg.Registry, g)
	if g.link = newLinkScheduler(cfg, g.now, g.recoverPanic); g.link != nil {
		g.pool.LimitWindow(g.link.share.Window())
	}
	links.Handle(methodRelay, g.handleRelay)
	if cfg.Registry != nil {
		cfg.Registry.MustRegister(availabilityCollector{g}, slowStartCollector{g})
	}
	links.Serve()
	g.start(g.watchControl)
	g.start(g.sweepIdle)
	g.start(g.checkColdTargets)
	return g, nil
}

// start runs a function in a goroutine that ends with the gateway. After Close
// it does nothing. A function that panics is run again: without one of its
// goroutines the gateway would go on with an outdated state.
func (g *Gateway) start(run func(ctx context.Context)) {
	g.startMu.Lock()
	defer g.startMu.Unlock()
	if g.ctx.Err() != nil {
		return
	}
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		for g.recoverPanic(func() { run(g.ctx) }) && clock.Sleep(g.ctx, restartDelay) {
		}
	}()
}

// restartDelay is the delay before a function that panicked is run again.
const restartDelay = 200 * time.Millisecond

// recoverPanic runs a function and reports whether it panicked. A fault in the
// handling of one message or response must not end the process.
func (g *Gateway) recoverPanic(run func()) (panicked bool) {
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

// Close stops the gateway immediately.
func (g *Gateway) Close() {
	g.startMu.Lock()
	g.cancel()
	g.FinishRequests()
	g.startMu.Unlock()
	g.background.Wait()
	_ = g.links.Close()
}

func (g *Gateway) now() time.Duration {
	if g.cfg.now != nil {
		return g.cfg.now()
	}
	return g.clock.Now()
}

// Ready reports whether the gateway has received a configuration.
func (g *Gateway) Ready() bool { return g.view.Load().Configured() }

// staleAfter is the age of the state above which the gateway no longer reports
// that a route does not exist: there may be a newer configuration that it has
// not received.
const staleAfter = 1500 * time.Millisecond

// stale reports whether the view may lack recent changes.
func (g *Gateway) stale(now time.Duration) bool {
	return now-time.Duration(g.stateTime.Load()) > staleAfter
}

// sweepInterval is the time between two sweeps of idle connections.
const sweepInterval = 2 * time.Second

func (g *Gateway) sweepIdle(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		g.pool.CloseExpired()
	}
}
