package vm

import (
	"context"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/storage"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Limits of the replica besides the defaults of consensus.
const (
	// maxAppendBytes bounds one append, so that a lagging replica does not
	// delay heartbeats.
	maxAppendBytes = 256 << 10
	// formInterval is the time between two attempts to form or join the log.
	formInterval = 200 * time.Millisecond
)

// vmOf returns the VM of a replica ID, which is "VM name/identity".
func vmOf(replicaID string) string {
	name, _, _ := strings.Cut(replicaID, "/")
	return name
}

// openStorage opens the data directory. An empty one gets a new identity, so
// that a replica that lost its disk never votes under the name of the old one.
func (l *loop) openStorage() error {
	store, recovered, err := storage.Open(l.v.cfg.DataDir)
	if err != nil {
		return err
	}
	l.store, l.recovered = store, recovered
	l.replicaID = recovered.ReplicaID
	l.formed = recovered.Snapshot != nil || len(recovered.Entries) > 0 || recovered.HardState.Term > 0
	if l.replicaID != "" {
		return nil
	}
	if l.replicaID, err = storage.DrawReplicaID(l.v.cfg.Name); err != nil {
		return err
	}
	return store.SetReplicaID(l.replicaID)
}

// replicaInfo answers a probe: who this replica is and, once it takes part in
// a log, with which membership the log began, as far as that is still known.
type replicaInfo struct {
	ReplicaID string                `msgpack:"r"`
	Started   bool                  `msgpack:"s"`
	Initial   *consensus.Membership `msgpack:"m"`
}

func (l *loop) describeReplica() replicaInfo {
	return replicaInfo{ReplicaID: l.replicaID, Started: l.replica != nil, Initial: l.initial}
}

// formReplica starts the replica: at once from a log, else by adopting the
// membership that another voter knows, else by forming a new log.
func (l *loop) formReplica(ctx context.Context) {
	if l.replicaID == "" {
		return
	}
	if l.formed {
		l.post(func() { l.startReplica(consensus.Membership{}) })
		return
	}
	for {
		if m, ok := l.findMembership(ctx); ok {
			l.post(func() { l.startReplica(m) })
			return
		}
		if !clock.Pause(ctx, formInterval) {
			return
		}
	}
}

// findMembership asks the other voters. A new log is formed only by the first
// voter by name and only when every voter answers that it has none, so that
// two logs are never formed.
func (l *loop) findMembership(ctx context.Context) (consensus.Membership, bool) {
	fresh := []string{l.replicaID}
	for _, voter := range l.v.cfg.Voters {
		if voter == l.v.cfg.Name {
			continue
		}
		info, err := l.probeReplica(ctx, voter)
		if err != nil || info.ReplicaID == "" {
			continue
		}
		if info.Started {
			return l.joinable(info.Initial), true
		}
		fresh = append(fresh, info.ReplicaID)
	}
	voters := slices.Clone(l.v.cfg.Voters)
	sort.Strings(voters)
	complete := len(fresh) == len(voters)
	if !l.v.cfg.Bootstrap || !complete || voters[0] != l.v.cfg.Name {
		return consensus.Membership{}, false
	}
	sort.Strings(fresh)
	return consensus.Membership{Voters: fresh}, true
}

// joinable returns the membership to start with: the one that the log began
// with if this replica is part of it, else none. Without a membership the
// replica waits until a leader adds it as a learner.
func (l *loop) joinable(initial *consensus.Membership) consensus.Membership {
	if initial != nil && slices.Contains(initial.Voters, l.replicaID) {
		return *initial
	}
	return consensus.Membership{}
}

func (l *loop) probeReplica(ctx context.Context, vm string) (replicaInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, formInterval)
	defer cancel()
	var info replicaInfo
	data, err := l.v.links.Call(ctx, vm, methodProbe, nil)
	if err != nil {
		return info, err
	}
	return info, wire.Unmarshal(data, &info)
}

// startReplica starts the replica from what storage recovered. initial is the
// membership with which a replica without a log begins it.
func (l *loop) startReplica(initial consensus.Membership) {
	if err := l.beginLog(initial); err != nil {
		l.fail(err, "initial log cannot be saved")
		return
	}
	r := l.recovered
	replica, err := consensus.New(consensus.Config{
		ID: l.replicaID, Seed: l.v.cfg.Seed, MaxAppendBytes: maxAppendBytes,
	}, consensus.Membership{}, r.HardState, r.Snapshot, r.Entries)
	if err != nil {
		l.fail(err, "replica cannot start")
		return
	}
	if m, ok := consensus.InitialMembership(r.Entries); ok {
		l.initial = &m
	}
	if r.Snapshot != nil {
		l.installSnapshot(*r.Snapshot)
	}
	l.replica = replica
	l.recovered = storage.Recovered{}
	l.logger.WithFields(log.Fields{"replica": l.replicaID, "voters": len(replica.Membership().Voters)}).Info("replica started")
}

// beginLog saves the first entry of a new log, so that a restart knows the
// membership.
func (l *loop) beginLog(initial consensus.Membership) error {
	if l.formed || len(initial.Voters) == 0 {
		return nil
	}
	hs, entries, err := consensus.InitialLog(initial)
	if err != nil {
		return err
	}
	if err := l.store.Save(&hs, entries); err != nil {
		return err
	}
	l.recovered.HardState, l.recovered.Entries = hs, entries
	return nil
}

// reconcileMembership brings the members in line with the voters of the
// settings, one change at a time: a replica that came back under a new
// identity replaces its predecessor, first as a learner.
func (l *loop) reconcileMembership(now time.Duration) {
	if !l.replica.LeaseValid(now) {
		return
	}
	next, changed := nextMembership(l.replica.Membership(), l.v.cfg.Voters, l.replicaOf)
	if !changed {
		return
	}
	if _, _, err := l.replica.ProposeMembership(now, next); err != nil {
		l.logger.WithError(err).Debug("membership change postponed")
	}
}

// nextMembership returns the next membership on the way to one voter for each
// VM that should vote. replicaOf maps VMs to the replica that they report.
func nextMembership(m consensus.Membership, vms []string, replicaOf map[string]string) (consensus.Membership, bool) {
	for _, vm := range vms {
		id := replicaOf[vm]
		if id == "" || slices.Contains(m.Voters, id) {
			continue
		}
		if slices.Contains(m.Learners, id) {
			return promote(m, id), true
		}
		return replacePredecessor(m, vm, id), true
	}
	return m, false
}

// replacePredecessor drops the earlier replica of the VM, or adds the new one
// as a learner when there is none left.
func replacePredecessor(m consensus.Membership, vm, id string) consensus.Membership {
	isOld := func(member string) bool { return vmOf(member) == vm }
	if slices.ContainsFunc(m.Voters, isOld) {
		return consensus.Membership{Voters: slices.DeleteFunc(slices.Clone(m.Voters), isOld), Learners: m.Learners}
	}
	learners := slices.DeleteFunc(slices.Clone(m.Learners), isOld)
	return consensus.Membership{Voters: m.Voters, Learners: append(learners, id)}
}

func promote(m consensus.Membership, id string) consensus.Membership {
	isID := func(member string) bool { return member == id }
	voters := append(slices.Clone(m.Voters), id)
	sort.Strings(voters)
	return consensus.Membership{Voters: voters, Learners: slices.DeleteFunc(slices.Clone(m.Learners), isID)}
}
