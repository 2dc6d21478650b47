package gateway

import (
	"context"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// coldInterval is the time between two requests of this entry to a cold target,
// or 0 when it may send none.
func (g *Gateway) coldInterval(view *fleet.View, service items.Service, e *fleet.Endpoint) time.Duration {
	region := g.cfg.Regions[e.DataCentre]
	var sharers []placement.Sharer
	for _, entry := range view.Entries() {
		sharers = append(sharers, placement.Sharer{Addr: entry.Addr, Near: entry.Region == region})
	}
	return placement.ColdInterval(service.ColdRate*g.cfg.ColdFactor+g.cfg.ColdSlack, e.ID, g.cfg.Addr, sharers)
}

// Times of an entry that lost all control VMs.
const (
	// cutOffAfter is the age of the state above which the entry asks the targets
	// themselves whether they are cold. Targets turn cold without a failure that
	// the entry would see.
	cutOffAfter = 2 * time.Second
	// cutOffCheck is the time between two such questions to a target in use.
	cutOffCheck = 400 * time.Millisecond
)

// watchCold checks the targets in use while the entry is cut off from control.
func (g *Gateway) watchCold(ctx context.Context) {
	for clock.Pause(ctx, cutOffCheck) {
		if g.now()-time.Duration(g.contact.Load()) < cutOffAfter || !g.Ready() {
			continue
		}
		for _, c := range g.inUse() {
			g.start(func(ctx context.Context) { g.noteCold(ctx, c) })
		}
	}
}

// inUse returns the targets that got a request since the last look.
func (g *Gateway) inUse() []choice {
	view := g.view.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []choice
	for in, t := range g.tracks {
		e, ok := view.Endpoint(in.ID)
		if !ok || e.Born != in.Born || t.reviving || !t.asked {
			continue
		}
		t.asked = false
		list = append(list, choice{e, t})
	}
	return list
}

func (g *Gateway) noteCold(ctx context.Context, c choice) {
	coldFor, healthy := g.check(ctx, c)
	if !healthy {
		return
	}
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.track.coldUntil = max(c.track.coldUntil, now+coldFor)
}
