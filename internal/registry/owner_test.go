package registry

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// holder is a target as the protocol describes it: it holds what the newest
// answer lists until the hold time since the heartbeat has passed.
type holder struct {
	in       fleet.Incarnation
	seq      int64
	rows     []fleet.Row
	until    time.Duration
	released []Released
	// pace is how fast its clock runs.
	pace     float64
	draining bool
	nextBeat time.Duration
}

// answer is an answer on its way to a target.
type answer struct {
	to      *holder
	in      fleet.Incarnation
	sent    time.Duration
	arrives time.Duration
	grant   Grant
	// acks is the number of released rows that the heartbeat carried.
	acks int
}

// call is a heartbeat on its way to the leader.
type call struct {
	from    *holder
	sent    time.Duration
	arrives time.Duration
	beat    Beat
}

// world runs targets against a registry under lost and late messages, changes
// of the leader and restarts.
type world struct {
	t       *testing.T
	seed    int
	rng     *rand.Rand
	now     time.Duration
	leader  *leader
	targets []*holder
	calls   []call
	answers []answer
}

const (
	simTargets = 5
	simLength  = 60 * time.Second
	simStep    = 20 * time.Millisecond
	simBeat    = 870 * time.Millisecond
	// simTimeout is how long a target waits for the answer to a heartbeat.
	simTimeout = time.Second
)

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// delay is mostly short and sometimes seconds.
func (w *world) delay() time.Duration {
	if w.chance(0.05) {
		return time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	}
	return time.Duration(w.rng.Int64N(int64(20 * time.Millisecond)))
}

func (w *world) step() {
	w.now += simStep
	for _, h := range w.targets {
		if len(h.rows) > 0 && w.now >= h.until {
			h.rows = nil // an expired grant is not reported as released
		}
		if w.now >= h.nextBeat {
			w.sendBeat(h)
		}
	}
	w.deliverCalls()
	w.deliverAnswers()
	w.leader.plan(w.now)
	w.disturb()
	w.check()
}

func (w *world) sendBeat(h *holder) {
	h.seq++
	h.nextBeat = w.now + simBeat
	if w.chance(0.1) {
		return // lost on its way
	}
	b := beatOf(h.in.ID, h.seq)
	b.Target.Born = h.in.Born
	if h.draining {
		b.Target.Condition = fleet.Draining
	}
	b.Released = slices.Clone(h.released)
	for _, row := range h.rows {
		b.Held = append(b.Held, Range{From: row.From, To: row.To})
	}
	w.calls = append(w.calls, call{h, w.now, w.now + w.delay(), b})
}

func (w *world) deliverCalls() {
	var waiting []call
	for _, c := range w.calls {
		if c.arrives > w.now {
			waiting = append(waiting, c)
			continue
		}
		g := w.leader.beat(w.now, c.beat)
		if !w.chance(0.1) {
			w.answers = append(w.answers, answer{c.from, c.beat.Target.Incarnation, c.sent, w.now + w.delay(), g, len(c.beat.Released)})
		}
	}
	w.calls = waiting
}

func (w *world) deliverAnswers() {
	var waiting []answer
	for _, a := range w.answers {
		switch {
		case a.arrives > w.now:
			waiting = append(waiting, a)
		case a.to.in == a.in && w.now-a.sent < simTimeout:
			w.take(a)
		}
	}
	w.answers = waiting
}

// take puts an answer in force at its target.
func (w *world) take(a answer) {
	h := a.to
	h.released = h.released[min(a.acks, len(h.released)):]
	if !a.grant.Renew {
		return
	}
	for _, old := range h.rows {
		kept := slices.ContainsFunc(a.grant.Rows, func(r fleet.Row) bool { return r.From <= old.From && r.To >= old.To })
		if kept {
			continue
		}
		for _, part := range without(old, a.grant.Rows) {
			h.released = append(h.released, Released{From: part.From, To: part.To, Handover: fmt.Sprint(h.in.ID, part.From)})
			h.nextBeat = min(h.nextBeat, w.now+100*time.Millisecond)
		}
	}
	h.rows = a.grant.Rows
	h.until = a.sent + time.Duration(float64(a.grant.Hold)*h.pace)
}

// without returns the parts of a row that no other row covers.
func without(row fleet.Row, others []fleet.Row) []fleet.Row {
	parts := []fleet.Row{row}
	for _, o := range others {
		var left []fleet.Row
		for _, p := range parts {
			if o.To < p.From || o.From > p.To {
				left = append(left, p)
				continue
			}
			if p.From < o.From {
				left = append(left, fleet.Row{From: p.From, To: o.From - 1})
			}
			if p.To > o.To {
				left = append(left, fleet.Row{From: o.To + 1, To: p.To})
			}
		}
		parts = left
	}
	return parts
}

// disturb changes leaders, restarts targets, drains them and moves the demand.
func (w *world) disturb() {
	if w.chance(0.002) {
		w.leader.reg = New(w.now)
	}
	if w.chance(0.003) {
		h := w.targets[w.rng.IntN(len(w.targets))]
		h.in.Born++
		h.seq, h.rows, h.released, h.draining = 0, nil, nil, false
	}
	if w.chance(0.002) {
		w.targets[w.rng.IntN(len(w.targets))].draining = true
	}
	if w.chance(0.05) {
		hot := w.rng.IntN(fleet.MaxKey)
		s := Samples{Service: "s"}
		for range 40 {
			s.Keys = append(s.Keys, min(fleet.MaxKey, hot+w.rng.IntN(300)))
		}
		w.leader.reg.Sampled(w.now, s)
	}
}

// check fails when two targets hold a key or a fence does not rise.
func (w *world) check() {
	type span struct {
		fleet.Row
		holder fleet.Incarnation
	}
	var spans []span
	for _, h := range w.targets {
		for _, r := range h.rows {
			spans = append(spans, span{r, h.in})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.From - b.From })
	for i := 1; i < len(spans); i++ {
		if spans[i].From <= spans[i-1].To {
			w.t.Fatalf("seed %d at %v: %v and %v hold key %d", w.seed, w.now, spans[i-1].holder, spans[i].holder, spans[i].From)
		}
	}
}

// simSeeds returns how many seeds to run.
func simSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("FLAMINGOREEL_SOAK_SEEDS")); err == nil && n > 0 {
		return 20 * n
	}
	return 100
}

// Guards against two owners of a key under lost, late and reordered messages,
// changes of the leader, restarts, drains and moves.
func TestNeverTwoOwners(t *testing.T) {
	for seed := range simSeeds() {
		w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(uint64(seed), 7)), leader: newLeader(t)}
		for i := range simTargets {
			w.targets = append(w.targets, &holder{in: fleet.Incarnation{ID: fmt.Sprint(i), Born: 1}, pace: 1 + 0.02*w.rng.Float64()})
		}
		if seed%2 == 0 {
			w.leader.reg.parts = 8
		}
		held := 0
		for w.now < simLength {
			w.step()
			for _, h := range w.targets {
				held += len(h.rows)
			}
		}
		if held == 0 {
			t.Fatalf("seed %d: no target ever held a key", seed)
		}
	}
}
