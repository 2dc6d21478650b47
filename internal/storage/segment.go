package storage

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
)

const (
	// segmentMagic begins the header of a segment; the segment's number follows as
	// 8 bytes in little endian.
	segmentMagic       = "FLRLOG01"
	segmentHeaderBytes = 16
	// segmentBytes is the default of Store.segmentLimit.
	segmentBytes  = 4 << 20
	segmentFormat = "log-%016x.wal"
)

// segment is a file of the log.
type segment struct {
	number uint64
	// lastIndex is the highest index of an entry in the segment; 0 if it has none.
	lastIndex uint64
}

func segmentName(number uint64) string { return fmt.Sprintf(segmentFormat, number) }

func segmentHeader(number uint64) []byte {
	header := make([]byte, segmentHeaderBytes)
	copy(header, segmentMagic)
	binary.LittleEndian.PutUint64(header[8:], number)
	return header
}

// scanSegment passes the records of a segment to apply and returns the offset
// after the last complete one. In the newest segment, damage without any complete
// record after it is a torn write, because a Save returns only after its sync;
// any other damage is a *DamageError.
func scanSegment(path string, number uint64, data []byte, newest bool, apply func(record) error) (int, error) {
	if len(data) < segmentHeaderBytes || string(data[:segmentHeaderBytes]) != string(segmentHeader(number)) {
		if newest && !containsRecord(data, location{file: number}) {
			return 0, nil
		}
		return 0, &DamageError{File: path, Reason: "the segment header is damaged"}
	}
	offset := segmentHeaderBytes
	for offset < len(data) {
		r, length, err := readRecord(data[offset:], location{number, offset})
		if err != nil {
			if newest && !containsRecord(data[offset+1:], location{number, offset + 1}) {
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

// openSegment durably writes a segment with the given content and makes it the
// one to which Save appends.
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

// rotate starts the next segment. It adds the hard state to the first record, so
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

// writeFile durably creates or replaces a file: it writes and syncs a temporary
// file, renames it and syncs the directory. It returns the file, open for
// appending.
func (s *Store) writeFile(name string, content []byte) (File, error) {
	path := filepath.Join(s.dir, name)
	temporary := path + temporarySuffix
	file, err := s.fs.Create(temporary)
	if err != nil {
		return nil, diskFailed(err, "create %s", temporary)
	}
	if err := s.writeAndRename(file, temporary, path, content); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

func (s *Store) writeAndRename(file File, temporary, path string, content []byte) error {
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
