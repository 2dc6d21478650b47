package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Time limits of the watch.
const (
	// watchTimeout bounds one watch beyond the time that it waits for news: the
	// state of a large fleet takes half a second on a 2 Mbit/s link. With the wait
	// it stays below the 2 s within which a change must be in force.
	watchTimeout = time.Second
	// watchPause is the pause after a watch that failed.
	watchPause = 100 * time.Millisecond
	// leaderless is the age of the leader's word above which the entry turns to
	// another control VM.
	leaderless = 1200 * time.Millisecond
)

// follower is the state of the goroutine that follows a control VM.
type follower struct {
	g *Gateway
	// peers are the known control VMs, nearest first; at is the one followed.
	peers []watch.Peer
	at    int
	// lost says that the last watch failed.
	lost bool
}

// follow keeps the view up to date until ctx ends.
func (g *Gateway) follow(ctx context.Context) {
	f := &follower{g: g}
	for _, seed := range g.cfg.Seeds {
		f.peers = append(f.peers, watch.Peer{Addr: seed})
	}
	for ctx.Err() == nil && len(f.peers) > 0 {
		if seeds := g.seeds.Swap(nil); seeds != nil {
			f.learn(*seeds, f.peers[f.at].Addr)
		}
		if !f.once(ctx) {
			f.at = (f.at + 1) % len(f.peers)
			clock.Pause(ctx, watchPause)
		}
	}
}

// AddSeeds adds control VMs that changed settings name.
func (g *Gateway) AddSeeds(addrs []string) {
	var peers []watch.Peer
	for _, addr := range addrs {
		peers = append(peers, watch.Peer{Addr: addr})
	}
	g.seeds.Store(&peers)
}

// once does one watch and reports whether to stay with the control VM.
func (f *follower) once(ctx context.Context) bool {
	g := f.g
	peer := f.peers[f.at]
	asked := g.now()
	answer, err := g.ask(ctx, peer.Addr)
	if err != nil {
		if !f.lost {
			g.cfg.Logger.WithField("control", peer.Addr).WithError(err).Warn("control VM lost")
		}
		f.lost = true
		return false
	}
	if f.lost {
		g.cfg.Logger.WithField("control", peer.Addr).Info("control VM regained")
	}
	f.lost = false
	// After a loss of all VMs no replica is known to be up to date until a leader
	// is elected. An entry without any configuration serves by an older state
	// until then; it goes on to look for a newer one.
	if answer.Age != watch.Unknown || !g.Ready() {
		g.take(answer, asked)
	}
	f.learn(answer.Known, peer.Addr)
	return answer.Age < leaderless
}

// ask sends one watch.
func (g *Gateway) ask(ctx context.Context, addr string) (watch.Answer, error) {
	var answer watch.Answer
	payload, err := wire.Marshal(&watch.Request{
		Entry: g.cfg.Addr, Region: g.cfg.Region, DataCentre: g.cfg.DataCentre, Revision: g.view.Load().Revision(), Wait: watch.MaxWait,
		Samples: g.takeSamples(),
	})
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithTimeout(ctx, watch.MaxWait+watchTimeout)
	defer cancel()
	g.links.SetPeer(addr, addr)
	data, err := g.links.Call(ctx, addr, watch.Method, payload)
	if err != nil {
		return answer, err
	}
	err = watch.Decode(data, &answer)
	return answer, err
}

// take puts the news of an answer in force. The answer shows the leader's state
// of at least Age before the watch was sent.
func (g *Gateway) take(answer watch.Answer, asked time.Duration) {
	if contact := int64(asked - answer.Age); contact > g.contact.Load() {
		g.contact.Store(contact)
	}
	old := g.view.Load()
	if answer.Delta.Empty() || answer.Delta.From > old.Revision() {
		return
	}
	next := old.With(answer.Delta, g.now())
	g.logChanges(answer.Delta)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Store(next)
	clear(g.subsets)
	g.forget(next)
	close(g.changed)
	g.changed = make(chan struct{})
}

// forget drops what is known of targets that are gone; the mutex is held.
func (g *Gateway) forget(view *fleet.View) {
	for in, t := range g.tracks {
		e, ok := view.Endpoint(in.ID)
		if (!ok || e.Born != in.Born) && t.InFlight == 0 {
			delete(g.tracks, in)
		}
	}
}

// logChanges records what this VM now believes.
func (g *Gateway) logChanges(d fleet.Delta) {
	for _, item := range d.Items[:min(len(d.Items), maxLogged)] {
		g.cfg.Logger.WithFields(log.Fields{
			"collection": item.Collection, "name": item.Name, "version": item.Version, "dropped": item.Dropped, "revision": item.Revision,
		}).Info("item in force")
	}
	for _, t := range d.Targets[:min(len(d.Targets), maxLogged)] {
		g.cfg.Logger.WithFields(log.Fields{
			"target": t.ID, "born": t.Born, "service": t.Service, "address": t.Address, "condition": t.Condition.String(), "cold_for": t.ColdFor, "revision": t.Revision,
		}).Info("target in force")
	}
	for _, sh := range d.Shards {
		g.cfg.Logger.WithFields(log.Fields{"service": sh.Service, "rows": len(sh.Rows), "revision": sh.Revision}).Info("rows in force")
	}
	for _, dc := range d.DataCentres {
		g.cfg.Logger.WithFields(log.Fields{"data_centre": dc.Name, "out": dc.Out, "revision": dc.Revision}).Info("data centre in force")
	}
}

// maxLogged bounds the lines for one delta: a delta may carry hundreds of items.
const maxLogged = 40

// learn takes in the known control VMs and returns to the nearest one when its
// place becomes known.
func (f *follower) learn(known []watch.Peer, current string) {
	byAddr := make(map[string]watch.Peer)
	for _, p := range append(f.peers, known...) {
		if held, ok := byAddr[p.Addr]; !ok || held.Region == "" {
			byAddr[p.Addr] = p
		}
	}
	if len(byAddr) == len(f.peers) && !f.placesLearned(byAddr) {
		return
	}
	f.peers = f.peers[:0]
	for _, p := range byAddr {
		f.peers = append(f.peers, p)
	}
	slices.SortFunc(f.peers, func(a, b watch.Peer) int {
		return cmp.Or(cmp.Compare(f.rank(a), f.rank(b)), cmp.Compare(a.Addr, b.Addr))
	})
	f.at = slices.IndexFunc(f.peers, func(p watch.Peer) bool { return p.Addr == current })
	if f.rank(f.peers[0]) < f.rank(f.peers[f.at]) {
		f.at = 0
	}
}

// placesLearned reports whether the place of a peer became known.
func (f *follower) placesLearned(byAddr map[string]watch.Peer) bool {
	for _, p := range f.peers {
		if byAddr[p.Addr].Region != p.Region {
			return true
		}
	}
	return false
}

// rank is how far a control VM is; one whose place is not known is far.
func (f *follower) rank(p watch.Peer) int {
	switch {
	case p.DataCentre == f.g.cfg.DataCentre:
		return 0
	case p.Region == f.g.cfg.Region:
		return 1
	}
	return 2
}
