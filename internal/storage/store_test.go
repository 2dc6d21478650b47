package storage

import (
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
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

// Guards against anything saved being lost or changed by a normal restart, and
// against a data directory that changes its identity.
func TestReopen(t *testing.T) {
	dir := t.TempDir()
	s, r, err := Open(dir)
	must(t, err)
	if !r.Fresh {
		t.Fatal("an empty directory is not fresh")
	}
	must(t, s.SetReplicaID("a/0"))
	must(t, s.Save(&consensus.HardState{Term: 2, Vote: "b/0"}, []consensus.Entry{entry(1, 1), entry(2, 1), entry(3, 2)}))
	must(t, s.Save(nil, []consensus.Entry{entry(3, 3)}))
	must(t, s.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 1, Data: []byte("state")}))
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
	if len(r.Entries) != 1 || r.Entries[0].Term != 3 {
		t.Fatalf("recovered entries %+v", r.Entries)
	}
}
