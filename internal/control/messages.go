// Package control is the replicated control state (configuration, VMs,
// targets, slices, dispatch contracts) and the planner that decides, on the
// control leader, which commands to propose. Both are pure.
package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// TargetState is what a target says of itself when it announces.
type TargetState string

// The states that a target announces.
const (
	Cold    TargetState = "cold"
	Warm    TargetState = "warm"
	Leaving TargetState = "draining"
)

// Target is a target as the control state knows it.
type Target struct {
	ID          string `msgpack:"i" json:"id"`
	Service     string `msgpack:"s" json:"service"`
	DataCentre  string `msgpack:"d" json:"data_centre"`
	Address     string `msgpack:"a" json:"address"`
	Incarnation uint64 `msgpack:"n" json:"incarnation"`
	// ChecksGrants says that the target refuses work whose fence, epoch or
	// grant has expired.
	ChecksGrants bool        `msgpack:"g" json:"checks_grants"`
	Slots        int         `msgpack:"l" json:"slots"`
	State        TargetState `msgpack:"t" json:"state"`
	// Lost says that the target's grant expired without an answer.
	Lost bool `msgpack:"o" json:"lost"`
}

// VM is one VM of the system as the control state knows it.
type VM struct {
	Name        string `msgpack:"n" json:"name"`
	DataCentre  string `msgpack:"d" json:"data_centre"`
	Region      string `msgpack:"r" json:"region"`
	LinkAddr    string `msgpack:"l" json:"link_addr"`
	CallerAddr  string `msgpack:"c" json:"caller_addr"`
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	Stopping    bool   `msgpack:"s" json:"stopping"`
}

// TargetReport is what the dispatcher of a target knows of it.
type TargetReport struct {
	Target      string         `msgpack:"t"`
	Incarnation uint64         `msgpack:"i"`
	Epoch       contract.Epoch `msgpack:"e"`
	// Reachable says that the target answered this dispatcher within the last
	// two renewal intervals; it is false until the first answer.
	Reachable bool `msgpack:"r"`
	// GrantExpired says that no work sent by this dispatcher or an earlier
	// one can still begin on a target that checks grants. It is final for
	// the epoch: the dispatcher neither grants nor sends under this epoch
	// again, even if the target answers, because the leader may already have
	// proposed another owner. A target that answers again gets a new epoch.
	GrantExpired bool        `msgpack:"g"`
	State        TargetState `msgpack:"s"`
	InFlight     int         `msgpack:"f"`
	// Stopped lists draining and held slices that have no work in flight and
	// that the target confirmed as revoked. Work in flight is counted by hash,
	// not by slice, because a split or merge may have changed the slice since
	// the work was sent.
	Stopped []contract.SliceFence `msgpack:"p"`
	// HotHashes lists hashes that each take more than a tenth of the target's
	// requests, hottest first, with their share in HotShares.
	HotHashes []uint64  `msgpack:"h"`
	HotShares []float64 `msgpack:"a"`
	// Load is the share of slots in use, 0 to 1, averaged over a second.
	Load float64 `msgpack:"l"`
	// Straggler says that the target's latency is far above its service's.
	Straggler bool `msgpack:"x"`
}

// Heartbeat is sent by every VM to the control leader every
// contract.HeartbeatInterval.
type Heartbeat struct {
	VM VM `msgpack:"v"`
	// SentAt is the VM's monotonic time; the renewal repeats it.
	SentAt       time.Duration  `msgpack:"s"`
	Version      uint64         `msgpack:"n"`
	ConfigNumber uint64         `msgpack:"c"`
	Reports      []TargetReport `msgpack:"r"`
	// Announcements are targets that announced themselves at this VM since its
	// last heartbeat.
	Announcements []Target `msgpack:"a"`
	// Unreachable lists targets that this VM, not being their dispatcher,
	// failed to reach on the leader's request.
	Unreachable []string `msgpack:"u"`
	// Probed lists targets that this VM reached or failed to reach.
	Probed []string `msgpack:"p"`
	// ReplicaID names the replica of the control log on this VM, if any.
	ReplicaID string `msgpack:"i"`
}

