// Command flamingoreeld is the daemon that runs on every VM of the system.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/flamingoreel/flamingoreel/internal/signals"
)

func main() {
	received := signals.Receive()
	err := command(received).Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	if message := err.Error(); message != "" {
		fmt.Fprintln(os.Stderr, "flamingoreeld:", message)
	}
	os.Exit(exitCode(err))
}

// exitCode returns the exit code for err. An error from parsing the flags has no
// code of its own and counts as an error in the settings.
func exitCode(err error) int {
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
	}
	var runErr *runError
	if errors.As(err, &runErr) {
		return exitFailed
	}
	return exitSettings
}
