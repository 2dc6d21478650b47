package experiment

import (
	"math"
	"time"
)

// peakFactor returns the highest value of waveFactor.
func (p Pattern) peakFactor() float64 { return 1 + p.WaveSwing }

// waveFactor returns the rate of a data centre relative to its mean rate.
func (p Pattern) waveFactor(now time.Duration, dataCentre int) float64 {
	if p.WaveSwing == 0 {
		return 1
	}
	phase := now.Seconds()/p.WavePeriod.Seconds() + p.WaveShift*float64(dataCentre)
	return 1 + p.WaveSwing*math.Sin(2*math.Pi*phase)
}
