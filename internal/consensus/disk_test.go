package consensus

import (
	"encoding/binary"
	"slices"
	"time"
)

// save writes a hard state, a snapshot and entries to the simulated disk and
// syncs them.
func (r *simReplica) save(hs *HardState, snap *Snapshot, entries []Entry) {
	if hs != nil {
		r.hs = *hs
	}
	if snap != nil {
		// Entries after the snapshot stay only if the log holds its last entry.
		last := slices.IndexFunc(r.entries, func(e Entry) bool { return e.Index == snap.Index && e.Term == snap.Term })
		if last < 0 {
			last = len(r.entries) - 1
		}
		r.snap, r.entries = snap, r.entries[last+1:]
	}
	if len(entries) > 0 {
		r.entries = slices.DeleteFunc(slices.Clone(r.entries), func(e Entry) bool { return e.Index >= entries[0].Index })
		r.entries = append(r.entries, entries...)
	}
}

// crashDuringSave stops a replica while it saves the outstanding Ready. Stage 0
// saves nothing, 1 the hard state, 2 to 4 also the snapshot and a third, two
// thirds or all of the entries.
func (s *sim) crashDuringSave(r *simReplica, stage int) {
	if r.node != nil && r.ready == nil && r.node.HasReady() {
		ready := r.node.Ready()
		r.ready = &ready
	}
	if r.node != nil && r.ready != nil && stage > 0 {
		r.save(r.ready.HardState, nil, nil)
		if stage > 1 {
			r.save(nil, r.ready.Snapshot, r.ready.Entries[:len(r.ready.Entries)*min(stage-1, 3)/3])
		}
	}
	s.crash(r)
}

// handleReady saves, sends and applies the content of a Ready, immediately or,
// in an unreliable simulation, after a random disk delay.
func (s *sim) handleReady(r *simReplica) {
	if r.ready == nil && r.node.HasReady() {
		ready := r.node.Ready()
		r.ready, r.finishAt = &ready, s.now
		if s.unreliable {
			r.finishAt += time.Duration(s.rng.IntN(8)) * time.Millisecond
		}
	}
	if r.ready == nil || s.now < r.finishAt {
		return
	}
	ready := *r.ready
	r.ready = nil
	r.save(ready.HardState, ready.Snapshot, ready.Entries)
	for _, m := range ready.Messages {
		s.send(m)
	}
	if snap := ready.Snapshot; snap != nil && snap.Index > r.applied {
		r.applied, r.state = snap.Index, binary.LittleEndian.Uint64(snap.Data)
		if int(snap.Index) >= len(s.states) || s.states[snap.Index] != r.state {
			s.failf("%s installed a snapshot at %d with a different state", r.id, snap.Index)
		}
		s.tracef("%s installs a snapshot at %d", r.id, snap.Index)
	}
	for _, e := range ready.Committed {
		s.apply(r, e)
	}
	if s.compact > 0 && r.applied >= s.compact && (r.snap == nil || r.applied-r.snap.Index >= s.compact) {
		r.node.Compact(r.applied, binary.LittleEndian.AppendUint64(nil, r.state))
	}
	r.node.Advance(s.localTime(r), ready)
}
