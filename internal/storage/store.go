// Package storage stores a replica's hard state, log, snapshot and replica ID in
// a data directory. Writes are synced before a call returns. After a failed
// write, a Store refuses all further writes; the directory must be opened again.
package storage

import (
	"errors"
	"io"
	"path/filepath"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

const (
	temporarySuffix = ".tmp"
	lockName        = "lock"
)

var errClosed = errors.New("the store is closed")

// Store is an open data directory. It is not safe for concurrent use.
type Store struct {
	fs   FileSystem
	dir  string
	lock io.Closer

	replicaID string
	hardState consensus.HardState
	snapshot  position

	// segments are the files of the log in ascending order, without gaps. Save
	// appends to the last one.
	segments []segment
	// file is the last segment, open for appending.
	file File
	// size is the size of the last segment in bytes.
	size int
	// segmentLimit is the size in bytes from which on Save begins another segment.
	segmentLimit int

	// failed is the first write error, or errClosed. It is never reset.
	failed error
}

// Failed returns the error because of which the store refuses writes, or nil.
func (s *Store) Failed() error { return s.failed }

// ReplicaID returns the replica ID of the data directory, or "" if none is set.
func (s *Store) ReplicaID() string { return s.replicaID }

// recordFailure stores the first write error in failed and returns err.
func (s *Store) recordFailure(err error) error {
	if err != nil && s.failed == nil {
		s.failed = err
	}
	return err
}

// Save appends a hard state, entries or both to the log and syncs them. The
// entries replace entries with the same and with higher indexes. Errors are
// *errkind.Error: after one of kind DiskFailed, the store refuses further writes;
// one of kind BadRequest reports a record that is too large, and the store can
// still be used.
func (s *Store) Save(hs *consensus.HardState, entries []consensus.Entry) error {
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := s.writable(); err != nil {
		return err
	}
	if s.size >= s.segmentLimit {
		if err := s.rotate(record{}); err != nil {
			return s.recordFailure(err)
		}
	}
	content, err := encodeSave(hs, entries, location{s.currentNumber(), s.size})
	if err != nil {
		return err
	}
	if err := s.appendSynced(content); err != nil {
		return s.recordFailure(err)
	}
	s.updateAfterSave(hs, entries)
	return nil
}

// SaveReady saves the hard state, snapshot and entries of a consensus.Ready in
// the order that recovery requires: an interrupted call leaves no entry without
// its term and no entry without the snapshot that it follows. It fails with the
// errors of Save.
func (s *Store) SaveReady(r consensus.Ready) error {
	if r.Snapshot == nil {
		return s.Save(r.HardState, r.Entries)
	}
	if err := s.Save(r.HardState, nil); err != nil {
		return err
	}
	if err := s.SaveSnapshot(*r.Snapshot); err != nil {
		return err
	}
	return s.Save(nil, r.Entries)
}

func (s *Store) currentNumber() uint64 { return s.segments[len(s.segments)-1].number }

func encodeSave(hs *consensus.HardState, entries []consensus.Entry, start location) ([]byte, error) {
	var content []byte
	var err error
	for _, r := range splitRecords(hs, entries) {
		content, err = appendRecord(content, r, start)
		if err != nil {
			return nil, err
		}
	}
	return content, nil
}

// writable returns an error after a failed write, after Close, and before the
// directory has a replica ID.
func (s *Store) writable() error {
	if s.failed != nil {
		return diskFailed(s.failed, "the store stopped after a failed write")
	}
	if s.replicaID == "" {
		return errkind.New(errkind.Internal, "data directory %s has no replica identity yet", s.dir)
	}
	return nil
}

func (s *Store) appendSynced(content []byte) error {
	name := segmentName(s.currentNumber())
	if err := writeAll(s.file, content); err != nil {
		return diskFailed(err, "write %s", name)
	}
	if err := s.file.Sync(); err != nil {
		return diskFailed(err, "sync %s", name)
	}
	s.size += len(content)
	return nil
}

// updateAfterSave updates the state of the store after a successful Save.
func (s *Store) updateAfterSave(hs *consensus.HardState, entries []consensus.Entry) {
	if hs != nil {
		s.hardState = *hs
	}
	current := &s.segments[len(s.segments)-1]
	if len(entries) > 0 {
		current.lastIndex = max(current.lastIndex, entries[len(entries)-1].Index)
	}
}

func writeAll(w io.Writer, content []byte) error {
	n, err := w.Write(content)
	if err == nil && n < len(content) {
		return io.ErrShortWrite
	}
	return err
}

// Close closes the log and releases the lock of the data directory. Later writes
// fail.
func (s *Store) Close() error {
	if s.lock == nil {
		return nil
	}
	err := errors.Join(s.file.Close(), s.lock.Close())
	s.lock = nil
	_ = s.recordFailure(errClosed)
	return err
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }
