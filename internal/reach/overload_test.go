package reach

import (
	"testing"
	"time"
)

// Guards against an entry VM that takes overloaded targets, which reset most new
// connections, for a broken path.
func TestOverloadedTargetsDoNotIsolate(t *testing.T) {
	p := NewPath()
	lose(p, time.Second, minLost)
	if p.Checked(time.Second, Result{Tried: 6, Refused: 6, Accepted: true}) {
		t.Error("isolated although a target accepted a connection a moment ago")
	}
	if !p.BeginCheck(2*time.Second) || !p.Checked(2*time.Second, Result{Tried: 6, Refused: 6}) {
		t.Error("not isolated although no target accepts a connection any more")
	}
}
