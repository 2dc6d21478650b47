package admission

import (
	"fmt"
	"testing"
)

// recordCrashes records crashes of targets numbered from first on, with all
// fingerprints in flight at each.
func recordCrashes(c *Crashes, first, n int, fingerprints ...uint64) {
	for i := range n {
		for _, f := range fingerprints {
			c.RecordAmbiguousCrash(0, f, fmt.Sprint("t", first+i), 1)
		}
	}
}

// Guards against refusing a sound request for good because it was in flight at three
// crashes that another request caused: nobody sends it, so nothing clears it.
func TestCrashesOfARefusedRequestDoNotCountAgainstOthers(t *testing.T) {
	c := NewCrashesForSharedTargets()
	const crasher, read = 1, 2
	recordCrashes(c, 0, 3, crasher, read)
	if !c.Refused(0, crasher) || !c.Refused(0, read) {
		t.Error("requests that can't be told apart aren't both refused")
	}
	recordCrashes(c, 3, 1, crasher)
	if !c.Refused(0, crasher) || c.Refused(0, read) {
		t.Error("the request with more crashes isn't refused alone")
	}
	if !c.MustRunAlone(0, read) {
		t.Error("the other request is no longer suspected")
	}
	recordCrashes(c, 10, 1, read)
	if !c.Refused(0, read) {
		t.Error("a request that crashed a target on its own isn't refused")
	}
}

// Guards against a request that is sent on because the crashes of another one, which
// was cleared since, seemed to explain its own.
func TestClearedRequestExplainsNoCrashes(t *testing.T) {
	c := NewCrashesForSharedTargets()
	recordCrashes(c, 0, 3, 1, 2)
	recordCrashes(c, 3, 1, 1)
	if c.Refused(0, 2) {
		t.Fatal("the crashes aren't explained by the other request")
	}
	c.Clear(1)
	if !c.Refused(0, 2) {
		t.Error("refused no longer although nothing else explains its crashes")
	}
}

// Guards against two requests that crash targets and clear each other.
func TestEachOfTwoCrashersIsRefused(t *testing.T) {
	c := NewCrashesForSharedTargets()
	recordCrashes(c, 0, 4, 1)
	recordCrashes(c, 2, 4, 2)
	recordCrashes(c, 10, 5, 3)
	if !c.Refused(0, 1) || !c.Refused(0, 2) || !c.Refused(0, 3) {
		t.Error("a request that crashed targets on its own isn't refused")
	}
}
