package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/signals"
)

// Exit codes.
const (
	// exitFailed is the code of a process that could not start or had to end because
	// of an error.
	exitFailed = 1
	// exitSettings is the code for invalid settings.
	exitSettings = 2
)

// runError marks an error of the running process, as opposed to one of its
// settings.
type runError struct{ error }

// Unwrap returns the cause.
func (e *runError) Unwrap() error { return e.error }

// asRunError wraps err, if any, in a runError.
func asRunError(err error) error {
	if err == nil {
		return nil
	}
	return &runError{err}
}

// settings are the validated settings of the daemon.
type settings struct {
	name, region, dataCentre, cluster string
	linkAddr, callerAddr, adminAddr   string
	peers                             map[string]string
	voters                            []string
	dataDir                           string
	bootstrap                         bool
	recordBytes                       int
	memoryBytes                       int64
	logLevel                          log.Level
	drainTimeout                      time.Duration
}

// env returns the environment variable of a flag.
func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars("FLAMINGOREEL_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

func stringFlag(name, value, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

// command returns the daemon's command with its flags. The process acts on the
// received signals once its settings are known.
func command(received *signals.Handler) *cli.Command {
	return &cli.Command{
		Name:           "flamingoreeld",
		Usage:          "route requests to targets that own their keys exclusively",
		Commands:       roleCommands(received),
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			stringFlag("name", "", "name of this VM, unique in the cluster"),
			stringFlag("region", "", "region of this VM"),
			stringFlag("data-centre", "", "data centre of this VM"),
			stringFlag("cluster", "", "name of the cluster; VMs of other clusters are refused"),
			stringFlag("link-addr", "", "IP:port for the other VMs"),
			stringFlag("caller-addr", "", "IP:port for callers and announcing targets"),
			stringFlag("admin-addr", "", "IP:port for operators, health checks and metrics"),
			stringFlag("peers", "", "all VMs as NAME=IP:PORT, separated by commas"),
			stringFlag("voters", "", "names of the VMs that hold the control log, separated by commas"),
			stringFlag("data-dir", "", "data directory; required on a voter"),
			&cli.BoolFlag{Name: "bootstrap", Usage: "create a new control log if no voter has one", Sources: env("bootstrap")},
			&cli.IntFlag{Name: "record-memory", Value: 256, Usage: "memory limit for request records in MiB", Sources: env("record-memory")},
			&cli.IntFlag{Name: "memory", Usage: "memory of this VM in MiB, from which the limits for clients follow; 0 means that of the machine", Sources: env("memory")},
			stringFlag("log-level", "info", "debug, info, warn or error"),
			&cli.DurationFlag{Name: "drain-timeout", Value: 10 * time.Second, Usage: "time limit of a graceful shutdown", Sources: env("drain-timeout")},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			s, faults := readSettings(c)
			if len(faults) > 0 {
				for _, f := range faults {
					fmt.Fprintln(os.Stderr, "flamingoreeld:", f)
				}
				return cli.Exit("", exitSettings)
			}
			return asRunError(run(received, s))
		},
	}
}

// readSettings returns the settings and all their faults.
func readSettings(c *cli.Command) (settings, []string) {
	var faults []string
	addFault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	s := settings{
		name: c.String("name"), region: c.String("region"), dataCentre: c.String("data-centre"), cluster: c.String("cluster"),
		linkAddr: c.String("link-addr"), callerAddr: c.String("caller-addr"), adminAddr: c.String("admin-addr"),
		dataDir: c.String("data-dir"), bootstrap: c.Bool("bootstrap"), drainTimeout: c.Duration("drain-timeout"),
	}
	for _, name := range []string{"name", "region", "data-centre", "cluster"} {
		if c.String(name) == "" {
			addFault("--%s is required", name)
		}
	}
	for _, name := range []string{"link-addr", "caller-addr", "admin-addr"} {
		if err := checkAddr(c.String(name)); err != nil {
			addFault("--%s: %v", name, err)
		}
	}
	var err error
	if s.peers, err = readPeers(c.String("peers")); err != nil {
		addFault("--peers: %v", err)
	}
	s.voters = splitList(c.String("voters"))
	if len(s.voters) == 0 {
		addFault("--voters is required")
	}
	for _, v := range s.voters {
		if _, ok := s.peers[v]; !ok && err == nil {
			addFault("--voters: %s is not among --peers", v)
		}
		if v == s.name && s.dataDir == "" {
			addFault("--data-dir is required on a voter")
		}
	}
	if s.logLevel, err = log.ParseLevel(c.String("log-level")); err != nil {
		addFault("--log-level: %v", err)
	}
	s.recordBytes = c.Int("record-memory") << 20
	if n := c.Int("record-memory"); n < 1 || n > 1<<20 {
		addFault("--record-memory must be from 1 to %d", 1<<20)
	}
	if s.memoryBytes = int64(c.Int("memory")) << 20; s.memoryBytes == 0 {
		s.memoryBytes = machineMemory()
	}
	if n := c.Int("memory"); n < 0 || n > 1<<30 {
		addFault("--memory must be from 0 to %d", 1<<30)
	}
	if s.drainTimeout <= 0 {
		addFault("--drain-timeout must be positive")
	}
	return s, faults
}

// machineMemory returns the memory of the machine in bytes, or 0 if it is not known.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// checkAddr returns an error unless addr is IP:port. Host names are refused because
// processes connect to each other by IP address.
func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

// readPeers parses a list of NAME=IP:PORT, separated by commas.
func readPeers(list string) (map[string]string, error) {
	peers := make(map[string]string)
	for _, item := range splitList(list) {
		name, addr, ok := strings.Cut(item, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%q is not NAME=IP:PORT", item)
		}
		if _, duplicate := peers[name]; duplicate {
			return nil, fmt.Errorf("%s is listed twice", name)
		}
		if err := checkAddr(addr); err != nil {
			return nil, err
		}
		peers[name] = addr
	}
	return peers, nil
}

func splitList(list string) []string {
	var out []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
