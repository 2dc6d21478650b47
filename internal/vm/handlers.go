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

// Methods of control traffic on the links between VMs.
const (
	methodReplica   = "control.replica"
	methodHeartbeat = "control.heartbeat"
	methodPush      = "control.push"
	methodConfig    = "control.config"
	methodProbe     = "control.probe"
)

// priorityMethods have capacity of their own on every link, so that no lease
// expires because of a flood of requests.
var priorityMethods = []string{methodReplica, methodHeartbeat, methodPush, methodConfig, methodProbe}

// registerHandlers registers the handlers of all link methods.
func (v *VM) registerHandlers() {
	v.links.Handle(methodReplica, v.handleReplica)
	v.links.Handle(methodHeartbeat, v.handleHeartbeat)
	v.links.Handle(methodPush, v.handlePush)
	v.links.Handle(methodConfig, v.handleConfig)
	v.links.Handle(methodProbe, v.handleProbe)
	v.links.Handle(relay.MethodRelay, v.handleRelay)
	v.links.Handle(relay.MethodSuspicions, v.handleSuspicions)
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
	return call(ctx, v.loop, func() any { return v.loop.heartbeatReceived(hb) })
}

func (v *VM) handlePush(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var p pushed
	if err := wire.Unmarshal(payload, &p); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "pushed commands cannot be decoded")
	}
	v.loop.post(func() { v.loop.pushReceived(p) })
	return nil, nil
}

func (v *VM) handleConfig(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var req configRequest
	if err := wire.Unmarshal(payload, &req); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "configuration change cannot be decoded")
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
	return call(ctx, v.loop, func() any { return v.loop.describeReplica() })
}

func (v *VM) handleRelay(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	req := new(relay.Request)
	if err := relay.Decode(payload, req); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "relayed request cannot be decoded")
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
		return nil, errkind.Wrap(errkind.BadRequest, err, "suspicions cannot be decoded")
	}
	v.dispatcher.MergeSuspicions(s)
	return nil, nil
}

// call runs f in the control goroutine and returns its encoded result. It does
// not wait until entries that f adds to the log are synced.
func call(ctx context.Context, l *loop, f func() any) ([]byte, error) {
	results := make(chan any, 1)
	l.post(func() { results <- f() })
	select {
	case a := <-results:
		return wire.Marshal(a)
	case <-ctx.Done():
		return nil, errkind.New(errkind.AnswerTimeout, "the control goroutine did not answer in time")
	case <-l.ended:
		return nil, errkind.New(errkind.Stopping, "the VM is stopping")
	}
}

// Intervals and limits of the store of request records.
const (
	// sweepInterval is the time between two removals of expired records.
	sweepInterval = time.Second
	// recoverInterval is the time between two attempts to copy records.
	recoverInterval = 500 * time.Millisecond
	// recoverTimeout bounds one attempt to copy the records of the other holders.
	recoverTimeout = 30 * time.Second
)

// sweepRecords removes records whose retention has ended.
func (v *VM) sweepRecords(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		v.store.Sweep(time.Now().UnixMilli())
	}
}

// recoverRecords copies the records of all other holders after a start and
// repeats this until it succeeds.
func (v *VM) recoverRecords(ctx context.Context) {
	for clock.Sleep(ctx, recoverInterval) {
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

// otherHolders returns the other VMs of all holder sets. known is false while
// the sets are not known: this VM has no valid lease, or the sets name no other
// VM although the settings have several.
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
