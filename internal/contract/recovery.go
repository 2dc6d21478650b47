package contract

import "time"

// RecoveryLimit is the time within which a key is served again after the loss
// of one VM or of one target that checks grants.
const RecoveryLimit = time.Second

// Times outside this package that recovery depends on.
const (
	// ElectionTimeoutMax is the longest election timeout of a control replica.
	ElectionTimeoutMax = 300 * time.Millisecond
	// RegionDelay is the one-way delay between two regions.
	RegionDelay = 8 * time.Millisecond
	// CommitTime is two one-way delays between regions and the disk syncs.
	CommitTime = 2*RegionDelay + 4*time.Millisecond
	// VoteTime is two rounds (pre-vote and vote) between regions.
	VoteTime = 4 * RegionDelay
	// GrantTime is one grant request to a target in the dispatcher's region.
	GrantTime = 2 * time.Millisecond
)

// RecoveryTime is the longest time that one step of a recovery takes.
type RecoveryTime struct {
	// Name names the lost part.
	Name string
	// Steps are the times of the steps that follow each other.
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

// RecoveryTimes returns the recoveries that must end within RecoveryLimit.
func RecoveryTimes() []RecoveryTime {
	serve := CommitTime + RegionDelay + GrantTime
	return []RecoveryTime{
		{Name: "VM", Steps: []time.Duration{VMLease, serve}},
		{Name: "leader VM that dispatches", Steps: []time.Duration{ElectionTimeoutMax, VoteTime, ElectedWait, serve}},
		{Name: "target", Steps: []time.Duration{RenewInterval, GrantExpiryWait, HeartbeatInterval, RegionDelay, serve}},
	}
}
