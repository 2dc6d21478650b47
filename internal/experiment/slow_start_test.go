package experiment

import (
	"strings"
	"testing"
	"time"
)

// Bounds of the mean over some seeds. Health checks of failed targets are up to 4 s apart,
// and targets are cold for 3 s.
const (
	maxFirstRequest = 4 * time.Second
	maxFairShare    = 7 * time.Second
)

// Guards against a slow start that floods targets or leaves them idle, by the deployment
// with 9 entries, and against one that costs callers more than it gains.
func TestSlowStartOfDisturbedTargets(t *testing.T) {
	for _, p := range SlowStartPatterns() {
		if !strings.Contains(p.Name, " 9 entries") {
			continue
		}
		var before, after Ramp
		var credit, creditBefore float64
		const seeds = 5
		for seed := range uint64(seeds) {
			old, now := Run(p, WithoutSlowStart, seed), Run(p, Product, seed)
			before, after = before.plus(old.Ramp, seeds), after.plus(now.Ramp, seeds)
			creditBefore, credit = creditBefore+old.Credit/seeds, credit+now.Credit/seeds
		}
		t.Logf("%s: %+v, without slow start %+v; credit %.3f, %.3f", p.Name, after, before, credit, creditBefore)
		if after.FirstRequest > maxFirstRequest {
			t.Errorf("%s: a target is idle for %v", p.Name, after.FirstRequest)
		}
		if after.FairShare > maxFairShare {
			t.Errorf("%s: the fair share takes %v", p.Name, after.FairShare)
		}
		if credit < creditBefore-minGain {
			t.Errorf("%s: credit %.3f, without slow start %.3f", p.Name, credit, creditBefore)
		}
	}
}

// Guards against limits on targets in calm operation: without a disturbance both policies
// must make the same decisions.
func TestSlowStartChangesNothingInCalmOperation(t *testing.T) {
	for _, p := range SlowStartPatterns() {
		if !strings.Contains(p.Name, " 9 entries, targets join") {
			continue
		}
		p.Disturbance, p.PerSecond = Disturbance{}, p.PerSecond*0.7
		for seed := range uint64(5) {
			before, after := Run(p, WithoutSlowStart, seed), Run(p, Product, seed)
			if before.Requests != after.Requests || before.within != after.within || before.attempts != after.attempts {
				t.Errorf("%d of %d in time with %d attempts, without slow start %d of %d with %d", after.within, after.Requests, after.attempts, before.within, before.Requests, before.attempts)
			}
		}
	}
}
