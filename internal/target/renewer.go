package target

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// Limits of a Renewer.
const (
	// ValidFor is how long requests may be sent under a confirmed grant. It is
	// counted from the sending of the renewal whose reply carried the clock
	// reading that the grant is based on. The target read its clock later than
	// that, so its grant lasts longer, even if its clock runs 10% faster.
	ValidFor = contract.TargetGrant * 9 / 10
	// MaxFailures is the number of consecutive failed renewals after which a
	// target is unreachable.
	MaxFailures = 3
	// UnreachableAfter is the time without a reply after which a target is
	// unreachable.
	UnreachableAfter = 250 * time.Millisecond
	// maxPending bounds the renewals that await their reply.
	maxPending = 8
)

// Contract describes the target whose grants a dispatcher renews.
type Contract struct {
	Target       string
	Incarnation  uint64
	VM           string
	Epoch        contract.Epoch
	ChecksGrants bool
	Slices       []GrantSlice
	// PredecessorLease is how long after the start of the renewer an earlier
	// dispatcher may still renew grants; 0 if its VM lease has expired.
	PredecessorLease time.Duration
}

// reading is a clock reading of the target with the local times at which its
// request was sent and its reply received.
type reading struct {
	clockMs            int64
	sentAt, receivedAt time.Duration
	known              bool
}

// pendingRenewal is a renewal that awaits its reply.
type pendingRenewal struct {
	sentAt time.Duration
	// basis is the reading that the expiry of the grant was computed from.
	basis  reading
	slices []GrantSlice
}

// Renewer is the state machine of one target's grants: clock readings,
// reachability and expiry. It does no I/O and reads no clock; times are monotonic
// on the dispatcher's clock.
//
// The target keeps the later of two expiry times of one incarnation and epoch,
// so a renewal that arrives late changes nothing.
//
// Invariants, for clocks whose rates differ by less than 9%: Valid is false once
// the grant has expired on the target's clock, and once Expired was true the
// target accepts no requests of this dispatcher or an earlier one any more.
type Renewer struct {
	contract  Contract
	startedAt time.Duration
	// latest is the newest reading.
	latest  reading
	pending []pendingRenewal
	// usedAt is the latest receive time of the readings used in renewals.
	usedAt time.Duration
	// validUntil is the time at which the confirmed grant, which covers granted,
	// stops being valid.
	validUntil time.Duration
	granted    map[contract.SliceID]contract.Fence
	// grantedAt is the send time of the newest accepted renewal.
	grantedAt time.Duration
	failures  int
	repliedAt time.Duration
	reply     GrantReply
	// restarted, superseded and expired end the contract permanently.
	restarted, superseded, expired bool
}

// NewRenewer returns a Renewer that starts at time now.
func NewRenewer(now time.Duration, c Contract) *Renewer {
	return &Renewer{contract: c, startedAt: now, usedAt: now + c.PredecessorLease, repliedAt: now}
}

// SetSlices replaces the slices of the following renewals. Covers reports
// which of them the target has confirmed.
func (r *Renewer) SetSlices(slices []GrantSlice) {
	r.contract.Slices = append([]GrantSlice(nil), slices...)
	for id := range r.granted {
		if !r.hasSlice(id, r.granted[id]) {
			delete(r.granted, id)
		}
	}
}

func (r *Renewer) hasSlice(id contract.SliceID, fence contract.Fence) bool {
	for _, s := range r.contract.Slices {
		if s.ID == id && s.Fence == fence {
			return true
		}
	}
	return false
}

// Next returns the renewal to send at time now. Without a reading, and after
// Expired reported the expiry, it grants nothing and requests a reading. Reply
// identifies the request by the same time.
func (r *Renewer) Next(now time.Duration) GrantRequest {
	req := GrantRequest{
		Target: r.contract.Target, Incarnation: r.contract.Incarnation,
		VM: r.contract.VM, Epoch: r.contract.Epoch, Slices: r.contract.Slices,
	}
	basis := reading{}
	if r.latest.known && !r.expired {
		req.UntilMs = r.latest.clockMs + contract.TargetGrant.Milliseconds()
		r.usedAt = max(r.usedAt, r.latest.receivedAt)
		basis = r.latest
	}
	if len(r.pending) == maxPending {
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, pendingRenewal{sentAt: now, basis: basis, slices: r.contract.Slices})
	return req
}

