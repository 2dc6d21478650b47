package main

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/flamingoreel/flamingoreel/internal/standin"
)

// envPrefix is the prefix of the environment variables of the flags.
const envPrefix = "FLAMINGOREEL_STANDIN_"

// env returns the environment variable of a flag.
func env(name string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func text(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func count(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func number(name string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func duration(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func toggle(name, usage string) cli.Flag {
	return &cli.BoolFlag{Name: name, Usage: usage, Sources: env(name)}
}

func flags() []cli.Flag {
	return []cli.Flag{
		text("id", "", "name of the target"),
		text("service", "", "service that the target offers"),
		text("data-centre", "", "data centre of the target"),
		text("addr", "127.0.0.1:0", "address to listen on"),
		text("announce", "", "base URLs of VMs, separated by commas"),
		duration("announce-interval", standin.DefaultAnnounceInterval, "time between announcements"),
		count("slots", standin.DefaultSlots, "number of requests that run at once"),
		count("queue-limit", 0, "maximum number of waiting requests; 0 is 8 per slot, -1 is none"),
		count("connections", standin.DefaultConnections, "maximum number of open connections"),
		toggle("ignore-grants", "serve requests without checking grants"),
		toggle("any-owner", "serve requests that name no slice"),
		duration("service-time", time.Millisecond, "service time of a warm request"),
		number("jitter", 0, "maximum random addition to the service time, as a fraction of it"),
		count("seed", 1, "seed of the jitter"),
		count("cold-requests", standin.DefaultColdRequests, "number of cold requests after the start; -1 starts warm"),
		number("cold-factor", standin.DefaultColdFactor, "factor on the service time of cold requests"),
		text("journal", "", "file to which the idempotency key of every posting is appended"),
		duration("load-lag", 0, "age of the load report"),
		text("leaving-header", "", "header with the value 1 in all responses while the target drains"),
		text("limit-header", "", "header in which all responses name the limit"),
		number("limit", 0, "requests a second that the target takes from all senders together"),
		duration("pause", 0, "time without requests that a full target asks for; 0 asks for none"),
		duration("drain-grace", time.Second, "time after a stop signal in which new requests are still accepted"),
		duration("drain-timeout", 10*time.Second, "maximum wait for running requests after the grace period"),
	}
}

// settings returns the configuration and a message for each invalid setting.
func settings(c *cli.Command) (standin.Config, []string) {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, "setting "+fmt.Sprintf(format, args...)) }
	for _, name := range []string{"id", "service", "data-centre"} {
		if c.String(name) == "" {
			fault("--%s is missing", name)
		}
	}
	if _, _, err := net.SplitHostPort(c.String("addr")); err != nil {
		fault("--addr: %v", err)
	}
	announce := split(c.String("announce"))
	for _, base := range announce {
		if u, err := url.Parse(base); err != nil || u.Scheme != "http" || u.Host == "" {
			fault("--announce: %q is not a URL such as http://127.0.1.1:8001", base)
		}
	}
	for _, name := range []string{"slots", "connections"} {
		if c.Int(name) < 1 {
			fault("--%s must be at least 1", name)
		}
	}
	for _, name := range []string{"jitter", "cold-factor", "limit"} {
		if c.Float(name) < 0 {
			fault("--%s must be at least 0", name)
		}
	}
	if c.Duration("announce-interval") <= 0 {
		fault("--announce-interval must be above 0")
	}
	for _, name := range []string{"service-time", "load-lag", "pause", "drain-grace", "drain-timeout"} {
		if c.Duration(name) < 0 {
			fault("--%s must be at least 0", name)
		}
	}
	return standin.Config{
		ID:               c.String("id"),
		Service:          c.String("service"),
		DataCentre:       c.String("data-centre"),
		Addr:             c.String("addr"),
		Announce:         announce,
		AnnounceInterval: c.Duration("announce-interval"),
		Slots:            c.Int("slots"),
		QueueLimit:       c.Int("queue-limit"),
		Connections:      c.Int("connections"),
		IgnoreGrants:     c.Bool("ignore-grants"),
		AnyOwner:         c.Bool("any-owner"),
		ServiceTime:      c.Duration("service-time"),
		Jitter:           c.Float("jitter"),
		Seed:             uint64(c.Int("seed")),
		ColdRequests:     c.Int("cold-requests"),
		ColdFactor:       c.Float("cold-factor"),
		LoadLag:          c.Duration("load-lag"),
		LeavingHeader:    c.String("leaving-header"),
		LimitHeader:      c.String("limit-header"),
		Limit:            c.Float("limit"),
		Pause:            c.Duration("pause"),
	}, faults
}

// split returns the items of a list that commas separate, without empty ones and
// without a trailing slash.
func split(list string) []string {
	var out []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, strings.TrimSuffix(item, "/"))
		}
	}
	return out
}
