// Package controller runs a control VM of a deployment whose targets fetch their
// keys by heartbeat. It holds a replica of the control log and streams the state to
// entry VMs. Targets and operators may call any control VM, which forwards their
// calls to the leader.
//
// One goroutine, the control goroutine, owns the replica, the state and the
// registry. Other goroutines reach them through post and call.
package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/registry"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Config holds the settings of a control VM. The name of a VM is its link address.
type Config struct {
	// Addr is the IP:port on which this VM accepts links, and its name.
	Addr string
	// Region and DataCentre are the location of this VM.
	Region, DataCentre string
	// CallAddr is the address at which targets and operators call this VM.
	CallAddr string
	// Regions maps data centres to their regions.
	Regions map[string]string
	// Seeds are the link addresses of the control VMs that are known at the start.
	Seeds []string
	// DataDir is the data directory of the control log.
	DataDir string
	// Bootstrap is true at the first start of the whole deployment. The seeds are
	// then the initial voters.
	Bootstrap bool
	// ToleratedLosses is the number of control VMs that may be lost at once.
	ToleratedLosses int
	// CatchUp is the time within which a VM that starts catches up. A VM that is gone
	// for good must have a successor by then.
	CatchUp time.Duration
	// HeartbeatInterval is the time between two heartbeats of a target.
	HeartbeatInterval time.Duration
	// Seed makes the reconnect jitter and the election timeouts repeatable.
	Seed   uint64
	Logger log.Interface
	// Registry is where the metrics are registered; nil for none.
	Registry prometheus.Registerer
}

// Methods of calls between control VMs.
const (
	methodHello     = "hello"
	methodHeartbeat = "beat"
	methodChange    = "change"
	methodRead      = "read"
	methodSample    = "sample"

	methodSuspicions = "suspicions"
	methodResign     = "resign"
)

// Controller is a running control VM.
type Controller struct {
	cfg   Config
	clock clock.Clock
	links *link.Node
	loop  *loop

	metrics *metrics

	suspicions suspicions
	leader     knownLeader
	// stopping says that this VM stops and gives up its vote.
	stopping atomic.Bool
	// silent is how long members of the control log have been silent, by replica ID, as
	// last determined while this VM led.
	silent atomic.Pointer[map[string]time.Duration]

	mu sync.Mutex
	// known holds the known control VMs by link address.
	known map[string]watch.Peer
	// watchers holds the entry VMs that watch this VM, by link address.
	watchers map[string]watcher
	// lastHello is when each control VM last introduced itself to this VM, by link
	// address.
	lastHello map[string]time.Duration
	// reloadedSeeds are the control VMs that reloaded settings name.
	reloadedSeeds []string
	// lastNamed is when each known control VM was last named by another one, by link
	// address.
	lastNamed map[string]time.Duration
	// samples are those not yet sent to the leader, by service.
	samples map[string]registry.Samples

	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New starts a control VM.
func New(cfg Config) (*Controller, error) {
	c := &Controller{
		cfg: cfg, clock: clock.Start(),
		known: make(map[string]watch.Peer), watchers: make(map[string]watcher), lastHello: make(map[string]time.Duration), lastNamed: make(map[string]time.Duration),
		samples: make(map[string]registry.Samples), suspicions: suspicions{origin: rand.Uint64()},
	}
	for _, seed := range cfg.Seeds {
		c.known[seed] = watch.Peer{Addr: seed}
	}
	c.known[cfg.Addr] = c.self()
	links, err := link.Listen(watch.LinkConfig(cfg.Addr, cfg.Seed, cfg.Logger))
	if err != nil {
		return nil, err
	}
	c.links = links
	c.loop = newLoop(c)
	c.metrics = newMetrics(cfg.Registry, func() int { return c.loop.events.length() })
	if err := c.loop.open(); err != nil {
		_ = links.Close()
		return nil, err
	}
	c.registerHandlers()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	links.Serve()
	for _, run := range []func(context.Context){c.loop.run, c.introduce, c.sendSamples} {
		c.background.Add(1)
		go func() {
			defer c.background.Done()
			run(ctx)
		}()
	}
	return c, nil
}

// Close stops the VM at once.
func (c *Controller) Close() {
	c.cancel()
	c.background.Wait()
	_ = c.links.Close()
	c.loop.close()
}

func (c *Controller) now() time.Duration { return c.clock.Now() }

// registerHandlers registers the handlers of the link methods.
func (c *Controller) registerHandlers() {
	c.links.Handle(watch.MethodReplica, c.handleReplicaMessage)
	c.links.Handle(methodHello, c.handleHello)
	c.links.Handle(methodHeartbeat, func(ctx context.Context, _ string, payload []byte) ([]byte, error) {
		return c.handleHeartbeat(ctx, payload)
	})
	c.links.Handle(methodChange, func(ctx context.Context, _ string, payload []byte) ([]byte, error) {
		return c.handleChange(ctx, payload)
	})
	c.links.Handle(methodRead, func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		return c.handleRead(ctx)
	})
	c.links.Handle(methodResign, c.handleResign)
	c.links.Handle(methodSample, c.handleSamples)
	c.links.Handle(methodSuspicions, c.handleSuspicions)
	c.links.Handle(watch.MethodWatch, c.handleWatch)
}

