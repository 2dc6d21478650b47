// Command flamingoreelctl checks, compares and applies the operators'
// configuration text and reads the status of the system.
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
	// exitFailed: the change was refused or no server answered.
	exitFailed = 1
	// exitFaults: the settings or the text have faults; nothing was sent.
	exitFaults = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	t := &tool{stdout: stdout, stderr: stderr}
	if err := t.command().Run(ctx, args); err != nil {
		t.complain(err.Error())
		return exitFaults
	}
	return t.code
}
