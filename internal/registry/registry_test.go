package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// testHeartbeatInterval is the heartbeat interval of the deployments in tests.
const testHeartbeatInterval = 870 * time.Millisecond

// leader is a registry with the replicated state.
type leader struct {
	t     testing.TB
	state *fleet.State
	reg   *Registry
	index uint64
}

func newLeader(t testing.TB) *leader {
	l := &leader{t: t, state: fleet.NewState(), reg: New(0, Deployment{HeartbeatInterval: testHeartbeatInterval})}
	l.reg.rowsPerTarget = 1
	l.commit(serviceCommand("s"))
	return l
}

// serviceCommand returns the command that adds a sharded service.
func serviceCommand(name string) fleet.Command {
	return fleet.Command{Patch: &items.Patch{Items: []items.Item{{
		Key: items.Key{Collection: items.Services, Name: name}, Version: 1, Service: &items.Service{Sharded: true},
	}}}}
}

func (l *leader) commit(cmds ...fleet.Command) {
	for _, cmd := range cmds {
		data, err := wire.Marshal(&cmd)
		if err != nil {
			l.t.Fatal(err)
		}
		l.index++
		if err := l.state.Apply(l.index, data); err != nil {
			l.t.Fatal(err)
		}
	}
}

// heartbeatOf returns a heartbeat of a ready target.
func heartbeatOf(id string, seq int64) Heartbeat {
	return Heartbeat{Seq: seq, Target: fleet.Target{
		Incarnation: fleet.Incarnation{ID: id, StartMs: 1}, Service: "s", Address: "10.0.0." + id + ":1", DataCentre: "d", Slots: 4,
	}}
}

func (l *leader) heartbeat(now time.Duration, b Heartbeat) Grant {
	g, cmds := l.reg.HandleHeartbeat(now, l.state, b)
	l.commit(cmds...)
	return g
}

func (l *leader) plan(now time.Duration) { l.commit(l.reg.Plan(now, l.state)...) }

func (l *leader) rows() []fleet.Row {
	shard, _ := l.state.ShardMap("s")
	return shard.Rows
}

// leaderWithTwoHolders returns a leader whose two targets hold half of the keys each.
func leaderWithTwoHolders(t *testing.T) *leader {
	l := newLeader(t)
	l.heartbeat(0, heartbeatOf("1", 1))
	l.heartbeat(0, heartbeatOf("2", 1))
	l.plan(minCollectTime)
	l.heartbeat(minCollectTime, heartbeatOf("1", 2))
	l.heartbeat(minCollectTime, heartbeatOf("2", 2))
	if rows := l.rows(); len(rows) != 2 || !rows[0].Granted || !rows[1].Granted {
		t.Fatalf("rows are %+v, want two granted halves", rows)
	}
	return l
}

// Guards against rejecting the leave call of a target as an outdated heartbeat because
// it carries no sequence number.
func TestLeaveNeedsNoSequenceNumber(t *testing.T) {
	l := leaderWithTwoHolders(t)
	known, _ := l.state.Target("1")
	known.Condition = fleet.Leaving
	l.heartbeat(2*time.Second, Heartbeat{Target: known})
	if got, _ := l.state.Target("1"); got.Condition != fleet.Leaving {
		t.Errorf("the target is %v after its leave call, want left", got.Condition)
	}
}

// Guards against a delayed heartbeat that is granted rows which a newer heartbeat was
// not granted.
func TestLateHeartbeatGrantsNothing(t *testing.T) {
	l := leaderWithTwoHolders(t)
	if g := l.heartbeat(2*time.Second, heartbeatOf("1", 1)); g.Renew {
		t.Error("a heartbeat that arrived out of order renewed a grant")
	}
}

// Guards against assigning keys to a second target while the grant of the first one
// may still be valid.
func TestLostHolderKeepsKeysUntilExpiry(t *testing.T) {
	l := leaderWithTwoHolders(t)
	granted := minCollectTime
	for now, seq := granted, int64(3); now < granted+2*MaxGrantDuration; now, seq = now+500*time.Millisecond, seq+1 {
		l.heartbeat(now, heartbeatOf("2", seq))
		l.plan(now)
		moved := l.rows()[0].Holder.ID != "1"
		if moved != (now > latestGrantExpiry(granted)) {
			t.Fatalf("at %v the keys of the lost target moved: %v, its grant expires at %v", now, moved, latestGrantExpiry(granted))
		}
	}
}

