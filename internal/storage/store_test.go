package storage

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"golang.org/x/sys/unix"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Data: []byte("command")}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against content that is lost or changed by a normal restart, and against
// a data directory whose replica ID changes.
func TestContentSurvivesReopen(t *testing.T) {
	dir := t.TempDir()
	s, r, err := Open(dir)
	must(t, err)
	if !r.Fresh {
		t.Fatal("an empty directory is not fresh")
	}
	must(t, s.SetReplicaID("a/0"))
	must(t, s.Save(&consensus.HardState{Term: 2, Vote: "b/0"}, []consensus.Entry{entry(1, 1), entry(2, 1), entry(3, 2)}))
	must(t, s.Save(nil, []consensus.Entry{entry(3, 3)}))
	snap := &consensus.Snapshot{Index: 2, Term: 1, Data: []byte("state")}
	must(t, s.SaveReady(consensus.Ready{Snapshot: snap, Entries: []consensus.Entry{entry(4, 3)}}))
	if s.SetReplicaID("a/1") == nil {
		t.Fatal("the identity changed")
	}
	if _, _, err := Open(dir); err == nil {
		t.Fatal("two stores share a directory")
	}
	must(t, s.Close())
	s, r, err = Open(dir)
	must(t, err)
	defer func() { must(t, s.Close()) }()
	if r.Fresh || r.ReplicaID != "a/0" || r.HardState.Vote != "b/0" || string(r.Snapshot.Data) != "state" {
		t.Fatalf("recovered %+v", r)
	}
	if len(r.Entries) != 2 || r.Entries[0].Term != 3 {
		t.Fatalf("recovered entries %+v", r.Entries)
	}
}

// newFilledFS returns a file system with a closed store: a snapshot at index 2 and
// entries 3 to 8, one record each, in several segments. The data of the last entry
// contains a copy of a record, which must not be taken for a record.
func newFilledFS(t *testing.T) *memFS {
	t.Helper()
	fs := newMemFS()
	s, _, err := OpenFS(fs, "")
	must(t, err)
	s.segmentLimit = 150
	must(t, s.SetReplicaID("a/0"))
	must(t, s.Save(&consensus.HardState{Term: 1}, []consensus.Entry{entry(1, 1), entry(2, 1)}))
	must(t, s.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 1, Data: []byte("state")}))
	for index := uint64(3); index <= 7; index++ {
		must(t, s.Save(nil, []consensus.Entry{entry(index, 1)}))
	}
	copied, err := appendRecord(nil, record{Entries: []consensus.Entry{entry(9, 9)}}, location{file: s.currentNumber()})
	must(t, err)
	must(t, s.Save(nil, []consensus.Entry{{Index: 8, Term: 1, Data: append(copied, 'x')}}))
	must(t, s.Close())
	return fs
}

// newest returns the name of the newest segment.
func newest(fs *memFS) string {
	names, _ := fs.List("")
	names = slices.DeleteFunc(names, func(name string) bool { return !strings.HasPrefix(name, "log-") })
	return names[len(names)-1]
}

// Guards against a torn write that prevents a restart, and against one that loses
// more than the record that was being written.
func TestTornTail(t *testing.T) {
	reference := newFilledFS(t)
	name := newest(reference)
	whole := reference.names[name].data
	boundary := lastFrame(t, whole)
	for cut := boundary; cut < len(whole); cut++ {
		for _, tail := range [][]byte{nil, make([]byte, len(whole)-cut), []byte("garbage")} {
			fs := newFilledFS(t)
			fs.names[name].data = slices.Concat(whole[:cut], tail)
			s, r, err := OpenFS(fs, "")
			if err != nil || len(r.Entries) != 5 {
				t.Fatalf("cut at %d: %d entries, %v", cut, len(r.Entries), err)
			}
			must(t, s.Save(nil, []consensus.Entry{entry(8, 2)}))
			must(t, s.Close())
			if _, r, err = OpenFS(fs.crash(), ""); err != nil || len(r.Entries) != 6 || r.Entries[5].Term != 2 {
				t.Fatalf("cut at %d: the record after it is lost: %v", cut, err)
			}
		}
	}
}

// lastFrame returns the offset of the last frame in a segment.
func lastFrame(t *testing.T, segment []byte) int {
	last, next := 0, segmentHeaderBytes
	for next < len(segment) {
		_, length, err := readFrame(segment[next:], location{uint64(segment[8]), next})
		must(t, err)
		last, next = next, next+length
	}
	return last
}

