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
	// maxAppendBytes bounds one append message, so that catching up a lagging
	// replica does not delay heartbeats.
	maxAppendBytes = 256 << 10
	// formInterval is the time between two attempts to create or join the log,
	// and the timeout of one probe of a replica.
	formInterval = 200 * time.Millisecond
)

// vmOf returns the VM name of a replica ID, which is "VM name/identity".
func vmOf(replicaID string) string {
	name, _, _ := strings.Cut(replicaID, "/")
	return name
}

// openStorage opens the data directory. An empty one gets a new replica ID, so
// that a replica that lost its disk never votes under its former ID.
func (l *loop) openStorage() error {
	store, recovered, err := storage.Open(l.v.cfg.DataDir)
	if err != nil {
		return err
	}
	l.store, l.recovered = store, recovered
	l.replicaID = recovered.ReplicaID
	l.hadLog = recovered.Snapshot != nil || len(recovered.Entries) > 0 || recovered.HardState.Term > 0
	if l.replicaID != "" {
		return nil
	}
	if l.replicaID, err = storage.NewReplicaID(l.v.cfg.Name); err != nil {
		return err
	}
	return store.SetReplicaID(l.replicaID)
}

// replicaInfo is the response to a probe of a replica: its ID, whether it has
// started and the initial membership of its log, if that is still known.
type replicaInfo struct {
	ReplicaID string                `msgpack:"r"`
	Started   bool                  `msgpack:"s"`
	Initial   *consensus.Membership `msgpack:"m"`
}

func (l *loop) describeReplica() replicaInfo {
	return replicaInfo{ReplicaID: l.replicaID, Started: l.replica != nil, Initial: l.initial}
}

// formReplica starts the replica from its own log if it has one. Otherwise it
// joins the log of another voter or creates a new log.
func (l *loop) formReplica(ctx context.Context) {
	if l.replicaID == "" {
		return
	}
	if l.hadLog {
		l.post(func() { l.startReplica(consensus.Membership{}) })
		return
	}
	for {
		if m, ok := l.findMembership(ctx); ok {
			l.post(func() { l.startReplica(m) })
			return
		}
		if !clock.Sleep(ctx, formInterval) {
			return
		}
	}
}

// findMembership queries the other voters for the membership to start with. A
// new log is created only by the voter whose name sorts first, and only if every
// voter reports that it has none, so that two logs are never created.
func (l *loop) findMembership(ctx context.Context) (consensus.Membership, bool) {
	newReplicas := []string{l.replicaID}
	for _, voter := range l.v.cfg.Voters {
		if voter == l.v.cfg.Name {
			continue
		}
		info, err := l.probeReplica(ctx, voter)
		if err != nil || info.ReplicaID == "" {
			continue
		}
		if info.Started {
			return l.startMembership(info.Initial), true
		}
		newReplicas = append(newReplicas, info.ReplicaID)
	}
	voters := slices.Clone(l.v.cfg.Voters)
	sort.Strings(voters)
	complete := len(newReplicas) == len(voters)
	if !l.v.cfg.Bootstrap || !complete || voters[0] != l.v.cfg.Name {
		return consensus.Membership{}, false
	}
	sort.Strings(newReplicas)
	return consensus.Membership{Voters: newReplicas}, true
}

// startMembership returns the membership with which this replica joins a log:
// the initial membership if this replica is a voter of it, else none. Without a
// membership the replica waits until a leader adds it as a learner.
func (l *loop) startMembership(initial *consensus.Membership) consensus.Membership {
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

// startReplica starts the replica from the recovered data. initial is the
// initial membership for a replica without a log.
func (l *loop) startReplica(initial consensus.Membership) {
	if err := l.saveInitialLog(initial); err != nil {
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

// saveInitialLog saves the first entry of a new log, so that the membership is
// known after a restart.
func (l *loop) saveInitialLog(initial consensus.Membership) error {
	if l.hadLog || len(initial.Voters) == 0 {
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

// reconcileMembership changes the membership to the voters of the settings, one
// change at a time. A replica that returns with a new ID replaces its
// predecessor, at first as a learner.
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
// of vms, and whether it differs from m. replicaOf maps VMs to the replica IDs
// that they report.
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

// replacePredecessor removes the earlier voter of the VM. If there is none, it
// adds the new replica as a learner in place of an earlier one.
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