// Guards against a new leader that ignores the grants of the previous one.
func TestNewLeaderWaitsForOldGrants(t *testing.T) {
	l := leaderWithTwoHolders(t)
	elected := time.Minute
	l.reg = New(elected, Deployment{HeartbeatInterval: testHeartbeatInterval})
	for now, seq := elected, int64(3); now <= latestGrantExpiry(elected); now, seq = now+500*time.Millisecond, seq+1 {
		l.heartbeat(now, heartbeatOf("2", seq))
		l.plan(now)
		if l.rows()[0].Holder.ID != "1" {
			t.Fatalf("keys moved %v after the election", now-elected)
		}
	}
}

// drainFirst drains target 1 and returns its row after the next plan.
func (l *leader) drainFirst(now time.Duration, seq int64) fleet.Row {
	b := heartbeatOf("1", seq)
	b.Target.Condition = fleet.Draining
	l.heartbeat(now, b)
	l.heartbeat(now, heartbeatOf("2", seq))
	l.plan(now)
	return l.rows()[0]
}

// Guards against moving a row before it is released, and without the handover.
func TestReleasedRowMovesWithHandover(t *testing.T) {
	l := leaderWithTwoHolders(t)
	row := l.drainFirst(2*time.Second, 3)
	if row.Next.ID != "2" || row.Holder.ID != "1" {
		t.Fatalf("row is %+v, want it to move from 1 to 2", row)
	}
	b := heartbeatOf("1", 4)
	b.Target.Condition = fleet.Draining
	b.Released = []Released{{From: row.From, To: row.To, Handover: "h"}}
	l.heartbeat(2100*time.Millisecond, b)
	l.plan(3 * time.Second)
	got := l.rows()[0]
	if got.Holder.ID != "2" || got.Handover != "h" || got.Fence <= row.Fence {
		t.Errorf("row is %+v, want it at 2 with the handover and a higher fence", got)
	}
}

// Guards against counting the repetition of an earlier release for a later grant of
// the same keys, which the target still holds.
func TestRepeatedReleaseDoesNotEndLaterGrant(t *testing.T) {
	l := leaderWithTwoHolders(t)
	b := heartbeatOf("1", 3)
	b.Released = []Released{{From: 0, To: fleet.MaxKey, Handover: "old"}}
	l.heartbeat(2*time.Second, b)
	l.drainFirst(2100*time.Millisecond, 4)
	l.plan(3 * time.Second)
	if got := l.rows()[0]; got.Holder.ID != "1" {
		t.Errorf("row is %+v, want it to stay with its holder until the release", got)
	}
}

// Guards against accepting a release although the target holds the row again: an
// earlier response that granted the row arrived after the one that did not.
func TestReleaseOfARowThatIsHeldAgainDoesNotCount(t *testing.T) {
	l := leaderWithTwoHolders(t)
	row := l.drainFirst(2*time.Second, 3)
	b := heartbeatOf("1", 4)
	b.Target.Condition = fleet.Draining
	b.Released = []Released{{From: row.From, To: row.To, Handover: "h"}}
	b.Held = []Range{{From: row.From, To: row.To}}
	l.heartbeat(2100*time.Millisecond, b)
	l.plan(3 * time.Second)
	if got := l.rows()[0]; got.Holder.ID != "1" {
		t.Errorf("row is %+v, want it to stay with the target that reports to hold it", got)
	}
}

// Guards against waiting for the expiry of a grant although its target has restarted.
func TestRestartedTargetFreesItsKeys(t *testing.T) {
	l := leaderWithTwoHolders(t)
	b := heartbeatOf("1", 1)
	b.Target.StartMs = 2
	restarted := minCollectTime + 3*testHeartbeatInterval/2
	l.heartbeat(restarted, b)
	l.heartbeat(restarted, heartbeatOf("2", 3))
	l.plan(restarted)
	if got := l.rows()[0]; got.Holder == (fleet.Incarnation{ID: "1", StartMs: 1}) {
		t.Errorf("row is %+v, still assigned to the ended incarnation", got)
	}
}

