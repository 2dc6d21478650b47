package main

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Parameters of the announcements in a soak.
const (
	// announceShare is the chance of an announcement with each fault.
	announceShare = 0.4
	// leaveTime is how long a target says that it is leaving before it starts again.
	leaveTime = leaveSlack + 1500*time.Millisecond
	maxPause  = 2 * time.Second
	// longestProxyFault is the longest time for which a proxy holds bytes.
	longestProxyFault = 1500 * time.Millisecond
)

// disruption is a span in which a process had a fault.
type disruption struct{ from, to time.Time }

// ownBuild reports whether the processes run this build. A script may put another
// program in the place of the test binary to mix builds.
func ownBuild() bool {
	own, err := os.Executable()
	if err != nil {
		return false
	}
	started, err := exec.LookPath(os.Args[0])
	if err != nil {
		return false
	}
	started, err = filepath.Abs(started)
	return err == nil && started == own
}

// announce lets a random target say that it is leaving, or pause for a random time.
// Processes of earlier builds do not heed that, so targets announce nothing to them.
func (s *soak) announce() {
	if s.rng.Float64() >= announceShare || !ownBuild() {
		return
	}
	target := s.targets[s.rng.IntN(len(s.targets))]
	switch s.rng.IntN(4) {
	case 0:
		target.announcer.pause(time.Duration(s.rng.Int64N(int64(maxPause))))
		return
	case 1:
		s.limitTarget(target)
		return
	case 2:
		s.sendCrashing()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faulty[target.id] {
		return
	}
	s.faulty[target.id] = true
	s.faults.Go(func() {
		target.announcer.leave(true)
		time.Sleep(leaveTime)
		target.startAgain()
		s.mu.Lock()
		delete(s.faulty, target.id)
		s.mu.Unlock()
	})
}

// noteLeave records that an entry VM passed on a response which says that its target
// is leaving.
func (s *soak) noteLeave(id string, resp *http.Response) {
	if resp.Header.Get("Server-Leaving") == "" {
		return
	}
	entry, _, _ := strings.Cut(id, "-")
	for _, target := range s.targets {
		if resp.Header.Get("Flamingoreel-Response-Stamp") == "stamp-"+target.id {
			target.announcer.passedOn(entry, resp.Header.Get(headerLife))
		}
	}
}

// noteDisruption records the span until the returned function is called as one in
// which the process has a fault.
func (s *soak) noteDisruption(name string) (ended func()) {
	from := time.Now()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.disruptions == nil {
			s.disruptions = make(map[string][]disruption)
		}
		s.disruptions[name] = append(s.disruptions[name], disruption{from, time.Now()})
	}
}

// checkAnnouncements checks that no request reached a target which had told the
// request's entry VM that it is leaving or paused, unless a fault explains it: a
// fault of the entry VM since then, or one of the connections at either time.
func (s *soak) checkAnnouncements() {
	checked := 0
	for i, target := range s.targets {
		for _, late := range target.announcer.lateArrivals() {
			checked++
			name := "entry-" + strings.TrimPrefix(late.entry, "e")
			cut := s.proxies[i].faultBetween(late.at.Add(-longestProxyFault-announceSlack), late.at) ||
				s.proxies[i].faultBetween(late.since.Add(-longestProxyFault), late.since.Add(announceSlack))
			if !cut && !s.disruptedBetween(name, late.since, late.at) {
				s.t.Errorf("a request of %s reached %s %v after it was told that the target is %s", name, target.id, late.at.Sub(late.since), late.what)
			}
		}
	}
	s.checkCrashes()
	s.t.Logf("%d late arrivals, explained by faults unless listed; announcements drawn: %v", checked, ownBuild())
}

// disruptedBetween reports whether a process had a fault in a span.
func (s *soak) disruptedBetween(name string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disruptions[name] {
		if d.from.Before(to) && d.to.After(from) {
			return true
		}
	}
	return false
}
