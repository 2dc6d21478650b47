// Package logs writes log lines without blocking the caller. Lines pass a rate
// limit and a bounded queue; dropped lines are counted.
package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

const (
	// queueLines bounds the lines queued for a slow reader.
	queueLines = 2048
	// linesPerSecond and burstLines limit the rate of lines. An overloaded entry
	// VM refuses about 100 requests a second.
	linesPerSecond = 200
	burstLines     = 2000
	// flushInterval is the longest time that a line waits to be written together
	// with others.
	flushInterval = 20 * time.Millisecond
)

// Handler is an apex/log handler that writes lines of key=value pairs.
type Handler struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu sync.Mutex
	// closed says that Close was called and no more lines are queued.
	closed bool
	tokens float64
	last   time.Time
	buffer bytes.Buffer
	format *logfmt.Handler
}

// New returns a handler that writes to w until Close.
func New(w io.Writer) *Handler {
	h := &Handler{lines: make(chan []byte, queueLines), done: make(chan struct{}), tokens: burstLines, last: time.Now()}
	h.format = logfmt.New(&h.buffer)
	go h.write(w)
	return h
}

// HandleLog implements log.Handler. It never waits for the writer; a line that
// exceeds the rate or the queue is dropped.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		h.dropped.Add(1)
		return nil
	}
	now := time.Now()
	h.tokens = min(burstLines, h.tokens+linesPerSecond*now.Sub(h.last).Seconds())
	h.last = now
	if h.tokens < 1 {
		h.dropped.Add(1)
		return nil
	}
	h.tokens--
	h.buffer.Reset()
	if err := h.format.HandleLog(e); err != nil {
		return err
	}
	select {
	case h.lines <- bytes.Clone(h.buffer.Bytes()):
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Dropped returns the number of dropped lines.
func (h *Handler) Dropped() uint64 { return h.dropped.Load() }

// write writes the queued lines in batches.
func (h *Handler) write(w io.Writer) {
	defer close(h.done)
	var batch bytes.Buffer
	for line := range h.lines {
		batch.Write(line)
		time.Sleep(flushInterval)
		for more := true; more; {
			select {
			case next, ok := <-h.lines:
				batch.Write(next)
				more = ok
			default:
				more = false
			}
		}
		// Errors are ignored: a closed reader must not stop the process.
		_, _ = w.Write(batch.Bytes())
		batch.Reset()
	}
}

// Close writes the queued lines and ends the handler. Later lines are dropped,
// because goroutines that are about to end may still log.
func (h *Handler) Close() {
	h.mu.Lock()
	alreadyClosed := h.closed
	h.closed = true
	h.mu.Unlock()
	if !alreadyClosed {
		close(h.lines)
	}
	<-h.done
}
