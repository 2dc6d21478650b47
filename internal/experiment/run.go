package experiment

import (
	"container/heap"
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// event is a function that runs at a point of virtual time.
type event struct {
	at  time.Duration
	run func()
}

// events is a heap of events, ordered by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// run is one simulation.
type run struct {
	f      *fleet
	policy Policy
	queue  events
	now    time.Duration
	result Result
}

// Run simulates a pattern under a policy and returns its results.
func Run(p Pattern, policy Policy, seed uint64) Result {
	r := &run{f: newFleet(p, seed), policy: policy, result: newResult()}
	r.schedule(0, r.updateNoise)
	r.schedule(0, r.arrive)
	for _, o := range p.Outages {
		r.schedule(o.From, func() { r.f.startOutage(o) })
		r.schedule(o.To, func() { r.f.endOutage(o) })
	}
	r.scheduleDisturbance()
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.run()
	}
	r.result.finish()
	return r.result
}

// schedule adds an event.
func (r *run) schedule(at time.Duration, do func()) { heap.Push(&r.queue, event{at, do}) }

// updateNoise draws the noise of the targets again at regular times.
func (r *run) updateNoise() {
	r.f.drawNoise()
	if r.now < r.f.pattern.Length {
		r.schedule(r.now+r.f.pattern.NoiseEvery, r.updateNoise)
	}
}

// arrive generates a request and schedules the arrival of the next one.
func (r *run) arrive() {
	p := r.f.pattern
	rate := p.PerSecond
	if p.BurstFactor > 0 && r.now >= p.BurstFrom && r.now < p.BurstFrom+p.BurstFor {
		rate *= p.BurstFactor
	}
	rate *= p.peakFactor()
	if next := r.now + time.Duration(r.f.rng.ExpFloat64()/rate*float64(time.Second)); next < p.Length {
		r.schedule(next, r.arrive)
	}
	class, e := r.f.drawClass(), r.f.drawEntry()
	if p.WaveSwing > 0 && r.f.rng.Float64()*p.peakFactor() > p.waveFactor(r.now, e.dataCentre) {
		return
	}
	r.result.arrived++
	r.send(&request{entry: e, class: class, arrived: r.now, work: r.f.drawWork(class)})
}

// scene returns the input of the policy for a request.
func (r *run) scene(q *request) *PolicyInput {
	f, e := r.f, q.entry
	s := &PolicyInput{Now: r.now, Class: q.class, Waited: r.now - q.arrived, Refused: len(q.refusedBy) > 0, entry: e, fleet: f}
	for i, t := range f.targets {
		cold := f.pattern.ColdRate > 0 && r.now < t.coldUntil
		if t.absent || e.stats[i].Blocked(r.now) || slices.Contains(q.refusedBy, i) || cold && !r.coldReady(e, t) {
			continue
		}
		d := f.distance(e, t)
		s.Candidates = append(s.Candidates, placement.Candidate{
			Stats: &e.stats[i], Slots: f.pattern.Slots, Distance: d, OutsideSubset: d != placement.OtherRegion && !e.preferred[t.id], Explore: !q.class.Unsafe, Cold: cold,
		})
		s.TargetIndexes = append(s.TargetIndexes, i)
	}
	return s
}

// maxTries is the number of further targets that a request is sent to after a
// target refused it.
const maxTries = 3

// send sends the request to the target that the policy chooses, or refuses it.
func (r *run) send(q *request) {
	f, e := r.f, q.entry
	s := r.scene(q)
	i := -1
	if len(q.refusedBy) <= maxTries {
		i = r.policy(s)
	}
	if i < 0 && s.HoldUntil > r.now && s.HoldUntil-q.arrived < q.class.Timeout {
		r.schedule(s.HoldUntil, func() { r.send(q) })
		return
	}
	if i < 0 {
		r.refuse(q, s.ReturnAt)
		return
	}
	q.target, q.sent = f.targets[s.TargetIndexes[i]], r.now
	e.stats[q.target.index].Started()
	e.throttles[q.target.index].Take(r.now)
	e.slow[q.target.index].Sent(r.now)
	if s.Candidates[i].Cold {
		e.stats[q.target.index].AllowCold(r.now, f.coldInterval(e, q.target))
	}
	r.result.countAttempt(s.Candidates[i], r.connect(e, q.target))
	r.schedule(r.now+f.delay(e, q.target), func() { r.deliver(q) })
}

// Bounds of the random retry delay after a refusal, as the gateway sends it:
// retryMin plus up to retrySpread.
const (
	retryMin    = 250 * time.Millisecond
	retrySpread = 350 * time.Millisecond
)

