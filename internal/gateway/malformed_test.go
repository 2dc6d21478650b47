package gateway

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// malformedRounds is how often each answer is applied, each time with other random
// changes.
const malformedRounds = 150

// wildAnswers returns answers with values that no control VM sends.
func wildAnswers() []watch.Answer {
	key := func(c items.Collection, name string) items.Key { return items.Key{Collection: c, Name: name} }
	return []watch.Answer{
		{Delta: fleet.Delta{To: 9, Items: []items.Item{{Key: key(items.Routes, "read"), Version: 9}, {Key: key(items.Services, "s"), Version: 9}}}},
		{Delta: fleet.Delta{To: 9, Items: []items.Item{{Key: key(items.Routes, "read"), Version: 9, Route: &items.Route{Host: "h", Prefix: "/read/"}}}}},
		{Delta: fleet.Delta{To: 9, Items: []items.Item{{Key: key(items.Routes, "read"), Version: 9, Route: &items.Route{
			Host: "h", Prefix: "/read/", Timeout: math.MinInt64, MaxAttempts: math.MinInt, Split: []items.Share{{Weight: math.MinInt}, {Service: "s", Weight: math.MaxInt}, {Service: "s", Weight: math.MaxInt}},
		}}}}},
		{Delta: fleet.Delta{To: 9, Targets: []fleet.Target{
			{Incarnation: fleet.Incarnation{ID: "wild", StartMs: math.MinInt64}, Service: "s", Address: "?", Slots: math.MinInt, ColdFor: math.MinInt64},
			{Incarnation: fleet.Incarnation{ID: "", StartMs: math.MaxInt64}, Service: "s", Slots: math.MaxInt, ColdFor: math.MaxInt64},
		}}},
		{Delta: fleet.Delta{To: 9, ShardMaps: []fleet.ShardMap{{Service: "s"}, {Service: ""}}}},
		{Delta: fleet.Delta{From: math.MaxUint64, To: math.MaxUint64, Entries: []fleet.Entry{{Addr: ""}, {Addr: "x"}}, DataCentres: []fleet.DataCentre{{}}}},
		{Age: math.MinInt64, ControlVMs: []watch.Peer{{}, {Addr: "?"}}},
	}
}

// Guards against a malformed answer of a control VM that ends an entry or blocks it.
func TestMalformedWatchAnswersDoNotBlockTheEntry(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for i, answer := range wildAnswers() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			encoded, err := watch.Encode(&answer)
			if err != nil {
				t.Fatal(err)
			}
			for round := range malformedRounds {
				data := append([]byte(nil), encoded...)
				for range round % 4 {
					data[rng.IntN(len(data))] ^= 1 << rng.IntN(8)
				}
				applyMalformed(t, data)
			}
		})
	}
}

// applyMalformed applies an answer at a gateway and sends it requests, in the same
// way as the gateway and its server do, which recover panics.
func applyMalformed(t *testing.T, data []byte) {
	t.Helper()
	b := newTestbed(t)
	defer b.g.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.g.recoverPanic(func() {
			w := &watcher{g: b.g, peers: newPeers("", "r", "d", []string{"control"})}
			w.handleReply(reply{from: "control", sentAt: b.g.now(), data: data})
		})
		for _, path := range []string{"/read/x", "/post/x"} {
			b.g.recoverPanic(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				b.g.Serve(ctx, &Request{
					ID: "1", Method: http.MethodGet, URI: path, Path: path, Host: "h", RouteHost: "h", Header: http.Header{}, Key: 7,
				})
			})
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatalf("the entry is blocked after the answer %q", data)
	}
}
