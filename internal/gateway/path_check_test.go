package gateway

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an entry VM that opens connections to check its path while targets
// accept its connections, for example each second in an overload.
func TestPathThatWorksIsNotChecked(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed), newTarget(t, signed), newTarget(t, signed))
	if r := b.serve("/post/x", "1"); r.Err != nil {
		t.Fatal(r.Err)
	}
	dials := b.g.pool.Dials()
	b.g.mu.Lock()
	for i := range 3 {
		b.g.path.Lost(b.g.now(), fmt.Sprint("lost-", i))
	}
	b.g.checkPathIfDue(b.g.now())
	b.g.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	if got := b.g.pool.Dials(); got != dials {
		t.Errorf("%d connections opened by a check", got-dials)
	}
}
