// Package controller runs a control VM of a deployment whose targets fetch their
// keys by heartbeat. It holds a replica of the control log, answers targets and
// operators at every VM by passing their calls to the leader, and streams the
// state to entries.
//
// One goroutine owns the replica, the state and the registry; everything else
// reaches them through post.
package controller

import (
	"context"
	"math/rand/v2"
	"sync"
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

// Config are the settings of a control VM. VMs are named by the address of
// their links.
type Config struct {
	// Addr is the IP:port of this VM's links and its name.
	Addr string
	// Region and DataCentre are where this VM runs.
	Region, DataCentre string
	// CallAddr is where targets and operators reach this VM.
	CallAddr string
	// Regions maps data centres to their regions.
	Regions map[string]string
	// Seeds are the link addresses of control VMs known at the start.
	Seeds []string
	// DataDir is the folder of the control log.
	DataDir string
	// Bootstrap is true at the first start of the whole deployment: the seeds
	// then form the first voters.
	Bootstrap bool
	// Tolerated is how many control VMs may be lost at once.
	Tolerated int
	Seed      uint64
	Logger    log.Interface
	// Registry takes the metrics; nil for none.
	Registry prometheus.Registerer
}

// Methods of the links.
const (
	methodHello  = "hello"
	methodBeat   = "beat"
	methodChange = "change"
	methodRead   = "read"
	methodSample = "sample"

	methodSuspicions = "suspicions"
)

// Controller is a running control VM.
type Controller struct {
	cfg   Config
	clock clock.Since
	links *link.Node
	loop  *loop

	metrics *metrics

	suspicions suspicions
	leader     knownLeader

	mu sync.Mutex
	// known holds the control VMs by address.
	known map[string]watch.Peer
	// watchers holds when each entry last asked for news, and its region.
	watchers map[string]watcher
	// heard is when each control VM last introduced itself here.
	heard map[string]time.Duration
	// samples wait to be sent to the leader, by service.
	samples map[string]registry.Samples

	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New starts a control VM.
func New(cfg Config) (*Controller, error) {
	c := &Controller{
		cfg: cfg, clock: clock.Start(),
		known: make(map[string]watch.Peer), watchers: make(map[string]watcher), heard: make(map[string]time.Duration),
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
	c.handle()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	links.Serve()
	for _, run := range []func(context.Context){c.loop.run, c.introduce, c.passSamples} {
		c.background.Add(1)
		go func() {
			defer c.background.Done()
			run(ctx)
		}()
	}
	return c, nil
}

// Close ends the VM at once.
func (c *Controller) Close() {
	c.cancel()
	c.background.Wait()
	_ = c.links.Close()
	c.loop.close()
}

func (c *Controller) now() time.Duration { return c.clock.Now() }

// handle registers the handlers of the links.
func (c *Controller) handle() {
	c.links.Handle(watch.MethodReplica, c.replicaMessage)
	c.links.Handle(methodHello, c.helloReceived)
	c.links.Handle(methodBeat, func(ctx context.Context, _ string, payload []byte) ([]byte, error) {
		return c.leadBeat(ctx, payload)
	})
	c.links.Handle(methodChange, func(ctx context.Context, _ string, payload []byte) ([]byte, error) {
		return c.leadChange(ctx, payload)
	})
	c.links.Handle(methodRead, func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		return c.leadRead(ctx)
	})
	c.links.Handle(methodSample, c.samplesReceived)
	c.links.Handle(methodSuspicions, c.suspicionsReceived)
	c.links.Handle(watch.Method, c.watchReceived)
}

// Time limits of calls.
const (
	// callTimeout bounds one call to the leader: two round trips between regions
	// and the syncs of a slow disk.
	callTimeout = 800 * time.Millisecond
	// findPause is the time between two looks for a leader.
	findPause = 100 * time.Millisecond
	// beatTimeout is below the second after which a target gives a call up.
	beatTimeout = 900 * time.Millisecond
	// changeTimeout bounds a change of the operators. They ask another VM after a
	// second without an answer.
	changeTimeout = 950 * time.Millisecond
)

// Beat answers a heartbeat: here if it says nothing new and grants nothing, else
// at the leader. Errors: NotLeader when none was found.
func (c *Controller) Beat(ctx context.Context, b registry.Beat) (registry.Grant, *errkind.Error) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	local, failure := c.localView(ctx, b)
	if failure == nil && local.nothingNew {
		return registry.Grant{}, nil
	}
	payload, err := wire.Marshal(&beatRequest{Beat: b.Settled(), Shard: local.revision})
	if err != nil {
		return registry.Grant{}, errkind.From(err)
	}
	data, _, failure := c.callLeader(ctx, methodBeat, payload, c.leadBeat)
	if failure != nil {
		return registry.Grant{}, failure
	}
	var answer beatAnswer
	if err := wire.Unmarshal(data, &answer); err != nil {
		return registry.Grant{}, errkind.From(err)
	}
	if answer.Known {
		answer.Grant.Rows = local.rows
	}
	return answer.Grant, nil
}

// Nearer returns where a target of a data centre should send its heartbeats, or
// "" when this VM is as near as any.
func (c *Controller) Nearer(dataCentre string) string {
	region := c.cfg.Regions[dataCentre]
	if region == c.cfg.Region {
		return ""
	}
	for _, p := range c.Known() {
		if p.Region == region && p.Alive && p.CallAddr != "" {
			return p.CallAddr
		}
	}
	return ""
}

// Change commits a change of the operators. Errors: InvalidText for a change
// that is refused, NotLeader, or a kind with outcome Unknown when the change
// may still be committed; repeating a change is harmless.
func (c *Controller) Change(ctx context.Context, cmd fleet.Command) *errkind.Error {
	payload, err := wire.Marshal(&cmd)
	if err != nil {
		return errkind.From(err)
	}
	asked := c.now()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	_, attempts, failure := c.callLeader(ctx, methodChange, payload, c.leadChange)
	c.logAnswer(attempts, c.now()-asked, failure)
	return failure
}

// logAnswer records how the change that an operator sent to this VM was answered.
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

// Items returns the configuration as the leader has it.
func (c *Controller) Items(ctx context.Context) ([]items.Item, *errkind.Error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	data, _, failure := c.callLeader(ctx, methodRead, nil, func(ctx context.Context, _ []byte) ([]byte, error) { return c.leadRead(ctx) })
	if failure != nil {
		return nil, failure
	}
	var all []items.Item
	if err := wire.Unmarshal(data, &all); err != nil {
		return nil, errkind.From(err)
	}
	return all, nil
}

// callLeader runs a call at the leader, here or elsewhere, and looks for the
// leader again until ctx ends. It also returns the number of attempts. All calls
// may be repeated.
func (c *Controller) callLeader(ctx context.Context, method string, payload []byte,
	local func(context.Context, []byte) ([]byte, error),
) (answer []byte, attempts int, failure *errkind.Error) {
	failure = errkind.New(errkind.NotLeader, "the control leader is not known")
	for ctx.Err() == nil {
		attempts++
		leader, changed := c.leader.follow()
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
		clock.Pause(ctx, findPause)
	}
	return nil, attempts, failure
}

// callVM calls the leader and gives up once that is replaced: one that froze or is
// cut off would hold the call for all of its time.
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

// Leader returns the link address of the leader, or "" when none is known.
func (c *Controller) Leader() string {
	return c.leader.get()
}
