// Command flamingoreelctl checks, compares and applies the operators'
// configuration text, checks changes of items, and reads the status of the system.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed means that the command failed: a server refused the request or the
	// change, or no server gave a final response.
	exitFailed = 1
	// exitFaults means that the settings, the text or the items have faults; no change was made.
	exitFaults = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), stopSignals()...)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// stopSignals returns the signals that end a command. A SIGHUP that is ignored, as
// under nohup, stays ignored.
func stopSignals() []os.Signal {
	stops := []os.Signal{syscall.SIGINT, syscall.SIGTERM}
	if !signal.Ignored(syscall.SIGHUP) {
		stops = append(stops, syscall.SIGHUP)
	}
	return stops
}

// run runs the command in args and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	t := &tool{stdout: stdout, stderr: stderr}
	if err := t.command().Run(ctx, args); err != nil {
		t.printErrors(err.Error())
		return exitFaults
	}
	return t.code
}
