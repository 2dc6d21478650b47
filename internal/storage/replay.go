package storage

import (
	"fmt"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
)

// replay is the state that the records read so far add up to.
type replay struct {
	hardState consensus.HardState
	// entries are contiguous.
	entries []consensus.Entry
	// floor is the position of the last snapshot marker.
	floor position
}

// apply adds a record. It fails when the record leaves a gap in the log.
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

// dropThrough removes the entries that a snapshot covers. Entries after it
// stay only if the log holds the snapshot's last entry: otherwise they belong
// to another history.
func (r *replay) dropThrough(p position) {
	if p.Index <= r.floor.Index {
		return
	}
	r.floor = p
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

// check fails when entries between the snapshot and the log are missing.
func (r *replay) check() error {
	if len(r.entries) > 0 && r.entries[0].Index != r.floor.Index+1 {
		return fmt.Errorf("the log begins with entry %d, but the snapshot ends at %d", r.entries[0].Index, r.floor.Index)
	}
	return nil
}
