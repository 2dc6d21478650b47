package controller

import (
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// Guards against entry VMs that watch a replica which receives appends of the leader
// but has not caught up after it lost its disk.
func TestReplicaCatchingUpIsNotFresh(t *testing.T) {
	var f freshness
	if f.age(time.Second) != watch.UnknownAge {
		t.Error("a replica without contact to a leader has a known age")
	}
	f.appendReceived(time.Second, 100)
	f.applied(40)
	f.appendReceived(2*time.Second, 120)
	if f.age(2*time.Second) != watch.UnknownAge {
		t.Error("a replica that applied 40 of 100 entries counts as up to date")
	}
	f.applied(100)
	if got := f.age(3 * time.Second); got != 2*time.Second {
		t.Errorf("age is %v, want 2s, the time since the append with commit index 100", got)
	}
	f.appendReceived(4*time.Second, 120)
	f.applied(119)
	if got := f.age(5 * time.Second); got != 4*time.Second {
		t.Errorf("age is %v while the state lags, want 4s", got)
	}
}
