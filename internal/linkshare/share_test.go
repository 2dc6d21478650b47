package linkshare

import (
	"testing"
	"time"
)

const testCapacity = 450e3

// long returns an admitted download of a route whose responses have 90 KB.
func long(t *testing.T, s *Share, now time.Duration) *Download {
	t.Helper()
	s.Observe("bundle", 90e3)
	d, refusal := s.Admit(now, demand(now))
	if refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	return d
}

func demand(now time.Duration) Demand {
	return Demand{Route: "bundle", Objective: now + 3*time.Second, Service: 140 * time.Millisecond, Limited: true}
}

// Guards against a link that is scheduled although its capacity isn't known, or although
// it is fast.
func TestUnknownAndFastLinksAreNotScheduled(t *testing.T) {
	for capacity, scheduled := range map[float64]bool{0: false, testCapacity: true, 250e3: true, 125e6: false} {
		if got := New(capacity) != nil; got != scheduled {
			t.Errorf("%v bytes per second: scheduled is %v", capacity, got)
		}
	}
}

// Guards against downloads that are admitted although they will be late, against a
// Retry-After that is too early, and against bytes that are owed to ended downloads.
func TestAdmissionFollowsTheBacklog(t *testing.T) {
	s := New(testCapacity)
	var admitted []*Download
	var refusal *Refusal
	s.Observe("bundle", 90e3)
	for refusal == nil {
		var d *Download
		if d, refusal = s.Admit(0, demand(0)); d != nil {
			admitted = append(admitted, d)
		}
	}
	// 405,000 bytes per second carry 13 downloads of 90,000 bytes in 3 s.
	if len(admitted) != 13 || s.Owed(0) != 13*90e3 {
		t.Errorf("admitted %d downloads with %d bytes, want 13", len(admitted), s.Owed(0))
	}
	if refusal.After <= 0 || refusal.After > time.Second {
		t.Errorf("retry after %v, want the time of the excess", refusal.After)
	}
	s.End(admitted[0])
	if _, refusal := s.Admit(0, demand(0)); refusal != nil {
		t.Errorf("refused after a download had ended: %+v", refusal)
	}
}

// Guards against refusing a download that is late by its own size while nothing else
// waits: a late response is worth more than none. Also guards against an expected size
// that refuses all downloads of its route, so that no response ever corrects it.
func TestLateDownloadIsAdmittedAlone(t *testing.T) {
	s := New(testCapacity)
	s.Observe("bundle", 1500e3)
	first, refusal := s.Admit(0, demand(0))
	if refusal != nil {
		t.Fatalf("refused although nothing is owed: %+v", refusal)
	}
	if _, refusal := s.Admit(0, demand(0)); refusal == nil {
		t.Error("admitted a second one, which delays the first")
	}
	s.End(first)
	for range 100 {
		s.Observe("bundle", 60e6)
	}
	for i := range 400 {
		now := time.Duration(i) * time.Second
		d, refusal := s.Admit(now, demand(now))
		if refusal != nil {
			t.Fatalf("refused at %v although nothing is owed: %+v", now, refusal)
		}
		s.Announce(now, d, 90e3)
		s.Observe("bundle", 90e3)
		s.End(d)
	}
	if size := s.sizes["bundle"]; size > 91e3 {
		t.Errorf("the expected size is still %v", size)
	}
}

// Guards against a bound of concurrent downloads that silent targets or slow readers use
// up, and against one that isn't held.
func TestStalledDownloadsFreeTheirPlaces(t *testing.T) {
	s := New(testCapacity)
	for range 12 {
		long(t, s, 0)
	}
	start := func(now time.Duration) (started int) {
		for d, _ := s.StartNext(now); d != nil; d, _ = s.StartNext(now) {
			s.Announce(now+time.Millisecond, d, 90e3)
			started++
		}
		return started
	}
	running := start(0)
	if running < pipelineDownloads || running > pipelineDownloads+2 {
		t.Errorf("%d downloads run at once", running)
	}
	if got := start(stallAfter / 2); got != 0 {
		t.Errorf("%d more downloads started while the first ones may go on", got)
	}
	if got := start(2 * stallAfter); got != running {
		t.Errorf("%d downloads took the places of %d stalled ones", got, running)
	}
}

