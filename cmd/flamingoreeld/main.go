// Command flamingoreeld is the daemon that runs on every VM of the system.
package main

import (
	"context"
	"fmt"
	"os"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
