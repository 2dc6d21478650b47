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

// Timeouts and delays of watches.
const (
	// watchTimeout bounds one watch beyond the time that it waits for changes:
	// the state of a large fleet takes half a second on a 2 Mbit/s link.
	// Together with the wait it stays below the 2 s within which a change must
	// be in force.
	watchTimeout = time.Second
	// trialTimeout bounds the first watch of a nearer control VM, during which
	// the gateway receives no changes: one round trip, and another one for a
	// new link.
	trialTimeout = 250 * time.Millisecond
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 100 * time.Millisecond
	// staleGrace is how long a gateway without a state looks for a current one:
	// enough time to query three control VMs.
	staleGrace = 300 * time.Millisecond
)

// watcher is the state of the goroutine that watches a control VM.
type watcher struct {
	g     *Gateway
	peers *peers
	// digest is the digest of the control VMs in the last answer.
	digest uint64
	// lost reports that the gateway follows no control VM whose state is
	// current.
	lost bool
	// staleSince is when a gateway that has no state yet first received an
	// answer without a current state, or 0.
	staleSince time.Duration
	// leaderless is the first control VM that sent such an answer and had not
	// caught up with a leader since its start.
	leaderless string
}

// watchControl keeps the view up to date until ctx ends.
func (g *Gateway) watchControl(ctx context.Context) {
	w := &watcher{g: g, peers: newPeers(g.cfg.Addr, g.cfg.Region, g.cfg.DataCentre, g.cfg.Seeds)}
	for ctx.Err() == nil && w.peers.nonEmpty() {
		if seeds := g.pendingSeeds.Swap(nil); seeds != nil {
			w.peers.update(*seeds)
		}
		isCurrent := w.watchOnce(ctx)
		if isCurrent {
			w.logRegained()
		}
		w.peers.report(g.now(), isCurrent)
		if !isCurrent {
			clock.Sleep(ctx, watchRetryDelay)
		}
	}
}

// AddSeeds adds the control VMs of changed settings.
func (g *Gateway) AddSeeds(addrs []string) {
	var peers []watch.Peer
	for _, addr := range addrs {
		peers = append(peers, watch.Peer{Addr: addr})
	}
	g.pendingSeeds.Store(&peers)
}

// watchOnce performs one watch and reports whether the gateway follows a
// control VM whose state is current.
func (w *watcher) watchOnce(ctx context.Context) bool {
	peer, trial := w.peers.current()
	if trial {
		return w.handleReply(<-w.startWatch(ctx, peer.Addr, 0, trialTimeout))
	}
	first := w.startWatch(ctx, peer.Addr, watch.MaxWait, watch.MaxWait+watchTimeout)
	var late <-chan time.Time
	if w.g.Ready() {
		late = time.After(watch.MaxWait + searchDelay)
	}
	select {
	case r := <-first:
		if w.handleReply(r) {
			return true
		}
		first = nil
	case <-late:
	}
	return w.search(ctx, peer.Addr, first)
}

// handleReply processes a reply and reports whether its sender's state is
// current.
func (w *watcher) handleReply(r reply) bool {
	var answer watch.Answer
	if r.err == nil {
		r.err = watch.Decode(r.data, &answer)
	}
	if r.err != nil {
		w.g.cfg.Logger.WithField("control", r.from).WithError(r.err).Debug("watch failed")
		return false
	}
	w.g.mergeSuspicions(answer.Suspicions)
	w.g.crashes.received = answer.Received
	if w.usable(r.from, answer, w.g.now()) {
		w.g.applyAnswer(answer, r.sentAt)
	}
	if len(answer.ControlVMs) > 0 {
		w.digest = watch.Digest(answer.ControlVMs)
		w.peers.update(answer.ControlVMs)
	}
	return answer.Age < watch.StaleAge
}

// usable reports whether the state of an answer may be applied. A gateway that
// has a state accepts every answer of known age. A gateway without one accepts
// an outdated state only after it has looked for a current one at other control
// VMs, because targets and keys of an outdated state may have been withdrawn.
// After a loss of all VMs no replica is known to be up to date until a leader
// is elected; a second replica that reports an unknown age ends the search.
func (w *watcher) usable(from string, answer watch.Answer, now time.Duration) bool {
	switch {
	case answer.Age < watch.StaleAge:
		return true
	case w.g.Ready():
		return answer.Age != watch.UnknownAge
	case w.staleSince == 0:
		w.staleSince = now
	}
	if answer.Age == watch.UnknownAge {
		if w.leaderless != "" && w.leaderless != from {
			return true
		}
		w.leaderless = from
	}
	return now-w.staleSince >= staleGrace
}

