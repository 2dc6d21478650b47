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

// simTarget is a target that follows the protocol: it holds the rows of the last
// response that it received until the hold time, counted from the heartbeat, has
// passed.
type simTarget struct {
	in       fleet.Incarnation
	seq      int64
	rows     []fleet.Row
	until    time.Duration
	released []Released
	// clockStretch is how much longer than nominal its timers run.
	clockStretch  float64
	draining      bool
	nextHeartbeat time.Duration
}

// response is a response to a heartbeat in transit to a target.
type response struct {
	to      *simTarget
	in      fleet.Incarnation
	sent    time.Duration
	arrives time.Duration
	grant   Grant
	// acks is the number of released rows that the heartbeat carried.
	acks int
}

// call is a heartbeat in transit to the leader.
type call struct {
	from      *simTarget
	sent      time.Duration
	arrives   time.Duration
	heartbeat Heartbeat
}

// simulation runs targets against a registry with lost and delayed messages, leader
// changes and restarts.
type simulation struct {
	t    *testing.T
	seed int
	rng  *rand.Rand
	// others draws the heartbeats of other writers.
	others    *rand.Rand
	now       time.Duration
	leader    *leader
	targets   []*simTarget
	calls     []call
	responses []response
	// routes counts the changes of the route, which allows another region each time.
	routes uint64
	// fences holds the highest fence and its holder for some keys.
	fences map[int]fenceOf
}

// fenceOf is the highest fence with which a target held a key.
type fenceOf struct {
	fence  uint64
	holder fleet.Incarnation
}

// sampledKeys is the distance of the keys whose fences are checked.
const sampledKeys = 512

const (
	simTargets           = 5
	simLength            = 60 * time.Second
	simStep              = 20 * time.Millisecond
	simHeartbeatInterval = 870 * time.Millisecond
	// simTimeout is how long a target waits for the response to a heartbeat.
	simTimeout = time.Second
)

var simDeployment = Deployment{HeartbeatInterval: simHeartbeatInterval, Regions: map[string]string{"d": "r", "d2": "r2"}}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// delay returns a message delay, which is mostly short and sometimes up to three
// seconds.
func (sim *simulation) delay() time.Duration {
	if sim.chance(0.05) {
		return time.Duration(sim.rng.Int64N(int64(3 * time.Second)))
	}
	return time.Duration(sim.rng.Int64N(int64(20 * time.Millisecond)))
}

func (sim *simulation) step() {
	sim.now += simStep
	for _, h := range sim.targets {
		if len(h.rows) > 0 && sim.now >= h.until {
			h.rows = nil // an expired grant is not reported as released
		}
		if sim.now >= h.nextHeartbeat {
			sim.sendHeartbeat(h)
		}
	}
	sim.deliverCalls()
	sim.deliverResponses()
	sim.leader.plan(sim.now)
	sim.injectFaults()
	sim.sendOddHeartbeat()
	sim.checkOwners()
	sim.checkFences()
}

// dataCentreOf returns the data centre of a target, one of two regions if routes change.
func (sim *simulation) dataCentreOf(id string) string {
	if sim.routes > 0 && id > "2" {
		return "d2"
	}
	return "d"
}

// checkFences fails the test if a target holds a key with a fence that is not above that of
// an earlier holder.
func (sim *simulation) checkFences() {
	for _, h := range sim.targets {
		for _, r := range h.rows {
			for key := (r.From + sampledKeys - 1) / sampledKeys * sampledKeys; key <= r.To; key += sampledKeys {
				known := sim.fences[key]
				if known.holder != h.in && r.Fence <= known.fence {
					sim.t.Fatalf("seed %d at %v: %v holds key %d with fence %d after %v with %d", sim.seed, sim.now, h.in, key, r.Fence, known.holder, known.fence)
				}
				if r.Fence > known.fence {
					sim.fences[key] = fenceOf{r.Fence, h.in}
				}
			}
		}
	}
}

func (sim *simulation) sendHeartbeat(h *simTarget) {
	h.seq++
	h.nextHeartbeat = sim.now + simHeartbeatInterval
	if sim.chance(0.1) {
		return // the message is lost
	}
	b := heartbeatOf(h.in.ID, h.seq)
	b.Target.StartMs, b.Target.DataCentre = h.in.StartMs, sim.dataCentreOf(h.in.ID)
	if h.draining {
		b.Target.Condition = fleet.Draining
	}
	b.Released = slices.Clone(h.released)
	for _, row := range h.rows {
		b.Held = append(b.Held, Range{From: row.From, To: row.To})
	}
	sim.calls = append(sim.calls, call{h, sim.now, sim.now + sim.delay(), b})
}

func (sim *simulation) deliverCalls() {
	var waiting []call
	for _, c := range sim.calls {
		if c.arrives > sim.now {
			waiting = append(waiting, c)
			continue
		}
		g := sim.leader.heartbeat(sim.now, c.heartbeat)
		if !sim.chance(0.1) {
			sim.responses = append(sim.responses, response{c.from, c.heartbeat.Target.Incarnation, c.sent, sim.now + sim.delay(), g, len(c.heartbeat.Released)})
		}
	}
	sim.calls = waiting
}

func (sim *simulation) deliverResponses() {
	var waiting []response
	for _, resp := range sim.responses {
		switch {
		case resp.arrives > sim.now:
			waiting = append(waiting, resp)
		case resp.to.in == resp.in && sim.now-resp.sent < simTimeout:
			sim.apply(resp)
		}
	}
	sim.responses = waiting
}

