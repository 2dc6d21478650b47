package gateway

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/placement"
)

// announced is what the model knows of one incarnation.
type announced struct {
	leaving     bool
	pausedUntil time.Duration
}

// availabilityModel plays a history of requests and responses in virtual time and
// remembers what each incarnation has said.
type availabilityModel struct {
	*testbed
	now   atomic.Int64
	known map[fleet.Incarnation]*announced
	// connecting holds the choices whose connections are not established yet, sent
	// those whose request is at the target.
	connecting, sent []choice
	starts           int64
	fault            string
}

const modelTargets = 3

func newAvailabilityModel(t *testing.T) *availabilityModel {
	m := &availabilityModel{known: make(map[fleet.Incarnation]*announced)}
	m.testbed = newTestbedAt(t, func() time.Duration { return time.Duration(m.now.Load()) })
	for i := range modelTargets {
		m.putTarget(fmt.Sprint("t", i), i, fleet.Ready)
	}
	return m
}

func (m *availabilityModel) putTarget(id string, address int, condition fleet.Condition) {
	m.starts++
	m.put(fleet.Delta{Targets: []fleet.Target{{
		Incarnation: fleet.Incarnation{ID: id, StartMs: m.starts}, Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", address), DataCentre: "d", Slots: 4,
		Condition: condition,
	}}})
}

// open reports whether requests may reach an incarnation.
func (m *availabilityModel) open(in fleet.Incarnation) bool {
	k := m.known[in]
	return k == nil || !k.leaving && time.Duration(m.now.Load()) >= k.pausedUntil
}

// play plays one step; amount selects a target or a duration.
func (m *availabilityModel) play(step, amount int) {
	switch step {
	case 0:
		m.now.Add(int64(amount) * int64(10*time.Millisecond))
	case 1, 2:
		m.choose()
	case 3:
		m.send(amount)
	case 4:
		m.answer(amount, ResponseInfo{})
	case 5:
		m.answer(amount, ResponseInfo{Pause: time.Duration(amount) * 20 * time.Millisecond})
	case 6:
		m.answer(amount, ResponseInfo{Leaving: true})
	case 7: // The target starts again under its ID.
		m.putTarget(fmt.Sprint("t", amount%modelTargets), amount%modelTargets, fleet.Ready)
	case 8: // Another target starts at the address.
		m.putTarget(fmt.Sprint("t", amount%modelTargets), amount%modelTargets, fleet.Leaving)
		m.putTarget(fmt.Sprint("u", amount%modelTargets), amount%modelTargets, fleet.Ready)
	case 9: // A view from before the announcements arrives.
		if e, ok := m.g.view.Load().Endpoint(fmt.Sprint("t", amount%modelTargets)); ok {
			m.put(fleet.Delta{Targets: []fleet.Target{e.Target}})
		}
	}
}

// choose lets the gateway choose a target for a request and checks the choice.
func (m *availabilityModel) choose() {
	a := m.active("/post/x", "1")
	m.g.mu.Lock()
	c, failure := a.pick(true)
	m.g.mu.Unlock()
	if failure != nil {
		m.checkRefusal(a, failure)
		return
	}
	if !m.open(c.endpoint.Incarnation) {
		m.fault = "a request was chosen for " + c.endpoint.ID + ", which is leaving or paused"
	}
	if k := m.known[c.endpoint.Incarnation]; k != nil && k.pausedUntil > 0 {
		if since := time.Duration(m.now.Load()) - k.pausedUntil; since < 500*time.Millisecond && c.state.InFlight > 1+int(since/(50*time.Millisecond)) {
			m.fault = fmt.Sprintf("%d requests in flight %v after the pause of %s", c.state.InFlight, since, c.endpoint.ID)
		}
	}
	m.connecting = append(m.connecting, c)
}

// checkRefusal checks that a request is refused because of a pause only if no target
// is open, and that its caller is not told to come back before one returns.
func (m *availabilityModel) checkRefusal(a *activeRequest, failure *errkind.Error) {
	if failure.Kind != errkind.TargetPaused {
		return
	}
	now := time.Duration(m.now.Load())
	first := now + placement.MaxPause
	for _, e := range m.g.view.Load().Endpoints("s") {
		k := m.known[e.Incarnation]
		if k == nil || !k.leaving && now >= k.pausedUntil {
			m.fault = "a request was refused although " + e.ID + " is open"
			return
		}
		if !k.leaving {
			first = min(first, k.pausedUntil)
		}
	}
	if wait := a.refuse(failure).RetryAfter; wait < first-now {
		m.fault = fmt.Sprintf("a caller was told to come back after %v, the first pause ends in %v", wait, first-now)
	}
}

// send establishes the connection of a chosen request. The request must be sent
// only if its target is open then.
func (m *availabilityModel) send(amount int) {
	if len(m.connecting) == 0 {
		return
	}
	i := amount % len(m.connecting)
	c := m.connecting[i]
	m.connecting = append(m.connecting[:i:i], m.connecting[i+1:]...)
	if proceed := m.g.open(c); proceed != m.open(c.endpoint.Incarnation) {
		m.fault = fmt.Sprintf("a request to %s is sent: %v", c.endpoint.ID, proceed)
	} else if proceed {
		m.sent = append(m.sent, c)
		return
	}
	m.end(c)
}

// answer lets a target answer a request.
func (m *availabilityModel) answer(amount int, info ResponseInfo) {
	if len(m.sent) == 0 {
		return
	}
	i := amount % len(m.sent)
	c := m.sent[i]
	m.sent = append(m.sent[:i:i], m.sent[i+1:]...)
	k := m.known[c.endpoint.Incarnation]
	if k == nil {
		k = new(announced)
		m.known[c.endpoint.Incarnation] = k
	}
	k.leaving = k.leaving || info.Leaving
	if info.Pause > 0 {
		k.pausedUntil = max(k.pausedUntil, time.Duration(m.now.Load())+info.Pause)
	}
	m.g.updateAvailability(c, info)
	m.end(c)
}

func (m *availabilityModel) end(c choice) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	c.state.Ended()
}

// Guards against a request that reaches an incarnation which has said that it is
// leaving or paused, over restarts, addresses that are used again, older views and
// spans in which this VM is suspended; and against losing a target that is open.
func TestAnnouncementsHoldInEveryHistory(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("announcements hold", prop.ForAll(
		func(steps, amounts []int) string {
			m := newAvailabilityModel(t)
			defer m.g.Close()
			for i := range min(len(steps), len(amounts)) {
				if m.play(steps[i], amounts[i]); m.fault != "" {
					return fmt.Sprintf("step %d: %s", i, m.fault)
				}
			}
			return ""
		}, gen.SliceOfN(300, gen.IntRange(0, 9)), gen.SliceOfN(300, gen.IntRange(0, 60))))
	properties.TestingRun(t)
}
