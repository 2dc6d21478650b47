package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
)

// Guards against an entry VM that has no processor time left for requests after many
// targets were replaced: the choice of a target must not cost more for each cold target
// and entry VM. It counts allocated bytes, which don't depend on the machine.
func TestChoiceCostsAboutTheSameAmongColdTargets(t *testing.T) {
	const targets, entries, choices = 281, 91, 100
	cost := func(coldFor time.Duration) uint64 {
		b := newTestbed(t)
		var d fleet.Delta
		for i := range entries {
			d.Entries = append(d.Entries, fleet.Entry{Addr: fmt.Sprintf("10.1.0.%d:7720", i), Region: "r", DataCentre: "d"})
		}
		for i := range targets {
			d.Targets = append(d.Targets, fleet.Target{
				Incarnation: fleet.Incarnation{ID: fmt.Sprint("t", i), StartMs: 1}, Service: "s",
				Address: fmt.Sprintf("10.2.0.%d:80", i), DataCentre: "d", Slots: 4, ColdFor: coldFor,
			})
		}
		d.Items = []items.Item{{
			Key: items.Key{Collection: items.Services, Name: "s"}, Version: 2, Service: &items.Service{HealthPath: "/health", ColdRate: 4},
		}}
		b.put(d)
		post, _ := b.g.view.Load().Match("h", "/post/x")
		choose := func() {
			a := &activeRequest{g: b.g, name: post.Name, route: post.Route, service: "s", arrived: b.g.now(), deadline: b.g.now() + time.Hour,
				req: &Request{ID: "1", Method: "GET", URI: "/post/x", Host: "h", Header: http.Header{}, Key: NoKey}}
			if c, failure := a.choose(context.Background()); failure == nil {
				b.g.mu.Lock()
				c.state.Ended()
				b.g.mu.Unlock()
			}
		}
		choose() // creates the states of the targets
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range choices {
			choose()
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / choices
	}
	warm, cold := cost(0), cost(time.Hour)
	t.Logf("bytes allocated for a choice: %d among warm targets, %d among cold ones", warm, cold)
	if cold > 2*warm {
		t.Errorf("a choice among cold targets allocates %d bytes, among warm ones %d", cold, warm)
	}
}
