package main

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// defaultTimeout is the default time limit of a command, including all retries.
const defaultTimeout = 10 * time.Second

// settings are the validated settings of one command.
type settings struct {
	servers []string
	output  string
	timeout time.Duration
	file    string
	// base is the configuration number a change is based on; baseGiven says
	// whether the operator set it.
	base      uint64
	baseGiven bool
	items     itemSettings
}

// env returns the environment variable of a flag.
func env(name string) cli.ValueSourceChain {
	return cli.EnvVars("FLAMINGOREEL_" + strings.ToUpper(name))
}

// command returns the root command with its flags and subcommands.
func (t *tool) command() *cli.Command {
	return &cli.Command{
		Name:           "flamingoreelctl",
		Usage:          "check, compare and apply the configuration text, and read the status",
		Writer:         t.stdout,
		ErrWriter:      t.stderr,
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Usage: "admin URLs, separated by commas, tried in turn", Sources: env("server")},
			&cli.StringFlag{Name: "output", Value: outputText, Usage: "text or json", Sources: env("output")},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "time limit for all attempts", Sources: env("timeout")},
		},
		Commands: []*cli.Command{
			t.subcommand("check", "report all faults of FILE", fileOnly, t.check),
			t.subcommand("check-items", "check a change of items in FILE and compare it with the items in force", fileAndItems, t.checkItems, itemFlags()...),
			t.subcommand("diff", "compare FILE with the text in force", fileAndServer, t.diff),
			t.subcommand("apply", "put FILE in force", fileAndServer, t.apply,
				&cli.StringFlag{Name: "base", Usage: "configuration number that the change is based on; default is the current one"}),
			t.subcommand("status", "show VMs, targets and slices", serverOnly, t.status),
			t.subcommand("get", "print the text in force", serverOnly, t.get),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("unknown command %q", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
}

// requirements are the inputs that a command requires.
type requirements struct{ file, server, items bool }

var (
	fileOnly      = requirements{file: true}
	serverOnly    = requirements{server: true}
	fileAndServer = requirements{file: true, server: true}
	fileAndItems  = requirements{file: true, items: true}
)

func (t *tool) subcommand(name, usage string, required requirements, run func(context.Context, settings) int, extra ...cli.Flag) *cli.Command {
	cmd := &cli.Command{
		Name:         name,
		Usage:        usage,
		Flags:        extra,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Action: func(ctx context.Context, c *cli.Command) error {
			s, faults := readSettings(c, required)
			if len(faults) > 0 {
				t.printErrors(faults...)
				t.code = exitFaults
				return nil
			}
			t.output = s.output
			ctx, cancel := context.WithTimeout(ctx, s.timeout)
			defer cancel()
			t.code = run(ctx, s)
			return nil
		},
	}
	if required.file {
		cmd.ArgsUsage = "FILE"
	}
	return cmd
}

// readSettings returns the settings and all their faults.
func readSettings(c *cli.Command, required requirements) (settings, []string) {
	s := settings{output: c.String("output"), timeout: c.Duration("timeout")}
	var faults []string
	addFault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if s.output != outputText && s.output != outputJSON {
		addFault("--output: %q is not %s or %s", s.output, outputText, outputJSON)
	}
	if s.timeout <= 0 {
		addFault("--timeout must be above 0")
	}
	for _, item := range strings.Split(c.String("server"), ",") {
		item = strings.TrimSuffix(strings.TrimSpace(item), "/")
		if item == "" {
			continue
		}
		if u, err := url.Parse(item); err != nil || u.Scheme != "http" || u.Host == "" {
			addFault("--server: %q is not a URL such as http://127.0.1.1:9001", item)
		}
		s.servers = append(s.servers, item)
	}
	if required.server && len(s.servers) == 0 {
		addFault("--server is missing")
	}
	wantArgs := 0
	if required.file {
		wantArgs = 1
	}
	if c.Args().Len() != wantArgs {
		addFault("%s needs %d argument(s), got %d", c.Name, wantArgs, c.Args().Len())
	}
	s.file = c.Args().First()
	if v := c.String("base"); v != "" {
		s.baseGiven = true
		var err error
		if s.base, err = strconv.ParseUint(v, 10, 64); err != nil {
			addFault("--base: %q is not a configuration number", v)
		}
	}
	if required.items {
		var itemFaults []string
		s.items, itemFaults = readItemSettings(c)
		faults = append(faults, itemFaults...)
	}
	return s, faults
}
