//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"
)

// lostDisks replaces a control machine as planned, the new one first, and then takes
// the disks of two others, as many as the deployment has to bear.
func lostDisks(c *cluster) error {
	core, err := c.startCore()
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	// REVIEW_REPLACE=0 leaves out the planned replacement, and REVIEW_PAUSE sets the
	// time from the end of the old machine to the loss of the disks.
	serving := core
	if os.Getenv("REVIEW_REPLACE") != "0" {
		old := core[4]
		added := c.add("control", old.zone)
		if err := added.start(false); err != nil {
			return err
		}
		time.Sleep(10 * time.Second) // catch_up is 4 s
		old.signal(syscall.SIGTERM)
		if !old.awaitEnd(6 * time.Second) {
			return fmt.Errorf("%s did not end within its grace time", old.name)
		}
		serving = append(append([]*vm{}, core[:4]...), added)
	}
	pause := 4500 * time.Millisecond
	if d, err := time.ParseDuration(os.Getenv("REVIEW_PAUSE")); err == nil {
		pause = d
	}
	time.Sleep(pause)
	if status, data := c.order("call=config.patch", routePatch("r-new", routeItem("/new/", "safe", "ledger", "00000009")), 4*time.Second, serving...); status != 200 {
		return fmt.Errorf("the change got %d: %s", status, data)
	}
	if trouble {
		lost := []*vm{core[0], core[1]}
		for _, m := range lost {
			m.kill(true)
		}
		time.Sleep(time.Second)
		for _, m := range lost {
			if err := m.start(false); err != nil {
				return err
			}
		}
	}
	time.Sleep(15 * time.Second) // recovery
	return c.readBack(serving, "r-new", 15*time.Second)
}

// readBack asks the machines in turn for the configuration until one answers. It
// fails if none does within limit, or if the answer lacks an acknowledged route.
func (c *cluster) readBack(from []*vm, route string, limit time.Duration) error {
	status, data := c.order("call=config.get", nil, limit, from...)
	if status != 200 {
		return fmt.Errorf("%w: no machine gave the configuration within %v after recovery", errBroken, limit)
	}
	var items struct {
		Routes map[string]json.RawMessage `json:"routes"`
	}
	if err := json.Unmarshal(data, &items); err != nil {
		return fmt.Errorf("%w: the configuration cannot be read: %v", errBroken, err)
	}
	if !bytes.Contains(items.Routes[route], []byte("00000009")) {
		return fmt.Errorf("%w: the acknowledged route %s is missing", errBroken, route)
	}
	return nil
}
