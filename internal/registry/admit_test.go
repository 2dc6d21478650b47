package registry

import (
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// others are heartbeats of other writers that resemble the target "1".
func others() map[string]func(*fleet.Target) {
	return map[string]func(*fleet.Target){
		"another ID and an unknown service at its address": func(t *fleet.Target) { t.ID, t.Service, t.StartMs = "x", "unknown", 9 },
		"another ID at its address":                        func(t *fleet.Target) { t.ID, t.StartMs = "x", 9 },
		"another ID and the same start at its address":     func(t *fleet.Target) { t.ID = "x" },
		"a later start and an unknown service":             func(t *fleet.Target) { t.Service, t.StartMs = "unknown", 9 },
		"a later start and an unknown data centre":         func(t *fleet.Target) { t.DataCentre, t.StartMs = "unknown", 9 },
		"a later start":                      func(t *fleet.Target) { t.StartMs = 9 },
		"the same start at another address":  func(t *fleet.Target) { t.Address = "10.0.0.99:1" },
		"the same start and another service": func(t *fleet.Target) { t.Service = "unknown" },
		"a leave call of a later start":      func(t *fleet.Target) { t.StartMs, t.Condition = 9, fleet.Leaving },
	}
}

// Guards against one message of an unknown sender that ends a target which goes on with
// its heartbeats: its keys would go to others while it holds them.
func TestOthersDoNotEndATarget(t *testing.T) {
	for name, change := range others() {
		l := leaderWithTwoHolders(t)
		l.reg.deployment.Regions = map[string]string{"d": "r"}
		before := l.rows()
		now := minCollectTime
		for seq := int64(3); seq < 20; seq++ {
			now += testHeartbeatInterval
			l.heartbeat(now, heartbeatOf("1", seq))
			l.heartbeat(now, heartbeatOf("2", seq))
			odd := heartbeatOf("1", 100+seq)
			change(&odd.Target)
			l.heartbeat(now+100*time.Millisecond, odd)
			l.plan(now + 200*time.Millisecond)
		}
		if got, _ := l.state.Target("1"); got.Condition != fleet.Ready || got != mustTarget(t, leaderWithTwoHolders(t), "1") {
			t.Errorf("%s: the target is %+v", name, got)
		}
		for i, row := range l.rows() {
			if row.Holder != before[i].Holder || row.Moving() {
				t.Errorf("%s: row %+v left its holder", name, row)
			}
		}
	}
}

func mustTarget(t *testing.T, l *leader, id string) fleet.Target {
	t.Helper()
	target, ok := l.state.Target(id)
	if !ok {
		t.Fatalf("target %s is not known", id)
	}
	return target
}

// Guards against an address that isn't used again in time: a target of another service
// gets the address of one that ended as soon as the address may be used again.
func TestAddressOfAnEndedTargetIsUsedAgain(t *testing.T) {
	const addrReuse = 2 * time.Second // the shortest time of the deployments
	for _, interval := range []time.Duration{870 * time.Millisecond, 1500 * time.Millisecond} {
		l := leaderWithTwoHolders(t)
		l.reg.deployment = Deployment{HeartbeatInterval: interval, Regions: map[string]string{"d": "r"}}
		next := heartbeatOf("3", 1)
		next.Target.Address, next.Target.StartMs = "10.0.0.1:1", 2
		l.heartbeat(minCollectTime+addrReuse, next)
		if got, _ := l.state.Target("3"); got.Condition != fleet.Ready {
			t.Errorf("with heartbeats each %v the next target is not in use", interval)
		}
		if got, _ := l.state.Target("1"); got.Condition != fleet.Ended {
			t.Errorf("with heartbeats each %v the ended target is %v", interval, got.Condition)
		}
	}
}

// Guards against a target that is never used again after it was taken for ended,
// although its heartbeats go on, and against a delayed heartbeat that brings one back.
func TestTargetWhoseHeartbeatsGoOnIsUsedAgain(t *testing.T) {
	l := leaderWithTwoHolders(t)
	l.reg.Revives = true
	cut := minCollectTime + 3*testHeartbeatInterval
	other := heartbeatOf("3", 1)
	other.Target.Address, other.Target.StartMs = "10.0.0.1:1", 2
	l.heartbeat(cut, other)
	if got, _ := l.state.Target("1"); got.Condition != fleet.Ended {
		t.Fatalf("the silent target is %v, want ended", got.Condition)
	}
	for seq := range int64(3) {
		if got, _ := l.state.Target("1"); got.Condition != fleet.Ended {
			t.Fatalf("the target is %v after %d heartbeats", got.Condition, seq)
		}
		l.heartbeat(cut+time.Duration(seq+2)*testHeartbeatInterval, heartbeatOf("1", 10+seq))
	}
	if got, _ := l.state.Target("1"); got.Condition != fleet.Ready {
		t.Errorf("the target is %v although its heartbeats go on", got.Condition)
	}
}

// Guards against a target whose service is added to the configuration after its first
// heartbeat and that stays unknown.
func TestTargetOfALaterServiceIsAdded(t *testing.T) {
	l := newLeader(t)
	b := heartbeatOf("1", 1)
	b.Target.Service = "later"
	l.heartbeat(0, b)
	if _, ok := l.state.Target("1"); ok {
		t.Error("a target of an unknown service is known")
	}
	l.commit(serviceCommand("later"))
	b.Seq = 2
	l.heartbeat(testHeartbeatInterval, b)
	if _, ok := l.state.Target("1"); !ok {
		t.Error("the target is not known after its service came into force")
	}
}
