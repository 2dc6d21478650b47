package fleet

import (
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// commandLog applies commands to a State with ascending log indexes.
type commandLog struct {
	t     *testing.T
	state *State
	index uint64
}

func newLog(t *testing.T) *commandLog { return &commandLog{t: t, state: NewState()} }

func (l *commandLog) apply(cmd Command) {
	l.t.Helper()
	data, err := wire.Marshal(&cmd)
	if err != nil {
		l.t.Fatal(err)
	}
	l.index++
	if err := l.state.Apply(l.index, data); err != nil {
		l.t.Fatal(err)
	}
}

func target(id string, startMs int64, address string, c Condition) Target {
	return Target{Incarnation: Incarnation{ID: id, StartMs: startMs}, Service: "s", Address: address, DataCentre: "d1", Slots: 4, Condition: c}
}

func (l *commandLog) targets(list ...Target) { l.apply(Command{Targets: list}) }

func (l *commandLog) condition(id string) Condition {
	got, _ := l.state.Target(id)
	return got.Condition
}

// Guards against a late heartbeat that makes a draining or ended target ready again.
func TestConditionsNeverGoBack(t *testing.T) {
	l := newLog(t)
	l.targets(target("a", 1, "10.0.0.1:1", Draining))
	l.targets(target("a", 1, "10.0.0.1:1", Ready))
	if got := l.condition("a"); got != Draining {
		t.Errorf("condition is %v after a late heartbeat, want draining", got)
	}
	l.targets(target("a", 2, "10.0.0.1:1", Ready))
	l.targets(target("a", 1, "10.0.0.1:1", Leaving))
	if got := l.condition("a"); got != Ready {
		t.Errorf("condition is %v after a call of the earlier incarnation, want ready", got)
	}
}

// Guards against a target that takes over an address by a heartbeat which a
// partition delayed until a later target had that address.
func TestAddressBelongsToLatestStart(t *testing.T) {
	l := newLog(t)
	l.targets(target("old", 1, "10.0.0.1:1", Ready))
	l.targets(target("new", 2, "10.0.0.1:1", Ready))
	if got := l.condition("old"); got != Ended {
		t.Errorf("the earlier target is %v, want ended", got)
	}
	l.targets(target("other", 1, "10.0.0.1:1", Ready))
	if _, ok := l.state.Target("other"); ok {
		t.Error("a target that started earlier took the address")
	}
}

func shardOf(list ...Row) ShardMap { return ShardMap{Service: "s", Rows: list, LastFence: 9} }

func rowOf(holder string, from, to int, fence uint64) Row {
	return Row{From: from, To: to, Fence: fence, Holder: Incarnation{ID: holder, StartMs: 1}}
}

// Guards against applying a plan whose rows have changed since it was made, and
// rows that do not cover all keys.
func TestOutdatedShardChangeIsRefused(t *testing.T) {
	l := newLog(t)
	l.apply(Command{ShardMapChange: &ShardMapChange{ShardMap: shardOf(rowOf("a", 0, MaxKey, 1))}})
	l.apply(Command{ShardMapChange: &ShardMapChange{Base: 0, ShardMap: shardOf(rowOf("b", 0, MaxKey, 2))}})
	shard, _ := l.state.ShardMap("s")
	if shard.Rows[0].Holder.ID != "a" {
		t.Error("a plan from an older revision took effect")
	}
	l.apply(Command{ShardMapChange: &ShardMapChange{Base: shard.Revision, ShardMap: shardOf(rowOf("a", 0, 99, 1), rowOf("b", 200, MaxKey, 2))}})
	if shard, _ = l.state.ShardMap("s"); len(shard.Rows) != 1 {
		t.Error("rows that do not cover all keys took effect")
	}
}

// Guards against views whose rows differ from the state's after splits that were
// received as deltas, from whichever revision a view started.
func TestViewFollowsSplits(t *testing.T) {
	l := newLog(t)
	l.targets(target("a", 1, "10.0.0.1:1", Ready), target("b", 1, "10.0.0.2:1", Ready))
	views := []*View{NewView()}
	follow := func() {
		for i, v := range views {
			views[i] = v.With(l.state.Since(v.Revision()), 0)
		}
		views = append(views, NewView().With(l.state.Since(0), 0))
	}
	change := func(next ...Row) {
		shard, _ := l.state.ShardMap("s")
		l.apply(Command{ShardMapChange: &ShardMapChange{Base: shard.Revision, ShardMap: shardOf(next...)}})
	}
	granted := func(r Row) Row { r.Granted = true; return r }
	change(granted(rowOf("a", 0, MaxKey, 1)))
	follow()
	change(granted(rowOf("a", 0, 99, 1)), granted(rowOf("b", 100, MaxKey, 2)))
	follow()
	change(granted(rowOf("b", 100, 199, 2)), granted(rowOf("a", 200, MaxKey, 3)))
	follow()
	for i, v := range views {
		for key, want := range map[int]string{0: "a", 99: "a", 100: "b", 199: "b", 200: "a", MaxKey: "a"} {
			if got, ok := v.Owner("s", key); !ok || got.ID != want {
				t.Errorf("view %d: key %d is held by %v, want %s", i, key, got, want)
			}
		}
	}
}

// Guards against sending requests to a holder that was notified to release its
// keys, and against a notification that takes effect on a row with another fence.
func TestOwnerFollowsNotifications(t *testing.T) {
	l := newLog(t)
	l.targets(target("a", 1, "10.0.0.1:1", Ready))
	l.apply(Command{ShardMapChange: &ShardMapChange{ShardMap: shardOf(rowOf("a", 0, MaxKey, 1))}})
	owner := func() bool {
		_, ok := NewView().With(l.state.Since(0), 0).Owner("s", 7)
		return ok
	}
	notify := func(fence uint64, granted bool) {
		l.apply(Command{Notification: &Notification{Service: "s", Holder: Incarnation{ID: "a", StartMs: 1}, Rows: []RowRef{{From: 0, Fence: fence, Granted: granted}}}})
	}
	if owner() {
		t.Error("a row counts as held before its holder was notified")
	}
	notify(2, true)
	if owner() {
		t.Error("a notification with another fence took effect")
	}
	notify(1, true)
	if !owner() {
		t.Error("a granted row has no owner")
	}
	shard, _ := l.state.ShardMap("s")
	moving := shard.Rows[0]
	moving.Next = Incarnation{ID: "b", StartMs: 1}
	l.apply(Command{ShardMapChange: &ShardMapChange{Base: shard.Revision, ShardMap: shardOf(moving)}})
	if !owner() {
		t.Error("the holder lost its requests before it was notified to release the row")
	}
	notify(1, false)
	if owner() {
		t.Error("a holder that was notified to release the row still gets requests")
	}
}

// Guards against full load on targets that became cold while their data centre
// was out of service.
func TestTargetsAreColdAfterTheirDataCentreReturns(t *testing.T) {
	l := newLog(t)
	l.apply(Command{Patch: &items.Patch{Items: []items.Item{{
		Key: items.Key{Collection: items.Services, Name: "s"}, Version: 1, Service: &items.Service{ColdPeriod: 3 * time.Second},
	}}}})
	l.targets(target("a", 1, "10.0.0.1:1", Ready))
	l.apply(Command{DataCentre: &DataCentre{Name: "d1", Out: true}})
	v := NewView().With(l.state.Since(0), 0)
	if !v.DataCentreOut("d1") {
		t.Fatal("the data centre is not out")
	}
	l.apply(Command{DataCentre: &DataCentre{Name: "d1"}})
	v = v.With(l.state.Since(v.Revision()), time.Minute)
	if e, _ := v.Endpoint("a"); e.ColdUntil != time.Minute+3*time.Second {
		t.Errorf("cold until %v, want the cold period after the return", e.ColdUntil)
	}
}

// Guards against a snapshot that loses a part of the state.
func TestSnapshotKeepsEverything(t *testing.T) {
	l := newLog(t)
	l.targets(target("a", 1, "10.0.0.1:1", Ready))
	l.apply(Command{ShardMapChange: &ShardMapChange{ShardMap: shardOf(rowOf("a", 0, MaxKey, 1))}})
	l.apply(Command{DataCentre: &DataCentre{Name: "d1", Out: true}})
	l.apply(Command{Entries: []Entry{{Addr: "10.0.0.9:1", Region: "r"}}})
	data, err := l.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	want, got := l.state.Since(0), restored.Since(0)
	if len(got.Targets) != len(want.Targets) || len(got.ShardMaps) != len(want.ShardMaps) ||
		len(got.DataCentres) != len(want.DataCentres) || len(got.Entries) != len(want.Entries) || got.To != want.To {
		t.Errorf("restored %+v, want %+v", got, want)
	}
}

// Guards against one log entry that cannot be decoded crashing every replica.
func TestBadCommandChangesNothing(t *testing.T) {
	s := NewState()
	if err := s.Apply(1, []byte{0xc1, 0xff}); err == nil {
		t.Error("data that cannot be decoded was applied")
	}
	if s.Revision() != 1 {
		t.Errorf("revision is %d, want 1", s.Revision())
	}
}
