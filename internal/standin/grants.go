package standin

import (
	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

// Reasons for which the target refuses grants or requests.
const (
	ReasonOtherTarget      = "other_target"
	ReasonOtherIncarnation = "other_incarnation"
	ReasonStaleEpoch       = "stale_epoch"
	ReasonStaleFence       = "stale_fence"
	ReasonNoGrant          = "no_grant"
	ReasonGrantExpired     = "grant_expired"
	ReasonGrantTooLong     = "grant_too_long"
	ReasonDraining         = "draining"
	ReasonShedding         = "shedding"
	ReasonDeadline         = "deadline"
	ReasonCanceled         = "canceled"
	ReasonCrashed          = "crashed"
	ReasonBadRequest       = "bad_request"
)

// contractRef identifies the contract under which a request is sent.
type contractRef struct {
	slice contract.SliceID
	fence contract.Fence
	epoch contract.Epoch
	hash  uint64 // of the tenant and key of the request
	// anyOwner means that the request names no slice.
	anyOwner bool
	// residency is the residency of the granted slice; checkStart sets it.
	residency contract.Residency
}

// grants holds the grants of one incarnation. Times are readings of the
// target's monotonic clock in ms since the incarnation started. It is not safe
// for concurrent use.
type grants struct {
	id          string
	incarnation uint64
	// highestEpoch is the highest epoch of any accepted message. epoch is the
	// epoch under which slices were granted until untilMs. Invariant:
	// epoch <= highestEpoch.
	highestEpoch, epoch contract.Epoch
	slices              map[contract.SliceID]target.GrantSlice
	untilMs             int64
	// expiry holds the latest expiry of each assignment that was granted:
	// requests that started under it must take effect before. Assignments that
	// have expired are deleted.
	expiry map[contract.SliceFence]int64
	// revoked is the highest revoked fence per slice.
	revoked map[contract.SliceID]contract.Fence
}

func newGrants(id string, incarnation uint64) *grants {
	return &grants{
		id:          id,
		incarnation: incarnation,
		slices:      map[contract.SliceID]target.GrantSlice{},
		expiry:      map[contract.SliceFence]int64{},
		revoked:     map[contract.SliceID]contract.Fence{},
	}
}

// renew applies a renewal and returns the reason of a refusal, or "". A
// refused renewal changes nothing.
func (g *grants) renew(nowMs int64, r target.GrantRequest) string {
	switch {
	case r.Target != g.id:
		return ReasonOtherTarget
	case r.Incarnation != g.incarnation:
		return ReasonOtherIncarnation
	case r.Epoch < g.highestEpoch:
		return ReasonStaleEpoch
	case r.UntilMs > nowMs+contract.TargetGrant.Milliseconds():
		return ReasonGrantTooLong
	}
	g.highestEpoch = r.Epoch
	if r.UntilMs == 0 {
		return ""
	}
	if g.epoch == r.Epoch && r.UntilMs < g.untilMs {
		// An older renewal that arrived late must not replace a newer set.
		return ""
	}
	g.epoch = r.Epoch
	g.untilMs = r.UntilMs
	g.slices = make(map[contract.SliceID]target.GrantSlice, len(r.Slices))
	for _, s := range r.Slices {
		g.slices[s.ID] = s
		sf := contract.SliceFence{Slice: s.ID, Fence: s.Fence}
		g.expiry[sf] = max(g.expiry[sf], r.UntilMs)
	}
	g.deleteExpired(nowMs)
	return ""
}

// deleteExpired deletes the expiries that have passed, which no request can use
// any more.
func (g *grants) deleteExpired(nowMs int64) {
	for sf, until := range g.expiry {
		if until <= nowMs {
			delete(g.expiry, sf)
		}
	}
}

// revoke revokes slices and returns the reason of a refusal, or "".
func (g *grants) revoke(r target.RevokeRequest) string {
	if r.Epoch < g.highestEpoch {
		return ReasonStaleEpoch
	}
	g.highestEpoch = r.Epoch
	for _, sf := range r.Slices {
		g.revoked[sf.Slice] = max(g.revoked[sf.Slice], sf.Fence)
	}
	return ""
}

// checkStart returns the reason why a request may not start now, or "".
func (g *grants) checkStart(nowMs int64, ref *contractRef) string {
	if ref.epoch < g.highestEpoch {
		return ReasonStaleEpoch
	}
	if ref.epoch != g.epoch {
		return ReasonNoGrant
	}
	if ref.anyOwner {
		return g.checkExpiry(nowMs, g.untilMs)
	}
	if ref.fence <= g.revoked[ref.slice] {
		return ReasonStaleFence
	}
	granted, ok := g.slices[ref.slice]
	switch {
	case !ok, ref.fence > granted.Fence, !granted.Contains(ref.hash):
		return ReasonNoGrant
	case ref.fence < granted.Fence:
		return ReasonStaleFence
	}
	ref.residency = granted.Residency
	return g.checkExpiry(nowMs, g.untilMs)
}

// checkCommit returns the reason why a running request may not take effect now,
// or "". It checks only the expiry, because a revocation waits for running
// requests.
func (g *grants) checkCommit(nowMs int64, ref contractRef) string {
	if ref.anyOwner {
		return g.checkExpiry(nowMs, g.untilMs)
	}
	until := g.expiry[contract.SliceFence{Slice: ref.slice, Fence: ref.fence}]
	for _, s := range g.slices {
		// A split slice keeps its fence, and the new part has a new ID.
		if s.Fence == ref.fence && s.Residency == ref.residency && s.Contains(ref.hash) {
			until = max(until, g.untilMs)
		}
	}
	return g.checkExpiry(nowMs, until)
}

// checkExpiry returns ReasonGrantExpired if the grant until untilMs has expired.
func (g *grants) checkExpiry(nowMs, untilMs int64) string {
	if nowMs >= untilMs {
		return ReasonGrantExpired
	}
	return ""
}
