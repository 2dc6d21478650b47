package reach

import (
	"time"
)

// State says how an entry VM sends its requests.
type State uint8

// The states of a path.
const (
	// Direct means that requests go to targets by the entry VM's own connections.
	Direct State = iota
	// Isolated means that the entry VM reaches no target and relays its requests.
	Isolated
	// Returning means that targets are reached again and that a growing share of
	// the requests goes to them directly.
	Returning
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Isolated:
		return "isolated"
	case Returning:
		return "returning"
	}
	return "direct"
}

// Timing and thresholds of the decision.
const (
	// lossWindow is how long a lost target counts as a sign of a broken path.
	lossWindow = 2 * time.Second
	// minLost is the number of targets lost within lossWindow that starts a check
	// of the path. A single lost target has most likely crashed, if others respond.
	minLost = 2
	// answeredWindow is how long after a response a target that resets a
	// connection counts as overloaded rather than lost.
	answeredWindow = time.Second
	// recheckInterval is the time between two checks while targets are lost but
	// others are reached.
	recheckInterval = time.Second
	// maxCheckTime is the duration from which a check that reached nothing counts as
	// interrupted: the VM was frozen, so that its connections timed out at once.
	maxCheckTime = 1200 * time.Millisecond
	// isolatedCheckInterval is the time between two checks while isolated.
	isolatedCheckInterval = 500 * time.Millisecond
	// returnTime is the time from the first successful check to the state Direct.
	returnTime = time.Second
	// minDirectShare is the share of direct requests at the start of Returning.
	minDirectShare = 0.1
)

// observation is what was last observed of a target.
type observation struct {
	lostAt, answeredAt time.Duration
	lost, answered     bool
}

func (o observation) lostWithin(now time.Duration) bool {
	return o.lost && now-o.lostAt < lossWindow
}

func (o observation) answeredWithin(now time.Duration) bool {
	return o.answered && now-o.answeredAt < answeredWindow
}

// Path tracks whether an entry VM reaches targets by its own connections.
//
// Invariant: the state becomes Isolated only after a check in which no target
// accepted a connection, nor shortly before, and either all refused it or none has
// responded lately either. It leaves Isolated only after a check in which at least
// half of the targets accepted one, or one did and no peer relays. Lost targets alone
// never change it, because they may have crashed; nor do timeouts while responses
// arrive, because the VM's own link may be congested.
type Path struct {
	state   State
	since   time.Duration
	targets map[string]observation
	// nextCheck is the earliest time of the next check, and checking reports that
	// one is running.
	nextCheck time.Duration
	checking  bool
	// stuck reports that a request found no usable target at stuckAt.
	stuck   bool
	stuckAt time.Duration
	// checkBegan is when the last check began.
	checkBegan time.Duration
}

// NewPath returns a Path in the state Direct.
func NewPath() *Path { return &Path{targets: make(map[string]observation)} }

// State returns the state and since when it holds.
func (p *Path) State() (State, time.Duration) { return p.state, p.since }

// Answered records that a target responded or accepted a connection.
func (p *Path) Answered(now time.Duration, target string) {
	p.targets[target] = observation{answeredAt: now, answered: true}
}

// Lost records that a target did not accept a connection, or that an established
// one failed without a reset.
func (p *Path) Lost(now time.Duration, target string) {
	o := p.targets[target]
	o.lost, o.lostAt = true, now
	p.targets[target] = o
}

// Reset records that a target reset a connection. An overloaded target does so
// too, so it counts as lost only if it has not responded lately.
func (p *Path) Reset(now time.Duration, target string) {
	if !p.targets[target].answeredWithin(now) {
		p.Lost(now, target)
	}
}

// NoneUsable records that a request found no target that it may be sent to, because
// all are waiting for a successful health check. Without attempts nothing else shows
// whether the path is broken.
func (p *Path) NoneUsable(now time.Duration) { p.stuck, p.stuckAt = true, now }

// IsLost reports whether a target was lost within the last seconds and has not
// responded since.
func (p *Path) IsLost(now time.Duration, target string) bool {
	return p.targets[target].lostWithin(now)
}

// LostTargets returns the number of targets that IsLost reports.
func (p *Path) LostTargets(now time.Duration) int {
	lost, _ := p.count(now)
	return lost
}

// AnsweredTargets returns the number of targets that responded lately.
func (p *Path) AnsweredTargets(now time.Duration) int {
	answered := 0
	for _, o := range p.targets {
		if o.answeredWithin(now) {
			answered++
		}
	}
	return answered
}

// count returns how many targets are lost and how many responded lately. It
// forgets older observations.
func (p *Path) count(now time.Duration) (lost, answered int) {
	for target, o := range p.targets {
		switch {
		case o.lostWithin(now):
			lost++
		case o.answeredWithin(now):
			answered++
		default:
			delete(p.targets, target)
		}
	}
	return lost, answered
}

// suspect reports whether lost targets may be due to the path.
func (p *Path) suspect(now time.Duration) bool {
	lost, answered := p.count(now)
	stuck := p.stuck && now-p.stuckAt < lossWindow
	return lost >= minLost || answered == 0 && (lost > 0 || stuck)
}

// BeginCheck reports whether the path must be checked now and records that the
// check has begun. The caller then tries to connect to some targets and calls
// Checked with the result.
func (p *Path) BeginCheck(now time.Duration) bool {
	if p.checking || now < p.nextCheck || p.state != Isolated && !p.suspect(now) {
		return false
	}
	p.checking, p.checkBegan = true, now
	return true
}

// Result is the result of a check: how many targets were tried, and how many of
// them accepted or refused a connection. The others did not react.
type Result struct {
	Tried, Reached, Refused int
	// Accepted reports that a target has accepted another connection shortly before.
	Accepted bool
	// NoPeer reports that peers have lately relayed no request.
	NoPeer bool
}

// Checked records the result of a check. It returns whether the state changed.
func (p *Path) Checked(now time.Duration, r Result) bool {
	p.checking = false
	before := p.state
	switch {
	case p.state == Isolated && r.Reached > 0 && (2*r.Reached >= r.Tried || r.NoPeer):
		p.enter(Returning, now)
	case p.state != Isolated && p.isolatedBy(now, r):
		p.enter(Isolated, now)
	}
	p.nextCheck = now + recheckInterval
	if p.state == Isolated {
		p.nextCheck = now + isolatedCheckInterval
	}
	return p.state != before
}

func (p *Path) isolatedBy(now time.Duration, r Result) bool {
	if r.Tried == 0 || r.Reached > 0 || r.Accepted || now-p.checkBegan > maxCheckTime {
		return false
	}
	return r.Refused == r.Tried || p.AnsweredTargets(now) == 0
}

// enter changes the state. Earlier observations say nothing about the path from
// then on.
func (p *Path) enter(s State, now time.Duration) {
	p.state, p.since = s, now
	clear(p.targets)
}

// DirectShare returns the share of requests that go to targets directly, from 0
// to 1.
func (p *Path) DirectShare(now time.Duration) float64 {
	elapsed := now - p.since
	switch {
	case p.state == Isolated:
		return 0
	case p.state == Returning && elapsed < returnTime:
		return minDirectShare + (1-minDirectShare)*float64(elapsed)/float64(returnTime)
	}
	return 1
}

// Advance ends the state Returning once its time is over. It returns whether the
// state changed.
func (p *Path) Advance(now time.Duration) bool {
	if p.state != Returning || now-p.since < returnTime {
		return false
	}
	p.state, p.since = Direct, now
	return true
}