// Reply applies the reply to the request that Next returned at sentAt. The
// reply to any other request is ignored.
func (r *Renewer) Reply(sentAt, receivedAt time.Duration, rep GrantReply) {
	request, ok := r.takePending(sentAt)
	if !ok {
		return
	}
	r.failures = 0
	r.repliedAt = max(r.repliedAt, receivedAt)
	if rep.Incarnation != r.contract.Incarnation {
		r.restarted = true
		return
	}
	if rep.Epoch > r.contract.Epoch {
		r.superseded = true
		return
	}
	if !r.latest.known || rep.ClockMs > r.latest.clockMs {
		r.latest = reading{clockMs: rep.ClockMs, sentAt: sentAt, receivedAt: receivedAt, known: true}
		r.reply = rep
	}
	if rep.Accepted && request.basis.known {
		r.confirm(request)
	}
}

// takePending removes and returns the pending renewal that was sent at a time.
func (r *Renewer) takePending(sentAt time.Duration) (pendingRenewal, bool) {
	for i, p := range r.pending {
		if p.sentAt == sentAt {
			r.pending = append(r.pending[:i:i], r.pending[i+1:]...)
			return p, true
		}
	}
	return pendingRenewal{}, false
}

// confirm records that the target accepted a renewal.
func (r *Renewer) confirm(request pendingRenewal) {
	r.validUntil = max(r.validUntil, request.basis.sentAt+ValidFor)
	if request.sentAt < r.grantedAt {
		return
	}
	r.grantedAt = request.sentAt
	r.granted = make(map[contract.SliceID]contract.Fence, len(request.slices))
	for _, s := range request.slices {
		if r.hasSlice(s.ID, s.Fence) {
			r.granted[s.ID] = s.Fence
		}
	}
}

// Failed records that a renewal got no reply.
func (r *Renewer) Failed(time.Duration) { r.failures++ }

// Reachable reports whether the target replies to renewals.
func (r *Renewer) Reachable(now time.Duration) bool {
	return r.failures < MaxFailures && now-r.repliedAt < UnreachableAfter
}

// Valid reports whether requests may be sent: the target is reachable and
// confirmed a grant that has not expired on its clock.
func (r *Renewer) Valid(now time.Duration) bool {
	return !r.restarted && !r.superseded && now < r.validUntil && r.Reachable(now)
}

// Covers reports whether requests for one slice may be sent under a fencing
// token.
func (r *Renewer) Covers(now time.Duration, slice contract.SliceID, fence contract.Fence) bool {
	granted, ok := r.granted[slice]
	return ok && granted == fence && r.Valid(now)
}

// Expired reports whether no request sent by this dispatcher or an earlier one can
// still start on the target. The control leader then assigns the slices to other
// targets, so once Expired was true the renewer grants nothing any more; the
// target gets grants again under a new epoch. Expired is never true for a target
// that does not check grants, nor after a later dispatcher took over, which then
// reports the expiry instead.
func (r *Renewer) Expired(now time.Duration) bool {
	if !r.contract.ChecksGrants || r.superseded {
		return false
	}
	r.expired = r.expired || now-r.usedAt >= contract.GrantExpiryWait
	return r.expired
}

// Restarted reports whether the target replied as another incarnation.
func (r *Renewer) Restarted() bool { return r.restarted }

// Superseded reports whether the target has seen a dispatcher of a higher epoch.
func (r *Renewer) Superseded() bool { return r.superseded }

// LatestReply returns the reply with the newest clock reading.
func (r *Renewer) LatestReply() GrantReply { return r.reply }
