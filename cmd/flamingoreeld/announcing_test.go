package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Bounds for requests that reach a target after it has announced something to an
// entry VM.
const (
	// announceSlack is the time for requests that were under way when the target
	// answered with a pause, and leaveSlack for those when a response went on to a
	// caller that says that the target leaves.
	announceSlack = 500 * time.Millisecond
	leaveSlack    = 2 * time.Second
	// maxInPause is how many requests an entry may still send to a paused target
	// after announceSlack.
	maxInPause = 2
)

// headerLife carries the life of a target that says that it is leaving.
const headerLife = "X-Life"

// announcer makes a target say in its responses that it is leaving or paused, and
// records the requests that arrive although the entry VM was told. Requests name
// their entry in their IDs. The zero value announces nothing.
type announcer struct {
	mu      sync.Mutex
	leaving bool
	// life counts the starts of the target.
	life        int
	pausedUntil time.Time
	// entries holds, by entry, what it was told.
	entries map[string]*toldEntry
	// late describes the requests that should not have arrived.
	late []lateArrival
}

// toldEntry is what one entry VM was told. Its zero times mean never.
type toldEntry struct {
	left                   time.Time
	pauseBegan, pauseEnds  time.Time
	arrivals, beyondPauses int
}

// lateArrival is a request that arrived although its entry VM was told at since
// that the target is leaving or paused.
type lateArrival struct {
	entry, what string
	since, at   time.Time
}

// entryID returns the ID of a request that is sent to an entry VM.
func entryID(entry int, name string) string { return fmt.Sprintf("e%d-%s", entry, name) }

// entryOf returns the entry VM to which a request was sent, "" if its ID names none.
func entryOf(r *http.Request) string {
	entry, _, found := strings.Cut(r.Header.Get("Flamingoreel-Request-Id"), "-")
	if !found || !strings.HasPrefix(entry, "e") {
		return ""
	}
	return entry
}

// senderOf returns the entry VM that sent a request to the target, "" if it is not
// known. It is not the one that its caller chose if that one had the request relayed.
func (p *platformTarget) senderOf(r *http.Request) string {
	if p.paths == nil {
		return entryOf(r)
	}
	return strings.Replace(p.paths.sender(r.RemoteAddr, p.listener.Addr().String()), "entry-", "e", 1)
}

// announce sets the headers of a response to a request of an entry VM and reports
// whether it refuses the request with a pause.
func (a *announcer) announce(w http.ResponseWriter, sender string) (refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	told := a.arrived(sender, now)
	if a.leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set(headerLife, strconv.Itoa(a.life))
	}
	if !now.Before(a.pausedUntil) {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(a.pausedUntil.Sub(now).Seconds(), 'f', 3, 64))
	w.Header().Set("Flamingoreel-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	if !now.Before(told.pauseEnds) {
		told.pauseBegan, told.beyondPauses = now, 0
	}
	told.pauseEnds = a.pausedUntil
	return true
}

// passedOn records that an entry VM has passed a response on to a caller which
// says that the target is leaving in the given life.
func (a *announcer) passedOn(entry, life string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if told := a.told(entry); a.leaving && life == strconv.Itoa(a.life) && told.left.IsZero() {
		told.left = time.Now()
	}
}

func (a *announcer) told(entry string) *toldEntry {
	if a.entries == nil {
		a.entries = make(map[string]*toldEntry)
	}
	told := a.entries[entry]
	if told == nil {
		told = new(toldEntry)
		a.entries[entry] = told
	}
	return told
}

// arrived records a request and reports it as late if its entry VM was told in time.
func (a *announcer) arrived(entry string, now time.Time) *toldEntry {
	told := a.told(entry)
	told.arrivals++
	if entry == "" {
		return told
	}
	if !told.left.IsZero() && now.After(told.left.Add(leaveSlack)) {
		a.late = append(a.late, lateArrival{entry, "leaving", told.left, now})
	}
	if now.After(told.pauseBegan.Add(announceSlack)) && now.Before(told.pauseEnds) {
		if told.beyondPauses++; told.beyondPauses > maxInPause {
			a.late = append(a.late, lateArrival{entry, "paused", told.pauseBegan, now})
		}
	}
	return told
}

// leave makes the target say that it is leaving, or stop saying so as a new start.
func (a *announcer) leave(leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving, a.entries = leaving, nil
	a.life++
}

// pause makes the target refuse requests for a time.
func (a *announcer) pause(length time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pausedUntil = time.Now().Add(length)
}

// arrivalsFrom returns how many requests of an entry VM have arrived since the last
// call of leave.
func (a *announcer) arrivalsFrom(entry int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.told(fmt.Sprint("e", entry)).arrivals
}

// lateArrivals returns the requests that should not have arrived.
func (a *announcer) lateArrivals() []lateArrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]lateArrival(nil), a.late...)
}

// startAgain gives the target a new start under its ID and at its address: it knows
// nothing of before.
func (p *platformTarget) startAgain() {
	p.mu.Lock()
	p.startMs, p.seq, p.state, p.rows, p.released = time.Now().UnixMilli(), 0, "ready", nil, nil
	p.mu.Unlock()
	p.announcer.leave(false)
}

// setState changes the state that the target's heartbeats name.
func (p *platformTarget) setState(state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// checkNoLateArrivals fails the test if a request reached a target although its
// entry VM was told.
func checkNoLateArrivals(t *testing.T, targets ...*platformTarget) {
	t.Helper()
	for _, target := range targets {
		for _, late := range target.announcer.lateArrivals() {
			t.Errorf("a request of %s reached %s %v after it was told that the target is %s", late.entry, target.id, late.at.Sub(late.since), late.what)
		}
	}
}