// Guards against chunks that exceed the rate of the link, or that stop altogether while
// short messages take all of it.
func TestRateOfChunks(t *testing.T) {
	for _, c := range []struct {
		// interactive is the rate of short messages, least and most bound that of chunks.
		interactive, least, most float64
	}{{0, 395e3, 410e3}, {100e3, 295e3, 310e3}, {500e3, 36e3, 45e3}} {
		s := New(testCapacity)
		d := long(t, s, 0)
		s.Announce(0, d, 100e6)
		passed := 0
		for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
			s.Count(now, Out, int64(c.interactive/1000))
			for {
				if d.asking == 0 {
					s.Ask(now, d, Out, 1<<20)
				}
				chunk, wait := s.Next(now, Out)
				if chunk == nil {
					if wait <= 0 {
						t.Fatal("no time to ask again")
					}
					break
				}
				passed += chunk.Bytes
			}
		}
		if rate := float64(passed) / 10; rate < c.least || rate > c.most {
			t.Errorf("%v bytes per second pass beside %v of short messages, want %v to %v", rate, c.interactive, c.least, c.most)
		}
	}
}

// Guards against one very long response that takes the whole link until its end, minutes
// later, because it was due before the downloads that arrive during it.
func TestVeryLongResponsesGiveWay(t *testing.T) {
	for name, c := range map[string]struct {
		announced int64
		count     int
		lead      time.Duration
	}{"known length": {60e6, 2 * pipelineDownloads, time.Second}, "unknown length": {-1, 1, 4 * time.Second}} {
		s := New(testCapacity)
		s.Observe("bundle", 90e3)
		var huge []*Download
		for range c.count {
			d, _ := s.Admit(0, Demand{Route: "export", Objective: 800 * time.Millisecond})
			s.Announce(0, d, c.announced)
			huge = append(huge, d)
		}
		pass := func(now time.Duration, d *Download, n int) (passed int) {
			for _, d := range huge {
				if d.asking == 0 && s.Ask(now, d, In, 1<<20) != nil {
					s.Track(d)
				}
			}
			if d != nil && d.asking == 0 && n > 0 {
				s.Ask(now, d, In, n)
			}
			for c, _ := s.Next(now, In); c != nil; c, _ = s.Next(now, In) {
				if c.Download == d {
					passed += c.Bytes
				}
			}
			return passed
		}
		now := time.Duration(0)
		for ; now < c.lead; now += 5 * time.Millisecond {
			pass(now, nil, 0)
		}
		d, refusal := s.Admit(now, demand(now))
		if refusal != nil {
			t.Errorf("%s: refused beside longer ones that are late in any case: %+v", name, refusal)
			continue
		}
		if first, _ := s.StartNext(now); first != d {
			t.Errorf("%s: longer ones take all places", name)
			continue
		}
		s.Announce(now, d, 90e3)
		began, left := now, 90_000
		for ; left > 0 && now < began+3*time.Second; now += 5 * time.Millisecond {
			left -= pass(now, d, left)
		}
		if took := now - began; took > 500*time.Millisecond {
			t.Errorf("%s: 90 KB took %v beside longer ones, %d bytes are left", name, took, left)
		}
	}
}

// Guards against a route that is refused for good because of an expected size that is too
// high, while downloads of other routes always use the link: only its own responses
// correct the size.
func TestExpectedSizeRecoversBesideOtherRoutes(t *testing.T) {
	s := New(testCapacity)
	s.Observe("bundle", 90e3)
	s.Observe("report", 2e6) // A single one; the others have 90 KB.
	other, _ := s.Admit(0, demand(0))
	admitted, recent := 0, 0
	const span = 5 * time.Minute
	for now := time.Duration(0); now < span; now += 200 * time.Millisecond {
		s.End(other)
		other, _ = s.Admit(now, demand(now))
		s.StartNext(now)
		s.Announce(now, other, 90e3)
		q := demand(now)
		q.Route = "report"
		d, _ := s.Admit(now, q)
		if d == nil {
			continue
		}
		if first, refusal := s.StartNext(now); first != d || refusal != nil {
			t.Fatalf("an admitted download doesn't start: %+v", refusal)
		}
		s.Announce(now, d, 90e3)
		s.Observe("report", 90e3)
		s.End(d)
		if admitted++; now > span-time.Minute {
			recent++
		}
	}
	if admitted == 0 || recent < 290 {
		t.Errorf("%d downloads were admitted, %d in the last minute, want 300", admitted, recent)
	}
}

// Guards against probes of a route whose downloads are really too long that add up.
func TestProbesOfLongDownloadsDoNotAddUp(t *testing.T) {
	s := New(testCapacity)
	s.Observe("bundle", 5e6)
	admitted := 0
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		if d, _ := s.Admit(now, demand(now)); d != nil {
			s.StartNext(now)
			s.Announce(now, d, 5e6)
			admitted++
			s.Ask(now, d, In, 5e6) // It goes on, so that it isn't stalled.
		}
	}
	if admitted != 1 {
		t.Errorf("%d downloads that can't be in time run at once, want 1", admitted)
	}
}