// refuse refuses a request. The caller retries at a random entry of the same data
// centre while it has retries and time left. returnAt is when a target accepts
// requests again, or 0.
func (r *run) refuse(q *request, returnAt time.Duration) {
	wait := r.retryDelay(q, returnAt)
	if q.retries >= q.class.Retries || r.now+wait-q.arrived > q.class.Timeout {
		r.result.add(q, endRefused, 0)
		return
	}
	q.retries++
	q.refusedBy = nil
	q.entry = r.f.byDataCentre[q.entry.dataCentre][r.f.rng.IntN(len(r.f.byDataCentre[q.entry.dataCentre]))]
	r.schedule(r.now+wait, func() { r.send(q) })
}

// connect takes an idle connection to the target, if there is one, and reports
// whether a new connection is needed.
func (r *run) connect(e *entry, t *target) bool {
	idle := e.idle[t.index]
	if n := len(idle); n > 0 && r.now-idle[n-1] <= r.f.pattern.IdleTimeout {
		e.idle[t.index] = idle[:n-1]
		return false
	}
	e.idle[t.index] = nil
	return true
}

// deliver handles the arrival of a request at its target.
func (r *run) deliver(q *request) {
	p := r.f.pattern
	r.result.disturbance.deliver(r.now, q)
	pause := p.Pauses.left(r.now, q.target.index, len(r.f.targets))
	switch {
	case q.target.lost:
		r.handleUnreachable(q)
	case pause > 0:
		r.refusePaused(q, pause)
	case q.target.running < p.Slots:
		r.execute(q)
	case len(q.target.waiting) < p.Queue:
		q.target.waiting = append(q.target.waiting, q)
	default:
		r.respond(q, true)
	}
}

// unreachableBlockTime is how long an entry sends nothing to a target that was
// unreachable.
const unreachableBlockTime = time.Second

// handleUnreachable blocks the unreachable target of a request for a time and
// sends the request to another one.
func (r *run) handleUnreachable(q *request) {
	t := &q.entry.stats[q.target.index]
	t.Ended()
	t.Block(r.now + unreachableBlockTime)
	r.checkUntilHealthy(q.entry, q.target)
	r.send(q)
}

// execute runs a request at its target.
func (r *run) execute(q *request) {
	t, p := q.target, r.f.pattern
	t.running++
	fill := float64(t.running) / float64(p.Slots)
	factor := t.speed * t.noise * t.slowness * t.slowdown(r.now, p.Limits.of(r.now, t.index)) * (1 + p.FullLoadSlowdown*fill*fill*fill*fill)
	if r.now < t.coldUntil {
		factor *= p.coldFactor()
	}
	r.schedule(r.now+time.Duration(float64(q.work)*factor), func() {
		t.running--
		// Targets drop waiting requests whose callers have timed out.
		for len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			if r.now-next.arrived < next.class.Timeout {
				r.execute(next)
				break
			}
			r.drop(next)
		}
		r.respond(q, false)
	})
}

// drop ends a waiting request whose caller has timed out.
func (r *run) drop(q *request) {
	q.entry.stats[q.target.index].Ended()
	r.result.add(q, endLost, 0)
}

// respond sends a response, or a refusal, back to the entry.
func (r *run) respond(q *request, refused bool) {
	l := q.target.load(r.f.pattern.Slots)
	r.schedule(r.now+r.f.delay(q.entry, q.target), func() { r.receive(q, l, refused) })
}

// receive handles a response, or a refusal, at the entry. A refused request is
// sent to another target.
func (r *run) receive(q *request, l placement.Load, refused bool) {
	t := &q.entry.stats[q.target.index]
	t.Ended()
	r.learnLimit(q)
	q.entry.pressure.AddReport(r.now, l)
	q.entry.proportional.addReport(l)
	q.entry.idle[q.target.index] = append(q.entry.idle[q.target.index], r.now)
	if refused {
		t.AddReport(r.now, l)
		t.Refused()
		q.entry.slow[q.target.index].Responded(r.now, q.sent, r.f.capacity(q), placement.Failed)
		q.refusedBy = append(q.refusedBy, q.target.index)
		r.send(q)
		return
	}
	r.learnPace(q, l)
	t.Succeeded(r.now, r.now-q.sent, q.class.ServiceTime, r.f.pattern.Slots)
	t.AddReport(r.now, l)
	r.noteRecovery(q)
	r.result.add(q, endServed, r.now-q.arrived)
}
