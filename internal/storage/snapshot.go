package storage

import (
	"fmt"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

const snapshotFormat = "snapshot-%016x.snap"

func snapshotName(index uint64) string { return fmt.Sprintf(snapshotFormat, index) }

// SaveSnapshot durably writes a snapshot, and removes the older snapshot and the
// log segments that it covers. It ignores a snapshot that is not newer than the
// saved one. It fails with the errors of Save.
func (s *Store) SaveSnapshot(snap consensus.Snapshot) error {
	if err := s.writable(); err != nil {
		return err
	}
	if snap.Index <= s.snapshot.Index {
		return nil
	}
	content, err := encodeSnapshot(snap)
	if err != nil {
		return err
	}
	return s.recordFailure(s.replaceSnapshot(snap, content))
}

func encodeSnapshot(snap consensus.Snapshot) ([]byte, error) {
	payload, err := wire.Marshal(&snap)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode snapshot")
	}
	return appendFrame(nil, payload, location{file: snap.Index})
}

func decodeSnapshot(path string, index uint64, data []byte) (consensus.Snapshot, error) {
	var snap consensus.Snapshot
	payload, length, err := readFrame(data, location{file: index})
	if err == nil && length != len(data) {
		err = errDamagedFrame
	}
	if err == nil {
		err = wire.Unmarshal(payload, &snap)
	}
	if err != nil {
		return snap, &DamageError{File: path, Reason: err.Error()}
	}
	return snap, nil
}

// replaceSnapshot makes the snapshot durable, then writes its marker to the log,
// and only then removes what the snapshot replaces.
func (s *Store) replaceSnapshot(snap consensus.Snapshot, content []byte) error {
	file, err := s.writeFile(snapshotName(snap.Index), content)
	if err != nil {
		return err
	}
	_ = file.Close()
	previous := s.snapshot
	s.snapshot = position{Index: snap.Index, Term: snap.Term}
	if err := s.rotate(record{Snapshot: &s.snapshot}); err != nil {
		return err
	}
	if previous.Index > 0 {
		if err := s.removeSynced(snapshotName(previous.Index)); err != nil {
			return err
		}
	}
	return s.removeCoveredSegments()
}

// removeCoveredSegments removes segments in ascending order and syncs the
// directory after each, so that a crash never leaves a gap between segments. The
// segment with the snapshot's last entry stays: recovery compares the entry's
// term with the snapshot's.
func (s *Store) removeCoveredSegments() error {
	for len(s.segments) > 1 && s.segments[0].lastIndex < s.snapshot.Index {
		if err := s.removeSynced(segmentName(s.segments[0].number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// removeSynced durably removes a file.
func (s *Store) removeSynced(name string) error {
	if err := s.fs.Remove(s.path(name)); err != nil {
		return diskFailed(err, "remove %s", name)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return diskFailed(err, "sync directory %s", s.dir)
	}
	return nil
}
