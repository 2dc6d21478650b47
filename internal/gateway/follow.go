package gateway

import (
	"context"
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
	// trialTimeout bounds the first watch of a nearer control VM, during which there
	// is no news: a round trip, and one more for a new link.
	trialTimeout = 250 * time.Millisecond
	// watchPause is the pause after a watch that failed.
	watchPause = 100 * time.Millisecond
	// staleGrace is how long an entry without any state looks for one that is up to
	// date: time to ask three control VMs.
	staleGrace = 300 * time.Millisecond
)

// follower is the state of the goroutine that follows a control VM.
type follower struct {
	g     *Gateway
	peers *peers
	// digest is that of the control VMs in the last answer.
	digest uint64
	// lost says that the entry follows no control VM whose state is current.
	lost bool
	// staleSince is when a control VM without the leader's word answered an entry
	// that has no state yet, or 0.
	staleSince time.Duration
	// unsure is the first control VM that answered so and knew of no leader since
	// its start.
	unsure string
}

// follow keeps the view up to date until ctx ends.
func (g *Gateway) follow(ctx context.Context) {
	f := &follower{g: g, peers: newPeers(g.cfg.Addr, g.cfg.Region, g.cfg.DataCentre, g.cfg.Seeds)}
	for ctx.Err() == nil && f.peers.any() {
		if seeds := g.seeds.Swap(nil); seeds != nil {
			f.peers.learn(*seeds)
		}
		good := f.once(ctx)
		if good {
			f.noteRegained()
		}
		f.peers.result(g.now(), good)
		if !good {
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

// once does one watch and reports whether the entry follows a control VM whose
// state is current.
func (f *follower) once(ctx context.Context) bool {
	peer, trial := f.peers.current()
	if trial {
		return f.consider(<-f.ask(ctx, peer.Addr, 0, trialTimeout))
	}
	first := f.ask(ctx, peer.Addr, watch.MaxWait, watch.MaxWait+watchTimeout)
	var late <-chan time.Time
	if f.g.Ready() {
		late = time.After(watch.MaxWait + searchAfter)
	}
	select {
	case r := <-first:
		if f.consider(r) {
			return true
		}
		first = nil
	case <-late:
	}
	return f.search(ctx, peer.Addr, first)
}

// consider takes in an answer and reports whether its sender's state is current.
func (f *follower) consider(r reply) bool {
	var answer watch.Answer
	if r.err == nil {
		r.err = watch.Decode(r.data, &answer)
	}
	if r.err != nil {
		f.g.cfg.Logger.WithField("control", r.from).WithError(r.err).Debug("watch failed")
		return false
	}
	f.g.crashers.Merge(f.g.now(), answer.Suspicions)
	f.g.crashers.heard = answer.Heard
	if f.usable(r.from, answer, f.g.now()) {
		f.g.take(answer, r.asked)
	}
	if len(answer.Known) > 0 {
		f.digest = watch.Digest(answer.Known)
		f.peers.learn(answer.Known)
	}
	return answer.Age < watch.StaleAge
}

// usable reports whether the state of an answer may be put in force. One that may
// be old is used only by an entry that has none, after it has looked whether
// another control VM knows better: targets and keys of an old state may have been
// withdrawn. After a loss of all VMs no replica is known to be up to date until a
// leader is elected; a second replica that says so ends the search.
func (f *follower) usable(from string, answer watch.Answer, now time.Duration) bool {
	switch {
	case answer.Age < watch.StaleAge:
		return true
	case f.g.Ready():
		return answer.Age != watch.Unknown
	case f.staleSince == 0:
		f.staleSince = now
	}
	if answer.Age == watch.Unknown {
		if f.unsure != "" && f.unsure != from {
			return true
		}
		f.unsure = from
	}
	return now-f.staleSince >= staleGrace
}

// reply is what came of one watch: an encoded answer or an error.
type reply struct {
	from  string
	asked time.Duration
	data  []byte
	err   error
}

// ask sends one watch and returns where its reply comes. The VM holds its answer
// for a time while there is no news.
func (f *follower) ask(ctx context.Context, addr string, wait, timeout time.Duration) <-chan reply {
	g := f.g
	replies := make(chan reply, 1)
	r := reply{from: addr, asked: g.now()}
	payload, err := wire.Marshal(&watch.Request{
		Entry: g.cfg.Addr, Region: g.cfg.Region, DataCentre: g.cfg.DataCentre, Revision: g.view.Load().Revision(), Wait: wait,
		Known: f.digest, Samples: g.takeSamples(), Suspicions: g.crashers.Drain(), Heard: g.crashers.heard,
	})
	if err != nil {
		r.err = err
		replies <- r
		return replies
	}
	g.links.SetPeer(addr, addr)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		r.data, r.err = g.links.Call(ctx, addr, watch.Method, payload)
		replies <- r
	}()
	return replies
}

// take puts the news of an answer in force. The answer shows the leader's state
// of at least Age before the watch was sent. Of several control VMs that were asked
// at the same revision an earlier state may come last.
func (g *Gateway) take(answer watch.Answer, asked time.Duration) {
	if contact := int64(asked - answer.Age); contact > g.contact.Load() {
		g.contact.Store(contact)
	}
	old := g.view.Load()
	if answer.Delta.Empty() || answer.Delta.From > old.Revision() || answer.Delta.To <= old.Revision() {
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
