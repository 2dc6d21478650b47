package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
)

// model is the expected content of a data directory.
type model struct {
	hs      consensus.HardState
	snap    position
	entries []consensus.Entry
}

func modelOf(r Recovered) model {
	m := model{hs: r.HardState, entries: r.Entries}
	if r.Snapshot != nil {
		m.snap = position{r.Snapshot.Index, r.Snapshot.Term}
	}
	return m
}

func (m model) equal(other model) bool {
	if len(m.entries) == 0 && len(other.entries) == 0 {
		m.entries, other.entries = nil, nil
	}
	return reflect.DeepEqual(m, other)
}

// save returns the model after a random Save, which replaces some of the last
// entries and appends others, and a function that runs it on a store.
func (m model) save(choice uint32) (model, func(*Store) error) {
	m.hs.Term++
	m.hs.Vote = fmt.Sprint(choice % 5)
	keep := len(m.entries) - min(len(m.entries), int(choice>>4%4))
	first := m.snap.Index + uint64(keep) + 1
	var added []consensus.Entry
	for i := range uint64(choice >> 8 % 5) {
		added = append(added, consensus.Entry{Index: first + i, Term: m.hs.Term, Data: make([]byte, 1+choice>>12%60)})
	}
	if len(added) > 0 {
		m.entries = slices.Concat(m.entries[:keep], added)
	}
	hs := m.hs
	return m, func(s *Store) error { return s.Save(&hs, added) }
}

// snapshot returns the model after a random SaveSnapshot, and a function that runs
// it on a store. The snapshot covers a part of the log, or replaces a log that is
// shorter or diverges from the snapshot.
func (m model) snapshot(choice uint32) (model, func(*Store) error) {
	covered := 1 + int(choice>>4%8)
	m.snap = position{m.snap.Index + uint64(covered), m.hs.Term + 1}
	if covered <= len(m.entries) && choice>>8%4 > 0 {
		m.snap.Term = m.entries[covered-1].Term
		m.entries = m.entries[covered:]
	} else {
		m.entries = nil
	}
	snap := consensus.Snapshot{Index: m.snap.Index, Term: m.snap.Term, Data: make([]byte, choice>>12%200)}
	return m, func(s *Store) error { return s.SaveSnapshot(snap) }
}

func (m model) next(choice uint32) (model, func(*Store) error) {
	if choice%6 == 0 {
		return m.snapshot(choice)
	}
	return m.save(choice)
}

// runCrashes runs operations on a file system that crashes at random changes. It
// returns a description of the fault if a restart recovers neither the content
// before nor the content after the operation that the crash interrupted.
func runCrashes(seed uint64, operations []uint32) string {
	fs := newMemFS()
	fs.rng = rand.New(rand.NewPCG(seed, 1))
	var before, after model
	for len(operations) > 0 {
		remaining := fs.rng.IntN(40)
		fs.fail = func(string, string) error {
			if remaining--; remaining < 0 {
				return errCrash
			}
			return nil
		}
		s, r, err := OpenFS(fs, "d")
		if err == nil && !modelOf(r).equal(before) && !modelOf(r).equal(after) {
			return fmt.Sprintf("recovered %+v, want %+v or %+v", modelOf(r), before, after)
		}
		if err == nil {
			before, after = modelOf(r), modelOf(r)
			s.segmentLimit = 300
			err = s.SetReplicaID("a/0")
		}
		for err == nil && len(operations) > 0 {
			var do func(*Store) error
			after, do = before.next(operations[0])
			operations = operations[1:]
			if err = do(s); err == nil {
				before = after
			}
		}
		if err != nil && !errors.Is(err, errCrash) {
			return err.Error()
		}
		fs = fs.crash()
	}
	return ""
}

// Guards against acknowledged content that is lost in a crash, against an
// operation that is recovered in part, and against a failing restart after a
// crash.
func TestCrashes(t *testing.T) {
	seed := int64(1)
	if n, err := strconv.ParseInt(os.Getenv("FLAMINGOREEL_TEST_SEED"), 10, 64); err == nil {
		seed = n
	}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 250
	parameters.MaxShrinkCount = 100
	properties := gopter.NewProperties(parameters)
	properties.Property("acknowledged content survives", prop.ForAll(runCrashes, gen.UInt64(), gen.SliceOfN(60, gen.UInt32())))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Fatalf("repeat with: FLAMINGOREEL_TEST_SEED=%d go test ./internal/storage -run '^%s$'", seed, t.Name())
	}
}
