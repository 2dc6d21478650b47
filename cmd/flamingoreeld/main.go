// Command flamingoreeld is the daemon that runs on every VM of the system.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	err := command().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	if message := err.Error(); message != "" {
		fmt.Fprintln(os.Stderr, "flamingoreeld:", message)
	}
	os.Exit(exitCode(err))
}

// exitCode returns the code that an error asks for. An error of the flags
// themselves comes without one and counts as a fault of the settings.
func exitCode(err error) int {
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	var failed *runError
	if errors.As(err, &failed) {
		return exitFailed
	}
	return exitSettings
}
