// Package experiment simulates load patterns on whole deployments in virtual time
// and compares the decisions of package placement with those of baseline policies.
// It models targets with slots, queues, speeds, noisy neighbours, network
// distances and connections.
package experiment

import "time"

// DataCentre is a data centre with its entries and targets.
type DataCentre struct {
	Name, Region     string
	Entries, Targets int
	// Share is the fraction of the deployment's requests that arrive here.
	Share float64
}

// Class is a kind of request.
type Class struct {
	Name string
	// Share is the fraction of all requests that are of the class.
	Share float64
	// ServiceTime is the mean service time at a target of speed 1, Spread the standard
	// deviation of its logarithm.
	ServiceTime time.Duration
	Spread      float64
	// LatencyObjective is the latency objective of the class. A response within it earns Credit, a
	// later one LateCredit, and one after Timeout nothing.
	LatencyObjective, Timeout time.Duration
	Credit, LateCredit        float64
	// Retries is the maximum number of retries after a refusal.
	Retries int
	// Urgent requests have priority over others of the pattern.
	Urgent bool
	// Unsafe requests must run at most once. They are not used to explore targets
	// whose state is unknown.
	Unsafe bool
}

// Outage is a period in which all targets of a data centre are unreachable. They
// are slow for some time after it.
type Outage struct {
	// DataCentre is the index of the data centre.
	DataCentre int
	// From and To are the start and the end of the outage.
	From, To time.Duration
	// ColdFor is how long after To the targets are slower by ColdFactor.
	ColdFor    time.Duration
	ColdFactor float64
}

// Pattern is a load on the targets of one service.
type Pattern struct {
	Name        string
	DataCentres []DataCentre
	// Slots is the number of requests that a target runs at once, Queue the maximum
	// number that waits there.
	Slots, Queue int
	// Speeds are factors on the service time of targets, assigned round-robin. A
	// higher factor is slower.
	Speeds []float64
	// NoiseShare is the fraction of targets that is slower by NoiseFactor. The
	// targets are drawn again every NoiseEvery.
	NoiseShare, NoiseFactor float64
	NoiseEvery              time.Duration
	// FullLoadSlowdown is the slowdown of a target whose slots are all in use: its service
	// times are longer by this fraction.
	FullLoadSlowdown float64
	// PerSecond is the rate of requests of all classes.
	PerSecond float64
	Classes   []Class
	// Disturbance is a disturbance of some targets, if it has an end.
	Disturbance Disturbance
	// ColdRate is the requests per second that a cold target takes before the deployment's
	// factor and slack; 0 leaves entries without knowledge of cold targets.
	ColdRate float64
	// Outages are the periods in which targets of a data centre are unreachable.
	Outages []Outage
	// Pauses are the times in which targets refuse all requests.
	Pauses Pauses
	// Limits are the rates that targets name.
	Limits Limits
	// BurstFactor is a factor on the rate from BurstFrom, for the time BurstFor; 0 is no
	// burst.
	BurstFrom, BurstFor time.Duration
	BurstFactor         float64
	// WaveSwing and WavePeriod describe a rate that rises and falls around PerSecond by the
	// fraction WaveSwing; the data centres of the list follow each other, WaveShift of a
	// period apart. A swing of 0 is a steady rate.
	WaveSwing, WaveShift float64
	WavePeriod           time.Duration
	// ZoneDelay is the one-way delay to another data centre of the region,
	// RegionDelay that to another region.
	ZoneDelay, RegionDelay time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// Length is the time in which requests arrive.
	Length time.Duration
}

// Request classes of the users' services whose keys are not assigned to targets.
var (
	ledgerClasses = []Class{
		{Name: "balance-view", Share: 0.64, ServiceTime: 220 * time.Millisecond, Spread: 0.6, LatencyObjective: 600 * time.Millisecond, Timeout: 1500 * time.Millisecond, Credit: 1, LateCredit: 0.3, Retries: 1},
		{Name: "dues-post", Share: 0.36, ServiceTime: 290 * time.Millisecond, Spread: 0.6, LatencyObjective: 800 * time.Millisecond, Timeout: 2 * time.Second, Credit: 2, LateCredit: 0.6, Retries: 1, Unsafe: true, Urgent: true},
	}
	grownLedgerClasses = []Class{
		{Name: "balance-view", Share: 0.64, ServiceTime: 310 * time.Millisecond, Spread: 0.6, LatencyObjective: time.Second, Timeout: 2500 * time.Millisecond, Credit: 1, LateCredit: 0.3, Retries: 1},
		{Name: "dues-post", Share: 0.36, ServiceTime: 400 * time.Millisecond, Spread: 0.6, LatencyObjective: 1200 * time.Millisecond, Timeout: 3 * time.Second, Credit: 2, LateCredit: 0.6, Retries: 1, Unsafe: true, Urgent: true},
	}
	grownSparesClasses = []Class{
		{Name: "stock-lookup", Share: 0.715, ServiceTime: 320 * time.Millisecond, Spread: 0.5, LatencyObjective: time.Second, Timeout: 3 * time.Second, Credit: 1, LateCredit: 0.3, Retries: 2},
		{Name: "spare-order", Share: 0.285, ServiceTime: 410 * time.Millisecond, Spread: 0.8, LatencyObjective: 1200 * time.Millisecond, Timeout: 4 * time.Second, Credit: 2, LateCredit: 0.6, Retries: 2, Unsafe: true, Urgent: true},
	}
)

