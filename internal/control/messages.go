// Package control implements the replicated control state (configuration, VMs,
// targets, slices, dispatch contracts) and the planner that decides, on the
// control leader, which commands to propose. Both are free of I/O and read no
// clock: callers pass in log entries, heartbeats and the time.
package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// TargetState is the state that a target reports in its announcements.
type TargetState string

// The states of a target.
const (
	Cold    TargetState = "cold"
	Warm    TargetState = "warm"
	Leaving TargetState = "draining"
)

// Target is a target registered in the control state.
type Target struct {
	ID          string `msgpack:"i" json:"id"`
	Service     string `msgpack:"s" json:"service"`
	DataCentre  string `msgpack:"d" json:"data_centre"`
	Address     string `msgpack:"a" json:"address"`
	Incarnation uint64 `msgpack:"n" json:"incarnation"`
	// ChecksGrants is true if the target refuses work whose fence, epoch or
	// grant has expired.
	ChecksGrants bool        `msgpack:"g" json:"checks_grants"`
	Slots        int         `msgpack:"l" json:"slots"`
	State        TargetState `msgpack:"t" json:"state"`
	// Lost is true if the target's grant expired while it did not answer.
	Lost bool `msgpack:"o" json:"lost"`
}

// VM is a VM registered in the control state.
type VM struct {
	Name        string `msgpack:"n" json:"name"`
	DataCentre  string `msgpack:"d" json:"data_centre"`
	Region      string `msgpack:"r" json:"region"`
	LinkAddr    string `msgpack:"l" json:"link_addr"`
	CallerAddr  string `msgpack:"c" json:"caller_addr"`
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	Stopping    bool   `msgpack:"s" json:"stopping"`
}

// TargetReport is the report of a dispatcher about one of its targets.
type TargetReport struct {
	Target      string         `msgpack:"t"`
	Incarnation uint64         `msgpack:"i"`
	Epoch       contract.Epoch `msgpack:"e"`
	// Reachable is false after target.MaxFailures failed grant renewals in a
	// row, and once the target has not answered for target.UnreachableAfter.
	Reachable bool `msgpack:"r"`
	// GrantExpired is true once no work sent by this or an earlier dispatcher
	// can start any more on a target that checks grants. It is final for the
	// epoch: even if the target answers again, the dispatcher neither grants
	// nor sends under this epoch, because the leader may already have proposed
	// another owner. A target that answers again gets a new epoch.
	GrantExpired bool        `msgpack:"g"`
	State        TargetState `msgpack:"s"`
	InFlight     int         `msgpack:"f"`
	// StoppedSlices lists draining and held slices that have no work in flight and
	// whose revocation the target has confirmed.
	StoppedSlices []contract.SliceFence `msgpack:"p"`
	// HotHashes lists the hashes that each receive at least a tenth of the
	// target's requests, hottest first. HotShares holds their shares.
	HotHashes []uint64  `msgpack:"h"`
	HotShares []float64 `msgpack:"a"`
	// Load is the share of slots in use, 0 to 1, averaged over a second.
	Load float64 `msgpack:"l"`
	// LatencyMicros is the median latency of recent requests to the target in
	// microseconds, and LatencyCount the number of these requests.
	LatencyMicros int64 `msgpack:"m"`
	LatencyCount  int   `msgpack:"n"`
}

// Heartbeat is sent by every VM to the control leader every
// contract.HeartbeatInterval.
type Heartbeat struct {
	VM VM `msgpack:"v"`
	// SentAt is the VM's monotonic time; the renewal returns it unchanged.
	SentAt       time.Duration  `msgpack:"s"`
	Version      uint64         `msgpack:"n"`
	ConfigNumber uint64         `msgpack:"c"`
	Reports      []TargetReport `msgpack:"r"`
	// Announcements are the targets that announced themselves to this VM since
	// its last heartbeat.
	Announcements []Target `msgpack:"a"`
	// Unreachable lists the targets that this VM does not dispatch and that it
	// failed to reach when the leader requested a probe.
	Unreachable []string `msgpack:"u"`
	// Probed lists the targets that this VM probed, whether it reached them or
	// not.
	Probed []string `msgpack:"p"`
	// ReplicaID identifies the replica of the control log on this VM, if any.
	ReplicaID string `msgpack:"i"`
}

