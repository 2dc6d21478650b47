package storage

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
)

// Recovered is the content of a data directory when it is opened.
type Recovered struct {
	// ReplicaID is empty if the directory is fresh.
	ReplicaID string
	HardState consensus.HardState
	// Snapshot is nil if none was saved.
	Snapshot *consensus.Snapshot
	// Entries are the log entries after the snapshot, without gaps.
	Entries []consensus.Entry
	// Fresh reports whether the directory is empty; SetReplicaID must then be called
	// before any other write.
	Fresh bool
}

// Open opens or creates a data directory and recovers its content. It fails with
// a *LockedError if another process uses the directory, with a *DamageError if
// its content is damaged or incomplete, and otherwise with an *errkind.Error of
// kind DiskFailed.
func Open(dir string) (*Store, Recovered, error) { return OpenFS(osFileSystem{}, dir) }

// OpenFS is like Open, but uses the given file system.
func OpenFS(fs FileSystem, dir string) (*Store, Recovered, error) {
	s := &Store{fs: fs, dir: dir, segmentLimit: segmentBytes}
	if err := fs.MakeDir(dir); err != nil {
		return nil, Recovered{}, diskFailed(err, "create %s", dir)
	}
	lock, err := fs.Lock(s.path(lockName))
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, Recovered{}, &LockedError{Dir: dir, cause: err}
	}
	if err != nil {
		return nil, Recovered{}, diskFailed(err, "lock %s", dir)
	}
	s.lock = lock
	recovered, err := s.recover()
	if err != nil {
		_ = lock.Close()
		return nil, Recovered{}, err
	}
	return s, recovered, nil
}

// contents lists the files of a data directory by kind.
type contents struct {
	// identity reports whether the file with the replica ID exists.
	identity bool
	// snapshots are the indexes of the snapshots in ascending order.
	snapshots []uint64
	// segments are the numbers of the log segments in ascending order.
	segments []uint64
}

func (s *Store) recover() (Recovered, error) {
	found, err := s.listContents()
	if err != nil {
		return Recovered{}, err
	}
	if err := s.checkFiles(found); err != nil {
		return Recovered{}, err
	}
	var out Recovered
	if found.identity {
		if out.ReplicaID, err = s.readIdentity(); err != nil {
			return Recovered{}, err
		}
	}
	if out.Snapshot, err = s.readSnapshot(found.snapshots); err != nil {
		return Recovered{}, err
	}
	log, err := s.readSegments(found.segments)
	if err != nil {
		return Recovered{}, err
	}
	s.replicaID, s.hardState = out.ReplicaID, log.hardState
	if err := s.ensureSnapshotMarker(log, out.Snapshot); err != nil {
		return Recovered{}, err
	}
	if err := s.checkLog(log, out.Snapshot); err != nil {
		return Recovered{}, err
	}
	out.HardState, out.Entries = log.hardState, log.entries
	out.Fresh = !found.identity
	return out, nil
}

// ensureSnapshotMarker writes the marker of the snapshot to the log if a crash
// prevented it: entries that are saved from now on follow the snapshot and not
// the entries before the marker.
func (s *Store) ensureSnapshotMarker(log *replay, snap *consensus.Snapshot) error {
	if snap == nil {
		return nil
	}
	s.snapshot = position{Index: snap.Index, Term: snap.Term}
	if log.snapshot.Index >= snap.Index {
		return nil
	}
	log.dropThrough(s.snapshot)
	return s.rotate(record{Snapshot: &s.snapshot})
}

// listContents removes temporary files and lists the others by kind.
func (s *Store) listContents() (contents, error) {
	var found contents
	names, err := s.fs.List(s.dir)
	if err != nil {
		return found, diskFailed(err, "list %s", s.dir)
	}
	for _, name := range names {
		var number uint64
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.fs.Remove(s.path(name)); err != nil {
				return found, diskFailed(err, "remove %s", name)
			}
			continue
		}
		if name == identityName {
			found.identity = true
		}
		if parseName(name, segmentFormat, &number) {
			found.segments = append(found.segments, number)
		}
		if parseName(name, snapshotFormat, &number) {
			found.snapshots = append(found.snapshots, number)
		}
	}
	slices.Sort(found.segments)
	slices.Sort(found.snapshots)
	return found, nil
}

