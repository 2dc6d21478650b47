package contract

import "testing"

// Guards against a change of a time limit after which a key is served again
// only after more than RecoveryLimit.
func TestRecoveryTimesAddUpToLessThanTheLimit(t *testing.T) {
	for _, r := range RecoveryTimes() {
		if total := r.Total(); total >= RecoveryLimit {
			t.Errorf("recovery from the loss of a %s takes %v, limit %v", r.Name, total, RecoveryLimit)
		}
	}
	if GrantExpiryWait <= TargetGrant || ElectedWait <= VMLease {
		t.Error("a wait does not exceed the grant or lease that it waits for")
	}
	if 2*HeartbeatInterval >= VMLease || 2*RenewInterval >= TargetGrant {
		t.Error("one lost renewal ends a lease or grant")
	}
}

// Guards against home regions that give different residencies by their order,
// and against a residency that allows a region whose name it only contains.
func TestResidencyIsCanonical(t *testing.T) {
	a, b := NewResidency([]string{"b", "a"}), NewResidency([]string{"a", "b"})
	if a != b || a != "a+b" {
		t.Fatalf("residencies %q and %q differ", a, b)
	}
	if !a.Allows("b") || a.Allows("a+b") || !NewResidency(nil).Allows("x") {
		t.Fatal("residency allows the wrong regions")
	}
}
