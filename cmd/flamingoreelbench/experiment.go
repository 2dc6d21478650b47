package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/flamingoreel/flamingoreel/internal/experiment"
)

// experimentCommand returns the command that compares policies on load patterns in
// virtual time.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "simulate load patterns in virtual time and compare policies for admission and target selection",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "pattern", Usage: "run only patterns whose names contain this text", Sources: env("pattern")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals, service times and noisy neighbours", Sources: env("seed")},
			&cli.StringFlag{Name: "plot", Usage: "SVG file to which the credit over time of the last pattern is written", Sources: env("plot")},
		},
		Action: runExperiment,
	}
}

// rampSeeds is the number of seeds over which ramps are averaged: a single ramp depends on
// which targets happen to be slow.
const rampSeeds = 3

func runExperiment(_ context.Context, c *cli.Command) error {
	var rows, last []experiment.Row
	for _, p := range experiment.Patterns() {
		if strings.Contains(p.Name, c.String("pattern")) {
			last = experiment.Compare(p, c.Uint64("seed"))
			rows = append(rows, last...)
		}
	}
	var ramps []experiment.RampRow
	for _, p := range experiment.SlowStartPatterns() {
		if strings.Contains(p.Name, c.String("pattern")) {
			ramps = append(ramps, experiment.CompareSlowStart(p, c.Uint64("seed"), rampSeeds)...)
		}
	}
	if len(ramps) > 0 {
		if err := experiment.WriteRamps(os.Stdout, ramps); err != nil {
			return err
		}
	}
	if len(rows) == 0 && len(ramps) > 0 {
		return nil
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

// writePlot writes the plot of the rows to a new file.
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