// reply is the result of one watch: an encoded answer or an error.
type reply struct {
	from   string
	sentAt time.Duration
	data   []byte
	err    error
}

// startWatch sends one watch and returns the channel on which its reply
// arrives. The control VM holds its answer for up to wait while there are no
// changes.
func (w *watcher) startWatch(ctx context.Context, addr string, wait, timeout time.Duration) <-chan reply {
	g := w.g
	replies := make(chan reply, 1)
	r := reply{from: addr, sentAt: g.now()}
	suspicions := g.crashes.Drain()
	payload, err := wire.Marshal(&watch.Request{
		Entry: g.cfg.Addr, Region: g.cfg.Region, DataCentre: g.cfg.DataCentre, Revision: g.view.Load().Revision(), Wait: wait,
		KnownDigest: w.digest, Samples: g.takeSamples(), Suspicions: suspicions, Received: g.crashes.received,
	})
	if err != nil {
		g.crashes.Requeue(suspicions)
		r.err = err
		replies <- r
		return replies
	}
	g.links.SetPeer(addr, addr)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if r.data, r.err = g.links.Call(ctx, addr, watch.MethodWatch, payload); r.err != nil {
			g.crashes.Requeue(suspicions)
		}
		replies <- r
	}()
	return replies
}

// applyAnswer applies the changes of an answer to the view. The answer shows
// the leader's state of at least Age before the watch was sent. If several
// control VMs were queried at the same revision, an earlier state may arrive
// last.
func (g *Gateway) applyAnswer(answer watch.Answer, sentAt time.Duration) {
	if contact := int64(sentAt - answer.Age); contact > g.stateTime.Load() {
		g.stateTime.Store(contact)
	}
	old := g.view.Load()
	if answer.Delta.Empty() || answer.Delta.From > old.Revision() || answer.Delta.To <= old.Revision() {
		return
	}
	g.noteReplaced(old, answer.Delta)
	next := old.With(answer.Delta, g.now())
	g.logChanges(answer.Delta)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Store(next)
	if len(answer.Delta.Targets)+len(answer.Delta.Entries) > 0 {
		clear(g.subsets)
	}
	g.dropGoneTargets(next)
	g.wakeWaiting()
}

// dropGoneTargets deletes the state of targets that are gone; the mutex is
// held.
func (g *Gateway) dropGoneTargets(view *fleet.View) {
	for in, t := range g.targetStates {
		e, ok := view.Endpoint(in.ID)
		if (!ok || e.StartMs != in.StartMs) && t.InFlight == 0 {
			delete(g.targetStates, in)
		}
	}
}

// logChanges logs the changes that this VM applies.
func (g *Gateway) logChanges(d fleet.Delta) {
	for _, item := range d.Items[:min(len(d.Items), maxLogged)] {
		g.cfg.Logger.WithFields(log.Fields{
			"collection": item.Collection, "name": item.Name, "version": item.Version, "dropped": item.Removed, "revision": item.Revision,
		}).Info("item applied")
	}
	for _, t := range d.Targets[:min(len(d.Targets), maxLogged)] {
		g.cfg.Logger.WithFields(log.Fields{
			"target": t.ID, "born": t.StartMs, "service": t.Service, "address": t.Address, "condition": t.Condition.String(), "cold_for": t.ColdFor, "revision": t.Revision,
		}).Info("target applied")
	}
	for _, sh := range d.ShardMaps {
		g.cfg.Logger.WithFields(log.Fields{"service": sh.Service, "rows": len(sh.Rows), "revision": sh.Revision}).Info("rows applied")
	}
	for _, dc := range d.DataCentres {
		g.cfg.Logger.WithFields(log.Fields{"data_centre": dc.Name, "out": dc.Out, "revision": dc.Revision}).Info("data centre applied")
	}
}

// maxLogged bounds the log lines of each kind for one delta: a delta may carry
// hundreds of items.
const maxLogged = 40
