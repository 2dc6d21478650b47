//go:build review

// Command harness shows the cases of the review that are scripts. Its argument names
// the case. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// trouble reports whether the disruption is to happen.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(*cluster) error{
	"lost-disks":     lostDisks,
	"other-writer":   otherWriter,
	"relayed-bodies": relayedBodies,
	"replace-three":  replaceThree,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE DAEMON RECORD")
		return 2
	}
	show := cases[os.Args[1]]
	bin, err := filepath.Abs(os.Args[2])
	if show == nil || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case or daemon")
		return 2
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	rec := &recorder{out: out, began: time.Now()}
	c, err := newCluster(rec, bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	startStarter()
	defer c.close()
	// A write to a closed output must not end the harness before its processes.
	signal.Ignore(syscall.SIGPIPE)
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	rec.printf("case %s, disruption %v", os.Args[1], trouble)
	ended := make(chan error, 1)
	go func() { ended <- show(c) }()
	select {
	case err = <-ended:
	case received := <-stops:
		err = fmt.Errorf("signal %v", received)
	case <-time.After(112 * time.Second):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		rec.printf("the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		rec.printf("%v", err)
		fmt.Println(err)
		return 1
	}
	rec.printf("the case could not run: %v", err)
	fmt.Println("the case could not run:", err)
	return 2
}

// startCore starts five control machines with empty disks and waits until the first
// configuration is acknowledged.
func (c *cluster) startCore() ([]*vm, error) {
	var core []*vm
	for _, zone := range zones[:5] {
		core = append(core, c.add("control", zone))
	}
	for _, m := range core[:3] {
		c.seed = append(c.seed, m.controlAddr())
	}
	for _, m := range core {
		if err := m.start(true); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	if status, data := c.order("call=config.patch", firstConfig(), 10*time.Second, core...); status != 200 {
		return nil, fmt.Errorf("the first configuration got %d: %s", status, data)
	}
	return core, nil
}
