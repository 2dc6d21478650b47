package target

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// Limits of a Renewer.
const (
	// ValidFor is how long work may be sent after the sending of the request
	// whose reply carried the reading that a confirmed grant is based on. The
	// target read its clock after that, so its grant lasts longer, even if its
	// clock runs 10% faster.
	ValidFor = contract.TargetGrant * 9 / 10
	// MaxFailures is the number of failed renewals in a row after which a
	// target is unreachable.
	MaxFailures = 3
	// SilentAfter is the time without a reply after which it is unreachable.
	SilentAfter = 250 * time.Millisecond
	// maxSent bounds the requests whose reply is still expected.
	maxSent = 8
)

// Contract is what a dispatcher knows of the target whose grants it renews.
type Contract struct {
	Target       string
	Incarnation  uint64
	VM           string
	Epoch        contract.Epoch
	ChecksGrants bool
	Slices       []GrantSlice
	// PredecessorLease is how long after the renewer began an earlier
	// dispatcher may still renew grants; 0 when its VM lease has expired.
	PredecessorLease time.Duration
}

// reading is a clock reading of the target and the local times around it.
type reading struct {
	clockMs            int64
	sentAt, receivedAt time.Duration
	known              bool
}

// sent is a renewal whose reply is still expected.
type sent struct {
	at    time.Duration
	based reading
	// slices are those of the request.
	slices []GrantSlice
}

// Renewer is the pure state of one target's grants: clock readings, probes and
// expiry. Times are monotonic on the dispatcher's clock.
//
// The target keeps the later of two expiry times of one incarnation and epoch.
// A renewal that arrives late then changes nothing.
//
// Invariants, for clocks whose rates differ by less than 9%: Valid is false once
// the grant has expired on the target's clock, and once Expired was true the
// target accepts no work of this dispatcher or an earlier one any more.
type Renewer struct {
	contract Contract
	began    time.Duration
	// latest is the newest reading.
	latest reading
	sent   []sent
	// usedAt is the latest receive time of the readings used in renewals.
	usedAt time.Duration
	// validUntil ends the validity of the confirmed grant, which covers granted.
	validUntil time.Duration
	granted    map[contract.SliceID]contract.Fence
	// grantedAt is the send time of the newest accepted renewal.
	grantedAt time.Duration
	failures  int
	repliedAt time.Duration
	reply     GrantReply
	// restarted, superseded and expired end the contract for good.
	restarted, superseded, expired bool
}

// NewRenewer begins to renew at time now.
func NewRenewer(now time.Duration, c Contract) *Renewer {
	return &Renewer{contract: c, began: now, usedAt: now + c.PredecessorLease, repliedAt: now}
}

// SetSlices replaces the slices of the following renewals. Covers reports
// which of them the target has confirmed.
func (r *Renewer) SetSlices(slices []GrantSlice) {
	r.contract.Slices = append([]GrantSlice(nil), slices...)
	for id := range r.granted {
		if !r.wants(id, r.granted[id]) {
			delete(r.granted, id)
		}
	}
}

func (r *Renewer) wants(id contract.SliceID, fence contract.Fence) bool {
	for _, s := range r.contract.Slices {
		if s.ID == id && s.Fence == fence {
			return true
		}
	}
	return false
}

// Next returns the renewal to send at time now. Without a reading, and after
// Expired reported the expiry, it grants nothing and asks for a reading. Reply
// names the request by the same time.
func (r *Renewer) Next(now time.Duration) GrantRequest {
	req := GrantRequest{
		Target: r.contract.Target, Incarnation: r.contract.Incarnation,
		VM: r.contract.VM, Epoch: r.contract.Epoch, Slices: r.contract.Slices,
	}
	based := reading{}
	if r.latest.known && !r.expired {
		req.UntilMs = r.latest.clockMs + contract.TargetGrant.Milliseconds()
		r.usedAt = max(r.usedAt, r.latest.receivedAt)
		based = r.latest
	}
	if len(r.sent) == maxSent {
		r.sent = r.sent[1:]
	}
	r.sent = append(r.sent, sent{at: now, based: based, slices: r.contract.Slices})
	return req
}

// Reply applies the reply to the request that Next returned at sentAt. The
// reply to any other request is ignored.
func (r *Renewer) Reply(sentAt, receivedAt time.Duration, rep GrantReply) {
	request, ok := r.take(sentAt)
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
	if rep.Accepted && request.based.known {
		r.confirm(request)
	}
}

// take removes and returns the request sent at a time.
func (r *Renewer) take(at time.Duration) (sent, bool) {
	for i, s := range r.sent {
		if s.at == at {
			r.sent = append(r.sent[:i:i], r.sent[i+1:]...)
			return s, true
		}
	}
	return sent{}, false
}

// confirm records that the target accepted a renewal.
func (r *Renewer) confirm(request sent) {
	r.validUntil = max(r.validUntil, request.based.sentAt+ValidFor)
	if request.at < r.grantedAt {
		return
	}
	r.grantedAt = request.at
	r.granted = make(map[contract.SliceID]contract.Fence, len(request.slices))
	for _, s := range request.slices {
		if r.wants(s.ID, s.Fence) {
			r.granted[s.ID] = s.Fence
		}
	}
}

// Failed records that a renewal got no reply.
func (r *Renewer) Failed(time.Duration) { r.failures++ }

// Reachable reports whether the target answers renewals.
func (r *Renewer) Reachable(now time.Duration) bool {
	return r.failures < MaxFailures && now-r.repliedAt < SilentAfter
}

// Valid reports whether work may be sent: the target is reachable and
// confirmed a grant that has not expired on its clock.
func (r *Renewer) Valid(now time.Duration) bool {
	return !r.restarted && !r.superseded && now < r.validUntil && r.Reachable(now)
}

// Covers reports whether work of one slice may be sent under a fence.
func (r *Renewer) Covers(now time.Duration, slice contract.SliceID, fence contract.Fence) bool {
	granted, ok := r.granted[slice]
	return ok && granted == fence && r.Valid(now)
}

// Expired reports that no work sent by this dispatcher or an earlier one can
// still begin on the target. The control leader then gives the slices to other
// targets, so once Expired was true the renewer grants nothing any more; the
// target returns under a new epoch. Expired is never true for a target that
// does not check grants, nor after a later dispatcher took over, which then
// reports instead.
func (r *Renewer) Expired(now time.Duration) bool {
	if !r.contract.ChecksGrants || r.superseded {
		return false
	}
	r.expired = r.expired || now-r.usedAt >= contract.GrantExpiryWait
	return r.expired
}

// Restarted reports that the target answered as another incarnation.
func (r *Renewer) Restarted() bool { return r.restarted }

// Superseded reports that the target has seen a dispatcher of a higher epoch.
func (r *Renewer) Superseded() bool { return r.superseded }

// Last returns the reply with the newest clock reading.
func (r *Renewer) Last() GrantReply { return r.reply }
