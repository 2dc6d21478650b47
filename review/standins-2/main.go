//go:build review2

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// cases are the cases by name. A case returns an error if it could not run.
var cases = map[string]func(*system) error{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		return exitNotRun
	}
	s, err := newSystem(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](s) }()
	select {
	case err = <-done:
	case <-signals:
		err = fmt.Errorf("interrupted")
	case <-time.After(maxTime):
		err = fmt.Errorf("not done after %v", maxTime)
	}
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	switch {
	case err != nil:
		s.note("result", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		s.note("result", "broken: %v", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	s.note("result", "held")
	fmt.Println("held")
	return exitHeld
}
