package controller

import (
	"context"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// Guards against a leader that accepts two routes of which each entry uses one: their
// hosts differ only in case.
func TestRoutesWithTheSamePlaceAreRefused(t *testing.T) {
	v := startVMs(t)
	leader, _ := v.leader()
	change := func(name, host string) *errkind.Error {
		return leader.Change(context.Background(), fleet.Command{Patch: &items.Patch{Items: []items.Item{{
			Key: items.Key{Collection: items.Routes, Name: name}, Version: 1, Route: &items.Route{
				Host: host, Prefix: "/a/", Kind: items.Safe, Timeout: time.Second, LatencyObjective: time.Second,
				Split: []items.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1,
			},
		}}}})
	}
	if err := change("r", "Ledger.example"); err != nil {
		t.Fatal(err)
	}
	if err := change("q", "ledger.Example"); err == nil || err.Kind != errkind.InvalidText {
		t.Errorf("got %v, want %s", err, errkind.InvalidText)
	}
}