// apply applies a response at its target.
func (sim *simulation) apply(resp response) {
	h := resp.to
	h.released = h.released[min(resp.acks, len(h.released)):]
	if !resp.grant.Renew {
		return
	}
	for _, old := range h.rows {
		kept := slices.ContainsFunc(resp.grant.Rows, func(r fleet.Row) bool { return r.From <= old.From && r.To >= old.To })
		if kept {
			continue
		}
		for _, part := range without(old, resp.grant.Rows) {
			h.released = append(h.released, Released{From: part.From, To: part.To, Handover: fmt.Sprint(h.in.ID, part.From)})
			h.nextHeartbeat = min(h.nextHeartbeat, sim.now+100*time.Millisecond)
		}
	}
	h.rows = resp.grant.Rows
	h.until = resp.sent + time.Duration(float64(resp.grant.Hold)*h.clockStretch)
}

// without returns the parts of a row that none of the other rows covers.
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

// injectFaults randomly replaces the leader, restarts or drains targets and adds demand
// for a hot range.
func (sim *simulation) injectFaults() {
	if sim.chance(0.002) {
		maxRows := sim.leader.reg.maxRows
		sim.leader.reg = New(sim.now, simDeployment)
		sim.leader.reg.maxRows = maxRows
	}
	if sim.chance(0.003) {
		h := sim.targets[sim.rng.IntN(len(sim.targets))]
		h.in.StartMs++
		h.seq, h.rows, h.released, h.draining = 0, nil, nil, false
	}
	if sim.chance(0.002) {
		sim.targets[sim.rng.IntN(len(sim.targets))].draining = true
	}
	if sim.routes > 0 && sim.others.Float64() < 0.003 {
		sim.routes++
		regions := [][]string{{"r"}, {"r2"}, nil}[sim.others.IntN(3)]
		sim.leader.commit(routeCommand("a", sim.routes, regions...))
	}
	if sim.chance(0.05) {
		hot := sim.rng.IntN(fleet.MaxKey)
		s := Samples{Service: "s"}
		for range 40 {
			s.Keys = append(s.Keys, min(fleet.MaxKey, hot+sim.rng.IntN(300)))
		}
		sim.leader.reg.AddSamples(sim.now, s)
	}
}

// sendOddHeartbeat sometimes sends a heartbeat that resembles that of a target, but
// names a service or a data centre that isn't known or contradicts the target.
func (sim *simulation) sendOddHeartbeat() {
	if sim.others.Float64() > 0.01 {
		return
	}
	h := sim.targets[sim.others.IntN(len(sim.targets))]
	b := heartbeatOf(h.in.ID, h.seq+sim.others.Int64N(3))
	b.Target.StartMs, b.Target.DataCentre = h.in.StartMs, sim.dataCentreOf(h.in.ID)
	switch sim.others.IntN(5) {
	case 0:
		b.Target.ID, b.Target.StartMs, b.Target.Service = "other", h.in.StartMs+9, "unknown"
	case 1:
		b.Target.StartMs, b.Target.Service = h.in.StartMs+9, "unknown"
	case 2:
		b.Target.StartMs, b.Target.DataCentre = h.in.StartMs+9, "unknown"
	case 3:
		b.Target.Address = "10.0.0.99:1"
	case 4:
		b.Target.Service = "unknown"
	}
	sim.leader.heartbeat(sim.now, b)
}

// checkOwners fails the test if two targets hold the same key.
func (sim *simulation) checkOwners() {
	type span struct {
		fleet.Row
		holder fleet.Incarnation
	}
	var spans []span
	for _, h := range sim.targets {
		for _, r := range h.rows {
			spans = append(spans, span{r, h.in})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.From - b.From })
	for i := 1; i < len(spans); i++ {
		if spans[i].From <= spans[i-1].To {
			sim.t.Fatalf("seed %d at %v: %v and %v hold key %d", sim.seed, sim.now, spans[i-1].holder, spans[i].holder, spans[i].From)
		}
	}
}

// simSeeds returns the number of seeds to run.
func simSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("FLAMINGOREEL_SOAK_SEEDS")); err == nil && n > 0 {
		return 20 * n
	}
	return 100
}

// Guards against two owners of a key, and against a fence that an earlier owner had, with
// lost, delayed and reordered messages, leader changes, restarts, drains, moves, merged rows
// and changes of the allowed regions.
func TestNeverTwoOwners(t *testing.T) {
	for seed := range simSeeds() {
		sim := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(uint64(seed), 7)), others: rand.New(rand.NewPCG(uint64(seed), 8)), leader: newLeader(t), fences: make(map[int]fenceOf)}
		sim.leader.reg.deployment = simDeployment
		for i := range simTargets {
			sim.targets = append(sim.targets, &simTarget{in: fleet.Incarnation{ID: fmt.Sprint(i), StartMs: 1}, clockStretch: 1 + 0.02*sim.rng.Float64()})
		}
		if seed%2 == 0 {
			sim.leader.reg.rowsPerTarget = 8
		}
		if seed%4 < 2 {
			sim.leader.reg.maxRows = 6 // Rows are merged all the time.
		}
		if seed%3 == 0 {
			sim.routes = 1 // Targets are in two regions, and the route changes.
		}
		held := 0
		for sim.now < simLength {
			sim.step()
			for _, h := range sim.targets {
				held += len(h.rows)
			}
		}
		if held == 0 {
			t.Fatalf("seed %d: no target ever held a key", seed)
		}
	}
}
