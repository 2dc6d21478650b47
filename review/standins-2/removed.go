//go:build review2

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["removed"] = removedMachine }

// Times of removedMachine.
const (
	// successorTime is how long the successor runs before its predecessor is removed: more
	// than twice the catch-up time of 4 s.
	successorTime = 10 * time.Second
	// lossDelay is the time from the removal to the loss of two disks.
	lossDelay = 500 * time.Millisecond
	// wipedFor is the time after which the two machines are back with empty disks.
	wipedFor = time.Second
	// recovery is the bound within which the system serves again.
	recovery = 15 * time.Second
)

// removedMachine removes a control machine for good, without notice, long after its
// successor has started, and lets two others lose their disks half a second later.
func removedMachine(s *system) error {
	if err := s.startSmall(1); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	config := configuration(7, []route{{name: "r-1", host: "ledger.example", prefix: "/view/", kind: "safe", service: "ledger", timeout: "1500ms", attempts: 2}}, []service{{"ledger", false}}, standardLimits)
	if _, err := s.order("call=config.patch", config, s.allControls(0)...); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	// The successor starts in the zone of its predecessor, with an empty disk.
	const removed, successor = 4, 5
	if err := s.startLater(successor, places[removed]); err != nil {
		return err
	}
	time.Sleep(successorTime)
	left := []string{s.controlAddr(0), s.controlAddr(1), s.controlAddr(2), s.controlAddr(3), s.controlAddr(successor)}
	later := configuration(9, []route{{name: "r-1", host: "ledger.example", prefix: "/view/", kind: "safe", service: "ledger", timeout: "1400ms", attempts: 2}}, nil, "")
	if _, err := s.order("call=config.patch", later, left...); err != nil {
		return err
	}
	s.signal(controlName(removed), syscall.SIGKILL)
	time.Sleep(lossDelay)
	if s.trouble {
		lost := []int{0, 1}
		for _, i := range lost {
			s.signal(controlName(i), syscall.SIGKILL)
		}
		time.Sleep(wipedFor)
		for _, i := range lost {
			if err := os.RemoveAll(filepath.Join(s.dir, controlName(i))); err != nil {
				return err
			}
			s.note(controlName(i), "has lost its disk")
			if err := s.restart(controlName(i), "control"); err != nil {
				return err
			}
		}
	}
	time.Sleep(recovery)
	read := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && read == 0; time.Sleep(300 * time.Millisecond) {
		for _, addr := range left {
			status, data, err := s.call(addr, "call=config.get", nil)
			s.note("operator", "config.get at %s: status %d, %d bytes, error %v", addr, status, len(data), err)
			if err == nil && status == 200 {
				read++
			}
		}
	}
	if read == 0 {
		s.breach("CONFIG", "no control machine answers a read of the configuration, %v to %v after the two machines are back", recovery, recovery+20*time.Second)
	}
	return nil
}

// startLater starts control process i, which isn't one of the first ones, at a place.
func (s *system) startLater(i int, at place) error {
	name := controlName(i)
	listen := fmt.Sprintf("control: %q", s.controlAddr(i))
	if err := s.writeSettings(name, "control", "core", "control", s.controlIP(i), at, fmt.Sprintf("%q", filepath.Join(s.dir, name)), listen); err != nil {
		return err
	}
	return s.restart(name, "control")
}
