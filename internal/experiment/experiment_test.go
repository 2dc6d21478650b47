package experiment

import (
	"strings"
	"testing"
	"time"
)

// findPattern returns the pattern with the given name, with its length set to
// length so that the test is short.
func findPattern(t *testing.T, name string, length time.Duration) Pattern {
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

// overloadedPattern returns the pattern with the given name at a constant rate
// above the capacity of its targets.
func overloadedPattern(t *testing.T, name string, length time.Duration) Pattern {
	p := findPattern(t, name, length)
	p.BurstFactor = 0
	p.PerSecond *= 1.25
	return p
}

// minGain is the least difference in credit that counts as an improvement over
// the previous policy. Users regard differences below 0.03 as noise.
const minGain = 0.03

// Guards against treating targets that the entry has not used as idle: under
// overload, requests would be sent to targets in other regions that are just as
// loaded, and each would open a new connection.
func TestUnusedTargetsCountAsAverage(t *testing.T) {
	p := overloadedPattern(t, "ledger grown, overload", 8*time.Second)
	before, after := Run(p, WithoutServiceAverages, 1), Run(p, Product, 1)
	t.Logf("other region %.3f, now %.3f; new connections %.3f, now %.3f", before.OtherRegion, after.OtherRegion, before.NewConnections, after.NewConnections)
	if after.OtherRegion > before.OtherRegion/2 {
		t.Errorf("%.3f of the requests leave their region, %.3f without service averages", after.OtherRegion, before.OtherRegion)
	}
	if after.Credit < before.Credit-minGain {
		t.Errorf("credit %.3f, without service averages %.3f", after.Credit, before.Credit)
	}
}

// Guards against a product policy that is no better than round robin.
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

// Guards against a model that loses requests or counts a request twice.
func TestEveryRequestEndsOnce(t *testing.T) {
	r := Run(overloadedPattern(t, "ledger, data centre lost", 12*time.Second), Product, 3)
	if r.Requests == 0 || r.Requests != r.arrived {
		t.Errorf("%d requests arrived, %d ended", r.arrived, r.Requests)
	}
	if r.served > r.Requests || r.within > r.served {
		t.Errorf("%d requests, %d served, %d within their latency objective", r.Requests, r.served, r.within)
	}
}

// Guards against reports that cannot be written or are incomplete.
func TestReports(t *testing.T) {
	p := findPattern(t, "ledger, calm", 4*time.Second)
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

// ordersPattern returns the load of an order service in two home regions that
// receives a fifth more requests than its targets can serve, for 24 seconds.
func ordersPattern() Pattern {
	p := Patterns()[0]
	p.Name, p.Slots, p.Queue, p.Speeds = "orders, overload", 4, 24, []float64{0.5, 1, 1.5}
	p.Classes = []Class{{
		Name: "work-order", Share: 1, ServiceTime: 420 * time.Millisecond, Spread: 0.5, LatencyObjective: 1500 * time.Millisecond, Timeout: 3 * time.Second,
		Credit: 2, LateCredit: 0.6, Retries: 1, Unsafe: true,
	}}
	p.DataCentres = dataCentres(2, 2, []int{21, 21, 21, 21}, []int{18, 17, 18, 17})
	p.PerSecond, p.Length = 560, 24*time.Second
	return p
}

// Guards against a queue that delays all orders beyond their latency objective
// and ends some of them with an unknown outcome.
func TestLoadSheddingKeepsOrdersWithinObjective(t *testing.T) {
	before, after := Run(ordersPattern(), WithoutLoadShedding, 1), Run(ordersPattern(), Product, 1)
	t.Logf("credit %.3f, now %.3f", before.Credit, after.Credit)
	if after.Credit < before.Credit+minGain {
		t.Errorf("credit %.3f, without admission %.3f", after.Credit, before.Credit)
	}
}

// Guards against refused requests when there is no overload.
func TestLoadSheddingRefusesNothingWithoutOverload(t *testing.T) {
	for _, p := range Patterns() {
		if !strings.HasSuffix(p.Name, "calm") {
			continue
		}
		p.Length = 8 * time.Second
		before, after := Run(p, WithoutLoadShedding, 1), Run(p, Product, 1)
		if after.Credit < before.Credit-minGain/3 {
			t.Errorf("%s: credit %.3f, without admission %.3f", p.Name, after.Credit, before.Credit)
		}
	}
}
