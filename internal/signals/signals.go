// Package signals receives the signals of a process in one place, from its start
// until its exit. None of these signals has its default action meanwhile: that would
// end the process and close its connections before they got their answers.
package signals

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
)

// Handler receives the signals of a process.
type Handler struct {
	ctx  context.Context
	stop context.CancelCauseFunc
	// Each channel has room for one signal. Another one adds nothing to it.
	stops, hangups chan os.Signal
}

// Receive begins to receive signals. It never ends: a signal that arrives late must
// not cut short the end of the process.
func Receive() *Handler {
	ctx, stop := context.WithCancelCause(context.Background())
	h := &Handler{ctx: ctx, stop: stop, stops: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1)}
	signal.Notify(h.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(h.hangups, syscall.SIGHUP)
	// A write to standard output or standard error whose reader has ended fails, as
	// every other write does, instead of raising SIGPIPE.
	signal.Ignore(syscall.SIGPIPE)
	return h
}

// Context returns a context that ends with the first SIGTERM or SIGINT.
func (h *Handler) Context() context.Context { return h.ctx }

// Handle acts on the signals that were and will be received, until the process exits.
// SIGTERM and SIGINT end the context. SIGHUP sends to reload, unless a reload is
// already requested; reload has room for one request. Signals that have nothing to do
// are logged: a reload without a channel, and every signal after the one that ended
// the context. SIGQUIT keeps its default action, a dump of all goroutines; Go's runtime
// ignores SIGUSR1, SIGUSR2 and the others that don't report a fault.
func (h *Handler) Handle(logger log.Interface, reload chan<- struct{}) {
	go func() {
		for {
			select {
			case received := <-h.stops:
				h.handleStop(logger, received)
			case received := <-h.hangups:
				h.handleHangup(logger, received, reload)
			}
		}
	}()
}

// Actions in the log.
const (
	actionStop   = "stop"
	actionReload = "reload"
	actionNone   = "none"
)

func (h *Handler) handleStop(logger log.Interface, received os.Signal) {
	if h.ctx.Err() != nil {
		logSignal(logger, received, actionNone)
		return
	}
	h.stop(fmt.Errorf("signal %v", received))
	logSignal(logger, received, actionStop)
}

func (h *Handler) handleHangup(logger log.Interface, received os.Signal, reload chan<- struct{}) {
	if h.ctx.Err() != nil || reload == nil {
		logSignal(logger, received, actionNone)
		return
	}
	select {
	case reload <- struct{}{}:
	default:
	}
	logSignal(logger, received, actionReload)
}

func logSignal(logger log.Interface, received os.Signal, action string) {
	logger.WithFields(log.Fields{"signal": received.String(), "action": action}).Info("signal received")
}
