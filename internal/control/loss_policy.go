package control

import "time"

// Verdict is what a policy decides on a target that its dispatcher fails to
// reach.
type Verdict uint8

// The verdicts.
const (
	// Wait leaves the target's slices and dispatcher as they are.
	Wait Verdict = iota
	// Move gives the target's slices to other targets once its grant expired.
	Move
	// Redispatch gives the target to a VM that reaches it; no slice moves.
	Redispatch
)

// Loss describes a target that its dispatcher fails to reach.
type Loss struct {
	Target     string
	DataCentre string
	// Expired says that the target's grant has expired.
	Expired bool
	// ExpiredFor is the time since the leader learned of the expiry.
	ExpiredFor time.Duration
	// UnreachableFor is the time since the dispatcher first failed.
	UnreachableFor time.Duration
	// LostOfService and TargetsOfService count lost and all targets of the
	// target's service.
	LostOfService, TargetsOfService int
	// Reached says that a VM that may become the dispatcher reached the target.
	Reached bool
	// FailedElsewhere says that a VM of another data centre failed to reach it.
	FailedElsewhere bool
}

// LossPolicy decides on lost targets, so that a fault of the observers does
// not move the slices of many healthy targets. The bound on moves per second
// of each service applies to every policy.
type LossPolicy interface {
	// Decide returns the verdict for one target.
	Decide(l Loss) Verdict
}

// BoundedMoves relies on the bound on moves per second alone.
type BoundedMoves struct{}

// Decide implements LossPolicy.
func (BoundedMoves) Decide(l Loss) Verdict {
	if l.Expired {
		return Move
	}
	return Wait
}

// ShareThreshold moves nothing while more than Share of a service's targets
// are lost, as a failover circuit breaker does.
type ShareThreshold struct {
	// Share is between 0 and 1.
	Share float64
}

// Decide implements LossPolicy.
func (t ShareThreshold) Decide(l Loss) Verdict {
	if !l.Expired || float64(l.LostOfService) > t.Share*float64(l.TargetsOfService) {
		return Wait
	}
	return Move
}

// Confirmation moves slices when a VM of another data centre fails to reach
// the target as well, and changes the dispatcher when another VM reaches it.
type Confirmation struct {
	// Patience is how long after the expiry the policy waits for other VMs;
	// then it moves the slices, as no other VM can observe the target.
	Patience time.Duration
	// Doubt is how long a dispatcher must have failed before it is replaced.
	Doubt time.Duration
}

// Decide implements LossPolicy.
func (c Confirmation) Decide(l Loss) Verdict {
	if l.Reached {
		if l.UnreachableFor >= c.Doubt {
			return Redispatch
		}
		return Wait
	}
	if !l.Expired {
		return Wait
	}
	if l.FailedElsewhere || l.ExpiredFor >= c.Patience {
		return Move
	}
	return Wait
}

// Times of the default policy. The wait for other VMs ends early enough that a
// lost target is served again within one second.
const (
	defaultPatience = 150 * time.Millisecond
	defaultDoubt    = 100 * time.Millisecond
)

// DefaultLossPolicy returns the policy that docs/decisions.md chose.
func DefaultLossPolicy() LossPolicy {
	return Confirmation{Patience: defaultPatience, Doubt: defaultDoubt}
}
