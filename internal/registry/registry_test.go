package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// leader is a registry with its committed state.
type leader struct {
	t     testing.TB
	state *fleet.State
	reg   *Registry
	index uint64
}

func newLeader(t testing.TB) *leader {
	l := &leader{t: t, state: fleet.NewState(), reg: New(0)}
	l.reg.parts = 1
	l.commit(fleet.Command{Patch: &items.Patch{Items: []items.Item{{
		Key: items.Key{Collection: items.Services, Name: "s"}, Version: 1, Service: &items.Service{Sharded: true},
	}}}})
	return l
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

func beatOf(id string, seq int64) Beat {
	return Beat{Seq: seq, Target: fleet.Target{
		Incarnation: fleet.Incarnation{ID: id, Born: 1}, Service: "s", Address: "10.0.0." + id + ":1", DataCentre: "d", Slots: 4,
	}}
}

func (l *leader) beat(now time.Duration, b Beat) Grant {
	g, cmds := l.reg.Beat(now, l.state, b)
	l.commit(cmds...)
	return g
}

func (l *leader) plan(now time.Duration) { l.commit(l.reg.Plan(now, l.state)...) }

func (l *leader) rows() []fleet.Row {
	shard, _ := l.state.Shard("s")
	return shard.Rows
}

// divided returns a leader whose two targets hold half of the keys each.
func divided(t *testing.T) *leader {
	l := newLeader(t)
	l.beat(0, beatOf("1", 1))
	l.beat(0, beatOf("2", 1))
	l.plan(settleTime)
	l.beat(settleTime, beatOf("1", 2))
	l.beat(settleTime, beatOf("2", 2))
	if rows := l.rows(); len(rows) != 2 || !rows[0].Granted || !rows[1].Granted {
		t.Fatalf("rows are %+v, want two granted halves", rows)
	}
	return l
}

// Guards against a call of a leaving target that is taken for a late heartbeat
// because it carries no sequence number.
func TestLeaveNeedsNoSequenceNumber(t *testing.T) {
	l := divided(t)
	known, _ := l.state.Target("1")
	known.Condition = fleet.Left
	l.beat(2*time.Second, Beat{Target: known})
	if got, _ := l.state.Target("1"); got.Condition != fleet.Left {
		t.Errorf("the target is %v after its leave call, want left", got.Condition)
	}
}

// Guards against a late heartbeat that grants what a later one was refused.
func TestLateHeartbeatGrantsNothing(t *testing.T) {
	l := divided(t)
	if g := l.beat(2*time.Second, beatOf("1", 1)); g.Renew {
		t.Error("a heartbeat that arrived out of order renewed a grant")
	}
}

// Guards against a second owner while the first may still hold its grant.
func TestSilentHolderKeepsKeysUntilExpiry(t *testing.T) {
	l := divided(t)
	granted := settleTime
	for now, seq := granted, int64(3); now < granted+2*MaxHold; now, seq = now+500*time.Millisecond, seq+1 {
		l.beat(now, beatOf("2", seq))
		l.plan(now)
		moved := l.rows()[0].Holder.ID != "1"
		if moved != (now > expiry(granted)) {
			t.Fatalf("at %v the keys of the silent target moved: %v, its grant expires at %v", now, moved, expiry(granted))
		}
	}
}

// Guards against a new leader that does not know of the grants of the old one.
func TestNewLeaderWaitsForOldGrants(t *testing.T) {
	l := divided(t)
	elected := time.Minute
	l.reg = New(elected)
	for now, seq := elected, int64(3); now <= expiry(elected); now, seq = now+500*time.Millisecond, seq+1 {
		l.beat(now, beatOf("2", seq))
		l.plan(now)
		if l.rows()[0].Holder.ID != "1" {
			t.Fatalf("keys moved %v after the election", now-elected)
		}
	}
}

// moving makes target 1 leave its data centre's service and returns the row.
func (l *leader) moving(now time.Duration, seq int64) fleet.Row {
	b := beatOf("1", seq)
	b.Target.Condition = fleet.Draining
	l.beat(now, b)
	l.beat(now, beatOf("2", seq))
	l.plan(now)
	return l.rows()[0]
}

// Guards against moves without the handover and before the release.
func TestReleasedRowMovesWithHandover(t *testing.T) {
	l := divided(t)
	row := l.moving(2*time.Second, 3)
	if row.Next.ID != "2" || row.Holder.ID != "1" {
		t.Fatalf("row is %+v, want it on its way from 1 to 2", row)
	}
	b := beatOf("1", 4)
	b.Target.Condition = fleet.Draining
	b.Released = []Released{{From: row.From, To: row.To, Handover: "h"}}
	l.beat(2100*time.Millisecond, b)
	l.plan(3 * time.Second)
	got := l.rows()[0]
	if got.Holder.ID != "2" || got.Handover != "h" || got.Fence <= row.Fence {
		t.Errorf("row is %+v, want it at 2 with the handover and a higher fence", got)
	}
}

// Guards against counting the repetition of an earlier release for a later
// grant of the same keys: its target then still holds them.
func TestRepeatedReleaseDoesNotEndLaterGrant(t *testing.T) {
	l := divided(t)
	b := beatOf("1", 3)
	b.Released = []Released{{From: 0, To: fleet.MaxKey, Handover: "old"}}
	l.beat(2*time.Second, b)
	l.moving(2100*time.Millisecond, 4)
	l.plan(3 * time.Second)
	if got := l.rows()[0]; got.Holder.ID != "1" {
		t.Errorf("row is %+v, want it at its holder until that releases it", got)
	}
}

// Guards against a release that is believed although the target holds the row
// again: an earlier answer that granted it arrived after the one that did not.
func TestReleaseOfARowThatIsHeldAgainDoesNotCount(t *testing.T) {
	l := divided(t)
	row := l.moving(2*time.Second, 3)
	b := beatOf("1", 4)
	b.Target.Condition = fleet.Draining
	b.Released = []Released{{From: row.From, To: row.To, Handover: "h"}}
	b.Held = []Range{{From: row.From, To: row.To}}
	l.beat(2100*time.Millisecond, b)
	l.plan(3 * time.Second)
	if got := l.rows()[0]; got.Holder.ID != "1" {
		t.Errorf("row is %+v, want it at the target that says that it holds it", got)
	}
}

// Guards against keys that wait for the expiry of a target that has restarted.
func TestRestartedTargetFreesItsKeys(t *testing.T) {
	l := divided(t)
	b := beatOf("1", 1)
	b.Target.Born = 2
	l.beat(2*time.Second, b)
	l.beat(2*time.Second, beatOf("2", 3))
	l.plan(2 * time.Second)
	if got := l.rows()[0]; got.Holder == (fleet.Incarnation{ID: "1", Born: 1}) {
		t.Errorf("row is %+v, still with the ended incarnation", got)
	}
}

// Guards against keys for cold targets while others can take them.
func TestColdTargetsGetNoKeys(t *testing.T) {
	l := newLeader(t)
	cold := beatOf("1", 1)
	cold.Target.ColdFor = 3 * time.Second
	l.beat(0, cold)
	l.beat(0, beatOf("2", 1))
	l.plan(settleTime)
	for _, row := range l.rows() {
		if row.Holder.ID == "1" {
			t.Errorf("the cold target holds %+v", row)
		}
	}
}

// Guards against a hot range that overloads one target while others are idle,
// and against moving one hot key, which would overload the next.
func TestDemandIsSpread(t *testing.T) {
	l := divided(t)
	var keys []int
	for i := range 120 {
		keys = append(keys, 100+i) // all of them held by target 1
	}
	l.reg.Sampled(2*time.Second, Samples{Service: "s", Keys: keys})
	l.beat(2*time.Second, beatOf("1", 3))
	l.beat(2*time.Second, beatOf("2", 3))
	l.plan(2 * time.Second)
	moved := 0
	for _, row := range l.rows() {
		if row.Moving() {
			moved += min(row.To, 219) - max(row.From, 100) + 1
		}
	}
	if moved < 30 || moved > 70 {
		t.Errorf("%d of 120 busy keys move, want about half", moved)
	}
}

// Guards against targets that seem to be idle because more requests came than
// samples are kept: an overload of a large service was not seen.
func TestUsageIsRightAtAnyRate(t *testing.T) {
	for _, perSecond := range []int{100, 1000, 10_000} {
		l := divided(t)
		at := time.Duration(0)
		for ; at < 5*time.Second; at += 100 * time.Millisecond {
			s := Samples{Service: "s", Works: []Work{
				{Target: fleet.Incarnation{ID: "1", Born: 1}, Mean: 100 * time.Millisecond}, {Target: fleet.Incarnation{ID: "2", Born: 1}, Mean: 100 * time.Millisecond},
			}}
			for i := range perSecond / 10 {
				s.Keys = append(s.Keys, i*65537/(perSecond/10)%65536)
			}
			l.reg.Sampled(at, s)
		}
		l.beat(at, beatOf("1", 3))
		l.beat(at, beatOf("2", 3))
		l.plan(at)
		slots := beatOf("1", 3).Target.Slots
		want := float64(perSecond) / 2 * 0.1 / float64(slots)
		for _, id := range []string{"1", "2"} {
			if got := l.reg.Usage("s", fleet.Incarnation{ID: id, Born: 1}); got < 0.8*want || got > 1.25*want {
				t.Errorf("%d requests a second: target %s seems used to %.2f, want %.2f", perSecond, id, got, want)
			}
		}
	}
}

// Guards against endless moves of one key that no target can serve alone.
func TestSingleHotKeyStays(t *testing.T) {
	l := divided(t)
	keys := []int{50, 51, 52, 53}
	for range 200 {
		keys = append(keys, 100)
	}
	l.reg.Sampled(2*time.Second, Samples{Service: "s", Keys: keys})
	l.beat(2*time.Second, beatOf("1", 3))
	l.beat(2*time.Second, beatOf("2", 3))
	l.plan(2 * time.Second)
	for _, row := range l.rows() {
		if row.Moving() && row.From <= 100 && row.To >= 100 {
			t.Errorf("the hot key moves with %+v", row)
		}
	}
}

// Guards against a hot key that stays at a slow target while a fast one is idle.
func TestSingleHotKeyMovesToAFasterTarget(t *testing.T) {
	l := divided(t)
	s := Samples{Service: "s", Works: []Work{
		{Target: fleet.Incarnation{ID: "1", Born: 1}, Mean: 800 * time.Millisecond}, {Target: fleet.Incarnation{ID: "2", Born: 1}, Mean: 300 * time.Millisecond},
	}}
	for range 40 {
		s.Keys = append(s.Keys, 100)
	}
	l.reg.Sampled(0, s)
	l.beat(3*time.Second, beatOf("1", 3))
	l.beat(3*time.Second, beatOf("2", 3))
	l.plan(3 * time.Second)
	for _, row := range l.rows() {
		if row.From <= 100 && row.To >= 100 && (row.Next.ID != "2" || row.From != 100 || row.To != 100) {
			t.Errorf("the hot key is in %+v, want it alone on its way to the fast target", row)
		}
	}
}

// Guards against a mean of a target's work in which one entry with a single
// request counts as much as one with many, and against values that no request has.
func TestWorkIsAveragedOverRequests(t *testing.T) {
	target := fleet.Incarnation{ID: "1", Born: 1}
	s := Samples{Works: []Work{{Target: target, Mean: time.Second, Count: 30}}}
	s.Add(Samples{Works: []Work{{Target: target, Mean: 4 * time.Second, Count: 1}}})
	var o observed
	o = o.take(s.Works[0])
	if got := o.mean(time.Second); got < time.Second || got > 1200*time.Millisecond {
		t.Errorf("the work is %v after 30 requests of 1s and one of 4s", got)
	}
	for range 10 {
		o = o.take(Work{Target: target, Mean: 300 * time.Millisecond, Count: 20})
	}
	if got := o.mean(time.Second); got > 400*time.Millisecond {
		t.Errorf("the work is %v after 200 requests of 300ms", got)
	}
	for _, w := range []Work{{Mean: -1 << 63, Count: 1 << 62}, {Mean: 1<<63 - 1, Count: -5}} {
		o = o.take(w)
	}
	if got := o.mean(time.Second); got < 0 || got > longestWork || o.count > workMemory+maxWorkCount {
		t.Errorf("the work is %v of %v requests after values out of range", got, o.count)
	}
}

// Guards against entries that start later and take every target that was ever
// cold for cold again.
func TestWarmTargetsAreRecorded(t *testing.T) {
	l := newLeader(t)
	cold := beatOf("1", 1)
	cold.Target.ColdFor = 3 * time.Second
	l.beat(0, cold)
	for i, now := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		b := beatOf("1", int64(i+2))
		b.Target.ColdFor = max(0, 3*time.Second-now)
		l.beat(now, b)
		got, _ := l.state.Target("1")
		if warm := got.ColdFor == 0; warm != (now > 3*time.Second) {
			t.Errorf("at %v the state says cold for %v", now, got.ColdFor)
		}
	}
}

