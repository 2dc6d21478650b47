package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/flamingoreel/flamingoreel/internal/experiment"
)

// experimentCommand compares policies on load patterns in virtual time.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "replay load patterns in virtual time under the policies for waiting, refusing and placing requests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "pattern", Usage: "only patterns whose names contain this text", Sources: env("pattern")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals, work and neighbours", Sources: env("seed")},
			&cli.StringFlag{Name: "plot", Usage: "SVG file for the credit over time of the last pattern", Sources: env("plot")},
		},
		Action: runExperiment,
	}
}

func runExperiment(_ context.Context, c *cli.Command) error {
	var rows, last []experiment.Row
	for _, p := range experiment.Patterns() {
		if strings.Contains(p.Name, c.String("pattern")) {
			last = experiment.Compare(p, c.Uint64("seed"))
			rows = append(rows, last...)
		}
	}
	if len(rows) == 0 {
		return fmt.Errorf("no pattern contains %q", c.String("pattern"))
	}
	if err := experiment.WriteTable(os.Stdout, rows); err != nil {
		return err
	}
	if c.String("plot") == "" {
		return nil
	}
	return writePlot(c.String("plot"), last)
}

func writePlot(path string, rows []experiment.Row) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := experiment.WritePlot(file, rows); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
