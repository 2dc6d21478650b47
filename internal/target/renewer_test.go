package target

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const ms = time.Millisecond

// model is a target that checks grants, a network with delays, losses and
// pauses, and a dispatcher, in virtual time on the dispatcher's clock.
type model struct {
	rng    *rand.Rand
	r      *Renewer
	rate   float64
	events []event
	// untilMs, incarnation, startedAt and pausedUntil are the target's state.
	untilMs     int64
	incarnation uint64
	startedAt   time.Duration
	pausedUntil time.Duration
	expired     bool
	violation   string
	granted     bool
	sawExpiry   bool
}

type event struct {
	at  time.Duration
	run func(now time.Duration)
}

// schedule adds an event in the order of time; events at the same time keep their
// order.
func (m *model) schedule(at time.Duration, run func(time.Duration)) {
	i := sort.Search(len(m.events), func(i int) bool { return m.events[i].at > at })
	m.events = append(m.events, event{})
	copy(m.events[i+1:], m.events[i:])
	m.events[i] = event{at, run}
}

// clock is the target's monotonic clock in milliseconds.
func (m *model) clock(now time.Duration) int64 {
	return int64(float64(now-m.startedAt)*m.rate) / int64(ms)
}

// accepts reports whether the target would start a request of the first
// incarnation.
func (m *model) accepts(now time.Duration) bool {
	return m.incarnation == 1 && m.clock(now) < m.untilMs
}

// delay returns a random network delay: up to 5 ms, in one of eight cases up to
// 400 ms.
func (m *model) delay() time.Duration {
	if m.rng.IntN(8) == 0 {
		return time.Duration(m.rng.IntN(400)) * ms
	}
	return time.Duration(m.rng.IntN(5000)) * time.Microsecond
}

// renew sends one renewal and schedules the next.
func (m *model) renew(now time.Duration) {
	req := m.r.Next(now)
	if m.rng.IntN(8) == 0 {
		m.schedule(now+200*ms, m.r.Failed)
	}
	if m.rng.IntN(8) != 0 {
		m.schedule(now+m.delay(), func(at time.Duration) { m.serve(at, now, req) })
	}
	m.schedule(now+contract.RenewInterval+m.delay()/4, m.renew)
}

// serve applies a renewal at the target, after the pause if the target is paused.
func (m *model) serve(at, sentAt time.Duration, req GrantRequest) {
	if at < m.pausedUntil {
		m.schedule(m.pausedUntil, func(at time.Duration) { m.serve(at, sentAt, req) })
		return
	}
	accepted := req.Incarnation == m.incarnation
	if accepted {
		m.untilMs = max(m.untilMs, req.UntilMs)
	}
	reply := GrantReply{Accepted: accepted, Incarnation: m.incarnation, ClockMs: m.clock(at), Epoch: 2}
	if m.rng.IntN(10) != 0 {
		m.schedule(at+m.delay(), func(received time.Duration) { m.r.Reply(sentAt, received, reply) })
	}
}

// check compares the renewer's state with the target's.
func (m *model) check(now time.Duration) {
	valid, accepts := m.r.Valid(now), m.accepts(now)
	m.granted = m.granted || valid
	if now%(25*ms) == 0 {
		m.expired = m.r.Expired(now)
		m.sawExpiry = m.sawExpiry || m.expired
	}
	// The renewer learns of a restart only from the next reply; the new
	// incarnation has no grant.
	if valid && !accepts && m.incarnation == 1 && m.violation == "" {
		m.violation = fmt.Sprintf("at %v valid, but expired on the target", now)
	}
	if m.expired && accepts && m.violation == "" {
		m.violation = fmt.Sprintf("at %v expired, but the target accepts requests", now)
	}
}

// run simulates five seconds. The target starts with a grant of an earlier
// dispatcher, whose last renewal may still be in transit.
func (m *model) run(checks bool) {
	m.startedAt = -time.Duration(m.rng.IntN(5000)) * ms
	earlier := m.clock(-time.Duration(m.rng.IntN(500))*ms) + contract.TargetGrant.Milliseconds()
	m.schedule(m.delay(), func(time.Duration) { m.untilMs = max(m.untilMs, earlier) })
	m.r = NewRenewer(0, Contract{Target: "t", Incarnation: 1, Epoch: 2, ChecksGrants: checks})
	m.schedule(0, m.renew)
	for range m.rng.IntN(4) {
		at := time.Duration(m.rng.IntN(4000)) * ms
		m.schedule(at, func(now time.Duration) { m.pausedUntil = now + time.Duration(m.rng.IntN(1500))*ms })
	}
	if m.rng.IntN(4) == 0 {
		at := time.Duration(m.rng.IntN(5000)) * ms
		m.schedule(at, func(now time.Duration) { m.incarnation, m.untilMs, m.startedAt = 2, 0, now })
	}
	for now := time.Duration(0); now < 5*time.Second; now += ms {
		for len(m.events) > 0 && m.events[0].at <= now {
			e := m.events[0]
			m.events = m.events[1:]
			e.run(now)
		}
		m.check(now)
	}
}