// Guards against busy keys, which are close to one another, that are all held by
// one target: they must be spread before anybody knows that they are busy. As
// many neighbouring rows as there are targets must have as many holders.
func TestNeighbouringKeysHaveManyHolders(t *testing.T) {
	for _, targets := range []int{12, 120, 194} {
		l := newLeader(t)
		l.reg.parts = 0
		for i := range targets {
			l.beat(0, beatOf(fmt.Sprint(i), 1))
		}
		l.plan(settleTime)
		rows := l.rows()
		if len(rows) < 2*targets {
			t.Errorf("%d targets: %d rows, want several of each", targets, len(rows))
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

// Guards against answers to heartbeats above the 4 KiB that targets take.
func TestFirstDivisionLeavesRoomInAnswers(t *testing.T) {
	for _, targets := range []int{1, 3, 12, 194, 5000} {
		var shard fleet.Shard
		var list []fleet.Incarnation
		for i := range targets {
			list = append(list, fleet.Incarnation{ID: fmt.Sprint(i), Born: 1})
		}
		divide(&shard, list, 0)
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
			if n > maxHeld {
				t.Errorf("%d targets: %s holds %d rows, %d fit into an answer", targets, in.ID, n, maxHeld)
			}
		}
	}
}

// Guards against a target that joins and serves next to nothing, and against one
// that takes all rows of another.
func TestTargetThatJoinsGetsItsShare(t *testing.T) {
	l := newLeader(t)
	l.reg.parts = 0
	for i := range 12 {
		l.beat(0, beatOf(fmt.Sprint(i), 1))
	}
	l.plan(settleTime)
	for i := range 12 {
		l.beat(settleTime, beatOf(fmt.Sprint(i), 2))
	}
	l.beat(2*time.Second, beatOf("new", 1))
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
		t.Errorf("%d keys go to the target that joined, an equal share is %d", coming, equal)
	}
	for id, n := range kept {
		if n < equal*9/10 {
			t.Errorf("target %s keeps %d keys, an equal share is %d", id, n, equal)
		}
	}
}

// Guards against keys that are dealt out while the targets of a first start still
// announce themselves, and moved to the later ones right after.
func TestDivisionAwaitsTheFirstTargets(t *testing.T) {
	l := newLeader(t)
	const gap = 300 * time.Millisecond
	now := time.Duration(0)
	for i := range 8 {
		now = time.Duration(i) * gap
		l.beat(now, beatOf(fmt.Sprint(i), 1))
		if l.plan(now); len(l.rows()) != 0 {
			t.Fatalf("keys are divided after %v with %d of 8 targets", now, i+1)
		}
	}
	for i := range 8 {
		l.beat(now, beatOf(fmt.Sprint(i), 2))
	}
	for end := now + settleQuiet; now < end; now += gap {
		l.plan(now)
	}
	l.plan(now)
	holders := map[string]bool{}
	for _, row := range l.rows() {
		holders[row.Holder.ID] = true
	}
	if len(holders) != 8 {
		t.Errorf("%d of 8 targets hold keys once no other joins", len(holders))
	}
	endless := newLeader(t)
	for i := range 30 {
		at := time.Duration(i) * gap
		endless.beat(at, beatOf(fmt.Sprint(i), 1))
		if endless.plan(at); at >= settleMost && len(endless.rows()) == 0 {
			t.Fatalf("no keys are divided after %v while targets keep joining", at)
		}
	}
}

// Guards against two holders of a key: a silent target is heard again after its
// rows were planned away and before that is committed.
func TestHolderHeardDuringAPlanGetsNothing(t *testing.T) {
	l := divided(t)
	now := settleTime
	seq := int64(3)
	var plan []fleet.Command
	for len(plan) == 0 {
		now += 100 * time.Millisecond
		l.beat(now, beatOf("2", seq))
		seq++
		plan = l.reg.Plan(now, l.state)
		if now > time.Minute {
			t.Fatal("the rows of the silent target are never planned away")
		}
	}
	grant := l.beat(now+10*time.Millisecond, beatOf("1", 9))
	l.commit(plan...)
	if len(grant.Rows) > 0 {
		t.Errorf("the silent target was granted %+v while they are given to another one", grant.Rows)
	}
	later := l.beat(now+takenFor+time.Second, beatOf("1", 10))
	if !later.Renew {
		t.Error("the target gets no grants after the plan is in force")
	}
}
