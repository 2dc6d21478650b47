package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/linkshare"
)

// newLinkTestbed returns a testbed whose link carries 450 KB/s and on which responses of
// the route for downloads are expected to have a size in bytes.
func newLinkTestbed(t *testing.T, size int64, targets ...*testTarget) (*testbed, *memory.Handler) {
	t.Helper()
	b := newTestbed(t, targets...)
	lines := memory.New()
	b.g.link = newLinkScheduler(Config{LinkBytes: 450e3, Logger: &log.Logger{Handler: lines}}, b.g.now, b.g.recoverPanic)
	b.g.link.share.Observe("download", size)
	return b, lines
}

func (b *testbed) owed() int64 {
	b.g.link.mu.Lock()
	defer b.g.link.mu.Unlock()
	return b.g.link.share.Owed(b.g.now())
}

func body(size int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "1")
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}
}

// Guards against a download that is sent to a target although the link can't deliver it
// in time, against a log line for each refusal, and against refusing short requests.
func TestDownloadsBeyondTheLinkAreRefused(t *testing.T) {
	target := newTarget(t, body(40e3))
	b, lines := newLinkTestbed(t, 40e3, target)
	first := b.serve("/download/x", "1")
	if first.Err != nil {
		t.Fatal(first.Err)
	}
	for i := range 5 {
		r := b.serve("/download/x", fmt.Sprint("refused", i))
		wantKind(t, r, errkind.Overloaded)
		if r.RetryAfter < retryAfterMin || r.RetryAfter > maxLinkRetryAfter {
			t.Errorf("retry after %v", r.RetryAfter)
		}
	}
	if got := target.count(); got != 1 {
		t.Errorf("the target got %d downloads, want 1", got)
	}
	if len(lines.Entries) != 1 {
		t.Errorf("%d log lines within a second, want 1", len(lines.Entries))
	}
	if r := b.serve("/read/x", "read"); r.Err != nil {
		t.Errorf("a read was refused: %v", r.Err)
	} else {
		r.Response.Close()
	}
	first.Response.Close()
	if r := b.serve("/download/x", "2"); r.Err != nil {
		t.Errorf("refused after the first download had ended: %v", r.Err)
	}
}

// Guards against a HEAD request that is refused, and counts as a long response, because
// the responses to GET requests of its route are long. It has no body.
func TestHeadRequestsAreNoDownloads(t *testing.T) {
	b, _ := newLinkTestbed(t, 40e3, newTarget(t, body(40e3)))
	first := b.serve("/download/x", "1")
	if first.Err != nil {
		t.Fatal(first.Err)
	}
	defer first.Response.Close()
	owed := b.owed()
	for i := range 3 {
		id := fmt.Sprint("head", i)
		r := b.g.Serve(t.Context(), &Request{
			ID: id, Method: "HEAD", URI: "/download/x", Path: "/download/x", Host: "h", RouteHost: "h", Header: http.Header{"X-Id": {id}}, Key: NoKey,
		})
		if r.Err != nil {
			t.Fatalf("refused beside a download: %v", r.Err)
		}
		if got := b.owed(); got > owed {
			t.Errorf("%d bytes are owed, %d before", got, owed)
		}
		r.Response.Close()
	}
}

// Guards against a link that stays reserved for downloads that have ended: whose caller
// leaves before or during the response, or whose target breaks off or stalls.
func TestEndedDownloadsReleaseTheLink(t *testing.T) {
	leave := func(b *testbed) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if r := b.g.Serve(ctx, &Request{ID: "1", Method: "GET", URI: "/download/x", Path: "/download/x", Host: "h", RouteHost: "h", Header: http.Header{"X-Id": {"1"}}, Key: NoKey}); r.Err == nil {
			t.Error("got a response after the caller had left")
		}
	}
	serve := func(b *testbed) {
		if r := b.serve("/download/x", "1"); r.Response != nil {
			_, err := io.Copy(io.Discard, r.Response.Rest)
			r.Response.Close()
			if err == nil {
				t.Error("a broken response looks complete")
			}
		}
	}
	part := func(size int, then func(r *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Signed", "1")
			w.Header().Set("Content-Length", "200000")
			_, _ = io.WriteString(w, strings.Repeat("x", size))
			w.(http.Flusher).Flush()
			then(r)
			panic(http.ErrAbortHandler)
		}
	}
	stall := func(r *http.Request) { <-r.Context().Done() }
	for name, c := range map[string]struct {
		respond http.HandlerFunc
		run     func(*testbed)
	}{
		"caller leaves before the head":   {func(_ http.ResponseWriter, r *http.Request) { stall(r) }, leave},
		"caller leaves while it is read":  {part(150e3, stall), leave},
		"target breaks off early":         {part(20e3, func(*http.Request) {}), serve},
		"target breaks off later":         {part(100e3, func(*http.Request) {}), serve},
		"target stalls early":             {part(20e3, stall), serve},
		"target stalls later":             {part(80e3, stall), serve},
		"target closes instead of a head": {broken, serve},
		"caller closes the response": {body(200e3), func(b *testbed) {
			r := b.serve("/download/x", "1")
			if r.Err != nil || b.owed() == 0 {
				t.Errorf("got %v with %d bytes owed, want a response", r.Err, b.owed())
				return
			}
			r.Response.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			target := newTarget(t, c.respond)
			b, _ := newLinkTestbed(t, 17e3, target)
			c.run(b)
			if target.count() == 0 {
				t.Error("the download wasn't sent, so the test proves nothing")
			}
			if owed := b.owed(); owed != 0 {
				t.Errorf("%d bytes are still owed", owed)
			}
			// The link also has no chunk waiting that nobody wants.
			b.g.link.mu.Lock()
			defer b.g.link.mu.Unlock()
			for _, dir := range []linkshare.Direction{linkshare.In, linkshare.Out} {
				if chunk, wait := b.g.link.share.Next(b.g.now()+time.Minute, dir); chunk != nil || wait != 0 {
					t.Errorf("a chunk of %d bytes is left", chunk.Bytes)
				}
			}
		})
	}
}

