package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// addServiceWithoutHolder adds a sharded service without a holder and a route to it.
func (b *testbed) addServiceWithoutHolder() {
	b.put(fleet.Delta{Items: []items.Item{
		{Key: items.Key{Collection: items.Services, Name: "k"}, Version: 1, Service: &items.Service{HealthPath: "/health", Sharded: true}},
		{Key: items.Key{Collection: items.Routes, Name: "keyed"}, Version: 1, Route: &items.Route{
			Host: "h", Prefix: "/keyed/", Kind: items.Safe, Timeout: 5 * time.Second, LatencyObjective: time.Second,
			Split: []items.Share{{Service: "k", Weight: 1}}, MaxAttempts: 2,
		}},
	}})
}

// Guards against a request that waits for the holder of its key and gets no
// answer when the gateway stops.
func TestStopRefusesWaitingRequests(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	b.addServiceWithoutHolder()
	results := make(chan Result, 1)
	go func() {
		results <- b.g.Serve(context.Background(), &Request{
			ID: "1", Method: "GET", URI: "/keyed/x", Path: "/keyed/x", Host: "h", RouteHost: "h", Header: http.Header{"X-Id": {"1"}}, Key: 7,
		})
	}()
	select {
	case r := <-results:
		t.Fatalf("got %+v, want the request to wait for a holder", r)
	case <-time.After(100 * time.Millisecond):
	}
	b.g.FinishRequests()
	select {
	case r := <-results:
		wantKind(t, r, errkind.Stopping)
		if r.RetryAfter <= 0 {
			t.Error("the caller is not told when to retry")
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the request still waits after FinishRequests")
	}
}

// Guards against a stop that aborts a request that a target is running.
func TestStopLetsRequestsAtTargetsEnd(t *testing.T) {
	started := make(chan struct{})
	slow := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		time.Sleep(150 * time.Millisecond)
		signed(w, r)
	})
	b := newTestbed(t, slow)
	go func() {
		<-started
		b.g.RefuseNew()
	}()
	if r := b.serve("/post/x", "1"); r.Err != nil {
		t.Errorf("got %v, want the target's response", r.Err)
	}
}

// Guards against callers whose connection ends without an answer because their
// target does not respond before the process ends.
func TestStopAnswersForUnresponsiveTargets(t *testing.T) {
	started := make(chan struct{})
	unresponsive := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	})
	b := newTestbed(t, unresponsive)
	go func() {
		<-started
		b.g.FinishRequests()
	}()
	start := time.Now()
	wantKind(t, b.serve("/post/x", "1"), errkind.AnswerTimeout)
	if took := time.Since(start); took > 300*time.Millisecond {
		t.Errorf("the answer came after %v, want it before the route's timeout", took)
	}
}

// Guards against a stopping gateway that accepts requests which it cannot
// finish.
func TestStoppingEntryRefusesNewRequests(t *testing.T) {
	target := newTarget(t, signed)
	b := newTestbed(t, target)
	b.g.RefuseNew()
	wantKind(t, b.serve("/post/x", "1"), errkind.Stopping)
	if target.count() != 0 {
		t.Error("a refused request reached a target")
	}
}

// Guards against a post that reaches a target late in a planned stop and is cut off
// when the process ends: it may not be repeated.
func TestStopBeginsNothingThatOutlastsIt(t *testing.T) {
	const work = 150 * time.Millisecond
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		signed(w, r)
	})
	b := newTestbed(t, target)
	for i := range 8 {
		if r := b.serve("/post/x", fmt.Sprint(i)); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	b.g.FinishWithin(100 * work)
	if r := b.serve("/post/x", "early"); r.Err != nil {
		t.Errorf("got %v for a post that can finish", r.Err)
	}
	b.g.FinishWithin(work / 2)
	time.AfterFunc(work/2, b.g.FinishRequests)
	before := target.count()
	for _, path := range []string{"/post/x", "/read/x", "/download/x"} {
		r := b.serve(path, path)
		wantKind(t, r, errkind.Stopping)
		if r.RetryAfter <= 0 {
			t.Error("the caller is not told when to retry")
		}
	}
	if got := target.count() - before; got != 0 {
		t.Errorf("the target received %d requests that could not finish", got)
	}
}
