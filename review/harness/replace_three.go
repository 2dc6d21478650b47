//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// replaceThree replaces three of five control machines as planned, one after the
// other, the new ones first.
func replaceThree(c *cluster) error {
	core, err := c.startCore()
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	serving := core
	if trouble {
		var added []*vm
		for _, old := range core[:3] {
			m := c.add("control", old.zone)
			if err := m.start(false); err != nil {
				return err
			}
			added = append(added, m)
		}
		time.Sleep(10 * time.Second) // catch_up is 4 s
		serving = append(append([]*vm{}, core[3:]...), added...)
	}
	if status, data := c.order("call=config.patch", routePatch("r-new", routeItem("/new/", "safe", "ledger", "00000009")), 4*time.Second, serving...); status != 200 {
		return fmt.Errorf("the change got %d: %s", status, data)
	}
	if trouble {
		for i, old := range core[:3] {
			if i > 0 {
				time.Sleep(2200 * time.Millisecond)
			}
			old.signal(syscall.SIGTERM)
			if !old.awaitEnd(6 * time.Second) {
				return fmt.Errorf("%s did not end within its grace time", old.name)
			}
		}
	}
	time.Sleep(15 * time.Second) // recovery
	return c.readBack(serving, "r-new", 15*time.Second)
}