// Time limits of calls.
const (
	// callTimeout bounds one call to the leader. It covers two round trips between
	// regions and the syncs of a slow disk.
	callTimeout = 800 * time.Millisecond
	// leaderRetryPause is the time between two attempts to call the leader.
	leaderRetryPause = 100 * time.Millisecond
	// heartbeatTimeout bounds the handling of a heartbeat. It is below the second
	// after which a target abandons a call.
	heartbeatTimeout = 900 * time.Millisecond
	// changeTimeout bounds an operator's change or read. Operators try another VM
	// after a second without a response.
	changeTimeout = 950 * time.Millisecond
)

// Heartbeat answers a heartbeat. It answers locally if the heartbeat brings nothing new
// and the target gets no keys, and otherwise calls the leader. Errors: NotLeader if
// no leader was found.
func (c *Controller) Heartbeat(ctx context.Context, b registry.Heartbeat) (registry.Grant, *errkind.Error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if err := b.Check(); err != nil {
		c.metrics.oddHeartbeats.Inc()
		return registry.Grant{}, errkind.Wrap(errkind.BadRequest, err, "heartbeat of %.64q names", b.Target.ID)
	}
	b = b.WithoutOddRows()
	local, failure := c.localView(ctx, b)
	if failure == nil && local.redundant {
		return registry.Grant{}, nil
	}
	payload, err := wire.Marshal(&heartbeatRequest{Heartbeat: b.WithoutStaleReleases(), ShardMapRevision: local.revision})
	if err != nil {
		return registry.Grant{}, errkind.From(err)
	}
	data, _, failure := c.callLeader(ctx, methodHeartbeat, payload, c.handleHeartbeat)
	if failure != nil {
		return registry.Grant{}, failure
	}
	var response heartbeatResponse
	if err := wire.Unmarshal(data, &response); err != nil {
		return registry.Grant{}, errkind.From(err)
	}
	if response.RowsOmitted {
		response.Grant.Rows = local.rows
	}
	return response.Grant, nil
}

// NearerCallAddr returns the call address of a reachable control VM in the region of a data
// centre, to which the data centre's targets should send their heartbeats. It
// returns "" if this VM is in that region itself or no such VM is known.
func (c *Controller) NearerCallAddr(dataCentre string) string {
	region := c.cfg.Regions[dataCentre]
	if region == c.cfg.Region {
		return ""
	}
	for _, p := range c.ControlVMs() {
		if p.Region == region && p.Alive && p.CallAddr != "" {
			return p.CallAddr
		}
	}
	return ""
}

// Change commits an operator's change. Errors: InvalidText for a rejected change,
// NotLeader, or a kind with outcome Unknown if the change may still be committed.
// Repeating a change is harmless.
func (c *Controller) Change(ctx context.Context, cmd fleet.Command) *errkind.Error {
	payload, err := wire.Marshal(&cmd)
	if err != nil {
		return errkind.From(err)
	}
	start := c.now()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	_, attempts, failure := c.callLeader(ctx, methodChange, payload, c.handleChange)
	c.logAnswer(attempts, c.now()-start, failure)
	return failure
}

// logAnswer logs the outcome of a change that an operator sent to this VM, and adds
// its duration to the metrics.
func (c *Controller) logAnswer(attempts int, took time.Duration, failure *errkind.Error) {
	c.metrics.answered.WithLabelValues(outcome(failure)).Observe(took.Seconds())
	line := c.cfg.Logger.WithFields(log.Fields{
		"outcome": outcome(failure), "attempts": attempts, "took": took, "leader": c.Leader(),
	})
	if failure != nil {
		line = line.WithField("reason", failure.Error())
	}
	line.Info("change answered")
}

// Items returns the items of the configuration from the leader's state.
func (c *Controller) Items(ctx context.Context) ([]items.Item, *errkind.Error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	data, _, failure := c.callLeader(ctx, methodRead, nil, func(ctx context.Context, _ []byte) ([]byte, error) { return c.handleRead(ctx) })
	if failure != nil {
		return nil, failure
	}
	var all []items.Item
	if err := wire.Unmarshal(data, &all); err != nil {
		return nil, errkind.From(err)
	}
	return all, nil
}

// callLeader runs a call on the leader, which may be this VM, and retries it until
// ctx ends unless the request is rejected as invalid. Calls must therefore be
// repeatable. It also returns the number of attempts.
func (c *Controller) callLeader(ctx context.Context, method string, payload []byte,
	local func(context.Context, []byte) ([]byte, error),
) (answer []byte, attempts int, failure *errkind.Error) {
	failure = errkind.New(errkind.NotLeader, "the control leader is not known")
	for ctx.Err() == nil {
		attempts++
		leader, changed := c.leader.watch()
		var data []byte
		var err error
		switch leader {
		case "":
			err = failure
		case c.cfg.Addr:
			data, err = local(ctx, payload)
		default:
			data, err = c.callVM(ctx, leader, changed, method, payload)
		}
		if err == nil {
			return data, attempts, nil
		}
		failure = errkind.From(err)
		if failure.Kind == errkind.InvalidText || failure.Kind == errkind.BadRequest {
			return nil, attempts, failure
		}
		clock.Sleep(ctx, leaderRetryPause)
	}
	return nil, attempts, failure
}

// callVM calls the leader and gives up once replaced is closed. Without that, a
// leader that hangs or is cut off would block the call for the whole callTimeout.
func (c *Controller) callVM(ctx context.Context, addr string, replaced <-chan struct{}, method string, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	go func() {
		select {
		case <-replaced:
			cancel()
		case <-ctx.Done():
		}
	}()
	c.links.SetPeer(addr, addr)
	return c.links.Call(ctx, addr, method, payload)
}

// Leader returns the link address of the leader, or "" if none is known.
func (c *Controller) Leader() string {
	return c.leader.get()
}
