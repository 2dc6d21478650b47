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

// heartbeatReceived answers a heartbeat. Only a leader with a valid leader
// lease grants a renewal, so a leader that was cut off or paused grants none.
func (l *loop) heartbeatReceived(hb control.Heartbeat) control.Renewal {
	now := l.v.now()
	if !l.leading(now) {
		return control.Renewal{SentAt: hb.SentAt, Leader: l.leaderVM()}
	}
	if !l.planner.CurrentIncarnation(l.state, hb.VM) {
		return control.Renewal{SentAt: hb.SentAt, Leader: l.v.cfg.Name}
	}
	l.planner.Heartbeat(now, hb)
	l.replicaOf[hb.VM.Name] = hb.ReplicaID
	l.reported.Store(hb.VM.Name, hb.ConfigNumber)
	r := control.Renewal{
		Granted: !l.retired(hb.VM.Name),
		SentAt:  hb.SentAt,
		Version: l.state.Version(),
		Leader:  l.v.cfg.Name,
		Probe:   l.planner.Probes(hb.VM.Name),
	}
	l.addChanges(&r, hb.Version)
	return r
}

// addChanges adds what a VM without a working replica needs to reach the
// version.
func (l *loop) addChanges(r *control.Renewal, have uint64) {
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

// retired reports whether the operators' text retired the VM.
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

// inForce returns the lowest configuration number that the VMs of the table
// reported to this leader, 0 when one of them reported none.
func (l *loop) inForce(table *control.Table) uint64 {
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

// leaderVM returns the VM of the leader that this replica follows.
func (l *loop) leaderVM() string {
	if !l.running() {
		return ""
	}
	return vmOf(l.replica.Leader())
}

// propose replicates a configuration change and waits until it is committed.
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

// configTimeout bounds a change of the configuration.
const configTimeout = 5 * time.Second

// configRequest is a change sent to the control leader.
type configRequest struct {
	Change control.ChangeConfig `msgpack:"c"`
}

// configReply is the control leader's answer.
type configReply struct {
	Result control.ChangeResult `msgpack:"r"`
	Faults []text.Fault         `msgpack:"f"`
}

// ChangeConfig checks a text and puts it in force if base is the current
// number. It returns the faults of a text that is not accepted.
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

// sendChange sends a change to the control leader. It looks for the leader
// again after every error: a change that was accepted before its answer was
// lost gets the first answer, so that sending it again is safe.
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
		if !clock.Pause(ctx, contract.HeartbeatInterval) {
			return configReply{}, failure
		}
	}
}

// leaderCandidates returns the VM that led last and then all voters.
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
