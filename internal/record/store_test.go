package record

import (
	"context"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// oldHolders returns three stores that started long ago, and a start of
// attempt n for one ID on all of them.
func oldHolders() (stores map[string]*Store, now int64, start func(n uint64) StartRequest) {
	now = 2 * testRetention.Milliseconds()
	names := []string{"h1", "h2", "h3"}
	stores = make(map[string]*Store)
	for _, name := range names {
		stores[name] = NewStore(0, 1<<24)
	}
	return stores, now, func(n uint64) StartRequest {
		return StartRequest{
			ID: ID{Key: "dues-1"}, Attempt: Attempt{VM: "d", Number: n}, FirstSent: now,
			Retention: testRetention, Holders: [][]string{names},
		}
	}
}

// replace gives h2 an empty store that copied the records of h1 and h3.
func replace(stores map[string]*Store, now int64) {
	fresh := NewStore(now+1, 1<<20)
	for _, name := range []string{"h1", "h3"} {
		page := stores[name].copyPage("h2", CopyRequest{Incarnation: now + 1})
		for _, c := range page.Records {
			fresh.merge(c)
		}
		fresh.readiness.noteCopy(name, page.Authority)
	}
	stores["h2"] = fresh
}

func promise(r StartRequest) AbortRequest {
	return AbortRequest{
		ID: r.ID, Attempt: r.Attempt, FirstSent: r.FirstSent,
		Retention: r.Retention, Holders: r.Holders, Promise: true,
	}
}

// Guards against a holder that grants an attempt which a takeover counted as
// refused: late, after a restart, or because the promise removed the record.
func TestPromisesAreKept(t *testing.T) {
	stores, now, start := oldHolders()
	stores["h1"].start(now, start(1))
	if stores["h1"].abort(now, promise(start(1))).Refused {
		t.Error("h1 refuses the attempt that it granted")
	}
	for _, name := range []string{"h2", "h3"} {
		if !stores[name].abort(now, promise(start(1))).Refused {
			t.Errorf("%s does not promise", name)
		}
		if got := stores[name].start(now, start(1)).State; got != Aborted {
			t.Errorf("late start at %s: %s", name, got)
		}
	}
	delete(stores["h1"].entries, start(1).ID)
	stores["h1"].buckets = nil // the start to h1 is late, too
	replace(stores, now)
	if got := stores["h2"].start(now, start(1)).State; got != Aborted {
		t.Errorf("late start after the restart: %s", got)
	}
	if got := stores["h2"].start(now, start(2)).State; got != Granted {
		t.Errorf("next attempt after the restart: %s", got)
	}
}

// Guards against a recovered holder that forgets an attempt because another
// holder promised to refuse it, and against granting an attempt that the holder
// may itself have promised to refuse before it restarted.
func TestCopiedAttemptBlocks(t *testing.T) {
	stores, now, start := oldHolders()
	stores["h1"].start(now, start(1))
	stores["h3"].abort(now, promise(start(1)))
	replace(stores, now)
	if got := stores["h2"].start(now, start(1)).State; got != NotReady {
		t.Errorf("the copied attempt: %s", got)
	}
	if got := stores["h2"].start(now, start(2)); got.State != Started || got.Attempt.Number != 1 {
		t.Errorf("another attempt: %+v", got)
	}
}

// Guards against a recovered holder that decides between two copied attempts,
// either of which may be running, and against one that stays blocked after the
// answer is known.
func TestSeveralCopiesBlock(t *testing.T) {
	stores, now, start := oldHolders()
	stores["h1"].start(now, start(1))
	stores["h3"].start(now, start(2))
	replace(stores, now)
	for n := range uint64(3) {
		if got := stores["h2"].start(now, start(n+1)).State; got != NotReady {
			t.Errorf("attempt %d: %s", n+1, got)
		}
	}
	if stores["h2"].abort(now, promise(start(3))).Refused {
		t.Error("promised without knowing which attempts were granted")
	}
	r := start(2)
	stores["h2"].finish(now, FinishRequest{ID: r.ID, Attempt: r.Attempt, FirstSent: now, Retention: testRetention})
	if got := stores["h2"].start(now, start(3)).State; got != Finished {
		t.Errorf("after the answer: %s", got)
	}
}

// Guards against a majority made of a grant that a holder forgot and one that
// was given after that holder copied its records.
func TestForgottenGrantsDoNotCount(t *testing.T) {
	stores, now, start := oldHolders()
	v := &view{sets: start(1).Holders, replies: make(map[string]StartReply)}
	v.replies["h2"] = stores["h2"].start(now, start(1))
	replace(stores, now)
	v.replies["h1"] = stores["h1"].start(now, start(1))
	if v.granted() {
		t.Error("the grant of the earlier h2 counts")
	}
	p := promises{"h2": {Refused: true}, "h3": stores["h3"].abort(now, promise(start(1)))}
	if p.majorityOf(start(1).Holders[0]) {
		t.Error("the promise of the earlier h2 counts")
	}
}

// Guards against a record that is removed before its retention ends, and
// against memory that is never given back.
func TestSweepKeepsTheRetention(t *testing.T) {
	stores, now, start := oldHolders()
	s := stores["h1"]
	s.start(now, start(1))
	end := expiry(now, testRetention)
	s.Sweep(end)
	if got := s.Stats(); got.Records != 1 || got.Starts[Granted] != 1 {
		t.Errorf("at the end of the retention: %+v", got)
	}
	s.Sweep(end + 2*time.Minute.Milliseconds())
	if got := s.Stats(); got.Records != 0 || got.Bytes != 0 || len(s.buckets) != 0 {
		t.Errorf("after the retention: %+v", got)
	}
}

// Guards against a copy that misses records behind a page boundary, or hands
// out records of IDs that the other VM must not hold.
func TestCopyIsPagedAndFiltered(t *testing.T) {
	stores, now, start := oldHolders()
	want := 3 * pageRecords
	for n := range want + 2*pageScan {
		r := start(1)
		r.ID.Key = time.Duration(n).String()
		r.FirstSent -= int64(n) * 400
		if n >= want {
			r.Holders = [][]string{{"h1", "h22"}, {"h3"}}
		}
		stores["h1"].start(now, r)
	}
	pages, got := 0, 0
	for r := (CopyRequest{}); ; pages++ {
		page := stores["h1"].copyPage("h2", r)
		got += len(page.Records)
		if page.Done {
			break
		}
		r.Cursor = page.Next
	}
	if got != want || pages < 4 {
		t.Errorf("copied %d of %d records in %d pages", got, want, pages)
	}
}

// Guards against granting an ID outside the times for which the holder, or its
// successor, can know what it granted.
func TestHoldersCheckTimes(t *testing.T) {
	stores, now, start := oldHolders()
	for firstSent, want := range map[int64]State{
		now + ClockAllowance.Milliseconds():     Granted,
		now + ClockAllowance.Milliseconds() + 1: NotReady,
		now - expiry(0, testRetention):          Granted,
		now - expiry(0, testRetention) - 1:      NotReady,
	} {
		r := start(1)
		r.ID.Key, r.FirstSent = time.Duration(firstSent).String(), firstSent
		stores["h1"].readiness.floor = 0 // ready for every time
		if got := stores["h1"].start(now, r).State; got != want {
			t.Errorf("first sent at %d, now %d: %s", firstSent, now, got)
		}
	}
}

// pages answers copies with the same pages again and again.
type pages []CopyReply

func (p *pages) Call(context.Context, string, string, []byte) ([]byte, error) {
	page := (*p)[0]
	*p = append((*p)[1:], page)
	return encode(page)
}

// Guards against trusting a copy whose holder restarted, or removed records,
// between two pages.
func TestCopyOfChangingHolder(t *testing.T) {
	s := NewStore(1, 1<<20)
	changed := &pages{{Incarnation: 1, Authority: 1}, {Incarnation: 2, Authority: 9, Done: true}}
	if s.copyFrom(t.Context(), changed, "h1") == nil || len(s.readiness.copied) != 0 {
		t.Error("a copy across a restart counts")
	}
	swept := &pages{{Incarnation: 1, Authority: 5}, {Incarnation: 1, Authority: 9, Done: true}}
	if err := s.copyFrom(t.Context(), swept, "h1"); err != nil || s.readiness.copied["h1"] != 9 {
		t.Errorf("authority %d, want 9: %v", s.readiness.copied["h1"], err)
	}
}

// Guards against accepting garbage from a link, and unbalanced sets of holders.
func TestHandlersAndHolders(t *testing.T) {
	s := NewStore(0, 0)
	for _, method := range []string{MethodStart, MethodFinish, MethodAbort, MethodCopy} {
		if _, err := s.Handle(method)(t.Context(), "x", []byte{0xc1}); err == nil {
			t.Errorf("%s accepts garbage", method)
		}
	}
	for candidates, want := range []int{0, 1, 2, 3, 3, 5, 5} {
		names := []string{"a", "b", "c", "d", "e", "f"}[:candidates]
		if got := Holders(ID{Key: "k"}, append(names, names...)); len(got) != want {
			t.Errorf("%d candidates: %v", candidates, got)
		}
	}
}

func BenchmarkStoreStartFinish(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	_, now, start := oldHolders()
	s := NewStore(0, 1<<40)
	answer := Answer{Status: 200, Body: make([]byte, 200)}
	for n := 0; b.Loop(); n++ {
		r := start(1)
		r.ID.Key = time.Duration(n).String()
		s.start(now, r)
		s.finish(now, FinishRequest{
			ID: r.ID, Attempt: r.Attempt, FirstSent: now, Retention: testRetention, Holders: r.Holders, Answer: answer,
		})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	stats := s.Stats()
	b.ReportMetric(float64(stats.Bytes)/float64(stats.Records), "accountedB/record")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(stats.Records), "heapB/record")
}

// BenchmarkHolders measures the choice of holders by the number of candidates.
func BenchmarkHolders(b *testing.B) {
	for _, n := range []int{9, 100, 800} {
		names := make([]string, n)
		for i := range names {
			names[i] = "vm-" + strconv.Itoa(i)
		}
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				Holders(ID{Tenant: "club", Service: "ledger", Key: "k"}, names)
			}
		})
	}
}

// Guards against a second run when the holder that noted a restart restarts
// itself: a grant that another holder gave before its restart would count
// again, next to a grant of the holder that forgot the note. Interleaving
// 18439088968397194391 let two attempts send one ID in 17 of 40 runs.
func TestNotesOfRestartsSurviveARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, names := newCluster(3)
		started := make(map[string]int64)
		for _, name := range []string{"h1", "h2"} {
			time.Sleep(time.Second)
			started[name] = time.Now().UnixMilli()
			c.restart(name)
			if err := c.recover(name, names); err != nil {
				t.Fatal(err)
			}
		}
		r := request(names)
		reply := c.stores["h2"].start(time.Now().UnixMilli(), StartRequest{
			ID: r.ID, Attempt: Attempt{VM: "d1", Number: 1}, FirstSent: r.FirstSent, Retention: r.Retention, Holders: [][]string{names},
		})
		if reply.Proof.Seen["h1"] != started["h1"] {
			t.Errorf("proof %+v does not name the restart of h1 at %d", reply.Proof, started["h1"])
		}
	})
	for range 40 {
		if senders, fault := interleave(t, 18439088968397194391); len(senders) > 1 || fault != "" {
			t.Fatalf("senders %v %s", senders, fault)
		}
	}
}
