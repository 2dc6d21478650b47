package main

import (
	"context"
	"errors"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/urfave/cli/v3"

	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/controller"
	"github.com/flamingoreel/flamingoreel/internal/gateway"
	"github.com/flamingoreel/flamingoreel/internal/logs"
	"github.com/flamingoreel/flamingoreel/internal/signals"
	"github.com/flamingoreel/flamingoreel/platform"
)

// Times of a planned stop, time limits of connections and polling intervals.
const (
	// handoffTime is how long a stopping entry still accepts requests: the load
	// balancer stops sending connections after two readiness checks, which are
	// 1 s apart. Requests that were sent within acceptLimit of the stop signal may be
	// cut at the end of the grace time; signalMargin is the time that the process may
	// take to handle the signal.
	handoffTime  = acceptLimit - signalMargin
	acceptLimit  = 3 * time.Second
	signalMargin = 200 * time.Millisecond
	// callerIdleTime is how long callers are told to keep an idle connection. It is
	// shorter than handoffTime: when a stopping entry closes its idle connections,
	// no caller sends on one any more.
	callerIdleTime = 2 * time.Second
	// stopMargin is the end of the grace time that is reserved for the exit of the
	// process, and responseMargin the time before it for sending final responses.
	stopMargin     = 300 * time.Millisecond
	responseMargin = 200 * time.Millisecond
	// quietTime is how long no connection of a caller must have been active before a
	// stopping entry closes its listener: a caller that the load balancer sent
	// earlier connects within it.
	quietTime = 500 * time.Millisecond
	// quietPollInterval is the interval at which a stopping entry checks whether
	// callers' connections are active.
	quietPollInterval = 50 * time.Millisecond
	// controlStopTimeout bounds the time in which a stopping control VM completes its
	// open calls.
	controlStopTimeout = 300 * time.Millisecond
	// relayMemoryFraction is the fraction of the memory limit that requests served
	// for other entry VMs may take.
	relayMemoryFraction = 0.1
)

// roleCommands returns the commands that run one role of a deployment on the
// users' platform.
func roleCommands(received *signals.Handler) []*cli.Command {
	role := func(name, usage string, run func(context.Context, *process) error) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage,
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "settings", Usage: "path of the settings file", Sources: cli.EnvVars(platform.SettingsVariable)},
				stringFlag("log-level", "info", "debug, info, warn or error"),
				&cli.BoolFlag{
					Name: "slow-start", Usage: "entries let the share of targets that start or recover grow with their responses", Sources: env("slow-start"),
				},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				p, err := newProcess(c)
				if err != nil {
					return cli.Exit(err, exitSettings)
				}
				defer p.logs.Close()
				return asRunError(p.run(received, run))
			},
		}
	}
	return []*cli.Command{
		role("entry", "accept requests from callers and send them to targets", runEntry),
		role("control", "store the control log and serve targets and operators", runControl),
	}
}

// process holds what both roles use.
type process struct {
	path     string
	settings platform.Settings
	// modified is when the file of the settings was last modified before it was read.
	modified time.Time
	logs     *logs.Handler
	listeners
	// slowStart is gateway.Config.SlowStart.
	slowStart bool
	// reloads receives requests to reload the settings.
	reloads chan struct{}
}

func newProcess(c *cli.Command) (*process, error) {
	path := c.String("settings")
	modified := modifiedAt(path)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	level, err := log.ParseLevel(c.String("log-level"))
	if err != nil {
		return nil, err
	}
	handler := logs.New(os.Stdout)
	p := &process{
		path: path, settings: settings, modified: modified, logs: handler,
		listeners: newListeners(settings.MemoryBytes, &log.Logger{Handler: handler, Level: level}, prometheus.NewRegistry()),
		reloads:   make(chan struct{}, 1), slowStart: c.Bool("slow-start"),
	}
	p.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "flamingoreel_log_lines_dropped_total", Help: "Log lines dropped to stay within the permitted volume.",
	}, func() float64 { return float64(handler.Dropped()) }))
	return p, nil
}

// run runs a role until SIGINT or SIGTERM. The role closes what it opened.
func (p *process) run(received *signals.Handler, role func(context.Context, *process) error) error {
	received.Handle(p.logger, p.reloads)
	s := p.settings
	p.logger.WithFields(log.Fields{
		"vm": s.Name, "region": s.Region, "data_centre": s.DataCentre, "link": s.LinkAddr,
		"seeds": strings.Join(s.Seeds, ","), "bootstrap": s.Bootstrap, "tolerated": s.ToleratedLosses,
	}).Info("started")
	err := role(received.Context(), p)
	reason := "signal"
	if err != nil {
		p.logger.WithError(err).Error("role failed")
		reason = "failure"
	}
	p.logger.WithFields(log.Fields{"vm": s.Name, "reason": reason}).Info("stopped")
	return err
}

