package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/urfave/cli/v3"

	"github.com/flamingoreel/flamingoreel/internal/admin"
	"github.com/flamingoreel/flamingoreel/internal/signals"
	"github.com/flamingoreel/flamingoreel/internal/vm"
)

// run starts the VM and serves until SIGINT or SIGTERM.
func run(received *signals.Handler, s settings) error {
	logger := &log.Logger{Handler: logfmt.New(os.Stderr), Level: s.logLevel}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	received.Handle(logger, nil)

	dataDir := ""
	if slices.Contains(s.voters, s.name) {
		dataDir = s.dataDir
	}
	node, err := vm.New(vm.Config{
		Name: s.name, Region: s.region, DataCentre: s.dataCentre, Cluster: s.cluster,
		LinkAddr: s.linkAddr, CallerAddr: s.callerAddr, Peers: s.peers,
		Voters: s.voters, DataDir: dataDir, Bootstrap: s.bootstrap,
		Incarnation: uint64(time.Now().UnixNano()), Seed: uint64(time.Now().UnixNano()),
		MaxRecordBytes: s.recordBytes,
		Logger:         logger, Registry: registry,
	})
	if err != nil {
		// An error of vm.New counts as one in the settings, which name the
		// addresses and the data directory.
		return cli.Exit(err, exitSettings)
	}
	defer node.Close()
	callers := &http.Server{Handler: node.Entry().Handler(), ReadHeaderTimeout: headerTimeout}
	operators := &http.Server{Handler: admin.Handler(node, registry), ReadHeaderTimeout: headerTimeout}
	serverErrors := make(chan error, 2)
	if err := serve(callers, s.callerAddr, serverErrors); err != nil {
		return err
	}
	if err := serve(operators, s.adminAddr, serverErrors); err != nil {
		return err
	}
	logger.WithFields(log.Fields{"vm": s.name, "region": s.region, "data_centre": s.dataCentre, "callers": s.callerAddr}).Info("started")
	select {
	case err := <-serverErrors:
		return err
	case <-received.Context().Done():
	}
	drain(node, callers, s.drainTimeout)
	logger.WithField("vm", s.name).Info("stopped")
	return operators.Close()
}

// serve runs a server in the background and sends its failure to serverErrors.
func serve(server *http.Server, addr string, serverErrors chan<- error) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			serverErrors <- err
		}
	}()
	return nil
}

// drain stops the VM gracefully within a time limit: other VMs take over its
// contracts and requests in flight end before the callers' listener closes.
func drain(node *vm.VM, callers *http.Server, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	node.Drain(ctx)
	_ = callers.Shutdown(ctx)
}
