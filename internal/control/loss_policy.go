package control

import "time"

// Verdict is a policy's decision on a target that its dispatcher cannot reach.
type Verdict uint8

// The verdicts.
const (
	// KeepSlices leaves the target's slices and dispatcher as they are.
	KeepSlices Verdict = iota
	// MoveSlices gives the target's slices to other targets once its grant has
	// expired.
	MoveSlices
	// Redispatch makes a VM that reaches the target its dispatcher; no slice
	// moves.
	Redispatch
)

// UnreachableTarget describes a target that its dispatcher cannot reach.
type UnreachableTarget struct {
	Target     string
	DataCentre string
	// Expired says that the target's grant has expired.
	Expired bool
	// ExpiredFor is the time since the expiry was first reported to the leader.
	ExpiredFor time.Duration
	// UnreachableFor is the time since the dispatcher first reported that it
	// cannot reach the target.
	UnreachableFor time.Duration
	// LostOfService and TargetsOfService are the numbers of lost targets and of
	// all targets of the target's service.
	LostOfService, TargetsOfService int
	// ReachedElsewhere says that a VM that may become the dispatcher reached the target.
	ReachedElsewhere bool
	// FailedElsewhere says that a VM of another data centre failed to reach the
	// target.
	FailedElsewhere bool
}

// LossPolicy decides what happens to targets that their dispatchers cannot
// reach. It prevents a fault of the observing VMs from moving the slices of many
// healthy targets. Each service's limit on moves per second applies with every
// policy.
type LossPolicy interface {
	// Decide returns the verdict for one target.
	Decide(l UnreachableTarget) Verdict
}

// BoundedMoves moves the slices of every target whose grant has expired. Only
// the limit on moves per second bounds it.
type BoundedMoves struct{}

// Decide implements LossPolicy.
func (BoundedMoves) Decide(l UnreachableTarget) Verdict {
	if l.Expired {
		return MoveSlices
	}
	return KeepSlices
}

// ShareThreshold moves nothing while more than MaxLostShare of a service's targets
// are lost, as a failover circuit breaker does.
type ShareThreshold struct {
	// MaxLostShare is between 0 and 1.
	MaxLostShare float64
}

// Decide implements LossPolicy.
func (t ShareThreshold) Decide(l UnreachableTarget) Verdict {
	if !l.Expired || float64(l.LostOfService) > t.MaxLostShare*float64(l.TargetsOfService) {
		return KeepSlices
	}
	return MoveSlices
}

// Confirmation moves slices when a VM of another data centre cannot reach the
// target either, and changes the dispatcher when another VM reaches it.
type Confirmation struct {
	// Timeout is how long after the expiry the policy waits for probe results
	// of other VMs. Then it moves the slices, because no other VM can observe
	// the target.
	Timeout time.Duration
	// RedispatchAfter is how long a dispatcher must have failed to reach a target that
	// another VM reaches before it is replaced.
	RedispatchAfter time.Duration
}

// Decide implements LossPolicy.
func (c Confirmation) Decide(l UnreachableTarget) Verdict {
	if l.ReachedElsewhere {
		if l.UnreachableFor >= c.RedispatchAfter {
			return Redispatch
		}
		return KeepSlices
	}
	if !l.Expired {
		return KeepSlices
	}
	if l.FailedElsewhere || l.ExpiredFor >= c.Timeout {
		return MoveSlices
	}
	return KeepSlices
}

// Parameters of the default policy. The wait for other VMs ends early enough
// that the slices of a lost target are served again within one second.
const (
	defaultConfirmationTimeout = 150 * time.Millisecond
	defaultRedispatchAfter     = 100 * time.Millisecond
)

// DefaultLossPolicy returns the policy chosen in docs/decisions.md.
func DefaultLossPolicy() LossPolicy {
	return Confirmation{Timeout: defaultConfirmationTimeout, RedispatchAfter: defaultRedispatchAfter}
}
