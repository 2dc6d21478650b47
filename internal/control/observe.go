package control

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// Ages up to which observations count.
const (
	// reportAge is the age up to which a dispatcher's report counts.
	reportAge = time.Second
	// announcementAge is the age up to which an announcement adds a target;
	// targets announce themselves every second.
	announcementAge = 5 * time.Second
	// probeAge is the age up to which a probe of another VM counts.
	probeAge = 600 * time.Millisecond
)

// vmObservation is what the leader knows of one VM.
type vmObservation struct {
	vm     VM
	sentAt time.Duration
	// leaseUntil is the end of the VM lease on the leader's clock.
	leaseUntil time.Duration
	version    uint64
	// since is when the leader first heard of this incarnation.
	since time.Duration
}

// reportObservation is a dispatcher's latest report of a target.
type reportObservation struct {
	vm            string
	vmIncarnation uint64
	at            time.Duration
	report        TargetReport
	// unreachableSince and expiredSince are the times of the first of an
	// unbroken run of such reports under one epoch; zero if there is none.
	unreachableSince time.Duration
	expiredSince     time.Duration
}

// probeObservation is the result of another VM's probe of a target.
type probeObservation struct {
	at      time.Duration
	reached bool
}

// announcement is the latest announcement of a target.
type announcement struct {
	target Target
	at     time.Duration
}

// Heartbeat records what a VM observed and that its lease is renewed now. A
// heartbeat of an older incarnation, or one that arrives after a later one, is
// ignored: the lease it renews ends before the one already recorded.
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
// The leader renews no lease of an older incarnation.
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
	if !ok || t != known.target || now-known.at > announcementAge {
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
		if p.probed[id] == nil {
			p.probed[id] = map[string]probeObservation{}
		}
		p.probed[id][hb.VM.Name] = probeObservation{at: now, reached: !failed[id]}
	}
}

// leased reports whether this incarnation of a VM holds a valid lease.
func (r *round) leased(name string, incarnation uint64) bool {
	known, ok := r.p.vms[name]
	return ok && known.vm.Incarnation == incarnation && r.now < known.leaseUntil
}

// leaseEnd returns the time up to which this incarnation of a VM may act under
// a lease. A process ended before its successor was heard of. The former leader may have renewed leases up to the election.
func (r *round) leaseEnd(name string, incarnation uint64) time.Duration {
	known, ok := r.p.vms[name]
	if ok && known.vm.Incarnation > incarnation {
		return known.since
	}
	end := r.p.electedAt + contract.ElectedWait
	if ok {
		end = max(end, known.leaseUntil)
	}
	return end
}

// report returns the latest report of a target's current dispatcher.
func (r *round) report(target string) (reportObservation, bool) {
	observed, ok := r.p.reports[target]
	if !ok || r.now-observed.at > reportAge {
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
