package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// overload makes the targets of service s look full to the gateway.
func (b *testbed) overload(ids ...string) {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	for range 50 {
		b.g.pressure("s").AddReport(b.g.now(), placement.Load{Running: 4, Waiting: 16, Slots: 4})
	}
	for _, id := range ids {
		e, ok := b.g.view.Load().Endpoint(id)
		if !ok {
			b.t.Fatalf("no target %s", id)
		}
		b.g.stateOf(e).AddReport(b.g.now(), placement.Load{Running: 4, Waiting: 2, Slots: 4, Slowdown: 1})
	}
}

// Guards against refused requests while a target in another region has
// capacity, and against the refusal of requests that a target may have
// received.
func TestRequestsLeaveTheirRegionBeforeTheyAreRefused(t *testing.T) {
	far := newTarget(t, signed)
	b := newTestbed(t, newTarget(t, signed))
	b.overload("t0")
	refused := 0
	for i := range 20 {
		if r := b.serve("/post/x", fmt.Sprint("a", i)); r.Err != nil {
			wantKind(t, r, errkind.Overloaded)
			refused++
		}
	}
	if refused == 0 {
		t.Error("no request was refused by a full service, so the test proves nothing")
	}
	b.put(fleet.Delta{Targets: []fleet.Target{{
		Incarnation: fleet.Incarnation{ID: "far", StartMs: 1}, Service: "s", Address: strings.TrimPrefix(far.server.URL, "http://"), DataCentre: "far", Slots: 400,
	}}})
	b.overload("t0")
	for i := range 20 {
		if r := b.serve("/post/x", fmt.Sprint("b", i)); r.Err != nil || r.Response.Status != http.StatusOK {
			t.Errorf("got %+v although a target in another region has capacity", r)
		}
	}
}
