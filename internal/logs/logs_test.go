package logs

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
)

// blockedWriter blocks in Write until release is closed, like a pipe whose
// reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestFullPipeDoesNotBlock guards against requests that wait for a full log pipe.
func TestFullPipeDoesNotBlock(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	h := New(s)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	began := time.Now()
	for range burstLines + 1000 {
		logger.Info("line")
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("logging took %v", took)
	}
	if h.Dropped() == 0 {
		t.Error("no dropped line was counted")
	}
	close(s.release)
	h.Close()
}

// TestCloseWritesQueuedLines guards against losing lines at the end of the
// process.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	h := New(&out)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 10 {
		logger.WithField("n", 1).Info("line")
	}
	h.Close()
	if got := strings.Count(out.String(), "message=line"); got != 10 {
		t.Errorf("%d lines were written, want 10", got)
	}
}

// TestLinesAfterCloseAreDropped guards against a panic at the end of the process,
// when other goroutines still log.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	h := New(io.Discard)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	var loggers sync.WaitGroup
	for range 4 {
		loggers.Add(1)
		go func() {
			defer loggers.Done()
			for range 200 {
				logger.Info("line")
			}
		}()
	}
	h.Close()
	loggers.Wait()
	h.Close()
}
