package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// Guards against refusals of a route whose latency objective is above its timeout and of
// which no response is known, as after each start of an entry (review/9).
func TestRouteWithALongLatencyObjectiveIsServed(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	b.put(fleet.Delta{Items: []items.Item{{Key: items.Key{Collection: items.Routes, Name: "read"}, Version: 2, Route: &items.Route{
		Host: "h", Prefix: "/read/", Kind: items.Safe, Timeout: 400 * time.Millisecond, LatencyObjective: 1600 * time.Millisecond,
		Split: []items.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2,
	}}}})
	for i := range 3 {
		if r := b.serve("/read/x", fmt.Sprint(i)); r.Err != nil {
			if r.Err.Kind != errkind.Overloaded {
				t.Fatalf("got %+v", r)
			}
			t.Errorf("request %d was refused: %v", i, r.Err)
		}
	}
}
