package experiment

import (
	"fmt"
	"io"
	"time"
)

// Parameters of the measurement of a ramp.
const (
	rampBucket = 250 * time.Millisecond
	// rampWindow is the number of buckets over which a rate is measured.
	rampWindow = 4
	// rampSettled is the number of buckets at the end from which the fair share comes.
	rampSettled = 24
	// fairPart is the part of the fair share from which a target counts as in use.
	fairPart = 0.8
	// rampWarmup is the time at the start in which entries learn the targets.
	rampWarmup = 2 * time.Second
	// rampSpan is the time after the end of a disturbance whose requests count as those
	// of the ramp.
	rampSpan = 8 * time.Second
)

// Ramp is how disturbed targets came to their fair share.
type Ramp struct {
	// FirstRequest is the time from the end of the disturbance until each target had a
	// request, and FairShare that until they had 0.8 of their later rate for a second.
	FirstRequest, FairShare time.Duration
	// Overshoot is the highest rate in a second, relative to the later rate.
	Overshoot float64
	// Refused and Late are the shares of the requests that arrived within 8 s after the
	// disturbance, and LateThere the share of late ones of those sent to disturbed
	// targets. WhileDisturbed and Before are the shares of late or refused ones during the
	// disturbance and from 2 s on until its start.
	Refused, Late, LateThere, WhileDisturbed, Before float64
}

// deliveries counts the requests around a disturbance.
type deliveries struct {
	disturbance                                                Disturbance
	targets                                                    int
	first                                                      map[int]time.Duration
	buckets                                                    []int
	ended, refused, late                                       int
	endedThere, lateThere                                      int
	endedBefore, failedBefore, endedDisturbed, failedDisturbed int
}

// deliver counts a request that arrives at its target.
func (d *deliveries) deliver(now time.Duration, q *request) {
	if d.targets == 0 || !q.target.disturbed || now < d.disturbance.To {
		return
	}
	if d.first == nil {
		d.first = make(map[int]time.Duration)
	}
	if _, ok := d.first[q.target.index]; !ok {
		d.first[q.target.index] = now - d.disturbance.To
	}
	n := int((now - d.disturbance.To) / rampBucket)
	for len(d.buckets) <= n {
		d.buckets = append(d.buckets, 0)
	}
	d.buckets[n]++
}

// end counts a request that ended.
func (d *deliveries) end(q *request, how end, took time.Duration) {
	late := how == endLost || how == endServed && took > q.class.LatencyObjective
	switch since := q.arrived - d.disturbance.To; {
	case d.targets == 0 || since > rampSpan:
	case since >= 0:
		d.ended++
		if how == endRefused {
			d.refused++
		}
		if late {
			d.late++
		}
		if q.target != nil && q.target.disturbed && how != endRefused {
			d.endedThere++
			if late {
				d.lateThere++
			}
		}
	case q.arrived < d.disturbance.From && q.arrived > rampWarmup:
		d.endedBefore++
		if late || how == endRefused {
			d.failedBefore++
		}
	case q.arrived >= d.disturbance.From:
		d.endedDisturbed++
		if late || how == endRefused {
			d.failedDisturbed++
		}
	}
}

// ramp returns the ramp.
func (d *deliveries) ramp() (r Ramp) {
	// The last buckets hold the end of the load.
	n := len(d.buckets) - 2*rampWindow
	if d.targets == 0 || n < rampSettled {
		return r
	}
	for _, at := range d.first {
		r.FirstRequest = max(r.FirstRequest, at)
	}
	if len(d.first) < d.targets {
		r.FirstRequest = time.Duration(n) * rampBucket
	}
	settled := 0
	for _, count := range d.buckets[n-rampSettled : n] {
		settled += count
	}
	fair := float64(settled) / rampSettled * rampWindow
	for i := range n - rampWindow + 1 {
		sum := 0
		for _, count := range d.buckets[i : i+rampWindow] {
			sum += count
		}
		if r.FairShare == 0 && float64(sum) >= fairPart*fair {
			r.FairShare = time.Duration(i) * rampBucket
			if i == 0 {
				r.FairShare = 1
			}
		}
		r.Overshoot = max(r.Overshoot, float64(sum)/fair)
	}
	r.Refused, r.Late = share(d.refused, d.ended), share(d.late, d.ended)
	r.LateThere, r.WhileDisturbed = share(d.lateThere, d.endedThere), share(d.failedDisturbed, d.endedDisturbed)
	r.Before = share(d.failedBefore, d.endedBefore)
	return r
}

// plus returns the sum of r and the part of other that it has in the mean of count ramps.
func (r Ramp) plus(other Ramp, count int) Ramp {
	n := float64(count)
	r.FirstRequest += other.FirstRequest / time.Duration(count)
	r.FairShare += other.FairShare / time.Duration(count)
	r.Overshoot += other.Overshoot / n
	r.Refused += other.Refused / n
	r.Late += other.Late / n
	r.LateThere += other.LateThere / n
	r.WhileDisturbed += other.WhileDisturbed / n
	r.Before += other.Before / n
	return r
}

// RampRow is the mean ramp of one policy on one pattern, and Credit the mean credit.
type RampRow struct {
	Pattern, Policy string
	Ramp            Ramp
	Credit          float64
}

// CompareSlowStart simulates a pattern with and without slow start, for the given number
// of seeds from seed on.
func CompareSlowStart(p Pattern, seed uint64, seeds int) (rows []RampRow) {
	for _, named := range []NamedPolicy{{"no slow start", WithoutSlowStart}, {"slow start", Product}} {
		row := RampRow{Pattern: p.Name, Policy: named.Name}
		for i := range seeds {
			r := Run(p, named.Policy, seed+uint64(i))
			row.Ramp, row.Credit = row.Ramp.plus(r.Ramp, seeds), row.Credit+r.Credit/float64(seeds)
		}
		rows = append(rows, row)
	}
	return rows
}

// WriteRamps writes rows as a Markdown table, with times in ms. It returns the first error
// of the writer.
func WriteRamps(w io.Writer, rows []RampRow) error {
	_, err := fmt.Fprint(w, "| pattern | policy | first request | fair share | highest rate | refused | late | late there | failed while disturbed | failed before | credit |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		if err != nil {
			return err
		}
		r := row.Ramp
		_, err = fmt.Fprintf(w, "| %s | %s | %d | %d | %.2f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |\n", row.Pattern, row.Policy,
			r.FirstRequest.Milliseconds(), r.FairShare.Milliseconds(), r.Overshoot, r.Refused, r.Late, r.LateThere, r.WhileDisturbed, r.Before, row.Credit)
	}
	return err
}
