// Package target implements the published target protocol: announcements, fenced
// grants, revocation, health and the requests themselves.
package target

import "github.com/flamingoreel/flamingoreel/internal/contract"

// Paths of the target protocol. AnnouncePath is served by every VM, the others
// by targets.
const (
	AnnouncePath = "/flamingoreel/v1/targets"
	GrantPath    = "/flamingoreel/v1/grants"
	RevokePath   = "/flamingoreel/v1/revoke"
)

// Headers of requests that a dispatcher sends to a target.
const (
	HeaderTenant     = "Flamingoreel-Tenant"
	HeaderService    = "Flamingoreel-Service"
	HeaderKey        = "Flamingoreel-Key"
	HeaderClass      = "Flamingoreel-Class"
	HeaderDeadline   = "Flamingoreel-Deadline-Ms"
	HeaderFirstSent  = "Flamingoreel-First-Sent"
	HeaderIdemKey    = "Idempotency-Key"
	HeaderRequestID  = "Flamingoreel-Request-Id"
	HeaderSlice      = "Flamingoreel-Slice"
	HeaderFence      = "Flamingoreel-Fence"
	HeaderEpoch      = "Flamingoreel-Epoch"
	HeaderOutcome    = "Flamingoreel-Outcome"
	HeaderErrorKind  = "Flamingoreel-Error-Kind"
	HeaderEntries    = "Flamingoreel-Entries"
	HeaderServedFrom = "Flamingoreel-Served-From"
)

// Announcement is what a target posts to AnnouncePath of any VM, every second
// and at each change of state.
type Announcement struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	DataCentre   string `json:"data_centre"`
	Address      string `json:"address"`
	Incarnation  uint64 `json:"incarnation"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	ChecksGrants bool   `json:"checks_grants"`
	// State is cold, warm or draining.
	State string `json:"state"`
}

// GrantRequest renews all grants of a target. It replaces the set of slices
// that the target may serve.
type GrantRequest struct {
	Target      string         `json:"target"`
	Incarnation uint64         `json:"incarnation"`
	VM          string         `json:"vm"`
	Epoch       contract.Epoch `json:"epoch"`
	// UntilMs is the reading of the target's monotonic clock, in ms since the
	// incarnation started, at which the grants expire. 0 requests a
	// reading only and grants nothing.
	UntilMs int64        `json:"until_ms"`
	Slices  []GrantSlice `json:"slices"`
}

// GrantSlice is one slice of a grant.
type GrantSlice struct {
	contract.Slice
	Fence contract.Fence `json:"fence"`
}

// GrantReply is the reply to a GrantRequest. A refused request changes nothing.
type GrantReply struct {
	Accepted    bool           `json:"accepted"`
	Reason      string         `json:"reason,omitempty"`
	Incarnation uint64         `json:"incarnation"`
	ClockMs     int64          `json:"clock_ms"`
	Epoch       contract.Epoch `json:"epoch"`
	// State is cold, warm or draining.
	State string `json:"state"`
	Load  Load   `json:"load"`
}

// Load is the target's own load report, which may be outdated.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// WarmKeys is the number of keys whose state the target has in memory.
	WarmKeys int `json:"warm_keys"`
}

// RevokeRequest withdraws slices from a target immediately. The target replies
// when none of their requests runs any more; it refuses all later requests for
// them under the given or a lower fencing token.
type RevokeRequest struct {
	VM     string                `json:"vm"`
	Epoch  contract.Epoch        `json:"epoch"`
	Slices []contract.SliceFence `json:"slices"`
}

// RevokeReply is the reply to a RevokeRequest.
type RevokeReply struct {
	Revoked     []contract.SliceFence `json:"revoked"`
	Incarnation uint64                `json:"incarnation"`
}
