package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// addKeyed adds a sharded service without a holder and a route to it.
func (b *bench) addKeyed() {
	b.put(fleet.Delta{Items: []items.Item{
		{Key: items.Key{Collection: items.Services, Name: "k"}, Version: 1, Service: &items.Service{HealthPath: "/health", Sharded: true}},
		{Key: items.Key{Collection: items.Routes, Name: "keyed"}, Version: 1, Route: &items.Route{
			Host: "h", Prefix: "/keyed/", Kind: items.Safe, Timeout: 5 * time.Second, Aim: time.Second,
			Split: []items.Share{{Service: "k", Weight: 1}}, MaxAttempts: 2,
		}},
	}})
}

// Guards against a request that waits for the holder of its key and is cut off
// without an answer when the entry stops.
func TestStopRefusesWaitingRequests(t *testing.T) {
	b := newBench(t, newTarget(t, signed))
	b.addKeyed()
	results := make(chan Result, 1)
	go func() {
		results <- b.g.Serve(context.Background(), &Request{
			ID: "1", Method: "GET", URI: "/keyed/x", Path: "/keyed/x", Host: "h", Name: "h", Header: http.Header{"X-Id": {"1"}}, Key: 7,
		})
	}()
	select {
	case r := <-results:
		t.Fatalf("got %+v, want the request to wait for a holder", r)
	case <-time.After(100 * time.Millisecond):
	}
	b.g.EndService()
	select {
	case r := <-results:
		wantKind(t, r, errkind.Stopping)
		if r.RetryAfter <= 0 {
			t.Error("the caller is not told when to come back")
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the request still waits after the end of the service")
	}
}

// Guards against a stop that gives up a request at which a target works.
func TestStopLetsRequestsAtTargetsEnd(t *testing.T) {
	began := make(chan struct{})
	slow := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		time.Sleep(150 * time.Millisecond)
		signed(w, r)
	})
	b := newBench(t, slow)
	go func() {
		<-began
		b.g.RefuseNew()
	}()
	if r := b.serve("/post/x", "1"); r.Err != nil {
		t.Errorf("got %v, want the target's answer", r.Err)
	}
}

// Guards against callers whose connection ends without an answer because their
// target is silent until the process ends.
func TestStopAnswersForSilentTargets(t *testing.T) {
	began := make(chan struct{})
	silent := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	})
	b := newBench(t, silent)
	go func() {
		<-began
		b.g.EndService()
	}()
	at := time.Now()
	wantKind(t, b.serve("/post/x", "1"), errkind.AnswerTimeout)
	if took := time.Since(at); took > 300*time.Millisecond {
		t.Errorf("the answer came after %v, the route's timeout", took)
	}
}

// Guards against requests that a stopping entry takes and cannot finish.
func TestStoppingEntryRefusesNewRequests(t *testing.T) {
	target := newTarget(t, signed)
	b := newBench(t, target)
	b.g.RefuseNew()
	wantKind(t, b.serve("/post/x", "1"), errkind.Stopping)
	if target.count() != 0 {
		t.Error("a refused request reached a target")
	}
}
