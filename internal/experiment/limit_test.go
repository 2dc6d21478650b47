package experiment

import (
	"testing"
	"time"
)

// Guards against limits of targets that are heeded at the cost of the callers, and
// against requests that take a target in need further down.
func TestLimitsServeCallers(t *testing.T) {
	for _, name := range []string{"ledger, a third of the targets limited", "ledger grown, a third of the targets limited"} {
		p := findPattern(t, name, 12*time.Second)
		before, after := Run(p, WithoutLimits, 1), Run(p, Product, 1)
		t.Logf("%s: in time %.3f, now %.3f; credit %.3f, now %.3f", name, before.WithinObjective, after.WithinObjective, before.Credit, after.Credit)
		if after.WithinObjective < before.WithinObjective+minGain || after.Credit < before.Credit+minGain {
			t.Errorf("%s: %.3f in time and credit %.3f, without heed to limits %.3f and %.3f", name, after.WithinObjective, after.Credit, before.WithinObjective, before.Credit)
		}
	}
}
