package experiment

import (
	"strings"
	"testing"
	"time"
)

// pattern returns a pattern by its name, cut to a length that keeps tests short.
func pattern(t *testing.T, name string, length time.Duration) Pattern {
	t.Helper()
	for _, p := range Patterns() {
		if p.Name == name {
			p.Length = length
			return p
		}
	}
	t.Fatalf("no pattern %q", name)
	return Pattern{}
}

// overloaded is a sustained load above what the targets can carry.
func overloaded(t *testing.T, name string, length time.Duration) Pattern {
	p := pattern(t, name, length)
	p.Burst = 0
	p.PerSecond *= 1.25
	return p
}

// minGain is the share of all credit that a policy must gain over the one that
// it replaced: the users count differences below 0.03 as noise.
const minGain = 0.03

// Guards against targets that look empty because the entry has not used them:
// under overload requests would leave their region for targets that are as full,
// and open a connection each.
func TestUnknownTargetsCountAsUsual(t *testing.T) {
	p := overloaded(t, "ledger grown, overload", 8*time.Second)
	before, after := Run(p, WithoutNorms, 1), Run(p, Product, 1)
	t.Logf("other region %.3f, now %.3f; new connections %.3f, now %.3f", before.OtherRegion, after.OtherRegion, before.Dials, after.Dials)
	if after.OtherRegion > before.OtherRegion/2 {
		t.Errorf("%.3f of the requests leave their region, %.3f do without norms", after.OtherRegion, before.OtherRegion)
	}
	if after.Credit < before.Credit-minGain {
		t.Errorf("credit %.3f, without norms %.3f", after.Credit, before.Credit)
	}
}

// Guards against a product policy that is worse than taking targets in turn.
func TestProductBeatsRoundRobin(t *testing.T) {
	for _, p := range Patterns() {
		if !strings.HasPrefix(p.Name, "ledger,") {
			continue
		}
		p.Length = 14 * time.Second
		before, after := Run(p, RoundRobin, 2), Run(p, Product, 2)
		if after.Credit < before.Credit+minGain {
			t.Errorf("%s: credit %.3f, round robin has %.3f", p.Name, after.Credit, before.Credit)
		}
	}
}

// Guards against a model that loses requests or counts one twice.
func TestEveryRequestHasOneEnd(t *testing.T) {
	r := Run(overloaded(t, "ledger, data centre lost", 12*time.Second), Product, 3)
	if r.Asked == 0 || r.Asked != r.arrived {
		t.Errorf("%d requests arrived, %d ended", r.arrived, r.Asked)
	}
	if r.served > r.Asked || r.within > r.served {
		t.Errorf("%d asked, %d served, %d in their aim", r.Asked, r.served, r.within)
	}
}

// Guards against reports that cannot be written.
func TestReports(t *testing.T) {
	p := pattern(t, "ledger, calm", 4*time.Second)
	rows := Compare(p, 1)
	var table, plot strings.Builder
	if err := WriteTable(&table, rows); err != nil {
		t.Fatal(err)
	}
	if err := WritePlot(&plot, rows); err != nil {
		t.Fatal(err)
	}
	if strings.Count(table.String(), "\n") != 2+len(Policies()) || !strings.Contains(plot.String(), "</svg>") {
		t.Errorf("table %q, plot of %d bytes", table.String(), plot.Len())
	}
}
