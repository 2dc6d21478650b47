package admission

import (
	"fmt"
	"testing"
	"time"
)

// exchange delivers the pending suspicions of every VM to all other VMs.
func exchange(now time.Duration, vms []*Crashes) {
	for i, from := range vms {
		suspicions := from.Drain()
		for j, to := range vms {
			if i != j {
				to.Merge(now, suspicions)
			}
		}
	}
}

// Guards against a request that crashes one target after another when it is sent
// again, and against refusing requests that were only in flight at the same time.
func TestCrashingRequestIsRefused(t *testing.T) {
	const crasher = 666
	bystanders := []uint64{1, 2, 3}
	vms := []*Crashes{NewCrashes(), NewCrashes(), NewCrashes()}
	crashes, refusals := 0, 0
	for resend := range 10 {
		now := time.Duration(resend) * time.Second
		vm := vms[resend%len(vms)]
		if vm.Refused(now, crasher) {
			refusals++
			continue
		}
		inFlight := []uint64{crasher}
		for _, b := range bystanders {
			if !vm.MustRunAlone(now, crasher) && !vm.MustRunAlone(now, b) {
				inFlight = append(inFlight, b)
			}
		}
		crashes++
		target := fmt.Sprintf("ledger-%d", resend%4)
		for left := inFlight; len(left) > 0; left = left[1:] {
			// Each lost request reports the requests that have not been released yet.
			vm.RecordCrash(now, target, 1, left)
		}
		exchange(now, vms)
		next := vms[(resend+1)%len(vms)]
		for _, b := range bystanders {
			if next.Refused(now, b) {
				t.Errorf("bystander %d is refused", b)
			}
			if next.MustRunAlone(now, b) {
				next.Clear(b)
			}
		}
		exchange(now, vms)
		for _, b := range bystanders {
			if next.MustRunAlone(now, b) || vm.MustRunAlone(now, b) {
				t.Errorf("bystander %d is still suspected after it ran alone", b)
			}
		}
	}
	if crashes != 2 || refusals != 8 {
		t.Errorf("%d crashes and %d refusals, want 2 and 8", crashes, refusals)
	}
}

// Guards against counting one crash twice, refusing because of ambiguous crashes
// only, refusals that never expire, and unbounded memory.
func TestCrashCountsAreBounded(t *testing.T) {
	c := NewCrashes()
	c.RecordCrash(0, "a", 1, []uint64{1})
	c.RecordCrash(0, "a", 1, []uint64{1, 1})
	c.RecordAmbiguousCrash(0, 2, "a", 1)
	c.RecordAmbiguousCrash(0, 2, "b", 1)
	if c.Refused(0, 1) || c.Refused(0, 2) {
		t.Error("refused after one crash, or because of ambiguous crashes only")
	}
	c.RecordCrash(time.Minute, "a", 2, []uint64{1})
	if !c.Refused(crashRetention+time.Minute-1, 1) || c.Refused(crashRetention+time.Minute, 1) {
		t.Error("the refusal does not last 10 minutes")
	}
	for n := range uint64(3 * maxFingerprints) {
		c.RecordCrash(time.Hour, fmt.Sprint(n), 1, []uint64{n, n + 1})
		c.RecordAmbiguousCrash(time.Hour, 7, fmt.Sprint(n), 1)
	}
	if len(c.records) > maxFingerprints || len(c.pending) > maxPending || len(c.records[7].Value.(*crashRecord).crashes) > maxCrashes {
		t.Errorf("%d fingerprints, %d pending suspicions", len(c.records), len(c.pending))
	}
	for _, class := range []Class{Interactive, Write, Batch} {
		if parsed, err := ParseClass(class.String()); err != nil || parsed != class {
			t.Errorf("class %s: %v", class, err)
		}
	}
}
