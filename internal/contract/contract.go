// Package contract defines the terms under which a target may run work and a VM
// may dispatch it: slices, fencing tokens, assignments, dispatch contracts and the
// time limits of leases and grants.
package contract

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time limits of leases and grants. docs/design.md shows how they add up to
// less than one second of unavailability after a single loss.
const (
	// VMLease is how long a VM may dispatch work after it sent the last heartbeat
	// that the control leader answered.
	VMLease = 500 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of a VM.
	HeartbeatInterval = 125 * time.Millisecond
	// NewLeaderWait is how long a new control leader waits before it reassigns
	// anything, because its predecessor may have renewed VM leases up to the
	// election. It exceeds VMLease by 20% to allow for differing clock rates.
	NewLeaderWait = VMLease * 6 / 5
	// TargetGrant is the validity of a target's grants on the target's clock.
	TargetGrant = 500 * time.Millisecond
	// RenewInterval is the time between two grant renewals.
	RenewInterval = 100 * time.Millisecond
	// GrantExpiryWait is how long a dispatcher waits, after it received the
	// last clock reading that it used in a renewal, before it regards the
	// grant as expired. It exceeds TargetGrant by 10% to allow for differing
	// clock rates.
	GrantExpiryWait = TargetGrant * 11 / 10
)

// Fence is the fencing token of an assignment. It only increases for a given slice.
// A target refuses work that carries a lower fence than the one granted.
type Fence uint64

// Epoch is the number of a dispatch contract. It only increases for a given target.
// A target refuses a dispatcher with a lower epoch than the highest it has seen.
type Epoch uint64

// SliceID identifies a slice. It does not change while the slice exists.
type SliceID uint32

// Residency is a canonical set of home regions: sorted names joined by "+".
// The empty residency allows all regions.
type Residency string

// NewResidency returns the canonical form of a set of home regions.
func NewResidency(regions []string) Residency {
	sorted := append([]string(nil), regions...)
	sort.Strings(sorted)
	return Residency(strings.Join(sorted, "+"))
}

// Allows reports whether work of this residency may be in the region.
func (r Residency) Allows(region string) bool {
	if r == "" {
		return true
	}
	for _, home := range strings.Split(string(r), "+") {
		if home == region {
			return true
		}
	}
	return false
}

// Regions returns the home regions in ascending order, or nil for the empty
// residency.
func (r Residency) Regions() []string {
	if r == "" {
		return nil
	}
	return strings.Split(string(r), "+")
}

// KeyHash returns the position of a tenant's key in the hash space.
func KeyHash(tenant, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(tenant)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Slice is a range of the hash space of one service and one residency. The slices
// of a service and residency cover the hash space without overlaps or gaps.
type Slice struct {
	ID        SliceID   `msgpack:"i" json:"id"`
	Service   string    `msgpack:"s" json:"service"`
	Residency Residency `msgpack:"r" json:"residency"`
	// Lo and Hi are the first and the last hash of the range, both included.
	Lo uint64 `msgpack:"l" json:"lo"`
	Hi uint64 `msgpack:"h" json:"hi"`
}

// Contains reports whether the slice covers the hash.
func (s Slice) Contains(hash uint64) bool { return s.Lo <= hash && hash <= s.Hi }

// Phase is the state of a slice's assignment.
type Phase uint8

// The phases of an assignment.
const (
	// Unassigned means that no target owns the slice. The fence of the assignment
	// is the last one used.
	Unassigned Phase = iota
	// Owned means that the target owns the slice under the fence.
	Owned
	// Draining means that the target still owns the slice, but no new work is
	// sent. Work in flight may finish until its deadline.
	Draining
	// Held means that the owner is lost and does not check grants, so that it may
	// still run work. No other target may own the slice until the owner confirms
	// that it stopped, returns as a new incarnation or is retired in the
	// configuration text.
	Held
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case Unassigned:
		return "unassigned"
	case Owned:
		return "owned"
	case Draining:
		return "draining"
	case Held:
		return "held"
	}
	return "invalid"
}

// Assignment names the target that owns a slice. Invariant: Fence never decreases.
type Assignment struct {
	Slice       SliceID `msgpack:"s" json:"slice"`
	Target      string  `msgpack:"t" json:"target"`
	Incarnation uint64  `msgpack:"i" json:"incarnation"`
	Fence       Fence   `msgpack:"f" json:"fence"`
	Phase       Phase   `msgpack:"p" json:"phase"`
}

// Dispatch is a dispatch contract: it names the VM that sends all work to a target.
// A VM acts on it only while its lease is valid and VMIncarnation is its own.
// Invariant: Epoch never decreases.
type Dispatch struct {
	Target        string `msgpack:"t" json:"target"`
	VM            string `msgpack:"v" json:"vm"`
	VMIncarnation uint64 `msgpack:"i" json:"vm_incarnation"`
	Epoch         Epoch  `msgpack:"e" json:"epoch"`
}

// SliceFence identifies one assignment of one slice.
type SliceFence struct {
	Slice SliceID `msgpack:"s" json:"slice"`
	Fence Fence   `msgpack:"f" json:"fence"`
}
