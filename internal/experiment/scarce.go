package experiment

import "time"

// ScarcePatterns returns loads that exceed what the targets of a service can carry by
// much or for long: transfers that only two of three regions may run, and lookups whose
// rate rises and falls in waves that reach the data centres one after the other. The
// figures are those of a user; the slowdown at full load is an assumption.
func ScarcePatterns() []Pattern {
	transfers := Pattern{
		Name: "transfers", Slots: 4, Queue: 16, Speeds: []float64{0.6, 1, 1.4}, NoiseShare: 0.2, NoiseFactor: 3, NoiseEvery: 400 * time.Millisecond,
		FullLoadSlowdown: 0.3, PerSecond: 494,
		Classes: []Class{{
			Name: "owner-transfer", Share: 1, ServiceTime: 230 * time.Millisecond, Spread: 0.5, LatencyObjective: 800 * time.Millisecond, Timeout: 2500 * time.Millisecond,
			Credit: 2, LateCredit: 0.6, Retries: 2, Unsafe: true,
		}},
		ZoneDelay: 900 * time.Microsecond, RegionDelay: 8 * time.Millisecond, IdleTimeout: 6 * time.Second, Length: 34 * time.Second,
		DataCentres: dataCentres(3, 2, []int{12, 14, 14, 14, 11, 11}, []int{12, 12, 12, 12, 0, 0}),
		WaveSwing:   0.55, WaveShift: 0.08, WavePeriod: 17 * time.Second,
	}
	lookups := transfers
	lookups.Name, lookups.PerSecond, lookups.Speeds = "lookups", 988, []float64{0.7, 0.7, 1.7}
	lookups.Classes = []Class{{
		Name: "plate-lookup", Share: 1, ServiceTime: 180 * time.Millisecond, Spread: 0.5, LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second,
		Credit: 1, LateCredit: 0.3, Retries: 2,
	}}
	lookups.DataCentres = dataCentres(3, 2, []int{12, 14, 14, 14, 11, 11}, []int{19, 22, 17, 18, 19, 16})
	var patterns []Pattern
	for _, base := range []Pattern{transfers, lookups} {
		waves, burst, sustained := base, base, base
		waves.Name += ", waves"
		burst.Name += ", waves and a burst"
		burst.BurstFrom, burst.BurstFor, burst.BurstFactor = 8*time.Second, 5*time.Second, 1.8
		sustained.Name += ", twice the stated rate"
		sustained.PerSecond *= 2
		patterns = append(patterns, waves, burst, sustained)
	}
	return patterns
}