// Guards against assigning keys to cold targets while there are others.
func TestColdTargetsGetNoKeys(t *testing.T) {
	l := newLeader(t)
	cold := heartbeatOf("1", 1)
	cold.Target.ColdFor = 3 * time.Second
	l.heartbeat(0, cold)
	l.heartbeat(0, heartbeatOf("2", 1))
	l.plan(minCollectTime)
	for _, row := range l.rows() {
		if row.Holder.ID == "1" {
			t.Errorf("the cold target holds %+v", row)
		}
	}
}

// Guards against a hot range that overloads one target while others are idle, and
// against moving the whole range, which would only overload another target.
func TestDemandIsSpread(t *testing.T) {
	l := leaderWithTwoHolders(t)
	var keys []int
	for i := range 120 {
		keys = append(keys, 100+i) // target 1 holds all of them
	}
	l.reg.AddSamples(2*time.Second, Samples{Service: "s", Keys: keys})
	l.heartbeat(2*time.Second, heartbeatOf("1", 3))
	l.heartbeat(2*time.Second, heartbeatOf("2", 3))
	l.plan(2 * time.Second)
	moved := 0
	for _, row := range l.rows() {
		if row.Moving() {
			moved += min(row.To, 219) - max(row.From, 100) + 1
		}
	}
	if moved < 30 || moved > 70 {
		t.Errorf("%d of 120 hot keys move, want about half", moved)
	}
}

// Guards against underestimating the utilisation when there are more requests in the
// sample window than the limit of samples, which hid an overload of a large service.
func TestUtilisationIsRightAtAnyRate(t *testing.T) {
	for _, perSecond := range []int{100, 1000, 10_000} {
		l := leaderWithTwoHolders(t)
		at := time.Duration(0)
		for ; at < 5*time.Second; at += 100 * time.Millisecond {
			s := Samples{Service: "s", ServiceTimes: []ServiceTime{
				{Target: fleet.Incarnation{ID: "1", StartMs: 1}, Mean: 100 * time.Millisecond}, {Target: fleet.Incarnation{ID: "2", StartMs: 1}, Mean: 100 * time.Millisecond},
			}}
			for i := range perSecond / 10 {
				s.Keys = append(s.Keys, i*65537/(perSecond/10)%65536)
			}
			l.reg.AddSamples(at, s)
		}
		l.heartbeat(at, heartbeatOf("1", 3))
		l.heartbeat(at, heartbeatOf("2", 3))
		l.plan(at)
		slots := heartbeatOf("1", 3).Target.Slots
		want := float64(perSecond) / 2 * 0.1 / float64(slots)
		for _, id := range []string{"1", "2"} {
			if got := l.reg.Utilisation("s", fleet.Incarnation{ID: id, StartMs: 1}); got < 0.8*want || got > 1.25*want {
				t.Errorf("%d requests per second: the utilisation of target %s is %.2f, want %.2f", perSecond, id, got, want)
			}
		}
	}
}

// Guards against moving a key back and forth if no single target can serve its load.
func TestSingleHotKeyStays(t *testing.T) {
	l := leaderWithTwoHolders(t)
	keys := []int{50, 51, 52, 53}
	for range 200 {
		keys = append(keys, 100)
	}
	l.reg.AddSamples(2*time.Second, Samples{Service: "s", Keys: keys})
	l.heartbeat(2*time.Second, heartbeatOf("1", 3))
	l.heartbeat(2*time.Second, heartbeatOf("2", 3))
	l.plan(2 * time.Second)
	for _, row := range l.rows() {
		if row.Moving() && row.From <= 100 && row.To >= 100 {
			t.Errorf("the hot key moves with %+v", row)
		}
	}
}

// Guards against leaving a hot key at a slow target while a fast one is idle.
func TestSingleHotKeyMovesToAFasterTarget(t *testing.T) {
	l := leaderWithTwoHolders(t)
	s := Samples{Service: "s", ServiceTimes: []ServiceTime{
		{Target: fleet.Incarnation{ID: "1", StartMs: 1}, Mean: 800 * time.Millisecond}, {Target: fleet.Incarnation{ID: "2", StartMs: 1}, Mean: 300 * time.Millisecond},
	}}
	for range 40 {
		s.Keys = append(s.Keys, 100)
	}
	l.reg.AddSamples(0, s)
	l.heartbeat(3*time.Second, heartbeatOf("1", 3))
	l.heartbeat(3*time.Second, heartbeatOf("2", 3))
	l.plan(3 * time.Second)
	for _, row := range l.rows() {
		if row.From <= 100 && row.To >= 100 && (row.Next.ID != "2" || row.From != 100 || row.To != 100) {
			t.Errorf("the hot key is in %+v, want it alone in a row that moves to the fast target", row)
		}
	}
}