// parseName parses the number in a file name of the given format. It reports
// whether the name has exactly this format.
func parseName(name, format string, number *uint64) bool {
	_, err := fmt.Sscanf(name, format, number)
	return err == nil && fmt.Sprintf(format, *number) == name
}

// checkFiles fails if log files were removed from the directory: a replica must
// not vote with an empty log under its old ID.
func (s *Store) checkFiles(found contents) error {
	if found.identity && len(found.segments) == 0 {
		return &DamageError{File: s.path(segmentName(1)), Reason: "the directory has an identity but no log"}
	}
	for i := 1; i < len(found.segments); i++ {
		if missing := found.segments[i-1] + 1; found.segments[i] != missing {
			return &DamageError{File: s.path(segmentName(missing)), Reason: "the segment is missing"}
		}
	}
	return nil
}

// checkLog fails if the log lacks its replica ID, or the snapshot or the segments
// that it continues.
func (s *Store) checkLog(log *replay, snap *consensus.Snapshot) error {
	file := s.path(segmentName(s.segments[0].number))
	empty := snap == nil && len(log.entries) == 0 && log.hardState == consensus.HardState{}
	if s.replicaID == "" && !empty {
		return &DamageError{File: s.path(identityName), Reason: "the directory has a log but no identity"}
	}
	if snap == nil && (log.snapshot.Index > 0 || s.segments[0].number > 1) {
		return &DamageError{File: s.path(snapshotName(log.snapshot.Index)), Reason: "the snapshot is missing"}
	}
	if snap != nil && log.snapshot.Index > snap.Index {
		return &DamageError{File: s.path(snapshotName(log.snapshot.Index)), Reason: "the newest snapshot is missing"}
	}
	if err := log.checkGap(); err != nil {
		return &DamageError{File: file, Reason: err.Error()}
	}
	return nil
}

func (s *Store) readFile(name string) ([]byte, error) {
	data, err := s.fs.Read(s.path(name))
	if err != nil {
		return nil, diskFailed(err, "read %s", name)
	}
	return data, nil
}

func (s *Store) readIdentity() (string, error) {
	data, err := s.readFile(identityName)
	if err != nil {
		return "", err
	}
	return decodeIdentity(s.path(identityName), data)
}

// readSnapshot reads the newest snapshot and removes older ones, which remain if
// a crash interrupted their removal.
func (s *Store) readSnapshot(indexes []uint64) (*consensus.Snapshot, error) {
	if len(indexes) == 0 {
		return nil, nil
	}
	newest := indexes[len(indexes)-1]
	data, err := s.readFile(snapshotName(newest))
	if err != nil {
		return nil, err
	}
	snap, err := decodeSnapshot(s.path(snapshotName(newest)), newest, data)
	if err != nil {
		return nil, err
	}
	for _, index := range indexes[:len(indexes)-1] {
		if err := s.removeSynced(snapshotName(index)); err != nil {
			return nil, err
		}
	}
	return &snap, nil
}

// readSegments replays the log and rewrites its newest segment. This truncates a
// torn write at its end, and makes bytes that a failed sync left only in the page
// cache durable before anything is acknowledged that relies on them.
func (s *Store) readSegments(numbers []uint64) (*replay, error) {
	log := &replay{}
	if len(numbers) == 0 {
		s.segments = []segment{{number: 1}}
		return log, s.openSegment(1, segmentHeader(1))
	}
	for i, number := range numbers {
		newest := i == len(numbers)-1
		data, err := s.readFile(segmentName(number))
		if err != nil {
			return nil, err
		}
		seg := segment{number: number}
		end, err := scanSegment(s.path(segmentName(number)), number, data, newest, func(r record) error {
			return replayRecord(log, &seg, r)
		})
		if err != nil {
			return nil, err
		}
		s.segments = append(s.segments, seg)
		if !newest {
			continue
		}
		if err := s.openSegment(number, usableSegment(number, data[:end])); err != nil {
			return nil, err
		}
	}
	return log, nil
}

// replayRecord applies a record to log and updates the last index of its segment.
func replayRecord(log *replay, seg *segment, r record) error {
	if count := len(r.Entries); count > 0 {
		seg.lastIndex = max(seg.lastIndex, r.Entries[count-1].Index)
	}
	return log.apply(r)
}

// usableSegment returns the content to keep of the newest segment. If its header
// is torn too, content is empty and the result is a new header.
func usableSegment(number uint64, content []byte) []byte {
	if len(content) == 0 {
		return segmentHeader(number)
	}
	return content
}
