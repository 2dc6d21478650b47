// Command flamingoreelbench sends requests to running VMs at a limited rate and for
// a limited time, and reports what callers and operators observe. It starts no
// processes and injects no faults; scripts do.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/flamingoreel/flamingoreel/internal/load"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "flamingoreelbench:", err)
		os.Exit(1)
	}
}

// env returns the environment variable of a flag.
func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars("FLAMINGOREEL_BENCH_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "flamingoreelbench",
		Usage: "send a load to VMs and report what callers observe",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entries", Usage: "base URLs of the VMs that requests are sent to, separated by commas", Sources: env("entries")},
			&cli.StringFlag{Name: "admins", Usage: "admin base URLs of VMs, separated by commas", Sources: env("admins")},
			&cli.StringFlag{Name: "streams", Usage: "SERVICE:TENANT:SHARE:POST_SHARE:KEYS:HOT, separated by commas", Sources: env("streams")},
			&cli.StringFlag{Name: "path", Value: "/", Usage: "path and query of every request", Sources: env("path")},
			&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests per second", Sources: env("rate")},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the run", Sources: env("duration")},
			&cli.DurationFlag{Name: "deadline", Value: 2 * time.Second, Usage: "deadline of a request", Sources: env("deadline")},
			&cli.IntFlag{Name: "resends", Value: 3, Usage: "retries of a POST request that was not answered", Sources: env("resends")},
			&cli.IntFlag{Name: "max-in-flight", Value: 2000, Usage: "maximum number of requests in flight", Sources: env("max-in-flight")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of streams, keys, methods and entries", Sources: env("seed")},
			&cli.StringFlag{Name: "journals", Usage: "journals of the targets for the audit, separated by commas", Sources: env("journals")},
		},
		Action:   run,
		Commands: []*cli.Command{experimentCommand()},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	streams, err := parseStreams(c.String("streams"), c.String("path"))
	if err != nil {
		return err
	}
	watch := load.NewMonitor(split(c.String("admins")))
	watchCtx, stop := context.WithCancel(ctx)
	watchDone := make(chan struct{})
	go func() {
		watch.Run(watchCtx)
		close(watchDone)
	}()
	result, err := load.Run(ctx, load.Config{
		Entries: split(c.String("entries")), ReadinessURLs: readinessURLs(split(c.String("admins"))), Streams: streams,
		Rate: c.Float("rate"), Duration: c.Duration("duration"), Deadline: c.Duration("deadline"),
		MaxRetries: c.Int("resends"), MaxInFlight: c.Int("max-in-flight"), Seed: c.Uint64("seed"),
	})
	stop()
	<-watchDone
	if err != nil {
		return err
	}
	load.Report(os.Stdout, result, watch)
	return audit(result, split(c.String("journals")))
}

// readinessURLs returns the readiness URLs of the admin base URLs.
func readinessURLs(admins []string) []string {
	var urls []string
	for _, admin := range admins {
		urls = append(urls, admin+"/readyz")
	}
	return urls
}

// audit compares the outcomes with the journals of the targets and writes the
// result. It returns an error if a POST request was lost, ran more than once or ran
// although it was refused as not_run.
func audit(result *load.Result, journals []string) error {
	if len(journals) == 0 {
		return nil
	}
	a, err := load.Compare(result.PostResults(), journals)
	if err != nil {
		return err
	}
	a.Write(os.Stdout)
	if !a.Passed() {
		return errors.New("the audit failed")
	}
	return nil
}

// parseStreams parses a list of SERVICE:TENANT:SHARE:POST_SHARE:KEYS:HOT items. All
// streams use the given path.
func parseStreams(list, path string) ([]load.Stream, error) {
	var streams []load.Stream
	for _, item := range split(list) {
		parts := strings.Split(item, ":")
		if len(parts) != 6 {
			return nil, fmt.Errorf("stream %q is not SERVICE:TENANT:SHARE:POST_SHARE:KEYS:HOT", item)
		}
		share, err1 := strconv.ParseFloat(parts[2], 64)
		post, err2 := strconv.ParseFloat(parts[3], 64)
		keys, err3 := strconv.Atoi(parts[4])
		hot, err4 := strconv.ParseFloat(parts[5], 64)
		if err := errors.Join(err1, err2, err3, err4); err != nil {
			return nil, fmt.Errorf("stream %q: %w", item, err)
		}
		streams = append(streams, load.Stream{Service: parts[0], Tenant: parts[1], Share: share, PostShare: post, Keys: keys, HotShare: hot, Path: path})
	}
	return streams, nil
}

// split returns the items of a list that commas separate, without empty ones.
func split(list string) []string {
	var out []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
