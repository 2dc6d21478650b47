package storage

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
)

const (
	segmentMagic       = "FLRLOG01"
	segmentHeaderBytes = 16
	segmentBytes       = 4 << 20
	segmentFormat      = "log-%016x.wal"
)

// segment is one file of the log.
type segment struct {
	number uint64
	// lastIndex is the highest index of an entry in the segment.
	lastIndex uint64
}

func segmentName(number uint64) string { return fmt.Sprintf(segmentFormat, number) }

func segmentHeader(number uint64) []byte {
	header := make([]byte, segmentHeaderBytes)
	copy(header, segmentMagic)
	binary.LittleEndian.PutUint64(header[8:], number)
	return header
}

// scan reads the records of a segment and returns the offset after the last
// whole one. In the newest segment a damaged end without any whole record
// after it is a torn write, because a Save returns only after its sync; any
// other damage is a *DamageError.
func scan(path string, number uint64, data []byte, newest bool, apply func(record) error) (int, error) {
	if len(data) < segmentHeaderBytes || string(data[:segmentHeaderBytes]) != string(segmentHeader(number)) {
		if newest && !holdsRecord(data, location{file: number}) {
			return 0, nil
		}
		return 0, &DamageError{File: path, Reason: "the segment header is damaged"}
	}
	offset := segmentHeaderBytes
	for offset < len(data) {
		r, length, err := readRecord(data[offset:], location{number, offset})
		if err != nil {
			if newest && !holdsRecord(data[offset+1:], location{number, offset + 1}) {
				return offset, nil
			}
			return 0, &DamageError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		if err := apply(r); err != nil {
			return 0, &DamageError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += length
	}
	return offset, nil
}

// openSegment writes a segment with the given content under a temporary name,
// syncs it and renames it, and makes it the one that Save appends to.
func (s *Store) openSegment(number uint64, content []byte) error {
	file, err := s.writeFile(segmentName(number), content)
	if err != nil {
		return err
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file = file
	s.size = len(content)
	return nil
}

// rotate begins the next segment with a record that repeats the hard state, so
// that older segments can be removed.
func (s *Store) rotate(first record) error {
	first.HardState = &s.hardState
	number := s.currentNumber() + 1
	content, err := appendRecord(segmentHeader(number), first, location{file: number})
	if err != nil {
		return err
	}
	if err := s.openSegment(number, content); err != nil {
		return err
	}
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// writeFile writes, syncs and renames a file, syncs the directory, and returns
// the file open for appending.
func (s *Store) writeFile(name string, content []byte) (File, error) {
	path := filepath.Join(s.dir, name)
	temporary := path + temporarySuffix
	file, err := s.fs.Create(temporary)
	if err != nil {
		return nil, diskFailed(err, "create %s", temporary)
	}
	if err := s.finishFile(file, temporary, path, content); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

func (s *Store) finishFile(file File, temporary, path string, content []byte) error {
	if err := writeAll(file, content); err != nil {
		return diskFailed(err, "write %s", temporary)
	}
	if err := file.Sync(); err != nil {
		return diskFailed(err, "sync %s", temporary)
	}
	if err := s.fs.Rename(temporary, path); err != nil {
		return diskFailed(err, "rename %s", temporary)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return diskFailed(err, "sync directory %s", s.dir)
	}
	return nil
}
