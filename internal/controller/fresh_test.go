package controller

import (
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// Guards against entries that follow a replica which hears from the leader but
// has not caught up after it lost its disk.
func TestReplicaThatCatchesUpIsNotFresh(t *testing.T) {
	var f freshness
	if f.age(time.Second) != watch.Unknown {
		t.Error("a replica that heard no leader knows its age")
	}
	f.heard(time.Second, 100)
	f.applied(40)
	f.heard(2*time.Second, 120)
	if f.age(2*time.Second) != watch.Unknown {
		t.Error("a replica that applied 40 of 100 entries counts as up to date")
	}
	f.applied(100)
	if got := f.age(3 * time.Second); got != 2*time.Second {
		t.Errorf("age is %v, want the time since the leader was heard with index 100", got)
	}
	f.heard(4*time.Second, 120)
	f.applied(119)
	if got := f.age(5 * time.Second); got != 4*time.Second {
		t.Errorf("age is %v while the state lags, want 4s", got)
	}
}
