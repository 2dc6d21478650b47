package main

import (
	"context"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// Guards against a change of the settings file that is missed because it comes between
// the start of a process and its first look for changes.
func TestSettingsChangedDuringStartAreReloaded(t *testing.T) {
	text := settingsOfLoneEntry(t)
	path := writeSettings(t, text)
	var p *process
	load := &cli.Command{
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings"}, &cli.StringFlag{Name: "log-level", Value: "info"}},
		Action: func(_ context.Context, c *cli.Command) (err error) {
			p, err = newProcess(c)
			return err
		},
	}
	if err := load.Run(context.Background(), []string{"entry", "--settings", path}); err != nil {
		t.Fatal(err)
	}
	defer p.logs.Close()
	const added = "127.0.0.1:4711"
	if err := os.WriteFile(path, []byte(strings.Replace(text, "seeds: [", "seeds: ["+strconv.Quote(added)+", ", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	seeds := make(chan []string, 8)
	ctx, cancel := context.WithTimeout(context.Background(), 5*settingsPollInterval)
	defer cancel()
	go func() { _ = p.wait(ctx, func(addrs []string) { seeds <- addrs }) }()
	select {
	case addrs := <-seeds:
		if !slices.ContainsFunc(addrs, func(addr string) bool { return strings.HasPrefix(addr, "127.0.0.1:") }) {
			t.Errorf("the reloaded seeds are %v, want one at %s", addrs, added)
		}
	case <-ctx.Done():
		t.Error("the changed settings were not reloaded")
	}
}
