// Command standin runs a stand-in target for demos, tests and load runs. It keeps
// its state in memory; only the journal of executed POST requests is a file.
package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"github.com/flamingoreel/flamingoreel/internal/signals"
	"github.com/flamingoreel/flamingoreel/internal/standin"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
	// exitCrash is the exit code after a requested crash.
	exitCrash = 70
)

func main() {
	received := signals.Receive()
	received.Handle(&log.Logger{Handler: newHandler(os.Stderr), Level: log.InfoLevel}, nil)
	os.Exit(run(received.Context(), os.Args, os.Stderr))
}

// run runs the command and returns its exit code.
func run(ctx context.Context, args []string, stderr io.Writer) int {
	log.SetHandler(newHandler(stderr))
	code := exitOK
	cmd := &cli.Command{
		Name:            "standin",
		Usage:           "a stand-in target",
		Flags:           flags(),
		HideHelpCommand: true,
		ErrWriter:       stderr,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Action: func(ctx context.Context, c *cli.Command) error {
			code = serve(ctx, c, stderr)
			return nil
		},
	}
	if err := cmd.Run(ctx, args); err != nil {
		log.WithError(err).Error("invalid settings")
		return exitSettings
	}
	return code
}

// serve runs the target until ctx ends, drains it and returns the exit code.
func serve(ctx context.Context, c *cli.Command, stderr io.Writer) int {
	cfg, faults := settings(c)
	if len(faults) > 0 {
		for _, fault := range faults {
			_, _ = io.WriteString(stderr, fault+"\n")
		}
		return exitSettings
	}
	cfg.Exit = func() { os.Exit(exitCrash) }
	if err := openJournal(&cfg, c.String("journal")); err != nil {
		log.WithError(err).Error("cannot open journal")
		return exitFailed
	}
	target, err := standin.Start(cfg)
	if err != nil {
		log.WithError(err).Error("cannot start target")
		return exitFailed
	}
	defer target.Close()
	fields := log.Fields{"id": cfg.ID, "service": cfg.Service, "data_centre": cfg.DataCentre, "addr": target.Addr()}
	log.WithFields(fields).Info("target started")
	<-ctx.Done()
	drain(target, c.Duration("drain-grace"), c.Duration("drain-timeout"))
	log.WithFields(fields).Info("target stopped")
	return exitOK
}

// openJournal gives the target a ledger that appends the idempotency key of every
// POST request that runs to the named file. An empty name means no journal.
func openJournal(cfg *standin.Config, name string) error {
	if name == "" {
		return nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cfg.Ledger = standin.NewLedger()
	cfg.Ledger.SetJournal(f)
	return nil
}

// drain still accepts requests for the grace period, in which the control plane
// moves the target's slices. Then it refuses new requests and waits, up to the
// timeout, until the accepted ones have ended.
func drain(target *standin.Target, grace, timeout time.Duration) {
	target.Drain(grace)
	time.Sleep(grace)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := target.WaitIdle(ctx); err != nil {
		log.WithError(err).Warn("requests still running at the drain timeout")
	}
}
