package controller

import (
	"context"
	"maps"
	"slices"
	"strings"
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
	errVotersMissing = errkind.New(errkind.NotLeader, "fewer voters than the tolerated losses require")
)

// handleChange commits an operator's change on the leader.
func (c *Controller) handleChange(ctx context.Context, payload []byte) ([]byte, error) {
	var cmd fleet.Command
	if err := wire.Unmarshal(payload, &cmd); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "change cannot be read")
	}
	arrived := c.now()
	var conflicts []string
	result, failure := call(ctx, c.loop, urgent, func(done chan<- *errkind.Error) {
		now := c.now()
		switch {
		case !c.loop.leading(now):
			done <- errNotLeading
		case !c.loop.changesAllowed(now):
			done <- errVotersMissing
		default:
			if cmd.Patch != nil {
				if invalid := c.loop.state.Items().CheckPlaces(*cmd.Patch); invalid != nil {
					done <- invalid
					return
				}
				conflicts = c.loop.state.Items().RegionConflicts(*cmd.Patch)
			}
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
		return nil, result // The VM that forwarded the change retries and logs the outcome.
	}
	c.logChange(cmd, result)
	if result == nil && len(conflicts) > 0 {
		c.cfg.Logger.WithField("services", strings.Join(conflicts[:min(len(conflicts), maxLoggedItems)], ",")).Warn("routes of sharded services allow no common region")
	}
	if result != nil {
		return nil, result
	}
	return nil, nil
}

// logChange logs the outcome of an operator's change.
func (c *Controller) logChange(cmd fleet.Command, result *errkind.Error) {
	line := c.cfg.Logger.WithField("accepted", result == nil)
	if result != nil {
		line = line.WithField("reason", result.Error())
	}
	if cmd.Patch != nil {
		for _, item := range cmd.Patch.Items[:min(len(cmd.Patch.Items), maxLoggedItems)] {
			line.WithFields(log.Fields{"collection": item.Collection, "name": item.Name, "version": item.Version, "dropped": item.Removed}).Info("item change")
		}
	}
	if cmd.DataCentre != nil {
		line.WithFields(log.Fields{"data_centre": cmd.DataCentre.Name, "out": cmd.DataCentre.Out}).Info("data centre change")
	}
}

// maxLoggedItems bounds the log lines of one change, which may contain hundreds of
// routes.
const maxLoggedItems = 8

// handleRead returns all items from the leader's state.
func (c *Controller) handleRead(ctx context.Context) ([]byte, error) {
	type result struct {
		all []items.Item
		err *errkind.Error
	}
	r, failure := call(ctx, c.loop, urgent, func(results chan<- result) {
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

// coalesceDelay is how long an answer is delayed after a change of the state, so
// that further changes go into the same answer. Keys move in series of changes, and
// each answer costs every entry VM a message and a new view. The delay is well below
// the 120 ms for which an entry VM waits for an update after its target lost a key.
const coalesceDelay = 30 * time.Millisecond

// handleWatch answers the watch of an entry VM as soon as there is a change, the
// requested wait is over or the local state is older than watch.StaleAge.
func (c *Controller) handleWatch(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var req watch.Request
	if err := wire.Unmarshal(payload, &req); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "watch cannot be read")
	}
	c.recordWatcher(req)
	c.forwardSuspicions(req.Suspicions)
	end := c.now() + min(req.Wait, watch.MaxWait)
	for {
		r, failure := c.poll(ctx, req)
		if failure != nil {
			return nil, failure
		}
		wait := min(end-c.now(), watch.StaleAge-r.answer.Age)
		if !r.answer.Delta.Empty() || wait <= 0 {
			r.answer.Suspicions, r.answer.Received = c.suspicions.since(req.Received)
			return r.encode()
		}
		select {
		case <-r.changed:
			clock.Sleep(ctx, coalesceDelay)
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recordWatcher records the entry VM of a watch and adds its samples to those for
// the leader.
func (c *Controller) recordWatcher(req watch.Request) {
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

// sampleInterval is the time between two transmissions of samples to the leader.
const sampleInterval = 500 * time.Millisecond

// sendSamples periodically sends the samples of the entry VMs to the leader, until
// ctx ends.
func (c *Controller) sendSamples(ctx context.Context) {
	for clock.Sleep(ctx, sampleInterval) {
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

// handleSamples adds received samples to the leader's registry.
func (c *Controller) handleSamples(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var samples []registry.Samples
	if err := wire.Unmarshal(payload, &samples); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "samples cannot be read")
	}
	c.loop.post(ctx, routine, func() {
		if c.loop.registry == nil {
			return
		}
		for _, s := range samples {
			c.loop.registry.AddSamples(c.now(), s)
		}
	})
	return nil, nil
}

// watchResult is the answer to a watch as of one moment.
type watchResult struct {
	answer watch.Answer
	// delta is the shared form of the answer's delta, or nil if that is empty.
	delta *sharedDelta
	// changed is closed at the next change of the state.
	changed <-chan struct{}
}

// sharedDelta contains the changes after a revision. Most entry VMs watch from the
// same revision, and after a restart all do, so the delta is built and encoded only
// once for all of them.
type sharedDelta struct {
	delta fleet.Delta
	once  sync.Once
	// data and err are the result of the encoding.
	data []byte
	err  error
}

// encoded returns the encoded delta. It is safe for concurrent use, because the
// handlers of many entry VMs share the delta.
func (d *sharedDelta) encoded() ([]byte, error) {
	d.once.Do(func() { d.data, d.err = watch.EncodeDelta(&d.delta) })
	return d.data, d.err
}

// deltaSince returns the changes after a revision. The result is cached until the
// state changes.
func (l *loop) deltaSince(revision uint64) *sharedDelta {
	d, ok := l.deltas[revision]
	if !ok {
		d = &sharedDelta{delta: l.state.Since(revision)}
		l.deltas[revision] = d
	}
	return d
}

// poll returns the changes that an entry VM lacks and a channel that is closed at
// the next change.
func (c *Controller) poll(ctx context.Context, req watch.Request) (watchResult, *errkind.Error) {
	known := c.ControlVMs()
	if watch.Digest(known) == req.KnownDigest {
		known = nil
	}
	return call(ctx, c.loop, routine, func(results chan<- watchResult) {
		l := c.loop
		now := c.now()
		a := watch.Answer{ControlVMs: known, Age: l.fresh.age(now)}
		if l.leading(now) {
			a.Age = 0
		}
		if a.Age == watch.UnknownAge && req.Revision > 0 {
			results <- watchResult{answer: a, changed: l.changed}
			return
		}
		a.Delta = fleet.Delta{From: req.Revision, To: req.Revision}
		var delta *sharedDelta
		if l.state.Revision() >= req.Revision {
			delta = l.deltaSince(req.Revision)
			a.Delta = delta.delta
		}
		results <- watchResult{a, delta, l.changed}
	})
}

// encode encodes the answer, with the shared encoding of its delta.
func (r *watchResult) encode() ([]byte, error) {
	if r.delta != nil {
		data, err := r.delta.encoded()
		if err != nil {
			return nil, err
		}
		r.answer.EncodedDelta = data
	}
	return watch.Encode(&r.answer)
}
