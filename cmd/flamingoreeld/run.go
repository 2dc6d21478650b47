package main

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/urfave/cli/v3"

	"github.com/flamingoreel/flamingoreel/internal/admin"
	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/signals"
	"github.com/flamingoreel/flamingoreel/internal/vm"
)

// run starts the VM and serves until SIGINT or SIGTERM.
func run(received *signals.Handler, s settings) error {
	logger := &log.Logger{Handler: logfmt.New(os.Stderr), Level: s.logLevel}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	received.Handle(logger, nil)
	addresses := newListeners(s.memoryBytes, logger, registry)
	connected := callers.NewConnections()

	dataDir := ""
	if slices.Contains(s.voters, s.name) {
		dataDir = s.dataDir
	}
	node, err := vm.New(vm.Config{
		Name: s.name, Region: s.region, DataCentre: s.dataCentre, Cluster: s.cluster,
		LinkAddr: s.linkAddr, CallerAddr: s.callerAddr, Peers: s.peers,
		Voters: s.voters, DataDir: dataDir, Bootstrap: s.bootstrap,
		Incarnation: uint64(time.Now().UnixNano()), Seed: uint64(time.Now().UnixNano()),
		MaxRecordBytes: s.recordBytes, Bodies: addresses.bodies(connected),
		Logger: logger, Registry: registry,
	})
	if err != nil {
		// An error of vm.New counts as one in the settings, which name the
		// addresses and the data directory.
		return cli.Exit(err, exitSettings)
	}
	defer node.Close()
	server, err := addresses.serve(received.Context(), callerListener, s.callerAddr, callers.ServerConfig{
		Handler: node.Entry().Handler(), Connections: connected, Limits: func() callers.Limits { return callers.LimitsOf(nil) },
		Stopping: node.Stopping,
	})
	if err != nil {
		return err
	}
	connectedOperators := callers.NewConnections()
	operatorHandler := admin.Handler(node, registry, addresses.bodies(connectedOperators))
	operators, err := addresses.serveOperators(received.Context(), adminListener, s.adminAddr, operatorHandler, connectedOperators)
	if err != nil {
		return err
	}
	logger.WithFields(log.Fields{"vm": s.name, "region": s.region, "data_centre": s.dataCentre, "callers": s.callerAddr}).Info("started")
	select {
	case err := <-addresses.failures:
		return err
	case <-received.Context().Done():
	}
	drain(node, server, s.drainTimeout)
	logger.WithField("vm", s.name).Info("stopped")
	return operators.Close()
}

// drain stops the VM gracefully within a time limit: other VMs take over its
// contracts and requests in flight end before the callers' listener closes.
func drain(node *vm.VM, server *callers.Server, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	node.Drain(ctx)
	_ = server.Shutdown(ctx)
}
