package experiment

import (
	"testing"
	"time"
)

// maxTriesShare is the largest share of the attempts without heed to pauses that
// counts as an improvement.
const maxTriesShare = 0.75

// Guards against requests that are spent on targets which have said that they
// refuse them, and against callers who pay for the heed that is taken.
func TestPausesSaveAttempts(t *testing.T) {
	for _, name := range []string{"ledger, targets paused in turn", "ledger, targets paused together"} {
		p := findPattern(t, name, 12*time.Second)
		before, after := Run(p, WithoutPauses, 1), Run(p, Product, 1)
		t.Logf("%s: %.2f tries, now %.2f; credit %.3f, now %.3f", name, before.Attempts, after.Attempts, before.Credit, after.Credit)
		if after.Attempts > maxTriesShare*before.Attempts {
			t.Errorf("%s: %.2f tries for one request, %.2f without heed to pauses", name, after.Attempts, before.Attempts)
		}
		if after.Credit < before.Credit-minGain {
			t.Errorf("%s: credit %.3f, without heed to pauses %.3f", name, after.Credit, before.Credit)
		}
	}
}

// Guards against pauses that are longer or shorter than the pattern says.
func TestPausesOfAPattern(t *testing.T) {
	p := Pauses{Every: 2 * time.Second, For: time.Second}
	for _, c := range []struct {
		now   time.Duration
		index int
		want  time.Duration
	}{{0, 0, time.Second}, {1500 * time.Millisecond, 0, 0}, {2250 * time.Millisecond, 0, 750 * time.Millisecond}, {0, 1, 0}, {time.Second, 1, time.Second}} {
		if got := p.left(c.now, c.index, 2); got != c.want {
			t.Errorf("target %d at %v is paused for %v, want %v", c.index, c.now, got, c.want)
		}
	}
}
