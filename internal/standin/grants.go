package standin

import (
	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

// Reasons for which the target refuses grants or work.
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

// work is what a request says about the contract under which it is sent.
type work struct {
	slice contract.SliceID
	fence contract.Fence
	epoch contract.Epoch
	hash  uint64
	// anyOwner: the request names no slice.
	anyOwner bool
	// residency is that of the granted slice; mayBegin sets it.
	residency contract.Residency
}

// grants is the state of the grants of one incarnation. Times are readings of
// the target's monotonic clock in ms since the incarnation started. It is not
// safe for concurrent use.
type grants struct {
	id          string
	incarnation uint64
	// seen is the highest epoch of any accepted message. epoch is the one
	// under which set was granted. Invariant: epoch <= seen.
	seen, epoch contract.Epoch
	set         map[contract.SliceID]target.GrantSlice
	untilMs     int64
	// expiry keeps, for each assignment ever granted, until when it was last
	// granted: work that began under it may take effect no later.
	expiry map[contract.SliceFence]int64
	// revoked is the highest revoked fence per slice.
	revoked map[contract.SliceID]contract.Fence
}

func newGrants(id string, incarnation uint64) *grants {
	return &grants{
		id:          id,
		incarnation: incarnation,
		set:         map[contract.SliceID]target.GrantSlice{},
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
	case r.Epoch < g.seen:
		return ReasonStaleEpoch
	case r.UntilMs > nowMs+contract.TargetGrant.Milliseconds():
		return ReasonGrantTooLong
	}
	g.seen = r.Epoch
	if r.UntilMs == 0 {
		return ""
	}
	if g.epoch == r.Epoch && r.UntilMs < g.untilMs {
		// An older renewal that arrived late must not replace a newer set.
		return ""
	}
	g.epoch = r.Epoch
	g.untilMs = r.UntilMs
	g.set = make(map[contract.SliceID]target.GrantSlice, len(r.Slices))
	for _, s := range r.Slices {
		g.set[s.ID] = s
		sf := contract.SliceFence{Slice: s.ID, Fence: s.Fence}
		g.expiry[sf] = max(g.expiry[sf], r.UntilMs)
	}
	g.forgetExpired(nowMs)
	return ""
}

// forgetExpired drops expiries that no work can use any more.
func (g *grants) forgetExpired(nowMs int64) {
	for sf, until := range g.expiry {
		if until <= nowMs {
			delete(g.expiry, sf)
		}
	}
}

// revoke takes slices away and returns the reason of a refusal, or "".
func (g *grants) revoke(r target.RevokeRequest) string {
	if r.Epoch < g.seen {
		return ReasonStaleEpoch
	}
	g.seen = r.Epoch
	for _, sf := range r.Slices {
		g.revoked[sf.Slice] = max(g.revoked[sf.Slice], sf.Fence)
	}
	return ""
}

// mayBegin returns why work may not begin now, or "".
func (g *grants) mayBegin(nowMs int64, w *work) string {
	if w.epoch < g.seen {
		return ReasonStaleEpoch
	}
	if w.epoch != g.epoch {
		return ReasonNoGrant
	}
	if w.anyOwner {
		return g.expired(nowMs, g.untilMs)
	}
	if w.fence <= g.revoked[w.slice] {
		return ReasonStaleFence
	}
	granted, ok := g.set[w.slice]
	switch {
	case !ok, w.fence > granted.Fence, !granted.Contains(w.hash):
		return ReasonNoGrant
	case w.fence < granted.Fence:
		return ReasonStaleFence
	}
	w.residency = granted.Residency
	return g.expired(nowMs, g.untilMs)
}

// mayCommit returns why work that began may not take effect now, or "". It
// checks only the expiry: a revocation waits for work that began.
func (g *grants) mayCommit(nowMs int64, w work) string {
	if w.anyOwner {
		return g.expired(nowMs, g.untilMs)
	}
	until := g.expiry[contract.SliceFence{Slice: w.slice, Fence: w.fence}]
	for _, s := range g.set {
		// A split slice keeps its fence, and the new part has a new ID.
		if s.Fence == w.fence && s.Residency == w.residency && s.Contains(w.hash) {
			until = max(until, g.untilMs)
		}
	}
	return g.expired(nowMs, until)
}

func (g *grants) expired(nowMs, untilMs int64) string {
	if nowMs >= untilMs {
		return ReasonGrantExpired
	}
	return ""
}