// Guards against requests sent after the target's grant expired, and against a
// slice that is assigned to another target while the old owner still accepts
// requests.
func TestRenewerUnderDelays(t *testing.T) {
	seed, err := strconv.ParseInt(cmp.Or(os.Getenv("FLAMINGOREEL_TEST_SEED"), "1"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	granted, expired := 0, 0
	property := prop.ForAll(func(s uint64, rate float64) string {
		m := &model{rng: rand.New(rand.NewPCG(s, 0)), rate: rate, incarnation: 1}
		m.run(true)
		if m.granted {
			granted++
		}
		if m.sawExpiry {
			expired++
		}
		return m.violation
	}, gen.UInt64(), gen.Float64Range(0.95, 1.05))
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = 2000
	if result := property.Check(params); !result.Passed() {
		t.Errorf("%v %v\nrepeat with FLAMINGOREEL_TEST_SEED=%d go test -run TestRenewerUnderDelays ./internal/target",
			result.Labels, result.Args, seed)
	}
	if granted < 1500 || expired < 200 {
		t.Errorf("only %d runs with a grant and %d with an expiry, so little was tested", granted, expired)
	}
}

// Guards against a contract that stays valid after the target restarted or
// replied to a later dispatcher, and against an expiry that is reported for a
// target that does not check grants.
func TestRenewerStopsWhenContractEnds(t *testing.T) {
	start := func(checks bool, slices ...GrantSlice) *Renewer {
		r := NewRenewer(0, Contract{Incarnation: 1, Epoch: 2, ChecksGrants: checks, Slices: slices})
		if until := r.Next(0).UntilMs; until != 0 {
			t.Errorf("first renewal until %d, want 0", until)
		}
		r.Reply(0, 10*ms, GrantReply{Accepted: true, Incarnation: 1, Epoch: 2, ClockMs: 1000})
		if r.Valid(10 * ms) {
			t.Error("valid before a grant was confirmed")
		}
		if until := r.Next(20 * ms).UntilMs; until != 1500 {
			t.Errorf("second renewal until %d, want 1500", until)
		}
		r.Reply(20*ms, 30*ms, GrantReply{Accepted: true, Incarnation: 1, Epoch: 2, ClockMs: 1025})
		if !r.Valid(30 * ms) {
			t.Error("not valid after a confirmed grant")
		}
		return r
	}
	slice := GrantSlice{Slice: contract.Slice{ID: 7}, Fence: 3}
	r := start(true, slice)
	if !r.Covers(30*ms, 7, 3) || r.Covers(30*ms, 7, 4) || r.Covers(30*ms, 8, 3) {
		t.Error("the grant covers slice 7 under fence 3 only")
	}
	r.SetSlices(nil)
	if r.Covers(30*ms, 7, 3) {
		t.Error("a withdrawn slice is still covered")
	}
	for _, rep := range []GrantReply{{Incarnation: 2, Epoch: 2}, {Incarnation: 1, Epoch: 3}} {
		r := start(true)
		r.Next(40 * ms)
		r.Reply(40*ms, 41*ms, rep)
		if r.Valid(41 * ms) {
			t.Errorf("valid after %+v", rep)
		}
	}
	r = start(true)
	r.Failed(31 * ms)
	r.Failed(32 * ms)
	if !r.Valid(33*ms) || r.Reachable(30*ms+UnreachableAfter) {
		t.Error("unreachable too early or too late")
	}
	r.Failed(33 * ms)
	if r.Valid(34 * ms) {
		t.Error("valid after three failures")
	}
	refused := NewRenewer(0, Contract{Incarnation: 1, Epoch: 2})
	for at := time.Duration(0); at < 90*ms; at += 30 * ms {
		refused.Next(at)
		refused.Reply(at, at+ms, GrantReply{Incarnation: 1, Epoch: 2, ClockMs: int64(at/ms) + 1000})
	}
	if refused.Valid(62*ms) || !refused.Reachable(62*ms) {
		t.Error("a target that refuses all renewals is reachable, but no requests may be sent")
	}
	if start(false).Expired(time.Hour) {
		t.Error("a target that does not check grants expired")
	}
}