// LeaseRenewal is the control leader's reply to a heartbeat.
type LeaseRenewal struct {
	// Granted is true if the VM lease is renewed: it is valid for
	// contract.VMLease from SentAt, once the VM has applied Version.
	Granted bool          `msgpack:"g"`
	SentAt  time.Duration `msgpack:"s"`
	Version uint64        `msgpack:"n"`
	Leader  string        `msgpack:"l"`
	// Commands are the committed commands after the heartbeat's version. If
	// the VM is too far behind, Snapshot replaces its state instead.
	Commands []IndexedCommand `msgpack:"c"`
	Snapshot []byte           `msgpack:"d"`
	// Probe lists the targets that the VM is requested to probe.
	Probe []string `msgpack:"p"`
}

// IndexedCommand is a committed command with its log index.
type IndexedCommand struct {
	Index uint64 `msgpack:"i"`
	Data  []byte `msgpack:"d"`
}

// Command is one change of the control state. Exactly one field is set. Apply
// checks the preconditions of each command, so a command that an earlier one
// has made stale changes nothing.
type Command struct {
	ChangeConfig   *ChangeConfig   `msgpack:"c,omitempty"`
	RegisterVM     *VM             `msgpack:"v,omitempty"`
	RemoveVM       *RemoveVM       `msgpack:"w,omitempty"`
	RegisterTarget *Target         `msgpack:"t,omitempty"`
	MarkTarget     *MarkTarget     `msgpack:"m,omitempty"`
	RemoveTarget   *RemoveTarget   `msgpack:"r,omitempty"`
	SetDispatch    *SetDispatch    `msgpack:"d,omitempty"`
	Assign         *Assign         `msgpack:"a,omitempty"`
	Drain          *SliceChange    `msgpack:"s,omitempty"`
	Unassign       *SliceChange    `msgpack:"u,omitempty"`
	Hold           *SliceChange    `msgpack:"h,omitempty"`
	Split          *Split          `msgpack:"p,omitempty"`
	Merge          *Merge          `msgpack:"e,omitempty"`
	DropHolderSets *DropHolderSets `msgpack:"f,omitempty"`
	SetHolders     *SetHolders     `msgpack:"o,omitempty"`
	// AddResidency creates the slices of a service for a residency.
	AddResidency *AddResidency `msgpack:"y,omitempty"`
}

// ChangeConfig replaces the configuration text if Base is the current number.
type ChangeConfig struct {
	Base uint64 `msgpack:"b"`
	Text []byte `msgpack:"t"`
}

// RemoveVM removes a VM that the configuration text lists as retired.
type RemoveVM struct {
	Name string `msgpack:"n"`
}

// MarkTarget sets the state and the Lost flag of an incarnation of a target.
type MarkTarget struct {
	ID          string      `msgpack:"i"`
	Incarnation uint64      `msgpack:"n"`
	State       TargetState `msgpack:"s"`
	Lost        bool        `msgpack:"l"`
}

// RemoveTarget removes a target that owns no slice.
type RemoveTarget struct {
	ID          string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// SetDispatch assigns a dispatcher to a target. Epoch must be the target's
// current epoch + 1.
type SetDispatch struct {
	Dispatch contract.Dispatch `msgpack:"d"`
}

// Assign assigns an unassigned slice to a target. Fence must be the slice's
// current fence (fencing token) + 1.
type Assign struct {
	Assignment contract.Assignment `msgpack:"a"`
}

// SliceChange drains, unassigns or holds a slice if its current fence is Fence.
type SliceChange struct {
	Slice contract.SliceID `msgpack:"s"`
	Fence contract.Fence   `msgpack:"f"`
}

// Split splits an unassigned slice after the hash After. Both parts keep the fence. The
// left part keeps the identifier.
type Split struct {
	Slice contract.SliceID `msgpack:"s"`
	Fence contract.Fence   `msgpack:"f"`
	After uint64           `msgpack:"a"`
}

// Merge merges two adjacent slices of which at least one is unassigned and the
// other owned or unassigned. The result has the identifier and owner of the
// owned slice, or the identifier of the left one if both are unassigned, and
// the higher fence of the two.
type Merge struct {
	Left  contract.SliceID `msgpack:"l"`
	Right contract.SliceID `msgpack:"r"`
}

// SetHolders makes the registered VMs the current set of record holders.
type SetHolders struct{}

// DropHolderSets drops the holder sets whose number is below Before, except the
// current one.
type DropHolderSets struct {
	Before uint64 `msgpack:"b"`
}

// AddResidency creates the slices of a service for a residency.
type AddResidency struct {
	Service   string             `msgpack:"s"`
	Residency contract.Residency `msgpack:"r"`
}

// ChangeResult is the result of ChangeConfig.
type ChangeResult struct {
	Accepted bool   `msgpack:"a" json:"accepted"`
	Number   uint64 `msgpack:"n" json:"number"`
	// Current is the current configuration text if the change was refused.
	Current []byte `msgpack:"c" json:"current,omitempty"`
}
