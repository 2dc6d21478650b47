package vm

import (
	"context"
	"sort"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/text"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// heartbeatReceived returns the response to a heartbeat. Only a leader with a
// valid leader lease grants a renewal, so a leader that was partitioned or
// paused grants none.
func (l *loop) heartbeatReceived(hb control.Heartbeat) control.LeaseRenewal {
	now := l.v.now()
	if !l.leading(now) {
		return control.LeaseRenewal{SentAt: hb.SentAt, Leader: l.leaderVM()}
	}
	if !l.planner.CurrentIncarnation(l.state, hb.VM) {
		return control.LeaseRenewal{SentAt: hb.SentAt, Leader: l.v.cfg.Name}
	}
	l.planner.Heartbeat(now, hb)
	l.replicaOf[hb.VM.Name] = hb.ReplicaID
	l.reported.Store(hb.VM.Name, hb.ConfigNumber)
	r := control.LeaseRenewal{
		Granted: !l.retired(hb.VM.Name),
		SentAt:  hb.SentAt,
		Version: l.state.Version(),
		Leader:  l.v.cfg.Name,
		Probe:   l.planner.ProbeRequests(hb.VM.Name),
	}
	l.addChanges(&r, hb.Version)
	return r
}

// addChanges adds the commands after version have, or a snapshot if they are
// not kept any more. A VM without a working replica applies them to reach the
// leader's version.
func (l *loop) addChanges(r *control.LeaseRenewal, have uint64) {
	if have >= l.state.Version() {
		return
	}
	if have < l.recentBase {
		r.Snapshot, _ = l.state.Snapshot()
		return
	}
	first := sort.Search(len(l.recent), func(i int) bool { return l.recent[i].Index > have })
	r.Commands = l.recent[first:]
}

// retired reports whether the configuration text lists the VM as retired.
func (l *loop) retired(name string) bool {
	t := l.state.Table().Text()
	if t == nil {
		return false
	}
	for _, r := range t.RetiredVMs {
		if r == name {
			return true
		}
	}
	return false
}

// lowestReportedConfig returns the lowest configuration number that the VMs of
// the table reported to this leader, or 0 if one of them has not reported any.
func (l *loop) lowestReportedConfig(table *control.Table) uint64 {
	lowest := table.ConfigNumber()
	for _, vm := range table.VMs() {
		number, ok := l.reported.Load(vm.Name)
		if !ok {
			return 0
		}
		lowest = min(lowest, number.(uint64))
	}
	return lowest
}

// leaderVM returns the VM of the leader that this replica knows.
func (l *loop) leaderVM() string {
	if !l.running() {
		return ""
	}
	return vmOf(l.replica.Leader())
}

// propose proposes a configuration change. It sends the result to reply when
// the change is applied or has failed.
func (l *loop) propose(change control.ChangeConfig, reply chan<- proposalResult) {
	now := l.v.now()
	if !l.leading(now) {
		reply <- proposalResult{err: errkind.New(errkind.NotLeader, "this VM is not the control leader")}
		return
	}
	data, err := control.Encode(control.Command{ChangeConfig: &change})
	if err != nil {
		reply <- proposalResult{err: errkind.Wrap(errkind.Internal, err, "the change cannot be encoded")}
		return
	}
	index, term, err := l.replica.Propose(now, data)
	if err != nil {
		reply <- proposalResult{err: errkind.From(err)}
		return
	}
	l.waiting[index] = proposal{term: term, reply: reply}
}

// configTimeout bounds a change or a read of the configuration.
const configTimeout = 5 * time.Second

// configRequest is a configuration change sent to the control leader.
type configRequest struct {
	Change control.ChangeConfig `msgpack:"c"`
}

// configReply is the control leader's response to a configRequest.
type configReply struct {
	Result control.ChangeResult `msgpack:"r"`
	Faults []text.Fault         `msgpack:"f"`
}

// ChangeConfig checks a configuration text and applies it if base is the
// current configuration number. It returns the faults of an invalid text.
func (v *VM) ChangeConfig(ctx context.Context, base uint64, content []byte) (control.ChangeResult, []text.Fault, *errkind.Error) {
	if _, faults := text.Parse(content); len(faults) > 0 {
		return control.ChangeResult{}, faults, errkind.New(errkind.InvalidText, "the text has %d faults", len(faults))
	}
	payload, err := wire.Marshal(configRequest{control.ChangeConfig{Base: base, Text: content}})
	if err != nil {
		return control.ChangeResult{}, nil, errkind.From(err)
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	reply, failure := v.sendChange(ctx, payload)
	return reply.Result, reply.Faults, failure
}

// sendChange sends a change to the control leader and searches for the leader
// again after every error. Sending a change again is safe: one that was accepted
// but whose response was lost gets the same response again.
func (v *VM) sendChange(ctx context.Context, payload []byte) (configReply, *errkind.Error) {
	failure := errkind.New(errkind.NotLeader, "the control leader is not known")
	for {
		for _, name := range v.leaderCandidates() {
			reply, err := v.callLeader(ctx, name, payload)
			if err == nil {
				return reply, nil
			}
			if failure.Outcome() == errkind.NotRun {
				failure = err
			}
		}
		if !clock.Sleep(ctx, contract.HeartbeatInterval) {
			return configReply{}, failure
		}
	}
}

// leaderCandidates returns the last known leader, followed by the other voters.
func (v *VM) leaderCandidates() []string {
	hint, _ := v.leader.get(v.now())
	names := []string{}
	if hint != "" {
		names = append(names, hint)
	}
	for _, voter := range v.cfg.Voters {
		if voter != hint {
			names = append(names, voter)
		}
	}
	return names
}

func (v *VM) callLeader(ctx context.Context, name string, payload []byte) (configReply, *errkind.Error) {
	var reply configReply
	data, err := v.links.Call(ctx, name, methodConfig, payload)
	if err != nil {
		return reply, errkind.From(err)
	}
	if err := wire.Unmarshal(data, &reply); err != nil {
		return reply, errkind.From(err)
	}
	return reply, nil
}