// Guards against a replica that starts with a damaged or incomplete directory, and
// against error messages that don't say what is damaged and where.
func TestDamage(t *testing.T) {
	flip := func(offset int) func([]byte) []byte {
		return func(b []byte) []byte { b[offset] ^= 1; return b }
	}
	remove := func([]byte) []byte { return nil }
	name := newest(newFilledFS(t))
	cases := []struct {
		name, file string
		edit       func([]byte) []byte
	}{
		{"record in the middle of the newest segment", name, flip(segmentHeaderBytes + 20)},
		{"length in the middle of the newest segment", name, flip(segmentHeaderBytes + 4)},
		{"header of the newest segment", name, flip(3)},
		{"end of an older segment", segmentName(2), func(b []byte) []byte { return b[:len(b)-1] }},
		{"header of an older segment", segmentName(2), flip(9)},
		{"missing segment", segmentName(2), remove},
		{"missing identity", identityName, remove},
		{"changed identity", identityName, flip(0)},
		{"changed snapshot", snapshotName(2), flip(30)},
		{"missing snapshot", snapshotName(2), remove},
	}
	var report bytes.Buffer
	for _, c := range cases {
		fs := newFilledFS(t)
		if fs.names[c.file].data = c.edit(fs.names[c.file].data); fs.names[c.file].data == nil {
			delete(fs.names, c.file)
		}
		_, _, err := OpenFS(fs, "")
		if !errors.As(err, new(*DamageError)) {
			t.Errorf("%s: %v", c.name, err)
		}
		fmt.Fprintf(&report, "%s:\n\t%v\n", c.name, err)
	}
	fs := newFilledFS(t)
	maps.DeleteFunc(fs.names, func(name string, _ *memFile) bool { return strings.HasPrefix(name, "log-") })
	_, _, err := OpenFS(fs, "")
	fmt.Fprintf(&report, "no log at all:\n\t%v\n", err)
	goldie.New(t).Assert(t, t.Name(), report.Bytes())
}

// Guards against acknowledgements after a failed write, and against a restart that
// relies on bytes that never reached the disk.
func TestWritesAreRefusedAfterAFailedWrite(t *testing.T) {
	save := func(s *Store) error { return s.Save(nil, []consensus.Entry{entry(9, 1)}) }
	snapshot := func(s *Store) error { return s.SaveSnapshot(consensus.Snapshot{Index: 5, Term: 1}) }
	cases := []struct {
		op   string
		err  error
		call func(*Store) error
	}{
		{"write", io.ErrShortWrite, save},
		{"write", unix.ENOSPC, save},
		{"sync", unix.EIO, save},
		{"create", unix.EROFS, snapshot},
		{"write", unix.ENOSPC, snapshot},
		{"sync", unix.EIO, snapshot},
		{"rename", unix.EIO, snapshot},
		{"sync directory", unix.EIO, snapshot},
		{"remove", unix.EROFS, snapshot},
	}
	for _, c := range cases {
		fs := newFilledFS(t)
		s, _, err := OpenFS(fs, "")
		must(t, err)
		fs.fail = func(op, _ string) error {
			if op == c.op {
				return c.err
			}
			return nil
		}
		if err := c.call(s); errkind.From(err).Kind != errkind.DiskFailed || !errors.Is(err, c.err) {
			t.Errorf("%s %v: %v", c.op, c.err, err)
		}
		fs.fail = func(string, string) error { return nil }
		if save(s) == nil || snapshot(s) == nil || s.Failed() == nil {
			t.Errorf("%s %v: the store accepts writes or reports no failure", c.op, c.err)
		}
		must(t, s.Close())
		_, r, err := OpenFS(fs, "")
		must(t, err)
		_, afterCrash, err := OpenFS(fs.crash(), "")
		must(t, err)
		if !modelOf(r).equal(modelOf(afterCrash)) {
			t.Errorf("%s %v: recovered %+v, after a crash %+v", c.op, c.err, r, afterCrash)
		}
	}
}

// Guards against a decoder that panics, reads beyond its input or decodes a record
// that changes when it is encoded and decoded again.
func FuzzReadRecord(f *testing.F) {
	whole, err := appendRecord(nil, record{HardState: &consensus.HardState{Term: 3, Vote: "a/0"}, Entries: []consensus.Entry{entry(1, 3)}}, location{file: 1})
	must(f, err)
	f.Add(whole)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, length, err := readRecord(data, location{file: 1})
		if err != nil {
			// With a valid frame around them, the same bytes reach the decoder.
			framed, _ := appendFrame(nil, data, location{file: 1})
			r, length, err = readRecord(framed, location{file: 1})
			data = framed
		}
		if err != nil {
			return
		}
		if length > len(data) {
			t.Fatalf("read %d of %d bytes", length, len(data))
		}
		once, err := appendRecord(nil, r, location{file: 1})
		must(t, err)
		back, _, err := readRecord(once, location{file: 1})
		must(t, err)
		if twice, _ := appendRecord(nil, back, location{file: 1}); !bytes.Equal(once, twice) {
			t.Fatalf("%+v became %+v", r, back)
		}
	})
}

// BenchmarkSave measures a synced Save of one entry of 128 bytes.
func BenchmarkSave(b *testing.B) {
	s, _, err := Open(b.TempDir())
	must(b, err)
	must(b, s.SetReplicaID("a/0"))
	hs := &consensus.HardState{Term: 1}
	for index := uint64(1); b.Loop(); index++ {
		e := consensus.Entry{Index: index, Term: 1, Data: make([]byte, 128)}
		must(b, s.Save(hs, []consensus.Entry{e}))
	}
	must(b, s.Close())
}
