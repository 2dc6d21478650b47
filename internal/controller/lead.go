package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/registry"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

var (
	errNotLeading    = errkind.New(errkind.NotLeader, "this VM is not the control leader")
	errVotersMissing = errkind.New(errkind.NotLeader, "fewer replicas vote than the tolerated losses need")
)

// leadChange commits a change of the operators as the leader.
func (c *Controller) leadChange(ctx context.Context, payload []byte) ([]byte, error) {
	var cmd fleet.Command
	if err := wire.Unmarshal(payload, &cmd); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "change cannot be read")
	}
	arrived := c.now()
	result, failure := ask(ctx, c.loop, urgent, func(done chan<- *errkind.Error) {
		now := c.now()
		switch {
		case !c.loop.leading(now):
			done <- errNotLeading
		case !c.loop.enoughVoters(now):
			done <- errVotersMissing
		default:
			c.loop.propose(now, cmd, done)
		}
	})
	if failure != nil {
		c.metrics.changes.WithLabelValues(outcome(failure)).Inc()
		return nil, failure
	}
	c.metrics.changes.WithLabelValues(outcome(result)).Inc()
	if result == nil {
		c.metrics.commit.Observe((c.now() - arrived).Seconds())
	}
	if result != nil && result.Kind == errkind.NotLeader {
		return nil, result // The VM that was asked goes on and records the outcome.
	}
	c.logChange(cmd, result)
	if result != nil {
		return nil, result
	}
	return nil, nil
}

// logChange records the outcome of an operators' change.
func (c *Controller) logChange(cmd fleet.Command, result *errkind.Error) {
	entry := c.cfg.Logger.WithField("accepted", result == nil)
	if result != nil {
		entry = entry.WithField("reason", result.Error())
	}
	if cmd.Patch != nil {
		for _, item := range cmd.Patch.Items[:min(len(cmd.Patch.Items), maxLoggedItems)] {
			entry.WithFields(log.Fields{"collection": item.Collection, "name": item.Name, "version": item.Version, "dropped": item.Dropped}).Info("item change")
		}
	}
	if cmd.DataCentre != nil {
		entry.WithFields(log.Fields{"data_centre": cmd.DataCentre.Name, "out": cmd.DataCentre.Out}).Info("data centre change")
	}
}

// maxLoggedItems bounds the lines for one change: a change may bring hundreds
// of routes.
const maxLoggedItems = 8

// leadRead returns all items as the leader.
func (c *Controller) leadRead(ctx context.Context) ([]byte, error) {
	type result struct {
		all []items.Item
		err *errkind.Error
	}
	r, failure := ask(ctx, c.loop, urgent, func(results chan<- result) {
		if !c.loop.leading(c.now()) {
			results <- result{err: errNotLeading}
			return
		}
		results <- result{all: c.loop.state.Items().All()}
	})
	if failure != nil {
		return nil, failure
	}
	if r.err != nil {
		return nil, r.err
	}
	return wire.Marshal(r.all)
}

// batchTime is how long an answer with news waits for more. Keys move in series
// of changes, and each answer costs every entry a message and a new view; an
// entry whose target lost a key waits 120 ms for news.
const batchTime = 30 * time.Millisecond

