package vm

import (
	"context"
	"sort"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Status is the control state as one VM sees it.
type Status struct {
	VM           string `json:"vm"`
	Leader       string `json:"leader"`
	LeaseValid   bool   `json:"lease_valid"`
	Version      uint64 `json:"version"`
	ConfigNumber uint64 `json:"config_number"`
	// LowestConfigNumber is the lowest configuration number that VMs reported to the
	// leader; it is 0 on a VM that is not the leader.
	LowestConfigNumber uint64 `json:"in_force"`
	// Voters and Learners are the members of the control log that this VM's
	// replica knows; they are empty on a VM without a replica.
	Voters   []string      `json:"voters,omitempty"`
	Learners []string      `json:"learners,omitempty"`
	VMs      []control.VM  `json:"vms"`
	Targets  []TargetState `json:"targets"`
	Slices   []SliceState  `json:"slices"`
}

// TargetState is one target with its dispatch contract and its number of slices.
type TargetState struct {
	control.Target
	Dispatcher string         `json:"dispatcher"`
	Epoch      contract.Epoch `json:"epoch"`
	Slices     int            `json:"slices"`
}

// SliceState is one slice with its assignment.
type SliceState struct {
	contract.Slice
	Target string         `json:"target"`
	Fence  contract.Fence `json:"fence"`
	Phase  string         `json:"phase"`
}

// Status returns the control state that this VM has applied.
func (v *VM) Status(ctx context.Context) (Status, error) {
	table := v.Table()
	leader, _ := v.leader.get(v.now())
	s := Status{
		VM: v.cfg.Name, Leader: leader, LeaseValid: v.LeaseValid(),
		Version: v.version.Load(), ConfigNumber: table.ConfigNumber(),
		VMs: table.VMs(),
	}
	owned := make(map[string]int)
	for _, a := range table.Assignments() {
		s.Slices = append(s.Slices, SliceState{
			Slice: a.Slice, Target: a.Assignment.Target, Fence: a.Assignment.Fence, Phase: a.Assignment.Phase.String(),
		})
		owned[a.Assignment.Target]++
	}
	for _, t := range table.Targets() {
		d, _ := table.DispatchOf(t.ID)
		s.Targets = append(s.Targets, TargetState{Target: t, Dispatcher: d.VM, Epoch: d.Epoch, Slices: owned[t.ID]})
	}
	sort.Slice(s.Targets, func(i, j int) bool { return s.Targets[i].ID < s.Targets[j].ID })
	s.LowestConfigNumber = v.loop.lowestReportedConfig(table)
	return s, v.addReplicas(ctx, &s)
}

// addReplicas adds the members of the control log to s.
func (v *VM) addReplicas(ctx context.Context, s *Status) error {
	members := make(chan consensus.Membership, 1)
	v.loop.post(func() {
		if v.loop.replica == nil {
			members <- consensus.Membership{}
			return
		}
		members <- v.loop.replica.Membership()
	})
	select {
	case m := <-members:
		s.Voters, s.Learners = m.Voters, m.Learners
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.AnswerTimeout, "the control goroutine did not answer in time")
	case <-v.loop.ended:
		return errkind.New(errkind.Stopping, "the VM is stopping")
	}
}

// Config returns the configuration text that this VM has applied, and its
// number.
func (v *VM) Config(ctx context.Context) (number uint64, content []byte, err error) {
	type config struct {
		number uint64
		text   []byte
	}
	configs := make(chan config, 1)
	v.loop.post(func() {
		number, text := v.loop.state.Config()
		configs <- config{number, text}
	})
	select {
	case c := <-configs:
		return c.number, c.text, nil
	case <-ctx.Done():
		return 0, nil, errkind.New(errkind.AnswerTimeout, "the control goroutine did not answer in time")
	case <-time.After(configTimeout):
		return 0, nil, errkind.New(errkind.Internal, "the control goroutine does not answer")
	}
}

// NotReadyReason returns the reason for which this VM does not accept callers, or an
// empty string if it does.
func (v *VM) NotReadyReason() string {
	switch {
	case v.stopping.Load():
		return "stopping"
	case v.loop.storageFailed.Load():
		return "storage failed"
	case !v.LeaseValid():
		return "no contact to the control leader"
	case v.Table().Text() == nil:
		return "no configuration"
	}
	return ""
}
