package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/platform"
)

// itemSettings are the settings of the check of items.
type itemSettings struct {
	// inForce is the file with the items in force.
	inForce string
	regions []string
	// memory is the memory of an entry in bytes; 0 means unknown.
	memory int64
}

func itemFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "in-force", Usage: "file with the items in force, as config.get returns them"},
		&cli.StringFlag{Name: "regions", Usage: "all regions of the deployment, separated by commas"},
		&cli.IntFlag{Name: "memory", Usage: "memory of the smallest entry in MB, as memory_mb in its settings"},
	}
}

// readItemSettings returns the settings of the check of items and all their faults.
func readItemSettings(c *cli.Command) (itemSettings, []string) {
	s := itemSettings{inForce: c.String("in-force"), memory: int64(c.Int("memory")) << 20}
	var faults []string
	if s.inForce == "" {
		faults = append(faults, "--in-force is missing")
	}
	if memory := c.Int("memory"); c.IsSet("memory") && (memory < 1 || memory > 1<<20) {
		faults = append(faults, fmt.Sprintf("--memory must be from 1 to %d", 1<<20))
	}
	for _, region := range strings.Split(c.String("regions"), ",") {
		if region = strings.TrimSpace(region); region != "" {
			s.regions = append(s.regions, region)
		}
	}
	return s, faults
}

// itemReport is the JSON output of a check of items.
type itemReport struct {
	File string `json:"file"`
	items.Report
}

func (t *tool) checkItems(_ context.Context, s settings) int {
	patch, patchErr := readItems(s.file, platform.DecodePatch)
	inForce, inForceErr := readItems(s.items.inForce, platform.DecodeItems)
	if patchErr == nil && len(patch.Items) == 0 {
		patchErr = fmt.Errorf("%s: the change has no items", s.file)
	}
	for _, err := range []error{patchErr, inForceErr} {
		if err != nil {
			t.printErrors(err.Error())
		}
	}
	if patchErr != nil || inForceErr != nil {
		return exitFaults
	}
	defaults := callers.LimitsOf(nil)
	report := items.Lint(items.Restore(inForce), *patch, items.LintOptions{
		Regions: s.items.regions,
		DefaultLimits: items.Limits{
			MaxHeaderBytes: int(defaults.HeadBytes), MaxBodyBytes: int(defaults.BodyBytes),
			HeaderTimeout: defaults.HeadTimeout, IdleTimeout: defaults.IdleTimeout,
		},
		MaxHeaderBytes: callers.MaxHeadBytes, BodyMemory: callers.RequestMemory(s.items.memory), FormatVersion: platform.FormatVersion,
	})
	t.print(itemReport{s.file, report}, func() { t.itemText(s.file, report) })
	if report.Failed() {
		return exitFaults
	}
	return exitOK
}

// readItems reads and decodes a file.
func readItems[T any](file string, decode func([]byte) (T, *errkind.Error)) (T, error) {
	var decoded T
	content, err := os.ReadFile(file)
	if err != nil {
		return decoded, err
	}
	decoded, invalid := decode(content)
	if invalid != nil {
		return decoded, fmt.Errorf("%s: %w", file, invalid)
	}
	return decoded, nil
}

// itemText writes the findings to stderr, as check does, and the differences to stdout.
func (t *tool) itemText(file string, report items.Report) {
	for _, f := range report.Findings {
		fmt.Fprintf(t.stderr, "%s: %s: %s: %s\n", file, f.Severity, itemName(f.Collection, f.Name), f.Message)
	}
	for _, d := range report.Differences {
		fmt.Fprintf(t.stdout, "%s: %s\n", itemName(d.Collection, d.Name), d.Change)
		for _, f := range d.Fields {
			fmt.Fprintf(t.stdout, "  %s: %s -> %s\n", f.Field, orDefault(f.Old, "none"), orDefault(f.New, "none"))
		}
	}
	fmt.Fprintf(t.stdout, "unchanged items: %d\n", report.Unchanged)
	if len(report.Findings) == 0 {
		fmt.Fprintf(t.stdout, "%s: no faults\n", file)
	}
}

func itemName(collection items.Collection, name string) string {
	if collection == items.LimitSet {
		return string(collection)
	}
	return fmt.Sprintf("%s %s", collection, name)
}
