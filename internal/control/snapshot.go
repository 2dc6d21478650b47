package control

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/flamingoreel/flamingoreel/internal/configtext"
	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// snapshot is the encoded form of a State. All lists are sorted, so equal
// states have equal encodings. Structs are encoded as arrays: a change of the
// fields, or of their order, here or in the types that they hold needs a new
// snapshotFormat.
type snapshot struct {
	Format   int
	Version  uint64
	Revision uint64
	Number   uint64
	Text     []byte
	History  []historyEntry
	VMs      []VM
	Targets  []Target
	// TargetSince holds the registration index of each element of Targets.
	TargetSince []uint64
	Dispatches  []dispatchEntry
	Groups      []groupSnapshot
	Holders     []holderSet
	LastSlice   contract.SliceID
	FenceFloor  contract.Fence
	EpochFloor  contract.Epoch
}

// groupSnapshot is the encoded form of a group with its slices in hash order.
type groupSnapshot struct {
	Key     groupKey
	Initial int
	Floor   contract.Fence
	Slices  []sliceSnapshot
}

// sliceSnapshot is the encoded form of a slice and its assignment. It omits the
// service and residency, which are those of the group, and the first hash, which
// follows the last hash of the slice before it.
type sliceSnapshot struct {
	ID          contract.SliceID
	Hi          uint64
	Target      string
	Incarnation uint64
	Fence       contract.Fence
	Phase       contract.Phase
}

// Snapshot encodes the state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	out := snapshot{
		Format: snapshotFormat, Version: s.version, Revision: s.revision,
		Number: s.configNumber, Text: s.configText, History: s.history, Holders: s.holders,
		LastSlice: s.lastSlice, FenceFloor: s.fenceFloor, EpochFloor: s.epochFloor,
	}
	for _, name := range sortedNames(s.vms) {
		out.VMs = append(out.VMs, s.vms[name])
	}
	for _, id := range sortedNames(s.targets) {
		out.Targets = append(out.Targets, s.targets[id])
		out.TargetSince = append(out.TargetSince, s.targetSince[id])
	}
	for _, id := range sortedNames(s.dispatches) {
		out.Dispatches = append(out.Dispatches, s.dispatches[id])
	}
	for _, key := range s.groupKeys() {
		out.Groups = append(out.Groups, s.groupSnapshot(s.groups[key]))
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(&out); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode snapshot")
	}
	return buffer.Bytes(), nil
}

func (s *State) groupSnapshot(g *group) groupSnapshot {
	out := groupSnapshot{Key: g.key, Initial: g.initialSlices, Floor: g.initialFence}
	for _, id := range g.ids {
		entry := s.slices[id]
		out.Slices = append(out.Slices, sliceSnapshot{
			ID: id, Hi: entry.Slice.Hi,
			Target:      entry.Assignment.Target,
			Incarnation: entry.Assignment.Incarnation,
			Fence:       entry.Assignment.Fence,
			Phase:       entry.Assignment.Phase,
		})
	}
	return out
}

// Restore decodes a snapshot.
func Restore(data []byte) (*State, error) {
	var in snapshot
	if err := wire.Unmarshal(data, &in); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "decode snapshot")
	}
	if in.Format != snapshotFormat {
		return nil, errkind.New(errkind.BadRequest, "snapshot format %d, want %d", in.Format, snapshotFormat)
	}
	s := NewState()
	s.version, s.revision, s.configNumber = in.Version, in.Revision, in.Number
	s.configText, s.history, s.holders = in.Text, in.History, in.Holders
	s.lastSlice, s.fenceFloor, s.epochFloor = in.LastSlice, in.FenceFloor, in.EpochFloor
	if s.configNumber > 0 {
		parsed, faults := configtext.Parse(s.configText)
		if len(faults) > 0 {
			return nil, invalidTextError("snapshot configuration text: " + faults[0].Message)
		}
		s.config = newConfigIndex(parsed)
	}
	for _, v := range in.VMs {
		s.vms[v.Name] = v
	}
	if len(in.TargetSince) != len(in.Targets) {
		return nil, errkind.New(errkind.BadRequest, "snapshot has different numbers of targets and registration indexes")
	}
	for i, t := range in.Targets {
		s.targets[t.ID] = t
		s.targetSince[t.ID] = in.TargetSince[i]
	}
	for _, d := range in.Dispatches {
		s.dispatches[d.Dispatch.Target] = d
	}
	for _, g := range in.Groups {
		s.restoreGroup(g)
	}
	return s, nil
}

func (s *State) restoreGroup(in groupSnapshot) {
	g := &group{key: in.Key, initialSlices: in.Initial, initialFence: in.Floor}
	lo := uint64(0)
	for _, e := range in.Slices {
		slice := contract.Slice{ID: e.ID, Service: in.Key.Service, Residency: in.Key.Residency, Lo: lo, Hi: e.Hi}
		assignment := contract.Assignment{
			Slice: e.ID, Target: e.Target, Incarnation: e.Incarnation, Fence: e.Fence, Phase: e.Phase,
		}
		s.slices[e.ID] = &ContractSlice{Slice: slice, Assignment: assignment}
		g.ids = append(g.ids, e.ID)
		lo = e.Hi + 1
	}
	s.groups[in.Key] = g
}
