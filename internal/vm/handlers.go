package vm

import (
	"context"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/relay"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Methods of the links between VMs.
const (
	methodReplica   = "control.replica"
	methodHeartbeat = "control.heartbeat"
	methodPush      = "control.push"
	methodConfig    = "control.config"
	methodProbe     = "control.probe"
)

// priorityMethods keep room of their own on every link, so that a flood of
// requests does not cost a lease.
var priorityMethods = []string{methodReplica, methodHeartbeat, methodPush, methodConfig, methodProbe}

// registerHandlers serves the methods of this VM.
func (v *VM) registerHandlers() {
	v.links.Handle(methodReplica, v.handleReplica)
	v.links.Handle(methodHeartbeat, v.handleHeartbeat)
	v.links.Handle(methodPush, v.handlePush)
	v.links.Handle(methodConfig, v.handleConfig)
	v.links.Handle(methodProbe, v.handleProbe)
	v.links.Handle(relay.Method, v.handleRelay)
	v.links.Handle(relay.SuspicionMethod, v.handleSuspicions)
	for _, method := range record.Methods {
		v.links.Handle(method, v.store.Handle(method))
	}
}

func (v *VM) handleReplica(_ context.Context, _ string, payload []byte) ([]byte, error) {
	m, err := consensus.DecodeMessage(payload)
	if err != nil {
		return nil, err
	}
	v.loop.post(func() {
		if v.loop.running() && m.To == v.loop.replicaID {
			v.loop.replica.Step(v.now(), m)
			v.loop.watchLeadership(v.now())
		}
	})
	return nil, nil
}

func (v *VM) handleHeartbeat(ctx context.Context, from string, payload []byte) ([]byte, error) {
	var hb control.Heartbeat
	if err := wire.Unmarshal(payload, &hb); err != nil || hb.VM.Name != from {
		return nil, errkind.New(errkind.BadRequest, "heartbeat is not valid")
	}
	return ask(ctx, v.loop, func() any { return v.loop.heartbeatReceived(hb) })
}

func (v *VM) handlePush(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var p pushed
	if err := wire.Unmarshal(payload, &p); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "pushed commands")
	}
	v.loop.post(func() { v.loop.pushReceived(p) })
	return nil, nil
}

func (v *VM) handleConfig(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var req configRequest
	if err := wire.Unmarshal(payload, &req); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "configuration change")
	}
	results := make(chan proposalResult, 1)
	v.loop.post(func() { v.loop.propose(req.Change, results) })
	select {
	case r := <-results:
		if r.err != nil {
			return nil, r.err
		}
		if r.change == nil {
			return nil, errkind.New(errkind.Internal, "the change has no result")
		}
		return wire.Marshal(configReply{Result: *r.change})
	case <-ctx.Done():
		return nil, errkind.New(errkind.AnswerTimeout, "the change was not confirmed in time")
	}
}

func (v *VM) handleProbe(ctx context.Context, _ string, _ []byte) ([]byte, error) {
	return ask(ctx, v.loop, func() any { return v.loop.describeReplica() })
}

func (v *VM) handleRelay(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	req := new(relay.Request)
	if err := relay.Decode(payload, req); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "relayed request")
	}
	reply, err := v.serveRelay(ctx, req)
	if err != nil {
		return nil, err
	}
	return relay.Encode(reply)
}

func (v *VM) handleSuspicions(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var s []admission.Suspicion
	if err := relay.Decode(payload, &s); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "suspicions")
	}
	v.dispatcher.MergeSuspicions(s)
	return nil, nil
}

// ask runs f in the control goroutine and returns its encoded result. The
// answer leaves only after the effects of f were synced.
func ask(ctx context.Context, l *loop, f func() any) ([]byte, error) {
	answers := make(chan any, 1)
	l.post(func() { answers <- f() })
	select {
	case a := <-answers:
		return wire.Marshal(a)
	case <-ctx.Done():
		return nil, errkind.New(errkind.AnswerTimeout, "the control goroutine did not answer in time")
	case <-l.ended:
		return nil, errkind.New(errkind.Stopping, "the VM stops")
	}
}

// Intervals of the record holder.
const (
	// sweepInterval is the time between two sweeps of expired records.
	sweepInterval = time.Second
	// recoverPause is the time between two attempts to copy records.
	recoverPause = 500 * time.Millisecond
	// recoverTimeout bounds one attempt to copy the records of other holders.
	recoverTimeout = 30 * time.Second
)

// sweepRecords drops records whose retention has passed.
func (v *VM) sweepRecords(ctx context.Context) {
	for clock.Pause(ctx, sweepInterval) {
		v.store.Sweep(time.Now().UnixMilli())
	}
}

// recoverRecords copies the records of all other holders after a start.
func (v *VM) recoverRecords(ctx context.Context) {
	for clock.Pause(ctx, recoverPause) {
		others, known := v.otherHolders()
		if !known {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, recoverTimeout)
		err := v.store.Recover(attempt, v.links, others)
		cancel()
		if err == nil {
			v.cfg.Logger.WithField("vm", v.cfg.Name).Info("record holder ready")
			return
		}
	}
}

// otherHolders returns the VMs that may hold records of this one's requests;
// known is false before the control state is.
func (v *VM) otherHolders() (others []string, known bool) {
	if !v.LeaseValid() {
		return nil, false
	}
	seen := map[string]bool{v.cfg.Name: true}
	for _, set := range v.Table().HolderSets("") {
		for _, name := range set {
			if !seen[name] {
				seen[name] = true
				others = append(others, name)
			}
		}
	}
	return others, len(seen) > 1 || len(v.cfg.Peers) <= 1
}