// Patterns returns the load patterns on which policies are compared. They cover
// the users' services whose keys are not assigned to targets: ledger at its
// present size, ledger and spares-desk at their expected future size. Each one
// runs below the stated rate, at it, above it with a burst, with the loss of a data
// centre, and with targets that pause half
// of the time, and with targets that name a limit. ScarcePatterns are among them.
// The figures are those of the users; the crowding is an assumption.
func Patterns() []Pattern {
	ledger := Pattern{
		Name: "ledger", Slots: 6, Queue: 24, Speeds: []float64{0.6, 1, 1.4}, NoiseShare: 0.2, NoiseFactor: 3, NoiseEvery: 400 * time.Millisecond,
		FullLoadSlowdown: 0.3, PerSecond: 187, Classes: ledgerClasses,
		ZoneDelay: 900 * time.Microsecond, RegionDelay: 8 * time.Millisecond, IdleTimeout: 6 * time.Second, Length: 24 * time.Second,
		DataCentres: dataCentres(3, 2, []int{2, 1, 2, 1, 2, 1}, []int{3, 3, 3, 3, 3, 2}),
	}
	grownLedger := ledger
	grownLedger.Name, grownLedger.PerSecond, grownLedger.Classes = "ledger grown", 1813, grownLedgerClasses
	grownLedger.DataCentres = dataCentres(3, 2, []int{12, 12, 12, 12, 12, 12}, []int{33, 33, 33, 33, 33, 32})
	spares := grownLedger
	spares.Name, spares.Slots, spares.Queue, spares.Speeds = "spares-desk grown", 4, 16, []float64{0.7, 0.7, 1.6}
	spares.PerSecond, spares.Classes, spares.ZoneDelay = 1769, grownSparesClasses, 500*time.Microsecond
	spares.DataCentres = dataCentres(3, 3, []int{11, 11, 11, 10, 11, 9, 9, 10, 9}, []int{33, 28, 30, 34, 31, 28, 32, 35, 30})
	var patterns []Pattern
	for _, base := range []Pattern{ledger, grownLedger, spares} {
		calm, high, over, lost, pausing, together := base, base, base, base, base, base
		calm.Name += ", calm"
		calm.PerSecond *= 0.6
		high.Name += ", stated"
		over.Name += ", overload"
		over.PerSecond *= 1.35
		over.BurstFrom, over.BurstFor, over.BurstFactor = 12*time.Second, 4*time.Second, 1.5
		lost.Name += ", data centre lost"
		lost.PerSecond *= 1.15
		lost.Outages = []Outage{{DataCentre: 0, From: 6 * time.Second, To: 11 * time.Second, ColdFor: 3 * time.Second, ColdFactor: 2}}
		pausing.Name += ", targets paused in turn"
		pausing.PerSecond *= 0.6
		pausing.Pauses = Pauses{Every: 2 * time.Second, For: time.Second}
		together.Name += ", targets paused together"
		together.PerSecond *= 0.4
		together.Pauses = Pauses{Every: 2 * time.Second, For: time.Second, Together: true}
		limited := base
		limited.Name += ", a third of the targets limited"
		limited.PerSecond *= 0.6
		limited.Limits = Limits{Every: 3, From: 2 * time.Second, Rate: limitOfShare * limited.PerSecond / float64(limited.targetCount())}
		patterns = append(patterns, calm, high, over, lost, pausing, together, limited)
	}
	return append(patterns, ScarcePatterns()...)
}

// limitOfShare is the limit that a target names as a part of its share of the load.
const limitOfShare = 0.4

// targetCount returns the number of targets.
func (p Pattern) targetCount() (n int) {
	for _, dataCentre := range p.DataCentres {
		n += dataCentre.Targets
	}
	return n
}

// dataCentres returns the data centres of regions, each data centre with an equal
// share of the requests.
func dataCentres(regions, each int, entries, targets []int) []DataCentre {
	var list []DataCentre
	for i := range regions * each {
		list = append(list, DataCentre{
			Name: string(rune('a' + i)), Region: string(rune('A' + i/each)),
			Entries: entries[i], Targets: targets[i], Share: 1 / float64(regions*each),
		})
	}
	return list
}
