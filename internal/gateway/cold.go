package gateway

import (
	"context"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// knownColdInterval is the interval of a cold target and what it was computed from.
type knownColdInterval struct {
	permitted float64
	entries   *fleet.Entry
	interval  time.Duration
}

// coldInterval returns the time between two requests of this entry VM to a cold
// target, or 0 if it may send none. Each choice asks it for each cold target, so it is
// computed once; the mutex is held.
func (g *Gateway) coldInterval(view *fleet.View, service items.Service, e *fleet.Endpoint, t *targetState) time.Duration {
	permitted, entries := service.ColdRate*g.cfg.ColdFactor+g.cfg.ColdSlack, firstEntry(view)
	if known := t.coldInterval; known == nil || known.permitted != permitted || known.entries != entries {
		interval := placement.ColdInterval(permitted, e.ID, g.cfg.Addr, g.sharers(view, e))
		t.coldInterval = &knownColdInterval{permitted, entries, interval}
	}
	return t.coldInterval.interval
}

// firstEntry identifies the list of entry VMs of a view: a view keeps the list of the one
// before it until an entry VM comes or goes. It returns nil for an empty list.
func firstEntry(view *fleet.View) *fleet.Entry {
	if list := view.Entries(); len(list) > 0 {
		return &list[0]
	}
	return nil
}

// sharers returns the recorded entry VMs, which may send to a target.
func (g *Gateway) sharers(view *fleet.View, e *fleet.Endpoint) []placement.Entry {
	region := g.cfg.Regions[e.DataCentre]
	var sharers []placement.Entry
	for _, entry := range view.Entries() {
		sharers = append(sharers, placement.Entry{Addr: entry.Addr, Near: entry.Region == region})
	}
	return sharers
}

// Timing of the checks by a gateway without a connection to any control VM.
const (
	// disconnectedAfter is the age of the state above which the gateway queries
	// the targets themselves whether they are cold. Targets can become cold
	// without a failure that the gateway observes.
	disconnectedAfter = 2 * time.Second
	// coldCheckInterval is the time between two of these checks of a target in
	// use.
	coldCheckInterval = 400 * time.Millisecond
)

// checkColdTargets checks the targets in use while the gateway is disconnected
// from the control VMs.
func (g *Gateway) checkColdTargets(ctx context.Context) {
	for clock.Sleep(ctx, coldCheckInterval) {
		if g.now()-time.Duration(g.stateTime.Load()) < disconnectedAfter || !g.Ready() {
			continue
		}
		for _, c := range g.recentlyUsed() {
			g.start(func(ctx context.Context) { g.updateCold(ctx, c) })
		}
	}
}

// recentlyUsed returns the targets that received a request since the last call.
func (g *Gateway) recentlyUsed() []choice {
	view := g.view.Load()
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []choice
	for in, t := range g.targetStates {
		e, ok := view.Endpoint(in.ID)
		if !ok || e.StartMs != in.StartMs || t.recovering || !t.usedSinceCheck || !t.Open(now) {
			continue
		}
		t.usedSinceCheck = false
		list = append(list, choice{endpoint: e, state: t})
	}
	return list
}

func (g *Gateway) updateCold(ctx context.Context, c choice) {
	coldFor, healthy := g.checkHealth(ctx, c)
	if !healthy {
		return
	}
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.state.coldUntil = max(c.state.coldUntil, now+coldFor)
}
