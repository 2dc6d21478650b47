package contract

import "testing"

// Guards against time limits with which the recovery from a loss takes RecoveryLimit
// or longer, a wait that ends before the lease or grant it waits for, and a lease or
// grant that ends when a single renewal is lost.
func TestRecoveryTimesAddUpToLessThanTheLimit(t *testing.T) {
	for _, r := range RecoveryTimes() {
		if total := r.Total(); total >= RecoveryLimit {
			t.Errorf("recovery from the loss of a %s takes %v, limit %v", r.Name, total, RecoveryLimit)
		}
	}
	if GrantExpiryWait <= TargetGrant || NewLeaderWait <= VMLease {
		t.Error("a wait does not exceed the grant or lease that it waits for")
	}
	if 2*HeartbeatInterval >= VMLease || 2*RenewInterval >= TargetGrant {
		t.Error("a single lost renewal ends a lease or grant")
	}
}

// Guards against a residency that depends on the order of the home regions, and
// against a residency that allows a region because its name is a substring of the
// residency.
func TestResidencyIsCanonical(t *testing.T) {
	a, b := NewResidency([]string{"b", "a"}), NewResidency([]string{"a", "b"})
	if a != b || a != "a+b" {
		t.Fatalf("residencies %q and %q differ", a, b)
	}
	if !a.Allows("b") || a.Allows("a+b") || !NewResidency(nil).Allows("x") {
		t.Fatal("residency allows the wrong regions")
	}
}
