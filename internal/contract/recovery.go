package contract

import "time"

// RecoveryLimit is the time within which a key must be served again after the loss
// of one VM or of one target that checks grants.
const RecoveryLimit = time.Second

// Durations outside this package that recovery depends on.
const (
	// ElectionTimeoutMax is the longest election timeout of a control replica.
	ElectionTimeoutMax = 300 * time.Millisecond
	// RegionDelay is the one-way delay between two regions.
	RegionDelay = 8 * time.Millisecond
	// CommitTime is the time of a commit to the control log: two one-way delays
	// between regions and the disk syncs.
	CommitTime = 2*RegionDelay + 4*time.Millisecond
	// VoteTime is the time of an election: two round trips between regions, one for
	// the pre-vote and one for the vote.
	VoteTime = 4 * RegionDelay
	// GrantTime is the time of one grant request to a target in the dispatcher's
	// region.
	GrantTime = 2 * time.Millisecond
)

// RecoveryTime describes how long the recovery from one kind of loss takes at most.
type RecoveryTime struct {
	// Name is the part of the system that is lost.
	Name string
	// Steps are the longest durations of the consecutive recovery steps.
	Steps []time.Duration
}

// Total returns the sum of the steps.
func (r RecoveryTime) Total() time.Duration {
	var total time.Duration
	for _, step := range r.Steps {
		total += step
	}
	return total
}

// RecoveryTimes returns the recoveries whose total must stay below RecoveryLimit.
func RecoveryTimes() []RecoveryTime {
	serve := CommitTime + RegionDelay + GrantTime
	return []RecoveryTime{
		{Name: "VM", Steps: []time.Duration{VMLease, serve}},
		{Name: "leader VM that dispatches", Steps: []time.Duration{ElectionTimeoutMax, VoteTime, NewLeaderWait, serve}},
		{Name: "target", Steps: []time.Duration{RenewInterval, GrantExpiryWait, HeartbeatInterval, RegionDelay, serve}},
	}
}