// Guards against downloads that wait at their targets for the link, and against one that
// is sent after its caller has left.
func TestWaitingDownloadsAreNotSent(t *testing.T) {
	target := newTarget(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	b, _ := newLinkTestbed(t, 90e3, target)
	b.put(fleet.Delta{Items: []items.Item{{Key: items.Key{Collection: items.Routes, Name: "download"}, Version: 2, Route: &items.Route{
		Host: "h", Prefix: "/download/", Kind: items.Download, Timeout: 6 * time.Second, LatencyObjective: 3 * time.Second,
		Split: []items.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1,
	}}}})
	results := make(chan Result)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	const count = 16
	for i := range count {
		go func() {
			results <- b.g.Serve(ctx, &Request{
				ID: fmt.Sprint(i), Method: "GET", URI: "/download/x", Path: "/download/x", Host: "h", RouteHost: "h",
				Header: http.Header{"X-Id": {fmt.Sprint(i)}}, Key: NoKey,
			})
		}()
	}
	kinds := make(map[errkind.Kind]int)
	for range count {
		kinds[(<-results).Err.Kind]++
	}
	time.Sleep(2 * startPollInterval)
	// All callers leave together, but one by one: the place of the first may pass to
	// another one, which then gets no connection.
	waited := kinds[errkind.QueueTimeout] + kinds[errkind.TargetUnreachable]
	if got := target.count(); got == 0 || got > kinds[errkind.AnswerTimeout] || waited == 0 || b.owed() != 0 {
		t.Errorf("%d downloads were sent, all ended as %v, %d bytes are owed", got, kinds, b.owed())
	}
}

// Guards against slow readers that keep the places of others.
func TestSlowReadersDoNotHoldUpOthers(t *testing.T) {
	target := newTarget(t, body(17e3))
	b, _ := newLinkTestbed(t, 17e3, target)
	var open []Result
	for i := range 20 {
		r := b.serve("/download/x", fmt.Sprint(i))
		if r.Err != nil {
			time.Sleep(min(r.RetryAfter, 400*time.Millisecond))
			continue
		}
		open = append(open, r)
	}
	if len(open) < 8 {
		t.Errorf("%d of 20 downloads were served beside slow readers, want 8", len(open))
	}
	for _, r := range open {
		r.Response.Close()
	}
}

// Guards against targets that look slow because the link is, and so are avoided.
func TestTransferTimeIsNotServiceTime(t *testing.T) {
	b, _ := newLinkTestbed(t, 60e3, newTarget(t, body(60e3)))
	for i := range 3 {
		if r := b.serve("/download/x", fmt.Sprint(i)); r.Err == nil {
			r.Response.Close()
		}
	}
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	// The estimate starts at 74 ms and falls towards the time of the head; a transfer
	// takes 150 ms.
	if got := b.g.routeWork["download"].Value(b.g.now(), 0); got <= 0 || got > 74*time.Millisecond {
		t.Errorf("the service time is %v", got)
	}
}

// Guards against errors and broken responses that change the expected size of downloads,
// and against ignoring responses without a length.
func TestExpectedSizeFollowsResponses(t *testing.T) {
	for name, c := range map[string]struct {
		respond http.HandlerFunc
		grows   bool
	}{
		"not found": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "1")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, "not found")
		}, false},
		"length": {body(30e3), true},
		"no length": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "1")
			_, _ = io.WriteString(w, strings.Repeat("x", 15e3))
			w.(http.Flusher).Flush()
			_, _ = io.WriteString(w, strings.Repeat("x", 15e3))
		}, true},
	} {
		b, _ := newLinkTestbed(t, 17e3, newTarget(t, c.respond))
		r := b.serve("/download/x", "1")
		if r.Err != nil {
			t.Errorf("%s: %v", name, r.Err)
			continue
		}
		r.Response.Close()
		if got := b.g.link.share.Expected("download"); got < 17e3 || (got > 17e3) != c.grows {
			t.Errorf("%s: %v bytes are expected after 17000", name, got)
		}
	}
}

// Guards against any effect of the rule while the capacity isn't known or is high.
func TestLinkIsNotScheduledWithoutNeed(t *testing.T) {
	for _, capacity := range []float64{0, 125e6} {
		if newLinkScheduler(Config{LinkBytes: capacity}, nil, nil) != nil {
			t.Errorf("a link of %v bytes per second is scheduled", capacity)
		}
	}
}