// Guards against a mean service time in which an entry with a single request counts as
// much as an entry with many, and against values out of range.
func TestServiceTimeIsAveragedOverRequests(t *testing.T) {
	target := fleet.Incarnation{ID: "1", StartMs: 1}
	s := Samples{ServiceTimes: []ServiceTime{{Target: target, Mean: time.Second, Count: 30}}}
	s.Add(Samples{ServiceTimes: []ServiceTime{{Target: target, Mean: 4 * time.Second, Count: 1}}})
	var o workAverage
	o = o.add(s.ServiceTimes[0])
	if got := o.mean(time.Second); got < time.Second || got > 1200*time.Millisecond {
		t.Errorf("the mean service time is %v after 30 requests of 1s and one of 4s", got)
	}
	for range 10 {
		o = o.add(ServiceTime{Target: target, Mean: 300 * time.Millisecond, Count: 20})
	}
	if got := o.mean(time.Second); got > 400*time.Millisecond {
		t.Errorf("the mean service time is %v after 200 requests of 300ms", got)
	}
	for _, w := range []ServiceTime{{Mean: -1 << 63, Count: 1 << 62}, {Mean: 1<<63 - 1, Count: -5}} {
		o = o.add(w)
	}
	if got := o.mean(time.Second); got < 0 || got > maxWorkMean || o.count > workAverageRequests+maxWorkCount {
		t.Errorf("the mean service time is %v over %v requests after values out of range", got, o.count)
	}
}

// Guards against entries that start later and treat every target that has ever been
// cold as cold.
func TestWarmTargetsAreRecorded(t *testing.T) {
	l := newLeader(t)
	cold := heartbeatOf("1", 1)
	cold.Target.ColdFor = 3 * time.Second
	l.heartbeat(0, cold)
	for i, now := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		b := heartbeatOf("1", int64(i+2))
		b.Target.ColdFor = max(0, 3*time.Second-now)
		l.heartbeat(now, b)
		got, _ := l.state.Target("1")
		if warm := got.ColdFor == 0; warm != (now > 3*time.Second) {
			t.Errorf("at %v the state says cold for %v", now, got.ColdFor)
		}
	}
}

// Guards against one target holding all hot keys. Hot keys are close to each other,
// so they must be distributed before the load is known: in any sequence of
// neighbouring rows as long as the number of targets, all holders must differ.
func TestNeighbouringKeysHaveManyHolders(t *testing.T) {
	for _, targets := range []int{12, 120, 194} {
		l := newLeader(t)
		l.reg.rowsPerTarget = 0
		for i := range targets {
			l.heartbeat(0, heartbeatOf(fmt.Sprint(i), 1))
		}
		l.plan(minCollectTime)
		rows := l.rows()
		if len(rows) < 2*targets {
			t.Errorf("%d targets: %d rows, want several for each", targets, len(rows))
		}
		for first := 0; first+targets <= len(rows); first++ {
			holders := make(map[string]bool)
			for _, row := range rows[first : first+targets] {
				holders[row.Holder.ID] = true
			}
			if len(holders) != targets {
				t.Fatalf("%d targets: %d of them hold the rows from %d on", targets, len(holders), first)
			}
		}
	}
}

// Guards against responses to heartbeats larger than the 4 KiB that targets accept.
func TestInitialAssignmentLeavesRoomInResponses(t *testing.T) {
	for _, targets := range []int{1, 3, 12, 194, 5000} {
		var shard fleet.ShardMap
		var list []fleet.Incarnation
		for i := range targets {
			list = append(list, fleet.Incarnation{ID: fmt.Sprint(i), StartMs: 1})
		}
		assignInitially(&shard, list, 0)
		held := make(map[fleet.Incarnation]int)
		next := 0
		for _, row := range shard.Rows {
			held[row.Holder]++
			if row.From != next || row.To < row.From {
				t.Fatalf("%d targets: row %+v does not follow key %d", targets, row, next)
			}
			next = row.To + 1
		}
		if next != fleet.MaxKey+1 {
			t.Errorf("%d targets: keys from %d on have no holder", targets, next)
		}
		for in, n := range held {
			if n > maxRowsPerTarget {
				t.Errorf("%d targets: %s holds %d rows, %d fit into a response", targets, in.ID, n, maxRowsPerTarget)
			}
		}
	}
}

