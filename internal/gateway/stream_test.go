package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// largeAnswer is longer than the buffered part of a response.
var largeAnswer = strings.Repeat("0123456789abcdef", 2*holdBytes/16)

func large(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signed", "1")
	_, _ = io.WriteString(w, largeAnswer)
}

// readAll reads a streamed response to its end.
func readAll(t *testing.T, r Result) (string, error) {
	t.Helper()
	if r.Err != nil || r.Response.Rest == nil {
		t.Fatalf("got %+v, want a stream", r)
	}
	defer r.Response.Close()
	rest, err := io.ReadAll(r.Response.Rest)
	return string(r.Response.Body) + string(rest), err
}

// Guards against a long response that is cut off when its target is chosen,
// when a slower hedged attempt is cancelled, or when Serve returns.
func TestLongResponsesArriveWhole(t *testing.T) {
	late := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(250 * time.Millisecond):
			large(w, r)
		}
	})
	b := newTestbed(t, late, newTarget(t, large))
	for i := range 6 {
		if got, err := readAll(t, b.serve("/download/x", fmt.Sprint(i))); err != nil || got != largeAnswer {
			t.Errorf("got %d bytes, %v, want %d", len(got), err, len(largeAnswer))
		}
	}
	if late.count() == 0 {
		t.Error("the slow target was never tried, so nothing was hedged")
	}
}

// Guards against a response that continues long after the timeout of its route,
// and against one that is cut off exactly at the timeout although it is nearly
// complete.
func TestLongResponsesEndSoonAfterTheTimeout(t *testing.T) {
	endless := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", "1")
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, largeAnswer); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	b := newTestbed(t, endless)
	start := time.Now()
	r := b.serve("/download/x", "1")
	if r.Err != nil || r.Response.Rest == nil {
		t.Fatalf("got %+v, want a stream", r)
	}
	defer r.Response.Close()
	_, err := io.Copy(io.Discard, r.Response.Rest)
	// Callers must get their final answer within 500 ms after the timeout.
	const timeout, latest = 400 * time.Millisecond, 900 * time.Millisecond
	if took := time.Since(start); err == nil || took < timeout || took > latest {
		t.Errorf("ended with %v after %v, want a failure between %v and %v", err, took, timeout, latest)
	}
}

// Guards against work for a caller that disconnected during a response.
func TestLongResponseEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{})
	f := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		large(w, r)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	})
	b := newTestbed(t, f)
	r := b.serve("/download/x", "1")
	if r.Err != nil || r.Response.Rest == nil {
		t.Fatalf("got %+v, want a stream", r)
	}
	r.Response.Close()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the target still works for a caller that disconnected")
	}
}

// Guards against a failed download although the response broke off before the
// caller received its first bytes.
func TestEarlyBreakOfADownloadIsHidden(t *testing.T) {
	cut := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "1")
		w.Header().Set("Content-Length", fmt.Sprint(len(largeAnswer)))
		_, _ = io.WriteString(w, largeAnswer[:holdBytes/2])
		panic(http.ErrAbortHandler)
	})
	b := newTestbed(t, cut, newTarget(t, large))
	for i := range 6 {
		if got, err := readAll(t, b.serve("/download/x", fmt.Sprint(i))); err != nil || got != largeAnswer {
			t.Errorf("got %d bytes, %v, want %d", len(got), err, len(largeAnswer))
		}
	}
	if cut.count() == 0 {
		t.Error("no response broke off, so the test proves nothing")
	}
}

// Guards against a panic in the handling of one response that ends the process.
func TestPanicOfAnAttemptFailsOneRequest(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	dialect := b.g.cfg.Dialect
	b.g.cfg.Dialect = faultyDialect{dialect}
	wantKind(t, b.serve("/post/x", "1"), errkind.Internal)
	b.g.cfg.Dialect = dialect
	if r := b.serve("/post/x", "2"); r.Err != nil {
		t.Errorf("got %v for the next request", r.Err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	b.g.start(func(context.Context) { defer cancel(); panic("fault") })
	<-ctx.Done()
	if r := b.serve("/post/x", "3"); r.Err != nil {
		t.Errorf("got %v after a panic of a background goroutine", r.Err)
	}
}

type faultyDialect struct{ Dialect }

func (faultyDialect) Prepare(http.Header, time.Duration, string) { panic("fault") }
