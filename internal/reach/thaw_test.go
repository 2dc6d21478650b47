package reach

import (
	"testing"
	"time"
)

// Guards against an entry VM that takes itself for isolated because it was frozen
// during a check.
func TestCheckThatWasInterruptedDoesNotIsolate(t *testing.T) {
	p := NewPath()
	if !lose(p, time.Second, minLost) {
		t.Fatal("no check although targets are lost")
	}
	thawed := 6 * time.Second
	if p.Checked(thawed, Result{Tried: 6}) {
		t.Error("isolated by a check whose connections had no time")
	}
	if !lose(p, thawed+recheckInterval, minLost) || !p.Checked(thawed+2*recheckInterval, Result{Tried: 6}) {
		t.Error("not isolated by the next check")
	}
}