// Guards against a new target that gets almost no keys, and against one that gets all
// rows of another target.
func TestNewTargetGetsItsShare(t *testing.T) {
	l := newLeader(t)
	l.reg.rowsPerTarget = 0
	for i := range 12 {
		l.heartbeat(0, heartbeatOf(fmt.Sprint(i), 1))
	}
	l.plan(minCollectTime)
	for i := range 12 {
		l.heartbeat(minCollectTime, heartbeatOf(fmt.Sprint(i), 2))
	}
	l.heartbeat(2*time.Second, heartbeatOf("new", 1))
	l.plan(2 * time.Second)
	coming := 0
	kept := make(map[string]int)
	for _, row := range l.rows() {
		size := row.To - row.From + 1
		if row.Next.ID == "new" {
			coming += size
			continue
		}
		kept[row.Holder.ID] += size
	}
	equal := (fleet.MaxKey + 1) / 13
	if coming < equal/2 || coming > equal {
		t.Errorf("%d keys move to the new target, an equal share is %d", coming, equal)
	}
	for id, n := range kept {
		if n < equal*9/10 {
			t.Errorf("target %s keeps %d keys, an equal share is %d", id, n, equal)
		}
	}
}

// Guards against assigning the keys while the targets still announce themselves after
// a first start, and moving keys to the later ones right afterwards.
func TestInitialAssignmentWaitsForFirstTargets(t *testing.T) {
	l := newLeader(t)
	const gap = 300 * time.Millisecond
	now := time.Duration(0)
	for i := range 8 {
		now = time.Duration(i) * gap
		l.heartbeat(now, heartbeatOf(fmt.Sprint(i), 1))
		if l.plan(now); len(l.rows()) != 0 {
			t.Fatalf("keys are assigned after %v with %d of 8 targets", now, i+1)
		}
	}
	for i := range 8 {
		l.heartbeat(now, heartbeatOf(fmt.Sprint(i), 2))
	}
	for end := now + collectQuietTime; now < end; now += gap {
		l.plan(now)
	}
	l.plan(now)
	holders := map[string]bool{}
	for _, row := range l.rows() {
		holders[row.Holder.ID] = true
	}
	if len(holders) != 8 {
		t.Errorf("%d of 8 targets hold keys after no more targets join", len(holders))
	}
	endless := newLeader(t)
	for i := range 30 {
		at := time.Duration(i) * gap
		endless.heartbeat(at, heartbeatOf(fmt.Sprint(i), 1))
		if endless.plan(at); at >= maxCollectTime && len(endless.rows()) == 0 {
			t.Fatalf("no keys are assigned after %v while targets keep joining", at)
		}
	}
}

// Guards against two holders of a key: the heartbeats of a lost target resume after a
// plan reassigned its rows and before the plan is committed.
func TestHolderResumingDuringPlanGetsNoGrant(t *testing.T) {
	l := leaderWithTwoHolders(t)
	now := minCollectTime
	seq := int64(3)
	var plan []fleet.Command
	for len(plan) == 0 {
		now += 100 * time.Millisecond
		l.heartbeat(now, heartbeatOf("2", seq))
		seq++
		plan = l.reg.Plan(now, l.state)
		if now > time.Minute {
			t.Fatal("no plan reassigns the rows of the lost target")
		}
	}
	grant := l.heartbeat(now+10*time.Millisecond, heartbeatOf("1", 9))
	l.commit(plan...)
	if len(grant.Rows) > 0 {
		t.Errorf("the lost target was granted %+v while they are assigned to another one", grant.Rows)
	}
	later := l.heartbeat(now+reassignmentGrace+time.Second, heartbeatOf("1", 10))
	if !later.Renew {
		t.Error("the target gets no grants after the plan is committed")
	}
}
