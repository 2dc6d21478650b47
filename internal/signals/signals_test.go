package signals

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
)

// raise sends a signal to this process and returns the action that is logged for it.
func raise(t *testing.T, sig syscall.Signal, lines <-chan string) string {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
		t.Fatal(err)
	}
	return next(t, lines)
}

func next(t *testing.T, lines <-chan string) string {
	t.Helper()
	select {
	case line := <-lines:
		return line
	case <-time.After(5 * time.Second):
		t.Fatal("no line for the signal")
		return ""
	}
}

// Guards against a signal that ends the process because it arrives before the process
// acts on signals or after a stop was requested, and against a lost reload or stop.
func TestSignalsAreHandledFromStartToExit(t *testing.T) {
	received := Receive()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 16)
	logger := &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
		lines <- fmt.Sprint(e.Fields.Get("signal"), " ", e.Fields.Get("action"))
		return nil
	})}
	reload := make(chan struct{}, 1)
	received.Handle(logger, reload)
	if line := next(t, lines); line != "hangup reload" || len(reload) != 1 {
		t.Errorf("an early hangup: %q, %d reloads", line, len(reload))
	}
	if line := raise(t, syscall.SIGHUP, lines); line != "hangup reload" || len(reload) != 1 {
		t.Errorf("a second hangup: %q, %d reloads", line, len(reload))
	}
	<-reload
	if received.Context().Err() != nil {
		t.Fatal("a hangup requests a stop")
	}
	if line := raise(t, syscall.SIGTERM, lines); line != "terminated stop" || received.Context().Err() == nil {
		t.Errorf("a stop signal: %q, %v", line, received.Context().Err())
	}
	if cause := context.Cause(received.Context()); cause == nil || cause.Error() != "signal terminated" {
		t.Errorf("the cause of the stop is %v", cause)
	}
	for sig, want := range map[syscall.Signal]string{syscall.SIGTERM: "terminated none", syscall.SIGINT: "interrupt none", syscall.SIGHUP: "hangup none"} {
		if line := raise(t, sig, lines); line != want || len(reload) != 0 {
			t.Errorf("%v after the stop: %q, %d reloads", sig, line, len(reload))
		}
	}
}