// listenCallers serves callers on an address within the limits of the configuration.
func (p *process) listenCallers(ctx context.Context, addr string, ingress *platform.Ingress) (*callers.Server, error) {
	return p.serve(ctx, callerListener, addr, callers.ServerConfig{
		Handler: ingress, Connections: ingress.Connections, Limits: ingress.Gateway.Limits, Stopping: ingress.Stopping.Load,
	})
}

func (p *process) listenMetrics(ctx context.Context) (*callers.Server, error) {
	handler := promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{})
	return p.serveOperators(ctx, metricsListener, p.settings.MetricsAddr, handler, callers.NewConnections())
}

// wait returns when the process is asked to stop or a server failed. Until then
// it reloads the settings on SIGHUP and when their file changes.
func (p *process) wait(ctx context.Context, addSeeds func([]string)) error {
	go p.watchSettings(ctx, addSeeds)
	select {
	case <-ctx.Done():
		return nil
	case err := <-p.failures:
		return err
	}
}

func runEntry(ctx context.Context, p *process) error {
	s := p.settings
	g, err := gateway.New(gateway.Config{
		Addr: s.LinkAddr, Region: s.Region, DataCentre: s.DataCentre, Regions: s.Regions, Seeds: s.Seeds,
		Dialect: platform.Dialect{}, ColdFactor: s.ColdFactor, ColdSlack: s.ColdSlack, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack,
		RelayBytes: int64(relayMemoryFraction * float64(s.MemoryBytes)), LinkBytes: s.LinkBytes, SlowStart: p.slowStart,
		Seed: uint64(time.Now().UnixNano()), Logger: p.logger, Registry: p.registry,
	})
	if err != nil {
		return cli.Exit(err, exitSettings)
	}
	defer g.Close()
	connected := callers.NewConnections()
	ingress := &platform.Ingress{Gateway: g, Connections: connected, Bodies: p.bodies(connected), IdleTime: callerIdleTime}
	server, err := p.listenCallers(ctx, s.CallerAddr, ingress)
	if err != nil {
		return err
	}
	isReady := platform.ReadyHandler(func() bool { return g.Accepting() && !ingress.Stopping.Load() })
	ready, err := p.serveOperators(ctx, readyListener, s.ReadyAddr, isReady, callers.NewConnections())
	if err != nil {
		return err
	}
	defer func() { _ = ready.Close() }()
	metrics, err := p.listenMetrics(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = metrics.Close() }()
	if err := p.wait(ctx, g.AddSeeds); err != nil {
		return err
	}
	p.logger.Info("draining")
	ingress.Stopping.Store(true)
	g.DeclineRelayed()
	g.FinishWithin(s.Grace - stopMargin - responseMargin)
	time.Sleep(min(handoffTime, s.Grace/2))
	return drainCallers(g, server, ingress.Connections, s.Grace-min(handoffTime, s.Grace/2)-stopMargin)
}

// drainCallers stops serving callers within a time limit. The listener stays open
// while callers' connections are active, because closing it resets connections that
// wait to be accepted, and while requests of other entry VMs are in progress.
// Requests received from now on are refused, and all others get their final response
// shortly before the limit.
func drainCallers(g *gateway.Gateway, server *callers.Server, connected *callers.Connections, limit time.Duration) error {
	end := time.Now().Add(limit)
	g.RefuseNew()
	server.SetKeepAlivesEnabled(false)
	for min(connected.IdleFor(), g.RelayIdleFor()) < quietTime && time.Until(end) > responseMargin {
		time.Sleep(quietPollInterval)
	}
	g.FinishRequests()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	return ignoreDeadline(server.Shutdown(ctx))
}

// ignoreDeadline returns nil for the error of a shutdown that exceeded its time
// limit: the remaining requests end with the process.
func ignoreDeadline(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func runControl(ctx context.Context, p *process) error {
	s := p.settings
	c, err := controller.New(controller.Config{
		Addr: s.LinkAddr, Region: s.Region, DataCentre: s.DataCentre, Seeds: s.Seeds,
		CallAddr: s.ControlAddr, Regions: s.Regions,
		DataDir: s.DataDir, Bootstrap: s.Bootstrap, ToleratedLosses: s.ToleratedLosses, CatchUp: s.CatchUp,
		HeartbeatInterval: s.HeartbeatInterval,
		Seed:              uint64(time.Now().UnixNano()), Logger: p.logger, Registry: p.registry,
	})
	if err != nil {
		return cli.Exit(err, exitSettings)
	}
	defer c.Close()
	connected := callers.NewConnections()
	handler := &platform.Calls{Control: c, Bodies: p.bodies(connected), Logger: p.logger}
	calls, err := p.serveOperators(ctx, controlListener, s.ControlAddr, handler, connected)
	if err != nil {
		return err
	}
	metrics, err := p.listenMetrics(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = metrics.Close() }()
	if err := p.wait(ctx, c.AddSeeds); err != nil {
		return err
	}
	c.Resign(context.Background())
	stopCtx, cancel := context.WithTimeout(context.Background(), controlStopTimeout)
	defer cancel()
	return ignoreDeadline(calls.Shutdown(stopCtx))
}
