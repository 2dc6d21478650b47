package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// Maximum ages of observations.
const (
	// maxReportAge is the age up to which a dispatcher's report is used.
	maxReportAge = time.Second
	// maxAnnouncementAge is the age up to which an announcement registers a
	// target; targets announce themselves every second.
	maxAnnouncementAge = 5 * time.Second
	// maxProbeAge is the age up to which a probe result of another VM is used.
	maxProbeAge = 600 * time.Millisecond
)

// vmObservation is what the leader knows about one VM.
type vmObservation struct {
	vm     VM
	sentAt time.Duration
	// leaseUntil is the end of the VM lease on the leader's clock.
	leaseUntil time.Duration
	version    uint64
	// since is when the leader received the first heartbeat of this incarnation.
	since time.Duration
}

// reportObservation is a dispatcher's latest report on a target.
type reportObservation struct {
	vm            string
	vmIncarnation uint64
	at            time.Duration
	report        TargetReport
	// unreachableSince and expiredSince are the times of the first report of
	// the current uninterrupted run of reports under one epoch and incarnation
	// that say that the target is unreachable or that its grant expired; zero
	// if the latest report does not say so.
	unreachableSince time.Duration
	expiredSince     time.Duration
}

// probeObservation is the result of a probe of a target by a VM that is not its
// dispatcher.
type probeObservation struct {
	at        time.Duration
	reachable bool
}

// announcement is the latest announcement of a target.
type announcement struct {
	target Target
	at     time.Duration
}

// Heartbeat records what a VM observed and that its lease is renewed now. It
// ignores a heartbeat from an older incarnation, and one that arrives after a
// later one: the lease that it renews ends before the one already recorded.
func (p *Planner) Heartbeat(now time.Duration, hb Heartbeat) {
	known, ok := p.vms[hb.VM.Name]
	if ok && hb.VM.Incarnation < known.vm.Incarnation {
		return
	}
	if ok && hb.VM.Incarnation == known.vm.Incarnation && hb.SentAt <= known.sentAt {
		return
	}
	since := now
	if ok && hb.VM.Incarnation == known.vm.Incarnation {
		since = known.since
	}
	p.vms[hb.VM.Name] = &vmObservation{
		since:      since,
		vm:         hb.VM,
		sentAt:     hb.SentAt,
		leaseUntil: now + contract.VMLease,
		version:    hb.Version,
	}
	for _, report := range hb.Reports {
		p.observeReport(now, hb.VM, report)
	}
	for _, announced := range hb.Announcements {
		p.observeAnnouncement(now, announced)
	}
	p.observeProbes(now, hb)
}

// CurrentIncarnation reports whether no later incarnation of the VM is known.
// The leader does not renew leases of older incarnations.
func (p *Planner) CurrentIncarnation(s *State, v VM) bool {
	if known, ok := p.vms[v.Name]; ok && known.vm.Incarnation > v.Incarnation {
		return false
	}
	return s.vms[v.Name].Incarnation <= v.Incarnation
}

func (p *Planner) observeReport(now time.Duration, v VM, report TargetReport) {
	before, ok := p.reports[report.Target]
	if ok && report.Epoch < before.report.Epoch {
		return
	}
	next := reportObservation{vm: v.Name, vmIncarnation: v.Incarnation, at: now, report: report}
	same := ok && report.Epoch == before.report.Epoch && report.Incarnation == before.report.Incarnation
	if !report.Reachable {
		next.unreachableSince = now
		if same && !before.report.Reachable {
			next.unreachableSince = before.unreachableSince
		}
	}
	if report.GrantExpired {
		next.expiredSince = now
		if same && before.report.GrantExpired {
			next.expiredSince = before.expiredSince
		}
	}
	p.reports[report.Target] = next
	if !same || report.State != before.report.State || report.Reachable != before.report.Reachable {
		p.changed[report.Target] = true
	}
	delete(p.suspects, report.Target)
	if !report.Reachable || report.GrantExpired {
		p.suspects[report.Target] = true
	}
	p.observeHot(now, report)
}

func (p *Planner) observeAnnouncement(now time.Duration, t Target) {
	known, ok := p.announced[t.ID]
	if ok && t.Incarnation < known.target.Incarnation {
		return
	}
	if ok && t.Incarnation == known.target.Incarnation && known.target.State == Leaving {
		t.State = Leaving
	}
	if !ok || t != known.target || now-known.at > maxAnnouncementAge {
		p.changed[t.ID] = true
	}
	p.announced[t.ID] = announcement{target: t, at: now}
}

func (p *Planner) observeProbes(now time.Duration, hb Heartbeat) {
	failed := map[string]bool{}
	for _, id := range hb.Unreachable {
		failed[id] = true
	}
	for _, id := range hb.Probed {
		if p.probeResults[id] == nil {
			p.probeResults[id] = map[string]probeObservation{}
		}
		p.probeResults[id][hb.VM.Name] = probeObservation{at: now, reachable: !failed[id]}
	}
}

// hasLease reports whether this incarnation of a VM holds a valid lease.
func (r *planRound) hasLease(name string, incarnation uint64) bool {
	known, ok := r.p.vms[name]
	return ok && known.vm.Incarnation == incarnation && r.now < known.leaseUntil
}

// leaseEnd returns the time until which this incarnation of a VM may act under
// a lease. An incarnation ended at the latest when the leader received the first
// heartbeat of a later one. The previous leader may have renewed leases until
// the election.
func (r *planRound) leaseEnd(name string, incarnation uint64) time.Duration {
	known, ok := r.p.vms[name]
	if ok && known.vm.Incarnation > incarnation {
		return known.since
	}
	end := r.p.electedAt + contract.NewLeaderWait
	if ok {
		end = max(end, known.leaseUntil)
	}
	return end
}

// report returns the latest report on a target, and whether it is recent and
// comes from the current dispatcher, epoch and incarnation.
func (r *planRound) report(target string) (reportObservation, bool) {
	observed, ok := r.p.reports[target]
	if !ok || r.now-observed.at > maxReportAge {
		return observed, false
	}
	dispatch := r.s.dispatches[target].Dispatch
	if observed.report.Epoch != dispatch.Epoch || observed.vm != dispatch.VM {
		return observed, false
	}
	if observed.vmIncarnation != dispatch.VMIncarnation {
		return observed, false
	}
	return observed, observed.report.Incarnation == r.s.targets[target].Incarnation
}
