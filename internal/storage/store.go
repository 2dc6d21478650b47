// Package storage keeps a replica's hard state, log, snapshot and identity in
// one data directory. Everything is synced before a call returns. After a
// failed write the Store refuses all further writes until it is opened again.
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

	// segments are the files of the log by ascending number, without a gap.
	segments []segment
	file     File
	size     int
	// segmentLimit is the size after which a Save begins another segment.
	segmentLimit int

	// failed is the first write error; it stays until the Store is reopened.
	failed error
}

// Failed returns the write error that stopped the store, or nil.
func (s *Store) Failed() error { return s.failed }

// ReplicaID returns the identity of the data directory, or "" when none is set.
func (s *Store) ReplicaID() string { return s.replicaID }

// latch remembers the first write error.
func (s *Store) latch(err error) error {
	if err != nil && s.failed == nil {
		s.failed = err
	}
	return err
}

// Save appends a hard state, entries or both to the log and syncs them.
// Entries replace those of the same and of higher indexes. Errors:
// *errkind.Error of kind DiskFailed, which latches, or BadRequest for a record
// that is too large, which does not.
func (s *Store) Save(hs *consensus.HardState, entries []consensus.Entry) error {
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := s.writable(); err != nil {
		return err
	}
	if s.size >= s.segmentLimit {
		if err := s.rotate(record{}); err != nil {
			return s.latch(err)
		}
	}
	content, err := encodeSave(hs, entries, location{s.currentNumber(), s.size})
	if err != nil {
		return err
	}
	if err := s.appendSynced(content); err != nil {
		return s.latch(err)
	}
	s.noteSaved(hs, entries)
	return nil
}

// SaveReady saves what a consensus.Ready asks for, in the order that recovery
// relies on: an interrupted call leaves no entry without its term and no entry
// without the snapshot that it follows. Errors: as for Save.
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
	for _, r := range split(hs, entries) {
		content, err = appendRecord(content, r, start)
		if err != nil {
			return nil, err
		}
	}
	return content, nil
}

// writable refuses writes after a failure, after Close, and before the
// directory has an identity.
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

func (s *Store) noteSaved(hs *consensus.HardState, entries []consensus.Entry) {
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

// Close releases the data directory. Later writes fail.
func (s *Store) Close() error {
	if s.lock == nil {
		return nil
	}
	err := errors.Join(s.file.Close(), s.lock.Close())
	s.lock = nil
	_ = s.latch(errClosed)
	return err
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }
