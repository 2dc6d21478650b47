package storage

import (
	"fmt"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
)

// replay is the state that results from the records read so far.
type replay struct {
	hardState consensus.HardState
	// entries have contiguous indexes.
	entries []consensus.Entry
	// snapshot is the position of the newest snapshot whose marker was read.
	snapshot position
}

// apply applies a record. It fails if the record leaves a gap in the log.
func (r *replay) apply(rec record) error {
	if rec.HardState != nil {
		r.hardState = *rec.HardState
	}
	if rec.Snapshot != nil {
		r.dropThrough(*rec.Snapshot)
	}
	for _, e := range rec.Entries {
		if err := r.add(e); err != nil {
			return err
		}
	}
	return nil
}

// add appends an entry; it replaces the entry of the same index and all later
// ones.
func (r *replay) add(e consensus.Entry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first := r.entries[0].Index
	if e.Index < first {
		r.entries = append(r.entries[:0], e)
		return nil
	}
	if e.Index > first+uint64(len(r.entries)) {
		return fmt.Errorf("entry %d does not follow entry %d", e.Index, first+uint64(len(r.entries))-1)
	}
	r.entries = append(r.entries[:e.Index-first], e)
	return nil
}

// dropThrough removes the entries that a snapshot covers. Later entries stay only
// if the log contains the snapshot's last entry: otherwise they belong to a log
// that diverges from the snapshot.
func (r *replay) dropThrough(p position) {
	if p.Index <= r.snapshot.Index {
		return
	}
	r.snapshot = p
	if len(r.entries) == 0 || r.entries[0].Index > p.Index {
		return
	}
	at := p.Index - r.entries[0].Index
	if at >= uint64(len(r.entries)) || r.entries[at].Term != p.Term {
		r.entries = nil
		return
	}
	r.entries = append([]consensus.Entry(nil), r.entries[at+1:]...)
}

// checkGap fails if entries between the snapshot and the log are missing.
func (r *replay) checkGap() error {
	if len(r.entries) > 0 && r.entries[0].Index != r.snapshot.Index+1 {
		return fmt.Errorf("the log begins with entry %d, but the snapshot ends at %d", r.entries[0].Index, r.snapshot.Index)
	}
	return nil
}