// Renewal answers a heartbeat.
type Renewal struct {
	// Granted says that the VM lease runs for contract.VMLease from SentAt,
	// once the VM has applied Version.
	Granted bool          `msgpack:"g"`
	SentAt  time.Duration `msgpack:"s"`
	Version uint64        `msgpack:"n"`
	Leader  string        `msgpack:"l"`
	// Commands are the committed commands after the heartbeat's version, or
	// Snapshot replaces the VM's state when it is too far behind.
	Commands []IndexedCommand `msgpack:"c"`
	Snapshot []byte           `msgpack:"d"`
	// Probe lists targets that the VM should try to reach.
	Probe []string `msgpack:"p"`
}

// IndexedCommand is a committed command with its log index.
type IndexedCommand struct {
	Index uint64 `msgpack:"i"`
	Data  []byte `msgpack:"d"`
}

// Command is one change of the control state. Exactly one field is set. Apply
// checks the preconditions of each, so a command that was overtaken by another
// one changes nothing.
type Command struct {
	ChangeConfig   *ChangeConfig  `msgpack:"c,omitempty"`
	RegisterVM     *VM            `msgpack:"v,omitempty"`
	RemoveVM       *RemoveVM      `msgpack:"w,omitempty"`
	RegisterTarget *Target        `msgpack:"t,omitempty"`
	MarkTarget     *MarkTarget    `msgpack:"m,omitempty"`
	RemoveTarget   *RemoveTarget  `msgpack:"r,omitempty"`
	SetDispatch    *SetDispatch   `msgpack:"d,omitempty"`
	Assign         *Assign        `msgpack:"a,omitempty"`
	Drain          *SliceChange   `msgpack:"s,omitempty"`
	Unassign       *SliceChange   `msgpack:"u,omitempty"`
	Hold           *SliceChange   `msgpack:"h,omitempty"`
	Split          *Split         `msgpack:"p,omitempty"`
	Merge          *Merge         `msgpack:"e,omitempty"`
	ForgetHolders  *ForgetHolders `msgpack:"f,omitempty"`
	SetHolders     *SetHolders    `msgpack:"o,omitempty"`
	// AddResidency creates the slices of a service for a residency.
	AddResidency *AddResidency `msgpack:"y,omitempty"`
}

// ChangeConfig replaces the operators' text if Base is the current number.
type ChangeConfig struct {
	Base uint64 `msgpack:"b"`
	Text []byte `msgpack:"t"`
}

// RemoveVM removes a VM that the text retired.
type RemoveVM struct {
	Name string `msgpack:"n"`
}

// MarkTarget changes what is known of an incarnation of a target.
type MarkTarget struct {
	ID          string      `msgpack:"i"`
	Incarnation uint64      `msgpack:"n"`
	State       TargetState `msgpack:"s"`
	Lost        bool        `msgpack:"l"`
}

// RemoveTarget removes a target that owns nothing.
type RemoveTarget struct {
	ID          string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// SetDispatch gives a target a dispatcher; Epoch must be the current one + 1.
type SetDispatch struct {
	Dispatch contract.Dispatch `msgpack:"d"`
}

// Assign gives an unassigned slice an owner; Fence must be the current one + 1.
type Assign struct {
	Assignment contract.Assignment `msgpack:"a"`
}

// SliceChange drains, unassigns or holds a slice if its fence is still Fence.
type SliceChange struct {
	Slice contract.SliceID `msgpack:"s"`
	Fence contract.Fence   `msgpack:"f"`
}

// Split cuts a slice after hash At. Both parts keep owner, phase and fence.
type Split struct {
	Slice contract.SliceID `msgpack:"s"`
	Fence contract.Fence   `msgpack:"f"`
	At    uint64           `msgpack:"a"`
}

// Merge joins two neighbours with the same owner, incarnation and phase; the
// result has the higher fence of the two.
type Merge struct {
	Left  contract.SliceID `msgpack:"l"`
	Right contract.SliceID `msgpack:"r"`
}

// SetHolders makes the registered VMs the current set of record holders.
type SetHolders struct{}

// ForgetHolders drops holder sets older than the given one.
type ForgetHolders struct {
	Before uint64 `msgpack:"b"`
}

// AddResidency creates the slices of a service for a residency.
type AddResidency struct {
	Service   string             `msgpack:"s"`
	Residency contract.Residency `msgpack:"r"`
}

// ChangeResult is the answer to ChangeConfig.
type ChangeResult struct {
	Accepted bool   `msgpack:"a" json:"accepted"`
	Number   uint64 `msgpack:"n" json:"number"`
	// Current is the text in force when the change was refused.
	Current []byte `msgpack:"c" json:"current,omitempty"`
}
