package control

// registerVMs proposes to register VMs that are new or have changed.
func (r *planRound) registerVMs() {
	for _, name := range r.p.sortedVMs() {
		observed := r.p.vms[name]
		if r.now >= observed.leaseUntil || r.s.config.retiredVMs[name] {
			continue
		}
		known, ok := r.s.vms[name]
		if ok && (known == observed.vm || known.Incarnation > observed.vm.Incarnation) {
			continue
		}
		v := observed.vm
		r.propose(Command{RegisterVM: &v})
	}
}

// registerTargets proposes to register targets that are new or have changed, and
// to mark the states that targets announce. It checks all announced targets only
// after the control state has changed.
func (r *planRound) registerTargets() {
	ids := sortedNames(r.p.changed)
	if r.p.checkedRevision != r.s.revision {
		r.p.checkedRevision = r.s.revision
		if len(r.p.announcedIDs) != len(r.p.announced) {
			r.p.announcedIDs = sortedNames(r.p.announced)
		}
		ids = r.p.announcedIDs
	}
	for _, id := range ids {
		if !r.registerTarget(id) {
			delete(r.p.changed, id)
			continue
		}
		r.p.changed[id] = true
	}
}

// registerTarget proposes the change that a target's announcement calls for and
// reports whether there is one.
func (r *planRound) registerTarget(id string) bool {
	latest, ok := r.p.announced[id]
	if !ok || r.now-latest.at > maxAnnouncementAge {
		return false
	}
	announced := latest.target
	known, registered := r.s.targets[id]
	if r.mayRegister(announced, known, registered) {
		r.propose(Command{RegisterTarget: &announced})
		return true
	}
	return registered && announced.Incarnation == known.Incarnation && r.markState(announced, known)
}

// mayRegister reports whether an announcement adds a target or changes its
// incarnation, address or slots. A target that is leaving is not added.
func (r *planRound) mayRegister(announced, known Target, registered bool) bool {
	l := r.s.config
	if l.retiredTargets[announced.ID] {
		return false
	}
	if _, ok := l.services[announced.Service]; !ok || l.regionOf[announced.DataCentre] == "" {
		return false
	}
	if !registered {
		return announced.State != Leaving
	}
	if announced.Incarnation != known.Incarnation {
		return announced.Incarnation > known.Incarnation
	}
	return announced.Address != known.Address || announced.Slots != known.Slots
}

// markState proposes the target's state if it changed. The dispatcher's report
// takes precedence over an announcement because it is newer. A target that is
// leaving stays so until it restarts.
func (r *planRound) markState(announced, known Target) bool {
	state := announced.State
	if observed, ok := r.report(known.ID); ok && observed.report.Reachable && observed.report.State != "" {
		state = observed.report.State
	}
	if announced.State == Leaving || known.State == Leaving {
		state = Leaving
	}
	if state == known.State {
		return false
	}
	r.propose(markTarget(known, state, known.Lost))
	return true
}

func markTarget(t Target, state TargetState, lost bool) Command {
	return Command{MarkTarget: &MarkTarget{ID: t.ID, Incarnation: t.Incarnation, State: state, Lost: lost}}
}