// watchReceived answers an entry once there is something new, the wait ends or the
// state of this VM gets too old for it.
func (c *Controller) watchReceived(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var req watch.Request
	if err := wire.Unmarshal(payload, &req); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "watch cannot be read")
	}
	c.noteWatcher(req)
	c.passSuspicions(req.Suspicions)
	end := c.now() + min(req.Wait, watch.MaxWait)
	for {
		r, failure := c.look(ctx, req)
		if failure != nil {
			return nil, failure
		}
		wait := min(end-c.now(), watch.StaleAge-r.answer.Age)
		if !r.answer.Delta.Empty() || wait <= 0 {
			r.answer.Suspicions, r.answer.Heard = c.suspicions.since(req.Heard)
			return r.encode()
		}
		select {
		case <-r.changed:
			clock.Pause(ctx, batchTime)
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// noteWatcher remembers an entry that follows this VM.
func (c *Controller) noteWatcher(req watch.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers[req.Entry] = watcher{region: req.Region, dataCentre: req.DataCentre, at: c.now()}
	for _, sample := range req.Samples {
		held := c.samples[sample.Service]
		held.Service = sample.Service
		held.Add(sample)
		c.samples[sample.Service] = held
	}
}

// sampleInterval is the time between two deliveries of samples to the leader.
const sampleInterval = 500 * time.Millisecond

// passSamples delivers what entries saw to the leader.
func (c *Controller) passSamples(ctx context.Context) {
	for clock.Pause(ctx, sampleInterval) {
		leader := c.Leader()
		if leader == "" {
			continue
		}
		c.mu.Lock()
		samples := slices.Collect(maps.Values(c.samples))
		clear(c.samples)
		c.mu.Unlock()
		if len(samples) == 0 {
			continue
		}
		payload, err := wire.Marshal(samples)
		if err != nil {
			c.cfg.Logger.WithError(err).Error("samples cannot be encoded")
			continue
		}
		c.links.SetPeer(leader, leader)
		c.links.Send(leader, methodSample, payload)
	}
}

// samplesReceived takes in samples as the leader.
func (c *Controller) samplesReceived(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var samples []registry.Samples
	if err := wire.Unmarshal(payload, &samples); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "samples cannot be read")
	}
	c.loop.post(ctx, routine, func() {
		if c.loop.registry == nil {
			return
		}
		for _, s := range samples {
			c.loop.registry.Sampled(c.now(), s)
		}
	})
	return nil, nil
}

// looked is one look at the state.
type looked struct {
	answer watch.Answer
	// delta is that of the answer, or nil where it is empty.
	delta   *sharedDelta
	changed <-chan struct{}
}

// sharedDelta is what changed after a revision. Most entries ask from the same
// revision, all of them after a restart, so that it is made and encoded once.
type sharedDelta struct {
	delta  fleet.Delta
	once   sync.Once
	news   []byte
	failed error
}

// encoded returns the delta's encoding. It may be called at the same time by the
// handlers of many entries.
func (d *sharedDelta) encoded() ([]byte, error) {
	d.once.Do(func() { d.news, d.failed = watch.EncodeDelta(&d.delta) })
	return d.news, d.failed
}

// since returns what changed after a revision; it is kept until the state changes.
func (l *loop) since(revision uint64) *sharedDelta {
	d, ok := l.deltas[revision]
	if !ok {
		d = &sharedDelta{delta: l.state.Since(revision)}
		l.deltas[revision] = d
	}
	return d
}

// look returns what an entry lacks and a channel that closes at the next change.
func (c *Controller) look(ctx context.Context, req watch.Request) (looked, *errkind.Error) {
	known := c.Known()
	if watch.Digest(known) == req.Known {
		known = nil
	}
	return ask(ctx, c.loop, routine, func(results chan<- looked) {
		l := c.loop
		now := c.now()
		a := watch.Answer{Known: known, Age: l.fresh.age(now)}
		if l.leading(now) {
			a.Age = 0
		}
		if a.Age == watch.Unknown && req.Revision > 0 {
			results <- looked{answer: a, changed: l.changed}
			return
		}
		a.Delta = fleet.Delta{From: req.Revision, To: req.Revision}
		var delta *sharedDelta
		if l.state.Revision() >= req.Revision {
			delta = l.since(req.Revision)
			a.Delta = delta.delta
		}
		results <- looked{a, delta, l.changed}
	})
}

// encode encodes the answer.
func (r *looked) encode() ([]byte, error) {
	if r.delta != nil {
		news, err := r.delta.encoded()
		if err != nil {
			return nil, err
		}
		r.answer.News = news
	}
	return watch.Encode(&r.answer)
}
